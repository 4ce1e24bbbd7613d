package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{certificate: certificate, key: key}
}

// issue writes a certificate for an IP number, its key and the authorities that its holder trusts.
func (a authority) issue(t *testing.T, folder, ip string, expires time.Time, trusted ...authority) Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<60))
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: "peer"}, IPAddresses: []net.IP{net.ParseIP(ip)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: expires,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := Files{CA: filepath.Join(folder, "ca.pem"), Certificate: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem")}
	var roots []byte
	for _, one := range append(trusted, a) {
		roots = append(roots, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: one.certificate.Raw})...)
	}
	write(t, files.CA, roots)
	write(t, files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	write(t, files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}))
	return files
}

func write(t *testing.T, file string, data []byte) {
	t.Helper()
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func open(t *testing.T, files Files) *Identity {
	t.Helper()
	identity, err := Open(files)
	if err != nil {
		t.Fatal(err)
	}
	return identity
}

// serve answers pings behind an identity and returns its address.
func serve(t *testing.T, identity *Identity, handlers wire.Handlers) string {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := wire.Serve(ctx, identity.Listen(listener), handlers)
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

func ping(t *testing.T, dial func(context.Context, string) (net.Conn, error), address string) bool {
	t.Helper()
	pool := wire.NewPool(wire.WithDial(dial))
	defer pool.Close()
	reply, err := pool.Call(t.Context(), address, &wirepb.Frame{Body: &wirepb.Frame_Ping{Ping: &wirepb.Ping{}}}, 5*time.Second)
	return err == nil && reply.GetPong() != nil
}

func plain(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// TestOnlyPeersGetIn dials with every kind of stranger.
func TestOnlyPeersGetIn(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	later, past := time.Now().Add(time.Hour), time.Now().Add(-time.Minute)
	address := serve(t, open(t, own.issue(t, t.TempDir(), "127.0.0.1", later)), wire.Handlers{})
	elsewhere := serve(t, open(t, own.issue(t, t.TempDir(), "10.0.0.1", later)), wire.Handlers{})
	foreign := serve(t, open(t, other.issue(t, t.TempDir(), "127.0.0.1", later)), wire.Handlers{})
	mine := own.issue(t, t.TempDir(), "127.0.0.2", later)
	oldVersion := func(ctx context.Context, address string) (net.Conn, error) {
		config := open(t, mine).config()
		config.MinVersion, config.MaxVersion, config.ServerName = tls.VersionTLS12, tls.VersionTLS12, "127.0.0.1"
		return (&tls.Dialer{Config: config}).DialContext(ctx, "tcp", address)
	}
	nameless := func(ctx context.Context, address string) (net.Conn, error) {
		config := open(t, mine).config()
		config.Certificates, config.ServerName = nil, "127.0.0.1"
		return (&tls.Dialer{Config: config}).DialContext(ctx, "tcp", address)
	}
	tests := []struct {
		name    string
		dial    func(context.Context, string) (net.Conn, error)
		address string
		want    bool
	}{
		{"peer", open(t, mine).Dial, address, true},
		{"plaintext", plain, address, false},
		{"no certificate", nameless, address, false},
		{"TLS 1.2", oldVersion, address, false},
		{"other authority", open(t, other.issue(t, t.TempDir(), "127.0.0.2", later, own)).Dial, address, false},
		{"expired", open(t, own.issue(t, t.TempDir(), "127.0.0.2", past)).Dial, address, false},
		{"server with another IP number", open(t, mine).Dial, elsewhere, false},
		{"server of another authority", open(t, mine).Dial, foreign, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := ping(t, test.dial, test.address); got != test.want {
				t.Errorf("got in %v, want %v", got, test.want)
			}
		})
	}
}

// TestRotation replaces certificate and authority under an open stream, as an operator would: first
// both trust both authorities, then the certificates change.
func TestRotation(t *testing.T) {
	old, next := newAuthority(t), newAuthority(t)
	folder, later := t.TempDir(), time.Now().Add(time.Hour)
	server := open(t, old.issue(t, folder, "127.0.0.1", later))
	echo := wire.Handlers{Watch: func(_ context.Context, _ *wirepb.Watch, stream *wire.Stream) {
		for {
			frame, err := stream.Receive(0)
			if err != nil || stream.Send(frame, time.Second) != nil {
				return
			}
		}
	}}
	address := serve(t, server, echo)
	pool := wire.NewPool(wire.WithDial(open(t, old.issue(t, t.TempDir(), "127.0.0.2", later)).Dial))
	defer pool.Close()
	stream, err := pool.Open(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	if err := stream.Send(&wirepb.Frame{Body: &wirepb.Frame_Watch{Watch: &wirepb.Watch{}}}, time.Second); err != nil {
		t.Fatal(err)
	}
	echoes := func(version uint64) {
		t.Helper()
		if err := stream.Send(&wirepb.Frame{CatalogVersion: version}, time.Second); err != nil {
			t.Fatal(err)
		}
		if got, err := stream.Receive(5 * time.Second); err != nil || got.GetCatalogVersion() != version {
			t.Fatalf("got %v, %v", got, err)
		}
	}
	echoes(1)
	oldClient := open(t, old.issue(t, t.TempDir(), "127.0.0.2", later))
	bothClient := open(t, old.issue(t, t.TempDir(), "127.0.0.2", later, next))
	newClient := open(t, next.issue(t, t.TempDir(), "127.0.0.2", later, old))
	if ping(t, newClient.Dial, address) {
		t.Error("the new authority got in before the rotation")
	}
	next.issue(t, folder, "127.0.0.1", later, old)
	if err := server.read(); err != nil {
		t.Fatal(err)
	}
	echoes(2)
	if !ping(t, newClient.Dial, address) || !ping(t, bothClient.Dial, address) || ping(t, oldClient.Dial, address) {
		t.Error("after the first step both authorities must get in, as long as they trust the new one")
	}
	next.issue(t, folder, "127.0.0.1", later)
	if err := server.read(); err != nil {
		t.Fatal(err)
	}
	echoes(3)
	if ping(t, bothClient.Dial, address) || !ping(t, newClient.Dial, address) {
		t.Error("after the second step the old authority must stay out")
	}
}

// TestHalfWrittenFilesKeepTheOld breaks each file and wants the identity as it was.
func TestHalfWrittenFilesKeepTheOld(t *testing.T) {
	own := newAuthority(t)
	files := own.issue(t, t.TempDir(), "127.0.0.1", time.Now().Add(time.Hour))
	identity := open(t, files)
	address := serve(t, identity, wire.Handlers{})
	for _, file := range []string{files.CA, files.Certificate, files.Key} {
		whole, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		write(t, file, whole[:len(whole)/3])
		if err := identity.read(); !IsErrFileInvalid(err) {
			t.Errorf("%s: got %v", file, err)
		}
		if _, err := Open(files); !IsErrFileInvalid(err) {
			t.Errorf("%s: opened with %v", file, err)
		}
		write(t, file, whole)
		if !ping(t, identity.Dial, address) {
			t.Errorf("%s: the old identity is gone", file)
		}
	}
}
