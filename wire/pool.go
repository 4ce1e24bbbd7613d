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
	timeout  time.Duration
	mu       sync.Mutex
	sessions map[string]*slot
	closed   bool
}

// slot holds the session of one address; the token lets one dial at a time.
type slot struct {
	token   chan struct{}
	mu      sync.Mutex
	session *yamux.Session
}

// PoolOption sets one property of a Pool.
type PoolOption func(*Pool)

// WithDial replaces how connections are made.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) PoolOption {
	return func(p *Pool) { p.dial = dial }
}

// WithDialTimeout sets how long a connection may take: the opening packet to a VM that is about to start is lost, and sent
// again only after a second, where a further dial gets through at once.
func WithDialTimeout(timeout time.Duration) PoolOption { return func(p *Pool) { p.timeout = timeout } }

// NewPool makes a Pool that dials plain TCP.
func NewPool(options ...PoolOption) *Pool {
	dialer := &net.Dialer{}
	p := &Pool{
		timeout: dialTimeout,
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
	session, err := p.session(ctx, address)
	if err != nil {
		return nil, ErrNotReached{Address: address, Cause: err}
	}
	conn, err := openStream(ctx, session)
	if err != nil {
		if ctx.Err() == nil {
			p.drop(address, session)
		}
		return nil, ErrNotReached{Address: address, Cause: err}
	}
	return newStream(ctx, conn, address), nil
}

// openStream returns when the context ends, although a session whose peer is silent blocks longer.
func openStream(ctx context.Context, session *yamux.Session) (net.Conn, error) {
	type opened struct {
		conn *yamux.Stream
		err  error
	}
	done := make(chan opened, 1)
	go func() {
		conn, err := session.OpenStream()
		done <- opened{conn, err}
	}()
	select {
	case o := <-done:
		if o.err != nil {
			return nil, o.err
		}
		return o.conn, nil
	case <-ctx.Done():
		go func() {
			if o := <-done; o.err == nil {
				_ = o.conn.Close()
			}
		}()
		return nil, ctx.Err()
	}
}

// Call sends one frame on a new stream and returns the one reply.
func (p *Pool) Call(ctx context.Context, address string, frame *wirepb.Frame, timeout time.Duration) (*wirepb.Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
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
	session := s.session
	s.mu.Unlock()
	p.drop(address, session)
}

// DropOlder gives up the session that a stream used, unless a fresh one took its place already.
func (p *Pool) DropOlder(stream *Stream) {
	conn, ok := stream.conn.(*yamux.Stream)
	if ok {
		p.drop(stream.peer, conn.Session())
	}
}

// drop takes a session out first, since closing one whose peer is silent can take a while.
func (p *Pool) drop(address string, session *yamux.Session) {
	if session == nil {
		return
	}
	s := p.slot(address)
	s.mu.Lock()
	if s.session == session {
		s.session = nil
	}
	s.mu.Unlock()
	_ = session.Close()
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
		s = &slot{token: make(chan struct{}, 1)}
		p.sessions[address] = s
	}
	return s
}

// session returns the live session to an address, or dials one.
func (p *Pool) session(ctx context.Context, address string) (*yamux.Session, error) {
	s := p.slot(address)
	if live := s.live(); live != nil {
		return live, nil
	}
	select {
	case s.token <- struct{}{}:
		defer func() { <-s.token }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if live := s.live(); live != nil {
		return live, nil
	}
	return p.connect(ctx, s, address)
}

func (s *slot) live() *yamux.Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session == nil || s.session.IsClosed() {
		return nil
	}
	return s.session
}

func (p *Pool) connect(ctx context.Context, s *slot, address string) (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	p.mu.Lock()
	closed := p.closed
	p.mu.Unlock()
	if closed {
		_ = session.Close()
		return nil, ErrPoolClosed{}
	}
	s.mu.Lock()
	s.session = session
	s.mu.Unlock()
	return session, nil
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
