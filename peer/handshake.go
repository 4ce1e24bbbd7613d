package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
)

// handshakeConn performs the TLS handshake, with a timeout of its own, before the first read or write. The accept loop does not
// wait for it, and a client that sends nothing fails after the timeout.
type handshakeConn struct {
	*tls.Conn
	once sync.Once
	err  error
}

func newHandshakeConn(conn *tls.Conn) net.Conn { return &handshakeConn{Conn: conn} }

func (h *handshakeConn) ensureHandshake() error {
	h.once.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		defer cancel()
		h.err = h.HandshakeContext(ctx)
	})
	return h.err
}

// Read implements net.Conn.
func (h *handshakeConn) Read(data []byte) (int, error) {
	if err := h.ensureHandshake(); err != nil {
		return 0, err
	}
	return h.Conn.Read(data)
}

// Write implements net.Conn.
func (h *handshakeConn) Write(data []byte) (int, error) {
	if err := h.ensureHandshake(); err != nil {
		return 0, err
	}
	return h.Conn.Write(data)
}
