package memnet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestFaults injects a fault after a connection has carried one message, then sends another message on that
// connection and one on a new connection.
func TestFaults(t *testing.T) {
	tests := []struct {
		name      string
		fault     func(*Network)
		open, new string
	}{
		{"none", func(*Network) {}, "read", "read"},
		{"open connections stalled", func(n *Network) { n.Stall("a", "b") }, "silent", "read"},
		{"one direction dropped", func(n *Network) { n.SetDropped("a", "b", true) }, "silent", "not reached"},
		{"isolated", func(n *Network) { n.SetIsolated("b", true) }, "silent", "not reached"},
		{"crashed", func(n *Network) { n.Crash("b") }, "reset", "refused"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New()
				listener, err := n.Listen(t.Context(), "b:1")
				if err != nil {
					t.Fatal(err)
				}
				client, server := connect(t, n, listener)
				before := send(client, server)
				test.fault(n)
				got := []string{before, send(client, server), sendOnNewConn(t, n, listener)}
				if diff := cmp.Diff([]string{"read", test.open, test.new}, got); diff != "" {
					t.Errorf("before, open, new (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestInboundRateIsShared sends on two connections to a host at the same time.
func TestInboundRateIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New()
		listener, err := n.Listen(t.Context(), "b:1")
		if err != nil {
			t.Fatal(err)
		}
		n.SetInboundRate("b", 1000)
		var servers []net.Conn
		for range 2 {
			client, server := connect(t, n, listener)
			if _, err := client.Write(make([]byte, 500)); err != nil {
				t.Fatal(err)
			}
			servers = append(servers, server)
		}
		start := time.Now()
		for _, server := range servers {
			if _, err := io.ReadFull(server, make([]byte, 500)); err != nil {
				t.Fatal(err)
			}
		}
		// The second connection is opened one latency after the first write.
		if diff := cmp.Diff(time.Second, time.Since(start)); diff != "" {
			t.Errorf("time to receive (-want +got):\n%s", diff)
		}
	})
}

func connect(t *testing.T, n *Network, listener net.Listener) (client, server net.Conn) {
	client, err := n.DialFrom("a")(t.Context(), "b:1")
	if err != nil {
		t.Fatal(err)
	}
	if server, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	return client, server
}

// send writes five bytes on a connection and returns what the receiver sees.
func send(client, server net.Conn) string {
	if _, err := client.Write([]byte("hello")); errors.As(err, &ErrReset{}) {
		return "reset"
	}
	_ = server.SetReadDeadline(time.Now().Add(time.Second))
	_, err := io.ReadFull(server, make([]byte, 5))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "silent"
	case err != nil:
		return err.Error()
	}
	return "read"
}

// sendOnNewConn opens a connection, sends on it and returns the outcome.
func sendOnNewConn(t *testing.T, n *Network, listener net.Listener) string {
	client, err := n.DialFrom("a")(t.Context(), "b:1")
	var refused ErrRefused
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "not reached"
	case errors.As(err, &refused):
		return "refused"
	}
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return send(client, server)
}
