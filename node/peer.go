package node

import (
	"context"
	"net"
	"time"

	"burdocksaddle/peer"
	"burdocksaddle/wire"
)

// peers returns how the process listens to its peers and dials them: by mutual TLS where the settings
// name files, else in plaintext, which the settings allow on loopback or by their own word only.
func (n *Node) peers(ctx context.Context, duties *[]<-chan error) (func(net.Listener) net.Listener, []wire.PoolOption, error) {
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
	*duties = append(*duties, identity.Run(ctx))
	return identity.Listen, []wire.PoolOption{wire.WithDial(identity.Dial)}, nil
}
