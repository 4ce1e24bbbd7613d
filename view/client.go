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
	confirmTimeout    = 2 * time.Second
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = time.Second
	// defaultLease is the assumed lease length until a member has sent one.
	defaultLease            = 4 * time.Second
	renewalsPerLease        = 4
	receiveTimeoutsPerLease = 2
	// catchUpInterval limits how often dispatches with newer versions trigger an update request.
	catchUpInterval = 20 * time.Millisecond
)

// Client keeps a node's view current by watching one of the control members.
type Client struct {
	pool     *wire.Pool
	controls []string
	node     *wirepb.Watch
	log      logr.Logger
	onOrders func([]*wirepb.ReplicaOrder)
	// onPermits receives an agent's share of the adapter transit budget and the time for which it is valid.
	onPermits func(permits int, length time.Duration)
	start     time.Time
	catchUp   chan struct{}

	mu           sync.RWMutex
	catalog      catalog.Catalog
	fleetVersion uint64
	endpoints    map[string]*wirepb.EndpointView
	leaseExpiry  time.Time
	seenVersion  uint64
	leaseLength  time.Duration
	changed      chan struct{}
}

// Option sets one property of a Client.
type Option func(*Client)

// WithLog sets where events are logged.
func WithLog(log logr.Logger) Option { return func(c *Client) { c.log = log } }

// WithOrderHandler sets the handler of an agent's orders.
func WithOrderHandler(handle func([]*wirepb.ReplicaOrder)) Option {
	return func(c *Client) { c.onOrders = handle }
}

// WithPermitHandler sets the handler of an agent's share of the adapter transit budget.
func WithPermitHandler(handle func(permits int, length time.Duration)) Option {
	return func(c *Client) { c.onPermits = handle }
}

// New returns a Client that watches one of the control members as the given node.
func New(pool *wire.Pool, controls []string, node *wirepb.Watch, options ...Option) *Client {
	c := &Client{
		pool: pool, controls: controls, node: node, log: logr.Discard(), start: time.Now(),
		endpoints: map[string]*wirepb.EndpointView{}, changed: make(chan struct{}),
		onOrders: func([]*wirepb.ReplicaOrder) {}, onPermits: func(int, time.Duration) {}, leaseLength: defaultLease, catchUp: make(chan struct{}, 1),
	}
	if c.node.GetProcess() == "" {
		c.node.Process = rand.Text()
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Run watches until the context ends. The returned channel then receives nil.
func (c *Client) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		retry := backoff.NewExponentialBackOff()
		retry.InitialInterval, retry.MaxInterval = initialRetryDelay, maxRetryDelay
		// Nodes start at a member chosen by the hash of their name, to distribute them over the members.
		next := xxhash.Sum64String(c.node.GetNode()) % uint64(len(c.controls))
		for ; ctx.Err() == nil; next++ {
			address := c.controls[next%uint64(len(c.controls))]
			if err := c.watch(ctx, address, retry); err != nil && ctx.Err() == nil {
				c.log.V(1).Info("watch failed; trying the next control member", "control", address, "error", err.Error())
			}
			select {
			case <-ctx.Done():
			case <-time.After(retry.NextBackOff()):
			}
		}
		done <- nil
	}()
	return done
}

func (c *Client) watch(ctx context.Context, address string, retry *backoff.ExponentialBackOff) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.open(ctx, cancel, address)
	if err != nil {
		return err
	}
	renewDone := c.renew(ctx, cancel, stream)
	defer func() {
		cancel()
		stream.Close()
		<-renewDone
	}()
	for {
		frame, err := stream.Receive(c.leaseFraction(receiveTimeoutsPerLease))
		if err != nil {
			c.pool.CloseSession(address)
			return err
		}
		update := frame.GetWatchUpdate()
		if update == nil {
			return wire.ErrUnexpectedFrame{Peer: address, Want: "WatchUpdate"}
		}
		confirm, err := c.applyUpdate(update)
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

// open opens a watch stream to a member. It aborts a connection attempt that takes too long, so that the node can try another
// member while its lease is still valid.
func (c *Client) open(ctx context.Context, cancel context.CancelFunc, address string) (*wire.Stream, error) {
	timer := time.AfterFunc(c.leaseFraction(renewalsPerLease), cancel)
	defer timer.Stop()
	stream, err := c.pool.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(&wirepb.Frame{Body: &wirepb.Frame_Watch{Watch: c.watchRequest()}}, confirmTimeout); err != nil {
		stream.Close()
		return nil, err
	}
	return stream, nil
}

// renew requests a new lease several times per lease length, and immediately if the node's catalog is outdated.
func (c *Client) renew(ctx context.Context, cancel context.CancelFunc, stream *wire.Stream) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer cancel()
		for {
			catchUp := false
			select {
			case <-ctx.Done():
				return
			case <-time.After(c.leaseFraction(renewalsPerLease)):
			case <-c.catchUp:
				catchUp = true
			}
			confirm := c.newConfirm()
			confirm.Renew = true
			if c.send(stream, confirm) != nil {
				return
			}
			if catchUp {
				time.Sleep(catchUpInterval)
			}
		}
	}()
	return done
}

func (c *Client) send(stream *wire.Stream, confirm *wirepb.Confirm) error {
	return stream.Send(&wirepb.Frame{Body: &wirepb.Frame_Confirm{Confirm: confirm}}, confirmTimeout)
}

// leaseFraction returns the lease length divided by divisor.
func (c *Client) leaseFraction(divisor time.Duration) time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.leaseLength / divisor
}

// stamp returns the milliseconds since this client was created, plus 1 because 0 means that a message has no stamp.
func (c *Client) stamp() uint64 { return uint64(time.Since(c.start).Milliseconds()) + 1 }

func (c *Client) watchRequest() *wirepb.Watch {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return &wirepb.Watch{
		Node: c.node.GetNode(), Role: c.node.GetRole(), DataCentre: c.node.GetDataCentre(),
		Endpoint: c.node.GetEndpoint(), Incarnation: c.node.GetIncarnation(), Process: c.node.GetProcess(),
		CatalogVersion: c.catalog.Version, FleetVersion: c.fleetVersion, Stamp: c.stamp(), Leased: !c.leaseExpiry.IsZero(),
	}
}

func (c *Client) newConfirm() *wirepb.Confirm {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return &wirepb.Confirm{CatalogVersion: c.catalog.Version, FleetVersion: c.fleetVersion, Stamp: c.stamp(), SeenVersion: c.seenVersion}
}

// NotifyVersion records the active catalog version of another node and requests an update immediately if it is newer.
func (c *Client) NotifyVersion(version uint64) {
	if version <= c.Version() {
		return
	}
	c.mu.Lock()
	c.seenVersion = max(c.seenVersion, version)
	c.mu.Unlock()
	select {
	case c.catchUp <- struct{}{}:
	default:
	}
}

// WaitForVersion waits until the given catalog version or a newer one is active on this node. It reports whether that
// happened before the context ended.
func (c *Client) WaitForVersion(ctx context.Context, version uint64) bool {
	for {
		changed := c.Changed()
		if c.Version() >= version {
			return true
		}
		c.NotifyVersion(version)
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		case <-time.After(catchUpInterval):
		}
	}
}

// ErrStale is returned for a control member that has not recently confirmed contact with a quorum.
type ErrStale struct{ Control string }

// Error implements error.
func (e ErrStale) Error() string {
	return "control member " + e.Control + " has not recently confirmed contact with a quorum"
}
