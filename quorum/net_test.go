package quorum_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"burdocksaddle/wire"
)

// network cuts members off without a word and counts what they send and receive.
type network struct {
	mu    sync.Mutex
	hosts map[string]*host
}

// host is one member's end of the network.
type host struct {
	cut   atomic.Bool
	bytes atomic.Int64
	// forgotten counts how often the open connections were lost while new ones work.
	forgotten atomic.Int64
}

func newNetwork() *network { return &network{hosts: map[string]*host{}} }

func (n *network) host(address string) *host {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts[address] == nil {
		n.hosts[address] = &host{}
	}
	return n.hosts[address]
}

func (n *network) pool(own string) *wire.Pool {
	return wire.NewPool(wire.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
		c := &conn{from: n.host(own), to: n.host(address)}
		c.opened = c.from.forgotten.Load() + c.to.forgotten.Load()
		if c.cut() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		var err error
		c.Conn, err = (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return c, err
	}))
}

// conn loses what crosses a cut for good, as if something in between had forgotten it.
type conn struct {
	net.Conn
	from, to *host
	opened   int64
	lost     atomic.Bool
}

func (c *conn) cut() bool {
	if c.from.cut.Load() || c.to.cut.Load() || c.opened != c.from.forgotten.Load()+c.to.forgotten.Load() {
		c.lost.Store(true)
	}
	return c.lost.Load()
}

func (c *conn) count(n int) {
	c.from.bytes.Add(int64(n))
	c.to.bytes.Add(int64(n))
}

func (c *conn) Write(p []byte) (int, error) {
	if c.cut() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	c.count(n)
	return n, err
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.cut() {
			c.count(n)
			return n, err
		}
		time.Sleep(time.Millisecond)
	}
}
