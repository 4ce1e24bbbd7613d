package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// conn is one end of a connection.
type conn struct {
	network       *Network
	from, to      string
	local, remote addr
	in, out       *half

	mu       sync.Mutex
	closed   bool
	readEnd  deadline
	writeEnd deadline
}

// deadline closes expired when its moment passes.
type deadline struct {
	timer   *time.Timer
	expired chan struct{}
}

func (d *deadline) set(t time.Time) {
	if d.timer != nil {
		d.timer.Stop()
	}
	expired := make(chan struct{})
	d.expired, d.timer = expired, nil
	if t.IsZero() {
		return
	}
	if wait := time.Until(t); wait <= 0 {
		close(expired)
	} else {
		d.timer = time.AfterFunc(wait, func() { close(expired) })
	}
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		expired, closed := c.readEnd.expired, c.closed
		c.mu.Unlock()
		if closed {
			return 0, net.ErrClosed
		}
		n, wait, changed, err := c.in.take(p)
		if n > 0 || err != nil {
			return n, err
		}
		var ready <-chan time.Time
		if wait > 0 {
			ready = time.After(wait)
		}
		select {
		case <-changed:
		case <-ready:
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	for {
		c.mu.Lock()
		expired, closed := c.writeEnd.expired, c.closed
		c.mu.Unlock()
		if closed {
			return 0, net.ErrClosed
		}
		n, changed, err := c.out.put(p, c.network.Silent(c.from, c.to))
		if n > 0 || err != nil || len(p) == 0 {
			c.network.count(c.from, c.to, n)
			return n, err
		}
		select {
		case <-changed:
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		}
	}
}

func (c *conn) stall() {
	for _, h := range []*half{c.in, c.out} {
		h.mu.Lock()
		h.stalled = true
		h.mu.Unlock()
	}
}

func (c *conn) reset() {
	c.in.end(ErrReset{}, true)
	c.out.end(ErrReset{}, true)
}

// Close ends both directions; the other side reads what was sent and then the end, unless that is lost.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	c.mu.Unlock()
	c.in.end(io.EOF, true)
	c.out.mu.Lock()
	lost := c.out.stalled
	c.out.mu.Unlock()
	if !lost && !c.network.Silent(c.from, c.to) {
		c.out.end(io.EOF, false)
	}
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readEnd.set(t)
	c.writeEnd.set(t)
	c.wake()
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readEnd.set(t)
	c.wake()
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeEnd.set(t)
	c.wake()
	return nil
}

// wake lets a reader and a writer that wait see the new deadline.
func (c *conn) wake() {
	for _, h := range []*half{c.in, c.out} {
		h.mu.Lock()
		h.notify()
		h.mu.Unlock()
	}
}
