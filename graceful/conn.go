package graceful

import (
	"errors"
	"net"
	"os"
	"sync"
)

type connState int

const (
	stateIdle connState = iota
	// stateBusy is the state from the first byte of a request to the end of its response.
	stateBusy
)

// conn is a connection that knows whether a request is on it.
type conn struct {
	net.Conn
	server *Server

	mu    sync.Mutex
	state connState
	// responded is set once a byte of the response to the current request has been written, left once the client has closed.
	responded, left, closed bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = c.left || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	if n > 0 && c.state != stateBusy {
		c.state, c.responded = stateBusy, false
	}
	return n, err
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
	c.state = stateIdle
}
