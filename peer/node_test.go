package peer_test

import (
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	"burdocksaddle/demo"
	"burdocksaddle/node"
	"burdocksaddle/peer"
	"burdocksaddle/setting"
	"burdocksaddle/view"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

// TestMembersOverTLS runs three control members by settings with certificates, which must elect a
// leader and serve a node of their authority, and not one that speaks plaintext.
func TestMembersOverTLS(t *testing.T) {
	const members = 3
	issue := peer.Issuer(t)
	listeners := map[string]net.Listener{}
	var addresses, bootstrap []string
	for i := range members {
		var config net.ListenConfig
		listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		listeners[address] = listener
		addresses, bootstrap = append(addresses, address), append(bootstrap, "c"+strconv.Itoa(i)+"="+address)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var ends []<-chan error
	listen := func(_ context.Context, address string) (net.Listener, error) { return listeners[address], nil }
	for i, address := range addresses {
		s := setting.Defaults()
		s.Node, s.DataCentre, s.Roles = "c"+strconv.Itoa(i), "first", []setting.Role{setting.RoleControl}
		s.Listen, s.Controls, s.Control.Bootstrap = address, addresses, bootstrap
		files := issue(t.TempDir(), "127.0.0.1")
		s.TLS.CAFile, s.TLS.CertFile, s.TLS.KeyFile = files.CA, files.Certificate, files.Key
		ends = append(ends, node.New(s, node.WithListen(listen), node.WithFirstCatalog(demo.Catalog())).Run(ctx))
	}
	identity, err := peer.Open(issue(t.TempDir(), "127.0.0.1"))
	if err != nil {
		t.Fatal(err)
	}
	known, stranger := wire.NewPool(wire.WithDial(identity.Dial)), wire.NewPool()
	inside := view.New(known, addresses, &wirepb.Watch{Node: "inside", Role: string(setting.RoleEntry)})
	outside := view.New(stranger, addresses, &wirepb.Watch{Node: "outside", Role: string(setting.RoleEntry)})
	ends = append(ends, inside.Run(ctx), outside.Run(ctx))
	defer func() {
		cancel()
		known.Close()
		stranger.Close()
		for _, end := range ends {
			if err := <-end; err != nil {
				t.Error(err)
			}
		}
	}()
	soon, stop := context.WithTimeout(ctx, 30*time.Second)
	defer stop()
	for !inside.Leased() || inside.Version() == 0 {
		select {
		case <-soon.Done():
			t.Fatal("a node with a certificate got no lease")
		case <-inside.Changed():
		}
	}
	if outside.Leased() || outside.Version() > 0 {
		t.Errorf("a node in plaintext got version %d", outside.Version())
	}
}
