package view

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-logr/logr"

	"burdocksaddle/catalog"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	updateTimeout  = 10 * time.Second
	confirmTimeout = 2 * time.Second
	retryFirst     = 50 * time.Millisecond
	retryMost      = time.Second
)

// Client is the duty that keeps the picture current.
type Client struct {
	pool      *wire.Pool
	controls  []string
	node      *wirepb.Watch
	log       logr.Logger
	onOrders  func([]*wirepb.ReplicaOrder)
	onPermits func(permits int, length time.Duration)
	mu        sync.RWMutex
	catalog   catalog.Catalog
	fleet     uint64
	endpoints map[string]*wirepb.EndpointView
	until     time.Time
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
		pool: pool, controls: controls, node: node, log: logr.Discard(),
		endpoints: map[string]*wirepb.EndpointView{}, changed: make(chan struct{}),
		onOrders: func([]*wirepb.ReplicaOrder) {}, onPermits: func(int, time.Duration) {},
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
		for next := 0; ctx.Err() == nil; next++ {
			address := c.controls[next%len(c.controls)]
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
	stream, err := c.pool.Open(ctx, address)
	if err != nil {
		return err
	}
	defer stream.Close()
	if err := stream.Send(&wirepb.Frame{Body: &wirepb.Frame_Watch{Watch: c.hello()}}, confirmTimeout); err != nil {
		return err
	}
	for {
		frame, err := stream.Receive(updateTimeout)
		if err != nil {
			c.pool.Drop(address)
			return err
		}
		update := frame.GetWatchUpdate()
		if update == nil {
			return wire.ErrUnexpectedFrame{Peer: address, Want: "WatchUpdate"}
		}
		retry.Reset()
		confirm, err := c.take(update)
		if err != nil {
			return err
		}
		if err := stream.Send(&wirepb.Frame{Body: &wirepb.Frame_Confirm{Confirm: confirm}}, confirmTimeout); err != nil {
			return err
		}
		c.onOrders(update.GetOrders())
		c.onPermits(int(update.GetAdapterPermits()), time.Duration(update.GetAdapterPermitsMs())*time.Millisecond)
	}
}

func (c *Client) hello() *wirepb.Watch {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return &wirepb.Watch{
		Node: c.node.GetNode(), Role: c.node.GetRole(), DataCentre: c.node.GetDataCentre(),
		Endpoint: c.node.GetEndpoint(), Incarnation: c.node.GetIncarnation(),
		CatalogVersion: c.catalog.Version, FleetVersion: c.fleet,
	}
}

// take brings the picture forward; an older catalog or fleet never replaces a newer one.
func (c *Client) take(u *wirepb.WatchUpdate) (*wirepb.Confirm, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(u.GetCatalog()) > 0 {
		var next catalog.Catalog
		if err := json.Unmarshal(u.GetCatalog(), &next); err != nil {
			return nil, err
		}
		if next.Version > c.catalog.Version {
			c.catalog = next
			c.log.Info("configuration in force", "version", next.Version, "preset", next.Preset)
		}
	}
	if u.GetFleetFull() {
		clear(c.endpoints)
	}
	for _, endpoint := range u.GetEndpoints() {
		c.endpoints[endpoint.GetName()] = endpoint
	}
	for _, name := range u.GetGoneEndpoints() {
		delete(c.endpoints, name)
	}
	c.fleet = u.GetFleetVersion()
	if u.GetLeaseMs() > 0 {
		c.until = time.Now().Add(time.Duration(u.GetLeaseMs()) * time.Millisecond)
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return &wirepb.Confirm{CatalogVersion: c.catalog.Version, FleetVersion: c.fleet}, nil
}

// Catalog returns the catalog in force here.
func (c *Client) Catalog() catalog.Catalog {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.catalog
}

// Endpoints returns the known endpoints of a service.
func (c *Client) Endpoints(service string) []*wirepb.EndpointView {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var all []*wirepb.EndpointView
	for _, endpoint := range c.endpoints {
		if service == "" || endpoint.GetService() == service {
			all = append(all, endpoint)
		}
	}
	return all
}

// Leased tells whether the node heard from the quorum within the lease.
func (c *Client) Leased() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return time.Now().Before(c.until)
}

// Changed returns a channel that closes at the next update.
func (c *Client) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

// Version returns the version of the catalog in force here.
func (c *Client) Version() uint64 { return c.Catalog().Version }
