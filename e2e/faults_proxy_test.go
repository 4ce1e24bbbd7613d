package e2e

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// link is what the proxies do to the bytes from one VM to another.
type link struct{ from, to string }

// network carries every connection between processes and to endpoints through loopback proxies, and does to them what a network
// may: delays, cuts in one or both directions, silence for good, resets.
type network struct {
	mu    sync.Mutex
	delay map[link]time.Duration
	cut   map[link]bool
	conns map[*relayed]bool
	// ended reports each relay's end.
	relays sync.WaitGroup
}

// relayed is one connection; silent tells that nothing gets through it any more.
type relayed struct {
	from, to     string
	client, dest net.Conn
	silent       bool
}

func newNetwork() *network {
	return &network{delay: map[link]time.Duration{}, cut: map[link]bool{}, conns: map[*relayed]bool{}}
}

// proxy relays what comes to a listener on to an address, until the context ends; name returns a VM's name for an address.
func (n *network) proxy(ctx context.Context, listener net.Listener, to, target string, name func(net.Addr) string) {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	n.relays.Go(func() {
		defer stop()
		for {
			client, err := listener.Accept()
			if err != nil {
				return // closed with the context
			}
			n.relays.Go(func() { n.relay(ctx, &relayed{from: name(client.RemoteAddr()), to: to, client: client}, target) })
		}
	})
}

func (n *network) relay(ctx context.Context, r *relayed, target string) {
	defer func() { _ = r.client.Close() }()
	for n.isCut(r.from, r.to) {
		// Nothing answers an opening packet.
		if !pause(ctx, 20*time.Millisecond) {
			return
		}
	}
	var dialer net.Dialer
	dest, err := dialer.DialContext(ctx, "tcp", target)
	if err != nil {
		reset(r.client)
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
	back := make(chan struct{})
	go func() {
		defer close(back)
		n.copy(ctx, r, dest, r.client, r.to, r.from)
	}()
	n.copy(ctx, r, r.client, dest, r.from, r.to)
	<-back
}

// copy moves bytes one way; what a cut holds up goes on when it heals, as with TCP.
func (n *network) copy(ctx context.Context, r *relayed, in, out net.Conn, from, to string) {
	stop := context.AfterFunc(ctx, func() { _ = in.Close() })
	defer stop()
	buffer := make([]byte, 32<<10)
	for {
		count, err := in.Read(buffer)
		if !n.pass(ctx, r, from, to) {
			return
		}
		if count > 0 {
			if _, failed := out.Write(buffer[:count]); failed != nil {
				_ = in.Close()
				return
			}
		}
		if err != nil {
			if err == io.EOF { //nolint:errorlint // a read returns it as it is
				_ = out.(*net.TCPConn).CloseWrite()
			} else {
				reset(out)
			}
			return
		}
	}
}

// pass waits until bytes may go on; false when they never will.
func (n *network) pass(ctx context.Context, r *relayed, from, to string) bool {
	n.mu.Lock()
	delay := n.delay[link{from, to}]
	n.mu.Unlock()
	if delay > 0 && !pause(ctx, delay) {
		return false
	}
	for {
		n.mu.Lock()
		held := n.cut[link{from, to}] || r.silent
		n.mu.Unlock()
		if !held {
			return true
		}
		if !pause(ctx, 10*time.Millisecond) {
			return false
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0) // without it the close is an orderly one
	_ = c.Close()
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[link{from, to}]
}

func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, to}] = cut
}

func (n *network) setDelay(from, to string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay[link{from, to}] = delay
}

// each calls a function for every open connection of a VM.
func (n *network) each(vm string, act func(*relayed)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for r := range n.conns {
		if r.from == vm || r.to == vm {
			act(r)
		}
	}
}

// silence lets nothing through the open connections of a VM ever again; new ones work.
func (n *network) silence(vm string) { n.each(vm, func(r *relayed) { r.silent = true }) }

// resetAll resets the open connections of a VM.
func (n *network) resetAll(vm string) {
	n.each(vm, func(r *relayed) {
		reset(r.client)
		reset(r.dest)
	})
}
