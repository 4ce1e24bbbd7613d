package cmd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"
)

const (
	headerTimeout = 10 * time.Second
	stopTimeout   = 5 * time.Second
)

// service is what serve runs until its context ends.
type service struct {
	handler http.Handler
	conn    func(context.Context, net.Conn) context.Context
	end     func()
}

// serve prints the address that it listens on and serves until ctx ends.
func serve(ctx context.Context, c *cli.Command, s service) error {
	defer s.end()
	if err := none(c); err != nil {
		return err
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.String(flagListen))
	if err != nil {
		return ErrListen{Address: c.String(flagListen), Cause: err}
	}
	server := &http.Server{Handler: s.handler, ConnContext: s.conn, ReadHeaderTimeout: headerTimeout}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	_, _ = fmt.Fprintf(c.Root().Writer, "listening on http://%s\n", listener.Addr())
	select {
	case err := <-ended:
		return ErrListen{Address: listener.Addr().String(), Cause: err}
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if server.Shutdown(stopping) != nil {
		_ = server.Close()
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return ErrListen{Address: listener.Addr().String(), Cause: err}
	}
	return nil
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
}

// ErrListen says that an address could not be served.
type ErrListen struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (err ErrListen) Error() string {
	return fmt.Sprintf("cannot listen on %s: %v", err.Address, err.Cause)
}

// Unwrap returns the cause.
func (err ErrListen) Unwrap() error {
	return err.Cause
}

// IsErrListen reports whether err holds an ErrListen.
func IsErrListen(err error) bool {
	var listen ErrListen
	return errors.As(err, &listen)
}
