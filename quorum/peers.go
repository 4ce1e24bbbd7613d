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
	sendQueueSize = 256
	maxSenders    = 64
	sendTimeout   = time.Second
	redialDelay   = 200 * time.Millisecond
	// maxTransferSilenceTicks is the silence from which a voter no longer qualifies as the target of a leadership
	// transfer.
	maxTransferSilenceTicks = 10
)

// peers holds one sender per member. Only the step loop may use it, except for wait.
type peers struct {
	log              *Log
	learnedAddresses map[uint64]string
	senders          map[uint64]*sender
	running          sync.WaitGroup
}

// sender sends messages to one member; messages are dropped while its queue is full.
type sender struct {
	log     *Log
	to      uint64
	address string
	queue   chan consensus.Message
	stop    context.CancelFunc
}

func newPeers(l *Log) *peers {
	return &peers{log: l, learnedAddresses: map[uint64]string{}, senders: map[uint64]*sender{}}
}

func (p *peers) wait() { p.running.Wait() }

// learnAddress records the address of a member that sent a message.
func (p *peers) learnAddress(id uint64, address string) {
	if address != "" && (len(p.learnedAddresses) < maxSenders || p.learnedAddresses[id] != "") {
		p.learnedAddresses[id] = address
	}
}

func (p *peers) address(configuration consensus.Configuration, id uint64) string {
	if id == p.log.id {
		return p.log.config.Address
	}
	if m, ok := configuration.Member(id); ok {
		return m.Address
	}
	return p.learnedAddresses[id]
}

// send queues a message for a member. It drops the message if the address is unknown or the queue is full.
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
		p.dropNonMembers(configuration)
		s = p.start(ctx, m.To, address)
	}
	select {
	case s.queue <- m:
	default:
	}
}

// dropNonMembers stops the senders to former members when there are too many senders.
func (p *peers) dropNonMembers(configuration consensus.Configuration) {
	if len(p.senders) < maxSenders {
		return
	}
	for id, s := range p.senders {
		if _, member := configuration.Member(id); !member {
			s.stop()
			delete(p.senders, id)
			delete(p.learnedAddresses, id)
		}
	}
}

func (p *peers) start(ctx context.Context, to uint64, address string) *sender {
	ctx, stop := context.WithCancel(ctx)
	s := &sender{log: p.log, to: to, address: address, queue: make(chan consensus.Message, sendQueueSize), stop: stop}
	p.senders[to] = s
	p.running.Go(func() { s.run(ctx) })
	return s
}

// run sends the queued messages; the core resends messages that are lost with a broken stream. A session that becomes
// silent is detected and closed by its own keepalive. Streams of other roles share the session, so it is not closed
// here when a member is silent.
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
				s.backOff(ctx)
				continue
			}
		}
		if err := stream.Send(s.frame(m, first), sendTimeout); err != nil {
			stream.Close()
			stream = nil
		}
	}
}

// backOff waits before the next connection attempt and drops the messages queued while the member is unreachable.
func (s *sender) backOff(ctx context.Context) {
	select {
	case <-time.After(redialDelay):
	case <-ctx.Done():
	}
	for len(s.queue) > 0 {
		<-s.queue
	}
}

// frame encodes a message; the first message of a stream also identifies the sender.
func (s *sender) frame(m consensus.Message, first bool) *wirepb.Frame {
	payload := &wirepb.PeerPayload{Body: &wirepb.PeerPayload_Message{Message: m.ToWire()}}
	peer := &wirepb.PeerMessage{}
	if first {
		peer.From, peer.To = s.log.id, s.to
		payload.Address, payload.Group = s.log.config.Address, s.log.group()
	}
	return packFrame(peer, payload)
}

func packFrame(peer *wirepb.PeerMessage, payload *wirepb.PeerPayload) *wirepb.Frame {
	data, err := proto.Marshal(payload)
	if err != nil {
		panic(err) // possible only with invalid UTF-8 in configured names
	}
	peer.Payload = data
	return &wirepb.Frame{Body: &wirepb.Frame_PeerMessage{PeerMessage: peer}}
}

func (l *Log) group() uint64 { return l.published.Load().status.Configuration.Group }
