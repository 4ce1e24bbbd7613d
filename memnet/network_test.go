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

// TestFaults breaks a connection that has carried one message, then sends another on it and on a new one.
func TestFaults(t *testing.T) {
	tests := []struct {
		name      string
		fault     func(*Network)
		open, new string
	}{
		{"none", func(*Network) {}, "read", "read"},
		{"open connections go silent", func(n *Network) { n.Stall("a", "b") }, "silent", "read"},
		{"one way lost", func(n *Network) { n.Lose("a", "b", true) }, "silent", "not reached"},
		{"isolated", func(n *Network) { n.Isolate("b", true) }, "silent", "not reached"},
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
				near, far := pair(t, n, listener)
				before := send(near, far)
				test.fault(n)
				got := []string{before, send(near, far), again(t, n, listener)}
				if diff := cmp.Diff([]string{"read", test.open, test.new}, got); diff != "" {
					t.Errorf("before, open, new (-want +got):\n%s", diff)
				}
			})
		})
	}
}

func pair(t *testing.T, n *Network, listener net.Listener) (near, far net.Conn) {
	near, err := n.DialFrom("a")(t.Context(), "b:1")
	if err != nil {
		t.Fatal(err)
	}
	if far, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	return near, far
}

// send says what becomes of five bytes.
func send(near, far net.Conn) string {
	if _, err := near.Write([]byte("hello")); errors.As(err, &ErrReset{}) {
		return "reset"
	}
	_ = far.SetReadDeadline(time.Now().Add(time.Second))
	_, err := io.ReadFull(far, make([]byte, 5))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "silent"
	case err != nil:
		return err.Error()
	}
	return "read"
}

// again says what a new connection does.
func again(t *testing.T, n *Network, listener net.Listener) string {
	near, err := n.DialFrom("a")(t.Context(), "b:1")
	var refused ErrRefused
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "not reached"
	case errors.As(err, &refused):
		return "refused"
	}
	far, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return send(near, far)
}
