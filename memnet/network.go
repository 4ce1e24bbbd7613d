package memnet

import (
	"context"
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

// ErrRefused tells that nothing listens at an address, or that its host is down.
type ErrRefused struct{ Address string }

// Error implements error.
func (e ErrRefused) Error() string { return e.Address + ": connection refused" }

// ErrReset tells that a connection broke.
type ErrReset struct{}

// Error implements error.
func (ErrReset) Error() string { return "connection reset" }

// Network carries connections between hosts in memory and breaks them on request.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	// silent holds the directions FROM>TO that lose what is sent on them.
	silent   map[string]bool
	down     map[string]bool
	isolated map[string]bool
	traffic  map[string]Traffic
}

// New makes a Network on which every connection works.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, conns: map[*conn]struct{}{}, silent: map[string]bool{}, down: map[string]bool{}, isolated: map[string]bool{}, traffic: map[string]Traffic{}}
}

func hostOf(address string) string {
	if port := strings.LastIndex(address, ":"); port >= 0 {
		return address[:port]
	}
	return address
}

// Listen takes an address for a host that is up.
func (n *Network) Listen(_ context.Context, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, ErrRefused{Address: address}
	}
	l := &listener{network: n, address: addr(address), accepted: make(chan net.Conn, 1024), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// DialFrom returns how a host dials others.
func (n *Network) DialFrom(host string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) { return n.dial(ctx, host, address) }
}

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	to := hostOf(address)
	n.mu.Lock()
	lost := n.lost(from, to) || n.lost(to, from)
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
		return nil, ErrRefused{Address: address}
	}
	there, back := newHalf(), newHalf()
	near := &conn{network: n, from: from, to: to, local: addr(from + ":0"), remote: l.address, in: back, out: there}
	far := &conn{network: n, from: to, to: from, local: l.address, remote: addr(from + ":0"), in: there, out: back}
	select {
	case l.accepted <- far:
	default:
		return nil, ErrRefused{Address: address}
	}
	n.conns[near], n.conns[far] = struct{}{}, struct{}{}
	return near, nil
}

// Crash cuts a host off at once; its connections are reset.
func (n *Network) Crash(host string) {
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

// Boot lets a host be reached again.
func (n *Network) Boot(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.down, host)
}

// Stall makes what is open between two hosts silent for good; new connections work.
func (n *Network) Stall(a, b string) {
	n.each(a, b, func(c *conn) { c.stall() })
}

// Lose loses all that one host sends to another, for as long as it is on.
func (n *Network) Lose(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[from+">"+to] = on
}

// each visits the connections that a host has, with one other host if that is named.
func (n *Network) each(a, b string, visit func(*conn)) {
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

// Isolate loses all that a host sends and is sent, for as long as it is on.
func (n *Network) Isolate(host string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[host] = on
}

// Silent tells whether what one host sends another is lost.
func (n *Network) Silent(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lost(from, to)
}

func (n *Network) lost(from, to string) bool {
	return n.silent[from+">"+to] || n.isolated[from] || n.isolated[to]
}

// Traffic is what a host has put on its connections or been sent.
type Traffic struct {
	// SentBytes and ReceivedBytes count payload; Writes counts both ways.
	SentBytes, ReceivedBytes int64
	Writes                   int
}

// Bytes returns the payload both ways.
func (t Traffic) Bytes() int64 { return t.SentBytes + t.ReceivedBytes }

// Traffic returns what a host's connections have carried.
func (n *Network) Traffic(host string) Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.traffic[host]
}

func (n *Network) count(from, to string, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sender, receiver := n.traffic[from], n.traffic[to]
	sender.SentBytes += int64(bytes)
	receiver.ReceivedBytes += int64(bytes)
	sender.Writes++
	receiver.Writes++
	n.traffic[from], n.traffic[to] = sender, receiver
}
