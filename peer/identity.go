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
	handshakeTimeout      = 2 * time.Second
	dialTimeout           = 2 * time.Second
	defaultReloadInterval = time.Minute
)

// Files are the paths of the PEM files with which a process authenticates its peers and itself.
type Files struct {
	CA          string
	Certificate string
	Key         string
}

// Identity holds a process's certificate and the CA that it trusts, as of the last complete load.
type Identity struct {
	files          Files
	log            logr.Logger
	reloadInterval time.Duration
	current        atomic.Pointer[credentials]
}

// credentials is the content of the files as of one load.
type credentials struct {
	caPool      *x509.CertPool
	certificate tls.Certificate
}

// Option configures an Identity.
type Option func(*Identity)

// WithLog sets the logger.
func WithLog(log logr.Logger) Option { return func(i *Identity) { i.log = log } }

// WithReload sets the interval at which the files are reloaded.
func WithReload(interval time.Duration) Option {
	return func(i *Identity) {
		if interval > 0 {
			i.reloadInterval = interval
		}
	}
}

// Open loads the files. It returns ErrFileInvalid if one of them cannot be used.
func Open(files Files, options ...Option) (*Identity, error) {
	i := &Identity{files: files, log: logr.Discard(), reloadInterval: defaultReloadInterval}
	for _, option := range options {
		option(i)
	}
	return i, i.load()
}

// Run reloads the files periodically until the context ends; if a file cannot be used, the previous credentials stay in use. The
// returned channel receives nil at the end.
func (i *Identity) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick := time.NewTicker(i.reloadInterval)
		defer tick.Stop()
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-tick.C:
				if err := i.load(); err != nil {
					i.log.Error(err, "failed to reload the certificate files; keeping the previous certificate")
				}
			}
		}
		ended <- nil
	}()
	return ended
}

func (i *Identity) load() error {
	caPEM, err := os.ReadFile(i.files.CA)
	if err != nil {
		return ErrFileInvalid{File: i.files.CA, Cause: err}
	}
	next := &credentials{caPool: x509.NewCertPool()}
	if !next.caPool.AppendCertsFromPEM(caPEM) {
		return ErrFileInvalid{File: i.files.CA, Cause: errNoCertificate{}}
	}
	if next.certificate, err = tls.LoadX509KeyPair(i.files.Certificate, i.files.Key); err != nil {
		return ErrFileInvalid{File: i.files.Certificate, Cause: err}
	}
	previous := i.current.Swap(next)
	if previous != nil && !previous.certificate.Leaf.Equal(next.certificate.Leaf) {
		i.log.Info("certificate replaced", "expires", next.certificate.Leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	return nil
}

// Listen wraps a listener so that it accepts only peers with a certificate of the same CA. Open sessions survive a certificate
// rotation.
func (i *Identity) Listen(listener net.Listener) net.Listener {
	return &tlsListener{Listener: listener, identity: i}
}

type tlsListener struct {
	net.Listener
	identity *Identity
}

// Accept returns a connection that performs its handshake at the first use, with a timeout of its own.
func (s *tlsListener) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newHandshakeConn(tls.Server(conn, s.identity.tlsConfig())), nil
}

// Dial connects to a peer and verifies that its certificate is signed by the same CA and valid for the address's IP address or
// host name.
func (i *Identity) Dial(ctx context.Context, address string) (net.Conn, error) {
	config := i.tlsConfig()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	config.ServerName = host
	dialer := tls.Dialer{NetDialer: &net.Dialer{Timeout: dialTimeout}, Config: config}
	return dialer.DialContext(ctx, "tcp", address)
}

func (i *Identity) tlsConfig() *tls.Config {
	current := i.current.Load()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{current.certificate},
		RootCAs: current.caPool, ClientCAs: current.caPool, ClientAuth: tls.RequireAndVerifyClientCert,
		// A resumed session would not be verified against a replaced CA.
		SessionTicketsDisabled: true,
	}
}
