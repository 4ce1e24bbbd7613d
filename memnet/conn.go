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
	in, out       *pipe

	mu            sync.Mutex
	closed        bool
	readDeadline  deadline
	writeDeadline deadline
}

// deadline closes expired when its time has passed.
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
		expired, closed := c.readDeadline.expired, c.closed
		c.mu.Unlock()
		if closed {
			return 0, net.ErrClosed
		}
		n, wait, changed, err := c.in.read(p)
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
		expired, closed := c.writeDeadline.expired, c.closed
		c.mu.Unlock()
		if closed {
			return 0, net.ErrClosed
		}
		n, changed, err := c.out.write(p, c.network.Dropped(c.from, c.to), func(bytes int) time.Time { return c.network.arrival(c.to, bytes) })
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
	for _, p := range []*pipe{c.in, c.out} {
		p.mu.Lock()
		p.stalled = true
		p.mu.Unlock()
	}
}

func (c *conn) reset() {
	c.in.closeWithError(ErrReset{}, true)
	c.out.closeWithError(ErrReset{}, true)
}

// Close closes both directions. The peer reads what was sent and then EOF, unless its traffic is stalled or dropped.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	c.mu.Unlock()
	c.in.closeWithError(io.EOF, true)
	c.out.mu.Lock()
	stalled := c.out.stalled
	c.out.mu.Unlock()
	if !stalled && !c.network.Dropped(c.from, c.to) {
		c.out.closeWithError(io.EOF, false)
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
	c.readDeadline.set(t)
	c.writeDeadline.set(t)
	c.notifyWaiters()
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline.set(t)
	c.notifyWaiters()
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline.set(t)
	c.notifyWaiters()
	return nil
}

// notifyWaiters wakes blocked reads and writes, so that they use the new deadline.
func (c *conn) notifyWaiters() {
	for _, p := range []*pipe{c.in, c.out} {
		p.mu.Lock()
		p.notify()
		p.mu.Unlock()
	}
}
