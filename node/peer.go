package node

import (
	"context"
	"net"
	"time"

	"burdocksaddle/peer"
	"burdocksaddle/wire"
)

// peerTransport returns the functions that accept connections from peers and open connections to them. They use mutual TLS
// if the settings name certificate files. Otherwise they use plaintext, which the settings allow only on loopback addresses
// or with TLS.AllowPlaintext.
func (n *Node) peerTransport(ctx context.Context, tasks *[]<-chan error) (func(net.Listener) net.Listener, []wire.PoolOption, error) {
	plain := func(listener net.Listener) net.Listener { return listener }
	if n.dial != nil {
		return plain, []wire.PoolOption{wire.WithDial(n.dial)}, nil
	}
	files := n.settings.TLS
	if files.CertFile == "" {
		return plain, nil, nil
	}
	identity, err := peer.Open(peer.Files{CA: files.CAFile, Certificate: files.CertFile, Key: files.KeyFile},
		peer.WithLog(n.log), peer.WithReload(time.Duration(files.ReloadMS)*time.Millisecond))
	if err != nil {
		return nil, nil, err
	}
	*tasks = append(*tasks, identity.Run(ctx))
	return identity.Listen, []wire.PoolOption{wire.WithDial(identity.Dial)}, nil
}
