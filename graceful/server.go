package graceful

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Server is an HTTP server that counts the connections that it closes with a request on them.
type Server struct {
	http       *http.Server
	unanswered atomic.Int64
}

// New returns a Server that serves as configured in server, which must not be used otherwise.
func New(server *http.Server) *Server {
	s := &Server{http: server}
	configured := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		c.(*conn).recordState(state)
		if configured != nil {
			configured(c, state)
		}
	}
	return s
}

// Serve accepts connections until the server is closed, and returns http.ErrServerClosed then.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(trackingListener{listener, s})
}

// Unanswered returns how many connections the server has closed that had a request without a response and a client that waited for it.
func (s *Server) Unanswered() int64 { return s.unanswered.Load() }

// Shutdown stops the server as http.Server does.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes the listeners and all connections.
func (s *Server) Close() error { return s.http.Close() }

// recordState records what the server does with the connection.
func (c *conn) recordState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.setBusy()
	case http.StateIdle:
		c.setIdle()
	}
}

// trackingListener adds the connections that it accepts to a server.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, server: l.server}, nil
}
