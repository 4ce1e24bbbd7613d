package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
)

// handshaking finishes the handshake within its own time before the first byte, so that neither a
// silent stranger nor the accepting loop waits for it.
type handshaking struct {
	*tls.Conn
	once sync.Once
	err  error
}

func newHandshaking(conn *tls.Conn) net.Conn { return &handshaking{Conn: conn} }

func (h *handshaking) ready() error {
	h.once.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		defer cancel()
		h.err = h.HandshakeContext(ctx)
	})
	return h.err
}

// Read implements net.Conn.
func (h *handshaking) Read(data []byte) (int, error) {
	if err := h.ready(); err != nil {
		return 0, err
	}
	return h.Conn.Read(data)
}

// Write implements net.Conn.
func (h *handshaking) Write(data []byte) (int, error) {
	if err := h.ready(); err != nil {
		return 0, err
	}
	return h.Conn.Write(data)
}
