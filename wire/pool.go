package wire

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"burdocksaddle/wirepb"
)

const (
	dialTimeout       = 2 * time.Second
	keepAliveInterval = time.Second
	// A peer that is silent for this long is given up.
	connectionTimeout = 2 * time.Second
	acceptBacklog     = 1024
)

// Pool keeps one session to each address and opens streams on it.
type Pool struct {
	dial     func(ctx context.Context, address string) (net.Conn, error)
	mu       sync.Mutex
	sessions map[string]*slot
	closed   bool
}

// slot serialises the dialling of one address.
type slot struct {
	mu      sync.Mutex
	session *yamux.Session
}

// PoolOption sets one property of a Pool.
type PoolOption func(*Pool)

// WithDial replaces how connections are made.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) PoolOption {
	return func(p *Pool) { p.dial = dial }
}

// NewPool makes a Pool that dials plain TCP.
func NewPool(options ...PoolOption) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	p := &Pool{
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		sessions: map[string]*slot{},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Open opens a stream that lives as long as the context; it fails with ErrNotReached, nothing sent.
func (p *Pool) Open(ctx context.Context, address string) (*Stream, error) {
	s := p.slot(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session == nil || s.session.IsClosed() {
		if err := p.connect(ctx, s, address); err != nil {
			return nil, ErrNotReached{Address: address, Cause: err}
		}
	}
	conn, err := s.session.OpenStream()
	if err != nil {
		_ = s.session.Close()
		return nil, ErrNotReached{Address: address, Cause: err}
	}
	return newStream(ctx, conn, address), nil
}

// Call sends one frame on a new stream and returns the one reply.
func (p *Pool) Call(ctx context.Context, address string, frame *wirepb.Frame, timeout time.Duration) (*wirepb.Frame, error) {
	stream, err := p.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	if err := stream.Send(frame, timeout); err != nil {
		return nil, err
	}
	return stream.Receive(timeout)
}

// Drop gives up the session to an address, so that the next stream takes a fresh connection.
func (p *Pool) Drop(address string) {
	s := p.slot(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session != nil {
		_ = s.session.Close()
		s.session = nil
	}
}

// Close ends every session.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, s := range p.sessions {
		s.mu.Lock()
		if s.session != nil {
			_ = s.session.Close()
		}
		s.mu.Unlock()
	}
}

func (p *Pool) slot(address string) *slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.sessions[address]
	if !ok {
		s = &slot{}
		p.sessions[address] = s
	}
	return s
}

func (p *Pool) connect(ctx context.Context, s *slot, address string) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return err
	}
	s.session = session
	return nil
}

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = connectionTimeout
	config.StreamOpenTimeout = 0
	config.LogOutput = io.Discard
	return config
}
