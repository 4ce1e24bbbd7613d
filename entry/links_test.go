package entry_test

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// links are the entries' connections to other processes.
type links struct {
	mu      sync.Mutex
	open    map[*link]struct{}
	refused map[string]bool
	dialled map[string]int
}

func newLinks() *links {
	return &links{open: map[*link]struct{}{}, refused: map[string]bool{}, dialled: map[string]int{}}
}

func (l *links) dial(ctx context.Context, address string) (net.Conn, error) {
	l.mu.Lock()
	refused := l.refused[address]
	l.dialled[address]++
	l.mu.Unlock()
	if refused {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	one := &link{Conn: conn, links: l, address: address, closed: make(chan struct{})}
	l.mu.Lock()
	l.open[one] = struct{}{}
	l.mu.Unlock()
	return one, nil
}

// refuse makes new connections to an address fail, or work again.
func (l *links) refuse(address string, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[address] = refused
}

// each applies a fault to the connections that are open now; later ones work.
func (l *links) each(address string, fault func(*link)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for one := range l.open {
		if one.address == address {
			fault(one)
		}
	}
}

// count returns how many connections to an address are open.
func (l *links) count(address string) int {
	open := 0
	l.each(address, func(*link) { open++ })
	return open
}

func (l *links) reset(address string)     { l.each(address, func(one *link) { _ = one.Conn.Close() }) }
func (l *links) silenceIn(address string) { l.each(address, func(one *link) { one.set(true, false) }) }
func (l *links) silenceOut(address string) {
	l.each(address, func(one *link) { one.set(false, true) })
}
func (l *links) silence(address string) { l.each(address, func(one *link) { one.set(true, true) }) }

// link is one connection; a silent direction loses all bytes without an error.
type link struct {
	net.Conn
	links   *links
	address string

	mu      sync.Mutex
	in, out bool
	once    sync.Once
	closed  chan struct{}
}

func (l *link) set(in, out bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.in, l.out = l.in || in, l.out || out
}

func (l *link) silent() (in, out bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.in, l.out
}

func (l *link) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	if in, _ := l.silent(); in {
		<-l.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (l *link) Write(p []byte) (int, error) {
	if _, out := l.silent(); out {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

func (l *link) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.links.mu.Lock()
		delete(l.links.open, l)
		l.links.mu.Unlock()
	})
	return l.Conn.Close()
}
