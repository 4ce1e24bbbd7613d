package e2e

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	latency = time.Millisecond
	// bufferBytes is what one direction holds before a writer waits.
	bufferBytes = 256 << 10
	dialWait    = 2 * time.Second
)

var (
	errRefused = errors.New("connection refused")
	errReset   = errors.New("connection reset")
)

// network carries connections between hosts in memory and breaks them on request.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	// silent holds the directions FROM>TO that lose what is sent on them.
	silent map[string]bool
	down   map[string]bool
	ports  int
	// sent counts the bytes that each host has written.
	sent map[string]int64
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, conns: map[*conn]struct{}{}, silent: map[string]bool{}, down: map[string]bool{}, sent: map[string]int64{}}
}

func hostOf(address string) string { return address[:strings.LastIndex(address, ":")] }

// listen takes an address for a host that is up.
func (n *network) listen(_ context.Context, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errRefused
	}
	l := &listener{network: n, address: addr(address), accepted: make(chan net.Conn, 1024), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// dialFrom returns how a host dials others.
func (n *network) dialFrom(host string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) { return n.dial(ctx, host, address) }
}

func (n *network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	to := hostOf(address)
	n.mu.Lock()
	lost := n.silent[from+">"+to] || n.silent[to+">"+from]
	n.mu.Unlock()
	wait := latency
	if lost {
		wait = dialWait
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(wait):
	}
	if lost {
		return nil, context.DeadlineExceeded
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[address]
	if l == nil || n.down[to] || n.down[from] {
		return nil, errRefused
	}
	n.ports++
	there, back := newHalf(), newHalf()
	near := &conn{network: n, from: from, to: to, local: addr(from + ":0"), remote: l.address, in: back, out: there}
	far := &conn{network: n, from: to, to: from, local: l.address, remote: addr(from + ":0"), in: there, out: back}
	near.peer, far.peer = far, near
	select {
	case l.accepted <- far:
	default:
		return nil, errRefused
	}
	n.conns[near], n.conns[far] = struct{}{}, struct{}{}
	return near, nil
}

// crash cuts a host off at once; its connections are reset.
func (n *network) crash(host string) {
	n.mu.Lock()
	n.down[host] = true
	for address := range n.listeners {
		if hostOf(address) == host {
			n.listeners[address].closeLocked()
		}
	}
	n.mu.Unlock()
	n.each(host, "", func(c *conn) { c.reset() })
}

// boot lets a host be reached again.
func (n *network) boot(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.down, host)
}

// stall makes what is open between two hosts silent for good; new connections work.
func (n *network) stall(a, b string) {
	n.each(a, b, func(c *conn) { c.stall() })
}

// lose loses all that one host sends to another, for as long as it is on.
func (n *network) lose(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[from+">"+to] = on
}

// each visits the connections that a host has, with one other host if that is named.
func (n *network) each(a, b string, visit func(*conn)) {
	n.mu.Lock()
	var found []*conn
	for c := range n.conns {
		if c.from == a && (b == "" || c.to == b) || c.to == a && (b == "" || c.from == b) {
			found = append(found, c)
		}
	}
	n.mu.Unlock()
	for _, c := range found {
		visit(c)
	}
}

// count adds bytes to what a host has sent, and returns the sum.
func (n *network) count(host string, bytes int) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[host] += int64(bytes)
	return n.sent[host]
}

func (n *network) isSilent(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent[from+">"+to]
}

type addr string

func (addr) Network() string  { return "memory" }
func (a addr) String() string { return string(a) }

type listener struct {
	network  *network
	address  addr
	accepted chan net.Conn
	closed   chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	l.closeLocked()
	return nil
}

func (l *listener) closeLocked() {
	if l.network.listeners[string(l.address)] == l {
		delete(l.network.listeners, string(l.address))
		close(l.closed)
	}
}

func (l *listener) Addr() net.Addr { return l.address }
