package entry_test

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// faultyNetwork dials the entries' connections and injects faults into them.
type faultyNetwork struct {
	mu      sync.Mutex
	open    map[*faultyConn]struct{}
	refused map[string]bool
	dialled map[string]int
}

func newFaultyNetwork() *faultyNetwork {
	return &faultyNetwork{open: map[*faultyConn]struct{}{}, refused: map[string]bool{}, dialled: map[string]int{}}
}

func (n *faultyNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	refused := n.refused[address]
	n.dialled[address]++
	n.mu.Unlock()
	if refused {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	faulty := &faultyConn{Conn: conn, network: n, address: address, closed: make(chan struct{})}
	n.mu.Lock()
	n.open[faulty] = struct{}{}
	n.mu.Unlock()
	return faulty, nil
}

// setRefused sets whether new connections to an address are refused.
func (n *faultyNetwork) setRefused(address string, refused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused[address] = refused
}

// forEachConn applies a fault to the open connections to an address; later connections are not affected.
func (n *faultyNetwork) forEachConn(address string, fault func(*faultyConn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.open {
		if conn.address == address {
			fault(conn)
		}
	}
}

// openConns returns the number of open connections to an address.
func (n *faultyNetwork) openConns(address string) int {
	open := 0
	n.forEachConn(address, func(*faultyConn) { open++ })
	return open
}

func (n *faultyNetwork) reset(address string) {
	n.forEachConn(address, func(conn *faultyConn) { _ = conn.Conn.Close() })
}
func (n *faultyNetwork) dropInbound(address string) {
	n.forEachConn(address, func(conn *faultyConn) { conn.drop(true, false) })
}
func (n *faultyNetwork) dropOutbound(address string) {
	n.forEachConn(address, func(conn *faultyConn) { conn.drop(false, true) })
}
func (n *faultyNetwork) dropTraffic(address string) {
	n.forEachConn(address, func(conn *faultyConn) { conn.drop(true, true) })
}

// faultyConn is a connection that can drop all bytes of a direction without an error.
type faultyConn struct {
	net.Conn
	network *faultyNetwork
	address string

	mu      sync.Mutex
	in, out bool
	once    sync.Once
	closed  chan struct{}
}

func (c *faultyConn) drop(in, out bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.in, c.out = c.in || in, c.out || out
}

func (c *faultyConn) dropping() (in, out bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.in, c.out
}

func (c *faultyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if in, _ := c.dropping(); in {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *faultyConn) Write(p []byte) (int, error) {
	if _, out := c.dropping(); out {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *faultyConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.open, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}
