package intake

import (
	"cmp"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"
)

// Defaults of servers that set no limits themselves.
const (
	maxHeadBytes = 64 << 10
	headTimeout  = 5 * time.Second
	idleTimeout  = 90 * time.Second
)

type connKey struct{}

// Protect makes a server count the connections and requests that come from the account's listeners, and sets limits that it lacks.
func (a *Account) Protect(server *http.Server) {
	server.MaxHeaderBytes = cmp.Or(server.MaxHeaderBytes, maxHeadBytes)
	server.ReadHeaderTimeout = cmp.Or(server.ReadHeaderTimeout, headTimeout)
	server.IdleTimeout = cmp.Or(server.IdleTimeout, idleTimeout)
	if server.ErrorLog == nil {
		server.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug) // clients could fill it
	}
	connState, connContext, handler := server.ConnState, server.ConnContext, server.Handler
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if counted, ok := c.(*Conn); ok && state == http.StateIdle {
			counted.idle()
		}
		if connState != nil {
			connState(c, state)
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		if counted, ok := c.(*Conn); ok {
			ctx = context.WithValue(ctx, connKey{}, counted)
		}
		return ctx
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		hasBody := r.Body != nil && r.Body != http.NoBody
		if !c.begin(hasBody) {
			c.refuse()
			a.count(metricRefused, refuseWithoutMemory.reason)
			refuseWithoutMemory.write(w)
			return
		}
		if hasBody {
			r.Body = &body{ReadCloser: r.Body, conn: c, request: r}
		}
		handler.ServeHTTP(w, r)
	})
}

// body tells a connection when the body of its request has been read.
type body struct {
	io.ReadCloser
	conn    *Conn
	request *http.Request
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	b.request.Trailer = nil // nobody uses it
	if !b.conn.wait() {
		return n, net.ErrClosed
	}
	return n, err
}
