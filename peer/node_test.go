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

// TestMembersOverTLS runs three control members with certificates in their settings. They must elect a leader and serve a node
// with a certificate of the same CA, but not a node that connects without TLS.
func TestMembersOverTLS(t *testing.T) {
	const members = 3
	issue := peer.NewIssuer(t)
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
	tlsPool, plaintextPool := wire.NewPool(wire.WithDial(identity.Dial)), wire.NewPool()
	tlsView := view.New(tlsPool, addresses, &wirepb.Watch{Node: "inside", Role: string(setting.RoleEntry)})
	plaintextView := view.New(plaintextPool, addresses, &wirepb.Watch{Node: "outside", Role: string(setting.RoleEntry)})
	ends = append(ends, tlsView.Run(ctx), plaintextView.Run(ctx))
	defer func() {
		cancel()
		tlsPool.Close()
		plaintextPool.Close()
		for _, end := range ends {
			if err := <-end; err != nil {
				t.Error(err)
			}
		}
	}()
	waitCtx, stop := context.WithTimeout(ctx, 30*time.Second)
	defer stop()
	for !tlsView.Leased() || tlsView.Version() == 0 {
		select {
		case <-waitCtx.Done():
			t.Fatal("a node with a certificate got no lease")
		case <-tlsView.Changed():
		}
	}
	if plaintextView.Leased() || plaintextView.Version() > 0 {
		t.Errorf("a node without TLS got version %d", plaintextView.Version())
	}
}
