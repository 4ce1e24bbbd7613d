package quorum

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"burdocksaddle/consensus"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	queuedMessages = 256
	maxSenders     = 64
	sendTimeout    = time.Second
	redialAfter    = 200 * time.Millisecond
	// silentTicks is when a voter is too silent to take the lead over.
	silentTicks = 10
)

// peers holds one sender for each member; only the step loop calls it but for wait.
type peers struct {
	log     *Log
	learned map[uint64]string
	senders map[uint64]*sender
	running sync.WaitGroup
}

// sender carries messages to one member; its queue drops what has no room.
type sender struct {
	log     *Log
	to      uint64
	address string
	queue   chan consensus.Message
	stop    context.CancelFunc
}

func newPeers(l *Log) *peers {
	return &peers{log: l, learned: map[uint64]string{}, senders: map[uint64]*sender{}}
}

func (p *peers) wait() { p.running.Wait() }

// learn notes the address of a member that wrote.
func (p *peers) learn(id uint64, address string) {
	if address != "" && (len(p.learned) < maxSenders || p.learned[id] != "") {
		p.learned[id] = address
	}
}

func (p *peers) address(configuration consensus.Configuration, id uint64) string {
	if id == p.log.id {
		return p.log.config.Address
	}
	if m, ok := configuration.Member(id); ok {
		return m.Address
	}
	return p.learned[id]
}

// send queues a message for a member, or drops it.
func (p *peers) send(ctx context.Context, configuration consensus.Configuration, m consensus.Message) {
	address := p.address(configuration, m.To)
	s := p.senders[m.To]
	if s != nil && s.address != address {
		s.stop()
		s = nil
	}
	if s == nil {
		if address == "" {
			return
		}
		p.dropStrangers(configuration)
		s = p.start(ctx, m.To, address)
	}
	select {
	case s.queue <- m:
	default:
	}
}

// dropStrangers ends the senders to who is no member any more when there are too many.
func (p *peers) dropStrangers(configuration consensus.Configuration) {
	if len(p.senders) < maxSenders {
		return
	}
	for id, s := range p.senders {
		if _, member := configuration.Member(id); !member {
			s.stop()
			delete(p.senders, id)
			delete(p.learned, id)
		}
	}
}

func (p *peers) start(ctx context.Context, to uint64, address string) *sender {
	ctx, stop := context.WithCancel(ctx)
	s := &sender{log: p.log, to: to, address: address, queue: make(chan consensus.Message, queuedMessages), stop: stop}
	p.senders[to] = s
	p.running.Go(func() { s.run(ctx) })
	return s
}

// run sends what is queued; messages that a broken stream swallowed are the core's to repeat. A session that went silent is
// found and closed by its own keepalive: other roles' streams share it, so a silent member is no reason to drop it here.
func (s *sender) run(ctx context.Context) {
	var stream *wire.Stream
	defer func() {
		if stream != nil {
			stream.Close()
		}
	}()
	for {
		var m consensus.Message
		select {
		case <-ctx.Done():
			return
		case m = <-s.queue:
		}
		first := stream == nil
		if first {
			var err error
			if stream, err = s.log.pool.Open(ctx, s.address); err != nil {
				stream = nil
				s.pause(ctx)
				continue
			}
		}
		if err := stream.Send(s.frame(m, first), sendTimeout); err != nil {
			stream.Close()
			stream = nil
		}
	}
}

// pause drops what came in while the member cannot be reached.
func (s *sender) pause(ctx context.Context) {
	select {
	case <-time.After(redialAfter):
	case <-ctx.Done():
	}
	for len(s.queue) > 0 {
		<-s.queue
	}
}

// frame packs a message; the first one of a stream also says who sends.
func (s *sender) frame(m consensus.Message, first bool) *wirepb.Frame {
	payload := &wirepb.PeerPayload{Body: &wirepb.PeerPayload_Message{Message: m.ToWire()}}
	peer := &wirepb.PeerMessage{}
	if first {
		peer.From, peer.To = s.log.id, s.to
		payload.Address, payload.Group = s.log.config.Address, s.log.group()
	}
	return packed(peer, payload)
}

func packed(peer *wirepb.PeerMessage, payload *wirepb.PeerPayload) *wirepb.Frame {
	data, err := proto.Marshal(payload)
	if err != nil {
		panic(err) // only invalid UTF-8 in the settings' names
	}
	peer.Payload = data
	return &wirepb.Frame{Body: &wirepb.Frame_PeerMessage{PeerMessage: peer}}
}

func (l *Log) group() uint64 { return l.view.Load().status.Configuration.Group }
