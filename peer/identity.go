package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

const (
	handshakeTimeout = 2 * time.Second
	dialTimeout      = 2 * time.Second
	defaultReload    = time.Minute
)

// Files are the PEM files by which a process knows others and shows itself.
type Files struct {
	CA          string
	Certificate string
	Key         string
}

// Identity is a process's certificate and the authority that it trusts, as last read whole.
type Identity struct {
	files  Files
	log    logr.Logger
	reload time.Duration
	held   atomic.Pointer[material]
}

// material is one reading of the files.
type material struct {
	authority   *x509.CertPool
	certificate tls.Certificate
}

// Option sets one property of an Identity.
type Option func(*Identity)

// WithLog sets where events are logged.
func WithLog(log logr.Logger) Option { return func(i *Identity) { i.log = log } }

// WithReload sets how often the files are read again.
func WithReload(interval time.Duration) Option {
	return func(i *Identity) {
		if interval > 0 {
			i.reload = interval
		}
	}
}

// Open reads the files; it fails with ErrFileInvalid.
func Open(files Files, options ...Option) (*Identity, error) {
	i := &Identity{files: files, log: logr.Discard(), reload: defaultReload}
	for _, option := range options {
		option(i)
	}
	return i, i.read()
}

// Run is the duty that reads the files again; what cannot be read whole changes nothing. The channel gives the end.
func (i *Identity) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick := time.NewTicker(i.reload)
		defer tick.Stop()
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-tick.C:
				if err := i.read(); err != nil {
					i.log.Error(err, "certificate files kept as they were read last")
				}
			}
		}
		ended <- nil
	}()
	return ended
}

func (i *Identity) read() error {
	authority, err := os.ReadFile(i.files.CA)
	if err != nil {
		return ErrFileInvalid{File: i.files.CA, Cause: err}
	}
	next := &material{authority: x509.NewCertPool()}
	if !next.authority.AppendCertsFromPEM(authority) {
		return ErrFileInvalid{File: i.files.CA, Cause: errNoCertificate{}}
	}
	if next.certificate, err = tls.LoadX509KeyPair(i.files.Certificate, i.files.Key); err != nil {
		return ErrFileInvalid{File: i.files.Certificate, Cause: err}
	}
	before := i.held.Swap(next)
	if before != nil && !before.certificate.Leaf.Equal(next.certificate.Leaf) {
		i.log.Info("certificate replaced", "expires", next.certificate.Leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	return nil
}

// Listen wraps a listener, so that only peers of the same authority get in; sessions that are open outlive a rotation.
func (i *Identity) Listen(listener net.Listener) net.Listener {
	return &secured{Listener: listener, identity: i}
}

type secured struct {
	net.Listener
	identity *Identity
}

// Accept returns a connection whose handshake happens at its first use, within its own time.
func (s *secured) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newHandshaking(tls.Server(conn, s.identity.config())), nil
}

// Dial connects to a peer and checks that it is of the same authority and holds the address's IP number or name.
func (i *Identity) Dial(ctx context.Context, address string) (net.Conn, error) {
	config := i.config()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	config.ServerName = host
	dialer := tls.Dialer{NetDialer: &net.Dialer{Timeout: dialTimeout}, Config: config}
	return dialer.DialContext(ctx, "tcp", address)
}

func (i *Identity) config() *tls.Config {
	held := i.held.Load()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{held.certificate},
		RootCAs: held.authority, ClientCAs: held.authority, ClientAuth: tls.RequireAndVerifyClientCert,
		// A resumed session would not be checked against a replaced authority.
		SessionTicketsDisabled: true,
	}
}
