package e2e

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// half is one direction of a connection: bytes with the moment from which they can be read.
type half struct {
	mu      sync.Mutex
	parts   []part
	size    int
	err     error // what the reader gets once parts are read
	stalled bool
	changed chan struct{}
}

type part struct {
	data []byte
	at   time.Time
}

func newHalf() *half { return &half{changed: make(chan struct{})} }

func (h *half) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// end makes the direction fail for its reader and its writer.
func (h *half) end(err error, discard bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err == nil {
		h.err = err
	}
	if discard {
		h.parts, h.size = nil, 0
	}
	h.notify()
}

// conn is one end of a connection.
type conn struct {
	network       *network
	from, to      string
	local, remote addr
	in, out       *half
	peer          *conn

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

// take reads what has arrived, or says how long until something does.
func (h *half) take(p []byte) (n int, wait time.Duration, changed <-chan struct{}, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stalled && h.err == nil {
		return 0, 0, h.changed, nil
	}
	if len(h.parts) == 0 {
		return 0, 0, h.changed, h.err
	}
	first := &h.parts[0]
	if wait = time.Until(first.at); wait > 0 {
		return 0, wait, h.changed, nil
	}
	n = copy(p, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		h.parts = h.parts[1:]
	}
	h.size -= n
	h.notify()
	return n, 0, nil, nil
}

func (c *conn) Write(p []byte) (int, error) {
	for {
		c.mu.Lock()
		expired, closed := c.writeEnd.expired, c.closed
		c.mu.Unlock()
		if closed {
			return 0, net.ErrClosed
		}
		n, changed, err := c.out.put(p, c.network.isSilent(c.from, c.to))
		if n > 0 || err != nil || len(p) == 0 {
			c.network.count(c.from, n)
			return n, err
		}
		select {
		case <-changed:
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// put adds what fits whole; lost bytes are as good as sent until the connection is reset.
func (h *half) put(p []byte, lost bool) (int, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err != nil {
		return 0, nil, errReset
	}
	if lost {
		h.stalled = true // a stream with a hole cannot go on
	}
	if h.size > 0 && h.size+len(p) > bufferBytes {
		return 0, h.changed, nil
	}
	h.parts = append(h.parts, part{data: append([]byte{}, p...), at: time.Now().Add(latency)})
	h.size += len(p)
	h.notify()
	return len(p), nil, nil
}

func (c *conn) stall() {
	for _, h := range []*half{c.in, c.out} {
		h.mu.Lock()
		h.stalled = true
		h.mu.Unlock()
	}
}

func (c *conn) reset() {
	c.in.end(errReset, true)
	c.out.end(errReset, true)
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
	if !lost && !c.network.isSilent(c.from, c.to) {
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
