package view

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"burdocksaddle/catalog"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	confirmTimeout = 2 * time.Second
	retryFirst     = 50 * time.Millisecond
	retryMost      = time.Second
	// firstLease is taken for a lease's length until a member has given one.
	firstLease     = 4 * time.Second
	renewsPerLease = 4
	stallsPerLease = 2
	// behindPause bounds how often dispatches of newer versions ask for an update.
	behindPause = 20 * time.Millisecond
)

// Client is the duty that keeps the picture current.
type Client struct {
	pool     *wire.Pool
	controls []string
	node     *wirepb.Watch
	log      logr.Logger
	onOrders func([]*wirepb.ReplicaOrder)
	// onPermits takes an agent's portion of the adapter transit budget and how long it holds.
	onPermits func(permits int, length time.Duration)
	start     time.Time
	behind    chan struct{}

	mu        sync.RWMutex
	catalog   catalog.Catalog
	fleet     uint64
	endpoints map[string]*wirepb.EndpointView
	until     time.Time
	seen      uint64
	lease     time.Duration
	changed   chan struct{}
}

// Option sets one property of a Client.
type Option func(*Client)

// WithLog sets where events are logged.
func WithLog(log logr.Logger) Option { return func(c *Client) { c.log = log } }

// WithOrders sets what takes an agent's orders.
func WithOrders(take func([]*wirepb.ReplicaOrder)) Option {
	return func(c *Client) { c.onOrders = take }
}

// WithPermits sets what takes an agent's portion of the adapter transit budget.
func WithPermits(take func(permits int, length time.Duration)) Option {
	return func(c *Client) { c.onPermits = take }
}

// New makes a Client that watches one of the control members as the given node.
func New(pool *wire.Pool, controls []string, node *wirepb.Watch, options ...Option) *Client {
	c := &Client{
		pool: pool, controls: controls, node: node, log: logr.Discard(), start: time.Now(),
		endpoints: map[string]*wirepb.EndpointView{}, changed: make(chan struct{}),
		onOrders: func([]*wirepb.ReplicaOrder) {}, onPermits: func(int, time.Duration) {}, lease: firstLease, behind: make(chan struct{}, 1),
	}
	if c.node.GetProcess() == "" {
		c.node.Process = rand.Text()
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Run watches until the context ends; the channel gives the end.
func (c *Client) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		retry := backoff.NewExponentialBackOff()
		retry.InitialInterval, retry.MaxInterval = retryFirst, retryMost
		// Nodes spread over the members by their names.
		next := xxhash.Sum64String(c.node.GetNode()) % uint64(len(c.controls))
		for ; ctx.Err() == nil; next++ {
			address := c.controls[next%uint64(len(c.controls))]
			if err := c.watch(ctx, address, retry); err != nil && ctx.Err() == nil {
				c.log.V(1).Info("watch ended", "control", address, "error", err.Error())
			}
			select {
			case <-ctx.Done():
			case <-time.After(retry.NextBackOff()):
			}
		}
		ended <- nil
	}()
	return ended
}

func (c *Client) watch(ctx context.Context, address string, retry *backoff.ExponentialBackOff) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.open(ctx, cancel, address)
	if err != nil {
		return err
	}
	renewed := c.renew(ctx, cancel, stream)
	defer func() {
		cancel()
		stream.Close()
		<-renewed
	}()
	for {
		frame, err := stream.Receive(c.part(stallsPerLease))
		if err != nil {
			c.pool.Drop(address)
			return err
		}
		update := frame.GetWatchUpdate()
		if update == nil {
			return wire.ErrUnexpectedFrame{Peer: address, Want: "WatchUpdate"}
		}
		confirm, err := c.take(update)
		if err != nil {
			return err
		}
		if err := c.send(stream, confirm); err != nil {
			return err
		}
		if update.GetStale() {
			return ErrStale{Control: address}
		}
		retry.Reset()
		c.onOrders(update.GetOrders())
		c.onPermits(int(update.GetAdapterPermits()), time.Duration(update.GetAdapterPermitsMs())*time.Millisecond)
	}
}

// open greets a member; one that doesn't take the connection in time is given up while the lease still holds.
func (c *Client) open(ctx context.Context, cancel context.CancelFunc, address string) (*wire.Stream, error) {
	timer := time.AfterFunc(c.part(renewsPerLease), cancel)
	defer timer.Stop()
	stream, err := c.pool.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(&wirepb.Frame{Body: &wirepb.Frame_Watch{Watch: c.hello()}}, confirmTimeout); err != nil {
		stream.Close()
		return nil, err
	}
	return stream, nil
}

// renew asks for a new lease several times within the current one, and at once when the node is behind.
func (c *Client) renew(ctx context.Context, cancel context.CancelFunc, stream *wire.Stream) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer cancel()
		for {
			behind := false
			select {
			case <-ctx.Done():
				return
			case <-time.After(c.part(renewsPerLease)):
			case <-c.behind:
				behind = true
			}
			confirm := c.confirm()
			confirm.Renew = true
			if c.send(stream, confirm) != nil {
				return
			}
			if behind {
				time.Sleep(behindPause)
			}
		}
	}()
	return ended
}

func (c *Client) send(stream *wire.Stream, confirm *wirepb.Confirm) error {
	return stream.Send(&wirepb.Frame{Body: &wirepb.Frame_Confirm{Confirm: confirm}}, confirmTimeout)
}

// part returns a part of the lease's length.
func (c *Client) part(parts time.Duration) time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.lease / parts
}

// stamp returns this process's own clock in milliseconds; 0 means none.
func (c *Client) stamp() uint64 { return uint64(time.Since(c.start).Milliseconds()) + 1 }

func (c *Client) hello() *wirepb.Watch {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return &wirepb.Watch{
		Node: c.node.GetNode(), Role: c.node.GetRole(), DataCentre: c.node.GetDataCentre(),
		Endpoint: c.node.GetEndpoint(), Incarnation: c.node.GetIncarnation(), Process: c.node.GetProcess(),
		CatalogVersion: c.catalog.Version, FleetVersion: c.fleet, Stamp: c.stamp(), Leased: !c.until.IsZero(),
	}
}

func (c *Client) confirm() *wirepb.Confirm {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return &wirepb.Confirm{CatalogVersion: c.catalog.Version, FleetVersion: c.fleet, Stamp: c.stamp(), SeenVersion: c.seen}
}

// Behind takes the catalog version that another node has in force and catches up at once if it is newer.
func (c *Client) Behind(version uint64) {
	if version <= c.Version() {
		return
	}
	c.mu.Lock()
	c.seen = max(c.seen, version)
	c.mu.Unlock()
	select {
	case c.behind <- struct{}{}:
	default:
	}
}

// Await returns once this node has the version in force, or false when the context ends.
func (c *Client) Await(ctx context.Context, version uint64) bool {
	for {
		changed := c.Changed()
		if c.Version() >= version {
			return true
		}
		c.Behind(version)
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		case <-time.After(behindPause):
		}
	}
}

// ErrStale tells that a control member has no fresh proof of the quorum.
type ErrStale struct{ Control string }

// Error implements error.
func (e ErrStale) Error() string {
	return "control member " + e.Control + " has no fresh proof of the quorum"
}
