package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// Retransmission of data that is not acknowledged, as TCP does it: the first after minRTO, each further one after twice the time.
const minRTO = 200 * time.Millisecond

// linkDelay is the one-way delay between two machines, that between zones on the site's sheet.
const linkDelay = 1400 * time.Microsecond

// network relays the connections between machines and to endpoints, and cuts machines off.
type network struct {
	mu  sync.Mutex
	cut map[string]bool
	// cutGiver receives the name of the next machine that gives an order, which is cut off while the order is on its way; nil if not armed.
	cutGiver chan string
}

// cutNextGiver cuts the next machine that gives an order off from all others, and returns its name.
func (n *network) cutNextGiver() <-chan string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutGiver = make(chan string, 1)
	return n.cutGiver
}

// observe sees what a machine sends.
func (n *network) observe(from string, data []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cutGiver != nil && bytes.HasPrefix(data, []byte("POST /api/order")) {
		n.cut[from] = true
		n.cutGiver <- from
		n.cutGiver = nil
	}
}

func newNetwork() *network { return &network{cut: map[string]bool{}} }

// setCut cuts a machine off from all others, or ends that.
func (n *network) setCut(name string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[name] = cut
}

func (n *network) isCut(names ...string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range names {
		if n.cut[name] {
			return true
		}
	}
	return false
}

func (n *network) proxy(ctx context.Context, listen, to, target string, nameOf func(net.Addr) string) {
	listener, err := net.Listen("tcp", listen)
	must(err)
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go n.relay(ctx, client.(*net.TCPConn), nameOf(client.RemoteAddr()), to, target)
		}
	}()
}

func (n *network) relay(ctx context.Context, client *net.TCPConn, from, to, target string) {
	defer client.Close()
	if !n.pass(ctx, from, to) { // a SYN is retransmitted like data
		return
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: client.RemoteAddr().(*net.TCPAddr).IP}}
	conn, err := dialer.DialContext(ctx, "tcp", target)
	if err != nil {
		_ = client.SetLinger(0)
		return
	}
	server := conn.(*net.TCPConn)
	defer server.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.copy(ctx, server, client, to, from)
	}()
	n.copy(ctx, client, server, from, to)
	<-done
}

// pass returns once data may pass between two machines; during a cut that is at the first retransmission after its end.
func (n *network) pass(ctx context.Context, from, to string) bool {
	time.Sleep(linkDelay)
	for rto := minRTO; n.isCut(from, to); rto *= 2 {
		select {
		case <-time.After(rto):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// copy copies one direction of a connection. What a cut holds up is delivered after it, unless the sender has reset the connection.
func (n *network) copy(ctx context.Context, in, out *net.TCPConn, from, to string) {
	stop := context.AfterFunc(ctx, func() { _ = in.Close(); _ = out.Close() })
	defer stop()
	buffer := make([]byte, 64<<10)
	for {
		count, err := in.Read(buffer)
		if err != nil && err != io.EOF {
			_ = out.SetLinger(0)
			_ = out.Close()
			return
		}
		n.observe(from, buffer[:count])
		if !n.pass(ctx, from, to) {
			return
		}
		if count > 0 {
			if _, err := out.Write(buffer[:count]); err != nil {
				_ = in.SetLinger(0)
				_ = in.Close()
				return
			}
		}
		if err == io.EOF {
			_ = out.CloseWrite()
			return
		}
	}
}
