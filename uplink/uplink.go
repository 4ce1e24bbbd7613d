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
	// receiveTimeout closes a steward's stream after three missed heartbeats.
	receiveTimeout = 1500 * time.Millisecond
	reconnectDelay = 100 * time.Millisecond
	// reconcileInterval is how often streams are opened and closed to match the set of stewards.
	reconcileInterval = 100 * time.Millisecond
	sendQueueLength   = 4
	sendTimeout       = time.Second
)

// Uplink manages a process's streams to stewards.
type Uplink struct {
	node         string
	pool         *wire.Pool
	log          logr.Logger
	onTable      func(Table) error
	onSnapshot   func(steward string, s *wirepb.Snapshot)
	onDisconnect func(steward string)
	// announcement wakes the transfer loop when a steward announces a version or is lost.
	announcement chan struct{}

	mu sync.Mutex
	// announced holds the version that each connected steward announced last.
	announced map[string]uint64
	// configured are the stewards' addresses in the settings, discovered those in the last snapshot of a steward with a proven
	// quorum.
	configured, discovered []string
	// links are the streams that are open or have not ended yet, by address.
	links map[string]*link
}

// link is the stream to one steward.
type link struct {
	address string
	cancel  context.CancelFunc
	frames  chan queuedFrame
}

// queuedFrame is a frame to send; written is closed once it has been written to the connection.
type queuedFrame struct {
	frame   *wirepb.Frame
	written chan struct{}
}

// Option sets one property of an Uplink.
type Option func(*Uplink)

// WithLog sets where events are logged.
func WithLog(log logr.Logger) Option { return func(u *Uplink) { u.log = log } }

// WithTableHandler sets the handler of new tables. Their versions only increase. A table that the handler returns an error for is
// fetched again.
func WithTableHandler(handle func(Table) error) Option { return func(u *Uplink) { u.onTable = handle } }

// WithSnapshotHandler sets the handler of stewards' snapshots.
func WithSnapshotHandler(handle func(steward string, s *wirepb.Snapshot)) Option {
	return func(u *Uplink) { u.onSnapshot = handle }
}

// WithDisconnectHandler sets the handler that is called when a steward's stream has ended or could not be opened.
func WithDisconnectHandler(handle func(steward string)) Option {
	return func(u *Uplink) { u.onDisconnect = handle }
}

// New returns an Uplink to the stewards in the settings.
func New(node string, stewards []string, pool *wire.Pool, options ...Option) *Uplink {
	u := &Uplink{
		node: node, pool: pool, log: logr.Discard(), configured: stewards, links: map[string]*link{}, announced: map[string]uint64{},
		announcement: make(chan struct{}, 1), onTable: func(Table) error { return nil }, onSnapshot: func(string, *wirepb.Snapshot) {}, onDisconnect: func(string) {},
	}
	for _, option := range options {
		option(u)
	}
	return u
}

// SetStewards replaces the configured stewards.
func (u *Uplink) SetStewards(stewards []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.configured = stewards
}

// Stewards returns the addresses of the stewards, connected or not.
func (u *Uplink) Stewards() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	stewards := slices.Concat(u.configured, u.discovered)
	slices.Sort(stewards)
	return slices.Compact(stewards)
}

// Send queues a frame for a steward and reports whether it did; it fails if there is no stream to the steward or its queue is
// full.
func (u *Uplink) Send(steward string, frame *wirepb.Frame) bool {
	_, queued := u.SendWithReceipt(steward, frame)
	return queued
}

// SendWithReceipt is like Send; the channel is closed once the frame has been written to the connection, which may never happen.
func (u *Uplink) SendWithReceipt(steward string, frame *wirepb.Frame) (written <-chan struct{}, queued bool) {
	done := make(chan struct{})
	u.mu.Lock()
	defer u.mu.Unlock()
	l := u.links[steward]
	if l == nil {
		return nil, false
	}
	select {
	case l.frames <- queuedFrame{frame, done}:
		return done, true
	default:
		return nil, false
	}
}

// Run maintains the streams until the context ends. The returned channel receives nil once they have closed.
func (u *Uplink) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		transfersDone := u.runTransfers(ctx)
		u.loop(ctx)
		<-transfersDone
		done <- nil
	}()
	return done
}

func (u *Uplink) loop(ctx context.Context) {
	var streams sync.WaitGroup
	defer streams.Wait()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		u.reconcile(ctx, &streams)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reconcile opens streams to new stewards and closes those to removed ones.
func (u *Uplink) reconcile(ctx context.Context, streams *sync.WaitGroup) {
	u.mu.Lock()
	defer u.mu.Unlock()
	wanted := slices.Concat(u.configured, u.discovered)
	for _, address := range wanted {
		if _, exists := u.links[address]; exists || address == "" {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l := &link{address: address, cancel: cancel, frames: make(chan queuedFrame, sendQueueLength)}
		u.links[address] = l
		streams.Go(func() {
			u.maintain(linkCtx, l)
			u.mu.Lock()
			defer u.mu.Unlock()
			delete(u.links, address)
		})
	}
	for address, l := range u.links {
		if !slices.Contains(wanted, address) {
			l.cancel()
		}
	}
}

// maintain reopens the stream to a steward whenever it fails.
func (u *Uplink) maintain(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		connected, err := u.subscribe(ctx, l)
		if connected && ctx.Err() == nil {
			u.log.Info("steward lost", "steward", l.address, "error", err.Error())
		}
		u.recordAnnouncement(l.address, 0)
		u.onDisconnect(l.address)
		select {
		case <-time.After(reconnectDelay):
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
	request := &wirepb.Subscribe{Node: u.node}
	if err := stream.Send(&wirepb.Frame{Body: &wirepb.Frame_Subscribe{Subscribe: request}}, sendTimeout); err != nil {
		return false, err
	}
	sendDone := make(chan struct{})
	go func() {
		defer close(sendDone)
		sendFrames(ctx, l, stream)
	}()
	defer func() {
		cancel()
		<-sendDone
	}()
	for {
		frame, err := stream.Receive(receiveTimeout)
		if err != nil {
			u.pool.CloseSessionOf(stream)
			return connected, err
		}
		if !connected {
			connected = true
			u.log.Info("steward connected", "steward", l.address)
		}
		if s := frame.GetSnapshot(); s != nil {
			u.updateStewards(s)
			u.onSnapshot(l.address, s)
			u.recordAnnouncement(l.address, s.GetVersion())
		}
	}
}

// open returns a new stream. The timeout applies only to opening it.
func (u *Uplink) open(ctx context.Context, address string) (*wire.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, receiveTimeout)
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
		case queued := <-l.frames:
			if stream.Send(queued.frame, sendTimeout) != nil {
				return // the receiving side detects the failed stream as well
			}
			close(queued.written)
		}
	}
}

// updateStewards takes the stewards' addresses from a snapshot if its sender has proven its quorum.
func (u *Uplink) updateStewards(s *wirepb.Snapshot) {
	if !s.GetProven() || len(s.GetStewards()) == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.discovered = s.GetStewards()
}
