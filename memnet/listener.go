package memnet

import "net"

type addr string

func (addr) Network() string  { return "memory" }
func (a addr) String() string { return string(a) }

type listener struct {
	network *Network
	address addr
	backlog chan net.Conn
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	l.closeLocked()
	return nil
}

func (l *listener) closeLocked() {
	if l.network.listeners[string(l.address)] == l {
		delete(l.network.listeners, string(l.address))
		close(l.closed)
	}
}

func (l *listener) Addr() net.Addr { return l.address }
