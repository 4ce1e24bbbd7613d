package control

import (
	"context"
	"net"
	"sync"
)

// network is links in memory that can go silent without closing.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[string]bool
	bytes     map[string]int
	writes    map[string]int
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, cut: map[string]bool{}, bytes: map[string]int{}, writes: map[string]int{}}
}

// isolate makes every link of a node silent, or heals them.
func (n *network) isolate(name string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[name] = silent
}

func (n *network) silent(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[a] || n.cut[b]
}

// traffic returns what a node's links carried both ways.
func (n *network) traffic(name string) (bytes, writes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[name], n.writes[name]
}

func (n *network) count(name string, bytes int) {
	n.bytes[name] += bytes
	n.writes[name]++
}

func (n *network) listen(address string) net.Listener {
	l := &listener{address: address, conns: make(chan net.Conn, 64), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// dialFrom dials as a node; a silent link answers nothing at all.
func (n *network) dialFrom(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		if l == nil || n.silent(from, to) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		near, far := net.Pipe()
		select {
		case l.conns <- &link{Conn: far, network: n, from: to, to: from}:
			return &link{Conn: near, network: n, from: from, to: to}, nil
		case <-ctx.Done():
		case <-l.closed:
		}
		_ = near.Close()
		_ = far.Close()
		return nil, net.ErrClosed
	}
}

// link swallows what is written while it is silent.
type link struct {
	net.Conn
	network  *network
	from, to string
}

func (l *link) Write(data []byte) (int, error) {
	if l.network.silent(l.from, l.to) {
		return len(data), nil
	}
	l.network.mu.Lock()
	l.network.count(l.from, len(data))
	l.network.count(l.to, len(data))
	l.network.mu.Unlock()
	return l.Conn.Write(data)
}

type listener struct {
	address string
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }
