package quorum_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"burdocksaddle/wire"
)

// network connects members in memory. It can isolate them silently and counts the bytes they send and receive.
type network struct {
	mu    sync.Mutex
	hosts map[string]*host
	// listeners holds the listeners of the running members by address.
	listeners map[string]*listener
}

// sharedNetwork connects members that no test isolates; addresses never repeat.
var sharedNetwork = newNetwork()

// host is the side of the network that belongs to one member.
type host struct {
	partitioned atomic.Bool
	bytes       atomic.Int64
	// connectionLosses counts how often the open connections were lost while new ones work.
	connectionLosses atomic.Int64
}

func newNetwork() *network {
	return &network{hosts: map[string]*host{}, listeners: map[string]*listener{}}
}

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
		c.lossesAtOpen = c.from.connectionLosses.Load() + c.to.connectionLosses.Load()
		if c.isLost() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		var err error
		c.Conn, err = n.connect(ctx, address)
		return c, err
	}))
}

// connect connects to an in-memory listener.
func (n *network) connect(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, net.ErrClosed
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// listen registers a listener for an address, replacing that of a member that has stopped.
func (n *network) listen(address string) net.Listener {
	l := &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

type listener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// conn permanently loses the data that crosses a partition, as if a middlebox had dropped the connection's state. It
// keeps reading without a pause because the sessions' library writes while holding a lock, and waiting for a lock stops
// the clock of the bubble.
type conn struct {
	net.Conn
	from, to     *host
	lossesAtOpen int64
	lost         atomic.Bool
}

func (c *conn) isLost() bool {
	if c.from.partitioned.Load() || c.to.partitioned.Load() || c.lossesAtOpen != c.from.connectionLosses.Load()+c.to.connectionLosses.Load() {
		c.lost.Store(true)
	}
	return c.lost.Load()
}

func (c *conn) count(n int) {
	c.from.bytes.Add(int64(n))
	c.to.bytes.Add(int64(n))
}

func (c *conn) Write(p []byte) (int, error) {
	if c.isLost() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	c.count(n)
	return n, err
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isLost() {
			c.count(n)
			return n, err
		}
	}
}
