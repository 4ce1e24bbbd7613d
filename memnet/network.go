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
	// bufferBytes is the amount of data that one direction buffers before writes block.
	bufferBytes = 256 << 10
	dialTimeout = 2 * time.Second
)

// ErrRefused is returned by a dial if nothing accepts connections at the address or one of the hosts is down, and by Listen if
// the address is in use.
type ErrRefused struct{ Address string }

// Error implements error.
func (e ErrRefused) Error() string { return e.Address + ": connection refused" }

// ErrReset is returned if a connection was reset.
type ErrReset struct{}

// Error implements error.
func (ErrReset) Error() string { return "connection reset" }

// Network simulates a network of hosts in memory, with faults that tests set.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	// dropped holds the directions FROM>TO in which all traffic is lost.
	dropped  map[string]bool
	down     map[string]bool
	isolated map[string]bool
	traffic  map[string]Traffic
	inbound  map[string]*inboundLink
}

// New returns a Network without faults.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, conns: map[*conn]struct{}{}, dropped: map[string]bool{}, down: map[string]bool{}, isolated: map[string]bool{}, traffic: map[string]Traffic{}, inbound: map[string]*inboundLink{}}
}

func hostOf(address string) string {
	if port := strings.LastIndex(address, ":"); port >= 0 {
		return address[:port]
	}
	return address
}

// Listen listens at an address. Connections to it are refused while its host is down.
func (n *Network) Listen(_ context.Context, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, ErrRefused{Address: address}
	}
	l := &listener{network: n, address: addr(address), backlog: make(chan net.Conn, 1024), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// DialFrom returns the dial function of a host.
func (n *Network) DialFrom(host string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) { return n.dial(ctx, host, address) }
}

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	to := hostOf(address)
	n.mu.Lock()
	unreachable := n.isDropped(from, to) || n.isDropped(to, from)
	n.mu.Unlock()
	wait := latency
	if unreachable {
		wait = dialTimeout
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(wait):
	}
	if unreachable {
		return nil, context.DeadlineExceeded
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[address]
	if l == nil || n.down[to] || n.down[from] {
		return nil, ErrRefused{Address: address}
	}
	outbound, inbound := newPipe(), newPipe()
	client := &conn{network: n, from: from, to: to, local: addr(from + ":0"), remote: l.address, in: inbound, out: outbound}
	server := &conn{network: n, from: to, to: from, local: l.address, remote: addr(from + ":0"), in: outbound, out: inbound}
	select {
	case l.backlog <- server:
	default:
		return nil, ErrRefused{Address: address}
	}
	n.conns[client], n.conns[server] = struct{}{}, struct{}{}
	return client, nil
}

// Crash takes a host down: its listeners are closed and its connections reset.
func (n *Network) Crash(host string) {
	n.mu.Lock()
	n.down[host] = true
	for address := range n.listeners {
		if hostOf(address) == host {
			n.listeners[address].closeLocked()
		}
	}
	n.mu.Unlock()
	n.forEachConn(host, "", func(c *conn) { c.reset() })
}

// Restore makes a host reachable again after Crash.
func (n *Network) Restore(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.down, host)
}

// Stall permanently stalls the open connections between two
// hosts, or all of one host if b is empty. New connections work.
func (n *Network) Stall(a, b string) {
	n.forEachConn(a, b, func(c *conn) { c.stall() })
}

// SetDropped sets whether all traffic from one host to another is dropped.
func (n *Network) SetDropped(from, to string, dropped bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped[from+">"+to] = dropped
}

// inboundLink is the link over which a host receives, shared by all its connections.
type inboundLink struct {
	bytesPerSecond float64
	// busyUntil is when everything sent so far has been transmitted.
	busyUntil time.Time
}

// SetInboundRate limits what a host receives over all its connections, in bytes per second.
func (n *Network) SetInboundRate(host string, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inbound[host] = &inboundLink{bytesPerSecond: bytesPerSecond}
}

// arrival returns when data that is sent to a host now can be read there.
func (n *Network) arrival(to string, bytes int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	link := n.inbound[to]
	if link == nil {
		return now.Add(latency)
	}
	if link.busyUntil.Before(now) {
		link.busyUntil = now
	}
	link.busyUntil = link.busyUntil.Add(time.Duration(float64(bytes) / link.bytesPerSecond * float64(time.Second)))
	return link.busyUntil.Add(latency)
}

// forEachConn calls visit for the connections of host a, or only for those between a and b if b is not empty.
func (n *Network) forEachConn(a, b string, visit func(*conn)) {
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

// SetIsolated sets whether all traffic from and to a host is dropped.
func (n *Network) SetIsolated(host string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[host] = isolated
}

// Dropped reports whether traffic from one host to another is dropped.
func (n *Network) Dropped(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isDropped(from, to)
}

func (n *Network) isDropped(from, to string) bool {
	return n.dropped[from+">"+to] || n.isolated[from] || n.isolated[to]
}

// Traffic counts what a host has sent and received on its connections.
type Traffic struct {
	// SentBytes and ReceivedBytes count payload. Writes counts the writes of both directions.
	SentBytes, ReceivedBytes int64
	Writes                   int
}

// Bytes returns the payload of both directions.
func (t Traffic) Bytes() int64 { return t.SentBytes + t.ReceivedBytes }

// Traffic returns what the connections of a host have carried.
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
