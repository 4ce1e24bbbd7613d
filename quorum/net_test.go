package quorum_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"burdocksaddle/wire"
)

// network cuts members off without a word and counts what they send and receive.
type network struct {
	mu    sync.Mutex
	hosts map[string]*host
	// listeners are those of the members that run.
	listeners map[string]*listener
}

// loopback joins members that no test cuts off; addresses never repeat.
var loopback = newNetwork()

// host is one member's end of the network.
type host struct {
	cut   atomic.Bool
	bytes atomic.Int64
	// forgotten counts how often the open connections were lost while new ones work.
	forgotten atomic.Int64
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
		c.opened = c.from.forgotten.Load() + c.to.forgotten.Load()
		if c.cut() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		var err error
		c.Conn, err = n.connect(ctx, address)
		return c, err
	}))
}

// connect reaches a listener in memory.
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

// listen takes an address, again too after its member has stopped.
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

// conn loses what crosses a cut for good, as if something in between had forgotten it. It reads on without a pause, since
// the sessions' library writes under a lock, and a wait for a lock stops the clock of the bubble.
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
	}
}
