package graceful

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// lastReadTime is how long the last read on an idle connection may take before it is closed; it returns bytes that have arrived already.
const lastReadTime = time.Millisecond

type connState int

const (
	stateIdle connState = iota
	// stateBusy is the state from the first byte of a request to the end of its response.
	stateBusy
	// stateInterrupted is the state of an idle connection whose read was interrupted, stateLastRead that during the last read.
	stateInterrupted
	stateLastRead
)

// conn is a connection that knows whether a request is on it.
type conn struct {
	net.Conn
	server *Server

	mu        sync.Mutex
	state     connState
	idleSince time.Time
	// waiting is set while net/http waits for the first bytes of a request.
	waiting bool
	// responded is set once a byte of the response to the current request has been written, left once the client has closed.
	responded, left, closed bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.recordRead(n, err) {
			return n, err
		}
	}
}

// recordRead records the result of a read and reports whether the read must be repeated.
func (c *conn) recordRead(n int, err error) (again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	c.left = c.left || err != nil && !timedOut
	switch {
	case n > 0 && c.state != stateBusy:
		if c.state != stateIdle {
			_ = c.Conn.SetReadDeadline(c.server.headerDeadline())
		}
		c.state, c.responded = stateBusy, false
	case n == 0 && timedOut && c.state == stateInterrupted:
		c.state = stateLastRead
		return c.Conn.SetReadDeadline(time.Now().Add(lastReadTime)) == nil
	}
	return false
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.mu.Lock()
		c.responded = true
		c.mu.Unlock()
	}
	return n, err
}

// CloseWrite closes the writing side, which net/http does after a response that ends before its request.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	if !c.closed && c.state == stateBusy && !c.responded && !c.left {
		c.server.unanswered.Add(1)
	}
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// setBusy records that a request has been read.
func (c *conn) setBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = stateBusy
}

// setIdle records that a response is complete.
func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.idleSince, c.waiting = stateIdle, time.Now(), false
}

// SetReadDeadline implements net.Conn. net/http sets a deadline before it waits for a request and the next one once the first bytes are there,
// which it may have read together with the request before.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateBusy && c.waiting {
		c.state, c.responded = stateBusy, false
	}
	c.waiting = true
	return c.Conn.SetReadDeadline(t)
}

// interrupt makes the connection close if it has been idle since the given time and nothing has arrived on it. The connection's
// own goroutine closes it, so that no request is read meanwhile.
func (c *conn) interrupt(idleSince time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateInterrupted || c.state == stateIdle && !c.idleSince.After(idleSince) {
		c.state = stateInterrupted
		_ = c.Conn.SetReadDeadline(time.Now()) // fails only if the connection is closed
	}
}
