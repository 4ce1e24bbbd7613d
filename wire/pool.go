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
	// connectionTimeout is how long a write or a keep-alive may wait for the peer before the session is closed.
	connectionTimeout = 2 * time.Second
	acceptBacklog     = 1024
	// streamCloseTimeout is how long a closed stream is kept if the peer does not close it, too.
	streamCloseTimeout = 30 * time.Second
)

// Pool keeps one session per address and opens streams on it.
type Pool struct {
	dial    func(ctx context.Context, address string) (net.Conn, error)
	timeout time.Duration
	mu      sync.Mutex
	entries map[string]*poolEntry
	closed  bool
}

// poolEntry holds the session of one address; dialToken serialises dials to it.
type poolEntry struct {
	dialToken chan struct{}
	mu        sync.Mutex
	session   *yamux.Session
}

// PoolOption configures a Pool.
type PoolOption func(*Pool)

// WithDial replaces the function that opens connections.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) PoolOption {
	return func(p *Pool) { p.dial = dial }
}

// WithDialTimeout sets the timeout for opening a connection. The SYN to a VM that is still starting is lost and retransmitted
// only after a second, whereas a new dial after a shorter timeout gets through at once.
func WithDialTimeout(timeout time.Duration) PoolOption { return func(p *Pool) { p.timeout = timeout } }

// NewPool returns a Pool that dials plain TCP unless an option says otherwise.
func NewPool(options ...PoolOption) *Pool {
	dialer := &net.Dialer{}
	p := &Pool{
		timeout: dialTimeout,
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		entries: map[string]*poolEntry{},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Open opens a stream that is closed when the context ends. It returns ErrUnreachable if it fails; nothing has been sent then.
func (p *Pool) Open(ctx context.Context, address string) (*Stream, error) {
	session, err := p.session(ctx, address)
	if err != nil {
		return nil, ErrUnreachable{Address: address, Cause: err}
	}
	conn, err := openStream(ctx, session)
	if err != nil {
		if ctx.Err() == nil {
			p.removeSession(address, session)
		}
		return nil, ErrUnreachable{Address: address, Cause: err}
	}
	return newStream(ctx, conn, address), nil
}

// openStream opens a stream and returns when the context ends, even if the session still blocks because the peer does not respond.
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

// Call sends one frame on a new stream and returns the single reply.
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

// CloseSession closes the session to an address, so that the next stream uses a new connection.
func (p *Pool) CloseSession(address string) {
	entry := p.entry(address)
	entry.mu.Lock()
	session := entry.session
	entry.mu.Unlock()
	p.removeSession(address, session)
}

// CloseSessionOf closes the session of a stream and leaves a newer session to the same address in place.
func (p *Pool) CloseSessionOf(stream *Stream) {
	conn, ok := stream.conn.(*yamux.Stream)
	if ok {
		p.removeSession(stream.peer, conn.Session())
	}
}

// removeSession removes a session from the pool before it closes it, since closing can take a while if the peer does not respond.
func (p *Pool) removeSession(address string, session *yamux.Session) {
	if session == nil {
		return
	}
	entry := p.entry(address)
	entry.mu.Lock()
	if entry.session == session {
		entry.session = nil
	}
	entry.mu.Unlock()
	_ = session.Close()
}

// Close closes all sessions.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, entry := range p.entries {
		entry.mu.Lock()
		if entry.session != nil {
			_ = entry.session.Close()
		}
		entry.mu.Unlock()
	}
}

func (p *Pool) entry(address string) *poolEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[address]
	if !ok {
		e = &poolEntry{dialToken: make(chan struct{}, 1)}
		p.entries[address] = e
	}
	return e
}

// session returns the open session to an address, or dials a new one.
func (p *Pool) session(ctx context.Context, address string) (*yamux.Session, error) {
	entry := p.entry(address)
	if open := entry.openSession(); open != nil {
		return open, nil
	}
	select {
	case entry.dialToken <- struct{}{}:
		defer func() { <-entry.dialToken }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if open := entry.openSession(); open != nil {
		return open, nil
	}
	return p.connect(ctx, entry, address)
}

func (e *poolEntry) openSession() *yamux.Session {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.session == nil || e.session.IsClosed() {
		return nil
	}
	return e.session
}

func (p *Pool) connect(ctx context.Context, entry *poolEntry, address string) (*yamux.Session, error) {
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
	entry.mu.Lock()
	entry.session = session
	entry.mu.Unlock()
	return session, nil
}

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = connectionTimeout
	config.StreamOpenTimeout = 0
	config.StreamCloseTimeout = streamCloseTimeout
	config.LogOutput = io.Discard
	return config
}
