package e2e

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// link identifies one direction of the traffic between two VMs.
type link struct{ from, to string }

// proxyNetwork relays all connections between processes and to endpoints through loopback proxies and injects network faults:
// delays, one-way and two-way partitions, stalled connections and resets. It also limits the rate at which VMs receive.
type proxyNetwork struct {
	mu      sync.Mutex
	inbound map[string]*inboundLink
	delay   map[link]time.Duration
	blocked map[link]bool
	conns   map[*relayedConn]bool
	// wg waits for the accept loops and relays.
	wg sync.WaitGroup
}

// relayedConn is one proxied connection; if it is stalled, no more data passes through it.
type relayedConn struct {
	from, to     string
	client, dest net.Conn
	stalled      bool
}

// inboundLink is the link over which a VM receives, shared by all its connections. busyUntil is when everything so far has passed.
type inboundLink struct {
	bytesPerSecond float64
	busyUntil      time.Time
}

func newProxyNetwork() *proxyNetwork {
	return &proxyNetwork{inbound: map[string]*inboundLink{}, delay: map[link]time.Duration{}, blocked: map[link]bool{}, conns: map[*relayedConn]bool{}}
}

// proxy relays connections from a listener to the target address until the context ends; name maps an address to a VM name.
func (n *proxyNetwork) proxy(ctx context.Context, listener net.Listener, to, target string, name func(net.Addr) string) {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	n.wg.Go(func() {
		defer stop()
		for {
			client, err := listener.Accept()
			if err != nil {
				return // the listener is closed when the context ends
			}
			n.wg.Go(func() { n.relay(ctx, &relayedConn{from: name(client.RemoteAddr()), to: to, client: client}, target) })
		}
	})
}

func (n *proxyNetwork) relay(ctx context.Context, r *relayedConn, target string) {
	defer func() { _ = r.client.Close() }()
	for n.isBlocked(r.from, r.to) {
		// A SYN gets no answer through a partition.
		if !sleepContext(ctx, 20*time.Millisecond) {
			return
		}
	}
	// Endpoints and processes see the address of the caller, not the proxy's.
	dialer := net.Dialer{}
	if caller, ok := r.client.RemoteAddr().(*net.TCPAddr); ok {
		dialer.LocalAddr = &net.TCPAddr{IP: caller.IP}
	}
	dest, err := dialer.DialContext(ctx, "tcp", target)
	if err != nil {
		resetConn(r.client)
		return
	}
	defer func() { _ = dest.Close() }()
	n.mu.Lock()
	r.dest = dest
	n.conns[r] = true
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.conns, r)
	}()
	reverseDone := make(chan struct{})
	go func() {
		defer close(reverseDone)
		n.copy(ctx, r, dest, r.client, r.to, r.from)
	}()
	n.copy(ctx, r, r.client, dest, r.from, r.to)
	<-reverseDone
}

// copy copies data in one direction; data held back by a partition is delivered once the partition ends, as with TCP.
func (n *proxyNetwork) copy(ctx context.Context, r *relayedConn, in, out net.Conn, from, to string) {
	stop := context.AfterFunc(ctx, func() { _ = in.Close() })
	defer stop()
	buffer := make([]byte, 32<<10)
	for {
		count, err := in.Read(buffer)
		if !n.awaitPassage(ctx, r, from, to) || !sleepContext(ctx, n.transmissionTime(to, count)) {
			return
		}
		if count > 0 {
			if _, writeErr := out.Write(buffer[:count]); writeErr != nil {
				_ = in.Close()
				return
			}
		}
		if err != nil {
			if err == io.EOF { //nolint:errorlint // Read returns io.EOF unwrapped
				_ = out.(*net.TCPConn).CloseWrite()
			} else {
				resetConn(out)
			}
			return
		}
	}
}

// awaitPassage waits until data may pass and reports whether it may; it returns false if the context ends first.
func (n *proxyNetwork) awaitPassage(ctx context.Context, r *relayedConn, from, to string) bool {
	n.mu.Lock()
	delay := n.delay[link{from, to}]
	n.mu.Unlock()
	if delay > 0 && !sleepContext(ctx, delay) {
		return false
	}
	for {
		n.mu.Lock()
		blocked := n.blocked[link{from, to}] || r.stalled
		n.mu.Unlock()
		if !blocked {
			return true
		}
		if !sleepContext(ctx, 10*time.Millisecond) {
			return false
		}
	}
}

// transmissionTime returns how long data to a VM takes, after what was sent to it before.
func (n *proxyNetwork) transmissionTime(to string, bytes int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.inbound[to]
	if l == nil {
		return 0
	}
	if now := time.Now(); l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return time.Until(l.busyUntil)
}

// setInboundRate limits what a VM receives over all its connections, in bytes per second.
func (n *proxyNetwork) setInboundRate(vm string, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inbound[vm] = &inboundLink{bytesPerSecond: bytesPerSecond}
}

func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0) // makes Close send RST instead of FIN
	_ = c.Close()
}

func (n *proxyNetwork) isBlocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[link{from, to}]
}

func (n *proxyNetwork) setBlocked(from, to string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[link{from, to}] = blocked
}

func (n *proxyNetwork) setDelay(from, to string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay[link{from, to}] = delay
}

// forEachConn calls act for each open connection of a VM.
func (n *proxyNetwork) forEachConn(vm string, act func(*relayedConn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for r := range n.conns {
		if r.from == vm || r.to == vm {
			act(r)
		}
	}
}

// stallConns permanently stalls the open connections of a VM; new connections work.
func (n *proxyNetwork) stallConns(vm string) {
	n.forEachConn(vm, func(r *relayedConn) { r.stalled = true })
}

// resetConns resets the open connections of a VM.
func (n *proxyNetwork) resetConns(vm string) {
	n.forEachConn(vm, func(r *relayedConn) {
		resetConn(r.client)
		resetConn(r.dest)
	})
}
