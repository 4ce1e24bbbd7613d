package cmd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"burdocksaddle/graceful"
)

const (
	headerTimeout = 10 * time.Second
	stopTimeout   = 5 * time.Second
)

// httpService is an HTTP handler with its connection hook and its cleanup function.
type httpService struct {
	handler     http.Handler
	connContext func(context.Context, net.Conn) context.Context
	close       func()
}

// serve prints the address that it listens on and serves until ctx ends.
func serve(ctx context.Context, c *cli.Command, s httpService) error {
	defer s.close()
	if err := noArguments(c); err != nil {
		return err
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.String(flagListen))
	if err != nil {
		return ErrListen{Address: c.String(flagListen), Cause: err}
	}
	server := graceful.New(&http.Server{Handler: s.handler, ConnContext: s.connContext, ReadHeaderTimeout: headerTimeout})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	_, _ = fmt.Fprintf(c.Root().Writer, "listening on http://%s\n", listener.Addr())
	select {
	case err := <-served:
		return ErrListen{Address: listener.Addr().String(), Cause: err}
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return ErrListen{Address: listener.Addr().String(), Cause: err}
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return ErrListen{Address: listener.Addr().String(), Cause: err}
	}
	return nil
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
}

// ErrListen is returned if the server can't listen on an address or stops serving it.
type ErrListen struct {
	Address string
	Cause   error
}

// Error returns the address and the cause.
func (err ErrListen) Error() string {
	return fmt.Sprintf("cannot listen on %s: %v", err.Address, err.Cause)
}

// Unwrap returns the underlying error.
func (err ErrListen) Unwrap() error {
	return err.Cause
}

// IsErrListen reports whether err wraps an ErrListen.
func IsErrListen(err error) bool {
	var listen ErrListen
	return errors.As(err, &listen)
}
