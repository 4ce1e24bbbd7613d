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

// New returns a Server that serves as configured in server, which must not be used otherwise. Its ConnState and ConnContext get the connections
// as the listener accepted them.
func New(server *http.Server) *Server {
	s := &Server{http: server, conns: map[*conn]struct{}{}}
	configured := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		tracked := c.(*conn)
		s.recordState(tracked, state)
		if configured != nil {
			configured(tracked.Conn, state)
		}
	}
	if connContext := server.ConnContext; connContext != nil {
		server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return connContext(ctx, c.(*conn).Conn) }
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
	tracking := trackingListener{listener, s, sync.OnceValue(listener.Close)}
	s.mu.Lock()
	s.listener = tracking
	if s.stopped {
		_ = tracking.Close() // the server has been stopped before it began to serve
	}
	s.mu.Unlock()
	err := s.http.Serve(tracking)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return http.ErrServerClosed
	}
	return err
}

// StopAccepting closes the listener; open connections are still served.
func (s *Server) StopAccepting() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.listener == nil {
		return nil
	}
	return s.listener.Close()
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
func (s *Server) Shutdown(ctx context.Context) error {
	s.shuttingDown.Store(true)
	err := s.StopAccepting()
	s.CloseIdle(ctx, shutdownIdleTime)
	return errors.Join(err, s.Close())
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
	close  func() error
}

// Close implements net.Listener; both StopAccepting and the http.Server call it.
func (l trackingListener) Close() error { return l.close() }

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
