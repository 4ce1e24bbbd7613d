package uplink

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	// silentAfter gives a steward's stream up after three missed heartbeats.
	silentAfter = 1500 * time.Millisecond
	redialAfter = 100 * time.Millisecond
	// lookEvery is how often the set of stewards is compared with the streams.
	lookEvery    = 100 * time.Millisecond
	queuedFrames = 4
	sendTimeout  = time.Second
	// fetchAgain is when another steward is asked for a table that did not come.
	fetchAgain = 250 * time.Millisecond
)

// Uplink is the set of a process's streams to stewards.
type Uplink struct {
	node string
	pool *wire.Pool
	log  logr.Logger
	// version returns the version of the table that the process has.
	version func() uint64
	take    func(steward string, s *wirepb.Snapshot)
	lost    func(steward string)

	mu sync.Mutex
	// fetching is the version of the table that was asked for last, at fetched.
	fetching uint64
	fetched  time.Time
	// settings are the addresses by the settings, told those by the last proven word of a steward.
	settings, told []string
	links          map[string]*link
}

// link is the stream to one steward.
type link struct {
	address string
	cancel  context.CancelFunc
	frames  chan *wirepb.Frame
}

// Option sets one property of an Uplink.
type Option func(*Uplink)

// WithLog sets where events are logged.
func WithLog(log logr.Logger) Option { return func(u *Uplink) { u.log = log } }

// WithVersion sets what tells the version of the table that the process has.
func WithVersion(version func() uint64) Option { return func(u *Uplink) { u.version = version } }

// WithTake sets what takes a steward's snapshots.
func WithTake(take func(steward string, s *wirepb.Snapshot)) Option {
	return func(u *Uplink) { u.take = take }
}

// WithLost sets what is told when a steward's stream has ended.
func WithLost(lost func(steward string)) Option { return func(u *Uplink) { u.lost = lost } }

// New makes an Uplink to the stewards that the settings name.
func New(node string, stewards []string, pool *wire.Pool, options ...Option) *Uplink {
	u := &Uplink{
		node: node, pool: pool, log: logr.Discard(), settings: stewards, links: map[string]*link{},
		version: func() uint64 { return 0 }, take: func(string, *wirepb.Snapshot) {}, lost: func(string) {},
	}
	for _, option := range options {
		option(u)
	}
	return u
}

// Follow replaces the stewards of the settings.
func (u *Uplink) Follow(stewards []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settings = stewards
}

// Tell sends a frame to one steward; false if there is no stream to it or the last frames are still to be sent.
func (u *Uplink) Tell(steward string, frame *wirepb.Frame) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	l := u.links[steward]
	if l == nil {
		return false
	}
	select {
	case l.frames <- frame:
		return true
	default:
		return false
	}
}

// Run keeps the streams until the context ends; the channel gives the end.
func (u *Uplink) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		u.run(ctx)
		ended <- nil
	}()
	return ended
}

func (u *Uplink) run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		u.compare(ctx, &running)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// compare opens streams to new stewards and ends those to former ones.
func (u *Uplink) compare(ctx context.Context, running *sync.WaitGroup) {
	u.mu.Lock()
	defer u.mu.Unlock()
	wanted := slices.Concat(u.settings, u.told)
	for _, address := range wanted {
		if _, known := u.links[address]; known || address == "" {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l := &link{address: address, cancel: cancel, frames: make(chan *wirepb.Frame, queuedFrames)}
		u.links[address] = l
		running.Go(func() { u.keep(linkCtx, l) })
	}
	for address, l := range u.links {
		if !slices.Contains(wanted, address) {
			l.cancel()
			delete(u.links, address)
		}
	}
}

// keep opens the stream to a steward again whenever it breaks.
func (u *Uplink) keep(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		connected, err := u.subscribe(ctx, l)
		if connected && ctx.Err() == nil {
			u.log.Info("steward lost", "steward", l.address, "error", err.Error())
		}
		u.lost(l.address)
		select {
		case <-time.After(redialAfter):
		case <-ctx.Done():
		}
	}
}

func (u *Uplink) subscribe(ctx context.Context, l *link) (connected bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := u.open(ctx, l.address)
	if err != nil {
		return false, err
	}
	defer stream.Close()
	hello := &wirepb.Subscribe{Node: u.node, Version: u.version()}
	if err := stream.Send(&wirepb.Frame{Body: &wirepb.Frame_Subscribe{Subscribe: hello}}, sendTimeout); err != nil {
		return false, err
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		sendFrames(ctx, l, stream)
	}()
	defer func() {
		cancel()
		<-sent
	}()
	for {
		frame, err := stream.Receive(silentAfter)
		if err != nil {
			u.pool.DropOlder(stream)
			return connected, err
		}
		if !connected {
			connected = true
			u.log.Info("steward connected", "steward", l.address)
		}
		if s := frame.GetSnapshot(); s != nil {
			u.hear(s)
			u.take(l.address, s)
			u.fetch(l, s.GetVersion())
		}
	}
}

// open returns a stream that outlives the time limit of its opening.
func (u *Uplink) open(ctx context.Context, address string) (*wire.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, silentAfter)
	defer cancel()
	stream, err := u.pool.Open(ctx, address)
	if err == nil {
		stream.Detach()
	}
	return stream, err
}

func sendFrames(ctx context.Context, l *link, stream *wire.Stream) {
	for {
		select {
		case <-ctx.Done():
			stream.Close()
			return
		case frame := <-l.frames:
			if stream.Send(frame, sendTimeout) != nil {
				return // the receiving side sees the broken stream too
			}
		}
	}
}

// fetch asks a steward for a newer table, unless another steward was asked for it a moment ago.
func (u *Uplink) fetch(l *link, version uint64) {
	if version <= u.version() {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if now := time.Now(); version > u.fetching || now.Sub(u.fetched) > fetchAgain {
		select {
		case l.frames <- &wirepb.Frame{Body: &wirepb.Frame_TableWanted{TableWanted: &wirepb.TableWanted{}}}:
			u.fetching, u.fetched = version, now
		default: // the next heartbeat brings it up again
		}
	}
}

// hear takes the stewards' addresses from one that has proven its quorum.
func (u *Uplink) hear(s *wirepb.Snapshot) {
	if !s.GetProven() || len(s.GetStewards()) == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.told = s.GetStewards()
}
