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

// testCA is a CA that signs certificates for tests.
type testCA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) testCA {
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
	return testCA{certificate: certificate, key: key}
}

// issue writes a certificate for an IP address, its key and the CAs that its owner trusts.
func (a testCA) issue(t *testing.T, dir, ip string, expires time.Time, trusted ...testCA) Files {
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
	files := Files{CA: filepath.Join(dir, "ca.pem"), Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	var roots []byte
	for _, trustedCA := range append(trusted, a) {
		roots = append(roots, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: trustedCA.certificate.Raw})...)
	}
	writeFile(t, files.CA, roots)
	writeFile(t, files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	writeFile(t, files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}))
	return files
}

func writeFile(t *testing.T, file string, data []byte) {
	t.Helper()
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func mustOpen(t *testing.T, files Files) *Identity {
	t.Helper()
	identity, err := Open(files)
	if err != nil {
		t.Fatal(err)
	}
	return identity
}

// startServer starts a server that accepts peers by an identity and returns its address.
func startServer(t *testing.T, identity *Identity, handlers wire.Handlers) string {
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

func dialPlaintext(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// TestOnlyPeersAccepted dials with valid and invalid certificates, TLS versions and server identities.
func TestOnlyPeersAccepted(t *testing.T) {
	ca, otherCA := newTestCA(t), newTestCA(t)
	later, past := time.Now().Add(time.Hour), time.Now().Add(-time.Minute)
	address := startServer(t, mustOpen(t, ca.issue(t, t.TempDir(), "127.0.0.1", later)), wire.Handlers{})
	otherIPServer := startServer(t, mustOpen(t, ca.issue(t, t.TempDir(), "10.0.0.1", later)), wire.Handlers{})
	otherCAServer := startServer(t, mustOpen(t, otherCA.issue(t, t.TempDir(), "127.0.0.1", later)), wire.Handlers{})
	peerFiles := ca.issue(t, t.TempDir(), "127.0.0.2", later)
	dialTLS12 := func(ctx context.Context, address string) (net.Conn, error) {
		config := mustOpen(t, peerFiles).tlsConfig()
		config.MinVersion, config.MaxVersion, config.ServerName = tls.VersionTLS12, tls.VersionTLS12, "127.0.0.1"
		return (&tls.Dialer{Config: config}).DialContext(ctx, "tcp", address)
	}
	dialWithoutCertificate := func(ctx context.Context, address string) (net.Conn, error) {
		config := mustOpen(t, peerFiles).tlsConfig()
		config.Certificates, config.ServerName = nil, "127.0.0.1"
		return (&tls.Dialer{Config: config}).DialContext(ctx, "tcp", address)
	}
	tests := []struct {
		name    string
		dial    func(context.Context, string) (net.Conn, error)
		address string
		want    bool
	}{
		{"peer", mustOpen(t, peerFiles).Dial, address, true},
		{"plaintext", dialPlaintext, address, false},
		{"no certificate", dialWithoutCertificate, address, false},
		{"TLS 1.2", dialTLS12, address, false},
		{"other CA", mustOpen(t, otherCA.issue(t, t.TempDir(), "127.0.0.2", later, ca)).Dial, address, false},
		{"expired", mustOpen(t, ca.issue(t, t.TempDir(), "127.0.0.2", past)).Dial, address, false},
		{"server with another IP address", mustOpen(t, peerFiles).Dial, otherIPServer, false},
		{"server of another CA", mustOpen(t, peerFiles).Dial, otherCAServer, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := ping(t, test.dial, test.address); got != test.want {
				t.Errorf("connected %v, want %v", got, test.want)
			}
		})
	}
}

// TestRotation replaces the certificate and the CA of a server while a stream is open, in the steps that an operator takes: first
// the server gets a certificate of the new CA and trusts both CAs, then it trusts the new CA only.
func TestRotation(t *testing.T) {
	oldCA, newCA := newTestCA(t), newTestCA(t)
	dir, later := t.TempDir(), time.Now().Add(time.Hour)
	server := mustOpen(t, oldCA.issue(t, dir, "127.0.0.1", later))
	echo := wire.Handlers{Watch: func(_ context.Context, _ *wirepb.Watch, stream *wire.Stream) {
		for {
			frame, err := stream.Receive(0)
			if err != nil || stream.Send(frame, time.Second) != nil {
				return
			}
		}
	}}
	address := startServer(t, server, echo)
	pool := wire.NewPool(wire.WithDial(mustOpen(t, oldCA.issue(t, t.TempDir(), "127.0.0.2", later)).Dial))
	defer pool.Close()
	stream, err := pool.Open(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	if err := stream.Send(&wirepb.Frame{Body: &wirepb.Frame_Watch{Watch: &wirepb.Watch{}}}, time.Second); err != nil {
		t.Fatal(err)
	}
	checkEcho := func(version uint64) {
		t.Helper()
		if err := stream.Send(&wirepb.Frame{CatalogVersion: version}, time.Second); err != nil {
			t.Fatal(err)
		}
		if got, err := stream.Receive(5 * time.Second); err != nil || got.GetCatalogVersion() != version {
			t.Fatalf("got %v, %v", got, err)
		}
	}
	checkEcho(1)
	oldClient := mustOpen(t, oldCA.issue(t, t.TempDir(), "127.0.0.2", later))
	bothClient := mustOpen(t, oldCA.issue(t, t.TempDir(), "127.0.0.2", later, newCA))
	newClient := mustOpen(t, newCA.issue(t, t.TempDir(), "127.0.0.2", later, oldCA))
	if ping(t, newClient.Dial, address) {
		t.Error("a certificate of the new CA was accepted before the rotation")
	}
	newCA.issue(t, dir, "127.0.0.1", later, oldCA)
	if err := server.load(); err != nil {
		t.Fatal(err)
	}
	checkEcho(2)
	if !ping(t, newClient.Dial, address) || !ping(t, bothClient.Dial, address) || ping(t, oldClient.Dial, address) {
		t.Error("after the first step, certificates of both CAs must be accepted if the client trusts the new CA")
	}
	newCA.issue(t, dir, "127.0.0.1", later)
	if err := server.load(); err != nil {
		t.Fatal(err)
	}
	checkEcho(3)
	if ping(t, bothClient.Dial, address) || !ping(t, newClient.Dial, address) {
		t.Error("after the second step, certificates of the old CA must be rejected")
	}
}

// TestTruncatedFilesKeepIdentity truncates each file in turn: reloading must fail and the previous identity must stay in use.
func TestTruncatedFilesKeepIdentity(t *testing.T) {
	ca := newTestCA(t)
	files := ca.issue(t, t.TempDir(), "127.0.0.1", time.Now().Add(time.Hour))
	identity := mustOpen(t, files)
	address := startServer(t, identity, wire.Handlers{})
	for _, file := range []string{files.CA, files.Certificate, files.Key} {
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		writeFile(t, file, content[:len(content)/3])
		if err := identity.load(); !IsErrFileInvalid(err) {
			t.Errorf("%s: got %v", file, err)
		}
		if _, err := Open(files); !IsErrFileInvalid(err) {
			t.Errorf("%s: opened with %v", file, err)
		}
		writeFile(t, file, content)
		if !ping(t, identity.Dial, address) {
			t.Errorf("%s: the previous identity is no longer in use", file)
		}
	}
}
