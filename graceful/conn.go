package graceful

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type connState int

const (
	stateIdle connState = iota
	// stateBusy is the state from the first byte of a request to the end of its response.
	stateBusy
	// stateInterrupted is the state of an idle connection whose read was interrupted.
	stateInterrupted
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
	// left is set once the client has closed.
	left, closed bool
	// responded is set once a byte of the response to the current request has been written.
	responded atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	if timedOut && c.state != stateBusy {
		if n = c.readArrivedLocked(p); n > 0 {
			err = nil
		}
	}
	c.left = c.left || err != nil && !timedOut
	if n > 0 && c.state != stateBusy {
		if timedOut || c.state == stateInterrupted {
			_ = c.Conn.SetReadDeadline(c.server.headerDeadline())
		}
		c.state = stateBusy
		c.responded.Store(false)
	}
	return n, err
}

// readArrivedLocked reads bytes that have arrived and returns their number. It needs no deadline: a goroutine that is halted until its read
// deadline reads nothing, whatever has arrived.
func (c *conn) readArrivedLocked(p []byte) (n int) {
	kernel, ok := c.Conn.(syscall.Conn)
	if !ok || c.Conn.SetReadDeadline(time.Time{}) != nil {
		return 0
	}
	raw, err := kernel.SyscallConn()
	if err != nil {
		return 0
	}
	// The socket doesn't block. If the read fails, there is nothing that could be answered.
	_ = raw.Read(func(fd uintptr) bool {
		n, _ = syscall.Read(int(fd), p)
		return true
	})
	return max(n, 0)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 && !c.responded.Load() {
		c.responded.Store(true)
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
	if !c.closed && c.state == stateBusy && !c.responded.Load() && !c.left {
		c.server.unanswered.Add(1)
	}
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// setBusy records that the head of a request has been read, which may have arrived together with the request before.
func (c *conn) setBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateInterrupted {
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	}
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
		c.state = stateBusy
		c.responded.Store(false)
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
