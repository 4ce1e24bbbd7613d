package graceful

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pollInterval is how often idle connections are looked for.
	pollInterval = 25 * time.Millisecond
	// shutdownIdleTime is how long a connection must be idle to be closed during a shutdown.
	shutdownIdleTime = 20 * time.Millisecond
)

// Server is an HTTP server whose connections close only while no request is on them.
type Server struct {
	http       *http.Server
	unanswered atomic.Int64
	// shuttingDown is set once clients are told not to reuse their connections.
	shuttingDown atomic.Bool

	mu       sync.Mutex
	listener net.Listener
	// stopped is set once the server accepts no more connections.
	stopped bool
	conns   map[*conn]struct{}
}

// New returns a Server that serves as configured in server, which must not be used otherwise.
func New(server *http.Server) *Server {
	s := &Server{http: server, conns: map[*conn]struct{}{}}
	configured := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		s.recordState(c.(*conn), state)
		if configured != nil {
			configured(c, state)
		}
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.shuttingDown.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	return s
}

// Serve accepts connections until the server stops accepting or is closed, and then returns http.ErrServerClosed.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	if s.stopped {
		_ = listener.Close() // the server has been stopped before it began to serve
	}
	s.mu.Unlock()
	err := s.http.Serve(trackingListener{listener, s})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return http.ErrServerClosed
	}
	return err
}

// StopAccepting closes the listener; open connections are still served.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.listener != nil {
		_ = s.listener.Close() // it accepts nothing any more, whatever the error
	}
}

// headerDeadline returns until when the head of a request that begins now must have arrived, zero for no limit.
func (s *Server) headerDeadline() time.Time {
	if s.http.ReadHeaderTimeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(s.http.ReadHeaderTimeout)
}

// Unanswered returns how many connections the server has closed that had a request without a response and a client that waited for it.
func (s *Server) Unanswered() int64 { return s.unanswered.Load() }

// CloseIdle closes connections once they have been idle for the given time, until none is left or the context ends. The server accepts
// new connections and requests meanwhile; a handler that sets "Connection: close" ends its connection.
func (s *Server) CloseIdle(ctx context.Context, idle time.Duration) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for s.interruptIdle(time.Now().Add(-idle)) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Shutdown stops accepting connections and returns once the requests on the open ones have their responses or the context ends; it closes
// what is left then.
func (s *Server) Shutdown(ctx context.Context) {
	s.shuttingDown.Store(true)
	s.StopAccepting()
	s.CloseIdle(ctx, shutdownIdleTime)
	_ = s.Close() // the listener is closed already
}

// Close closes the listeners and all connections.
func (s *Server) Close() error { return s.http.Close() }

// interruptIdle interrupts the connections that have been idle since the given time, and returns how many connections are open.
func (s *Server) interruptIdle(idleSince time.Time) (open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.interrupt(idleSince)
	}
	return len(s.conns)
}

func (s *Server) recordState(c *conn, state http.ConnState) {
	switch state {
	case http.StateActive:
		c.setBusy()
	case http.StateIdle:
		c.setIdle()
	case http.StateHijacked, http.StateClosed:
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
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
	c := &conn{Conn: accepted, server: l.server, idleSince: time.Now()}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.conns[c] = struct{}{}
	return c, nil
}

// Close implements net.Listener. It may be called again after the server has stopped accepting.
func (l trackingListener) Close() error {
	err := l.Listener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
