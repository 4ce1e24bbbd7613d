package wire

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"burdocksaddle/wirepb"
)

// pipeListener accepts pipes. Its accepts fail while failure returns an error.
type pipeListener struct {
	conns   chan net.Conn
	failure func() error
	closed  chan struct{}
}

func newPipeListener(failure func() error) *pipeListener {
	return &pipeListener{conns: make(chan net.Conn, 1), failure: failure, closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	if err := l.failure(); err != nil {
		return nil, &net.OpError{Op: "accept", Err: err}
	}
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) pool() *Pool {
	return NewPool(WithDial(func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		l.conns <- server
		return client, nil
	}))
}

func ping(ctx context.Context, pool *Pool) error {
	_, err := pool.Call(ctx, "peer", &wirepb.Frame{Body: &wirepb.Frame_Ping{Ping: &wirepb.Ping{}}}, time.Second)
	return err
}

// TestFailedAcceptsDoNotEndServer guards against a process that accepts no more calls after it ran out of file descriptors for a while.
func TestFailedAcceptsDoNotEndServer(t *testing.T) {
	failures := 5
	listener := newPipeListener(func() error {
		if failures--; failures >= 0 {
			return syscall.EMFILE
		}
		return nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := Serve(ctx, listener, Handlers{})
	pool := listener.pool()
	if err := ping(ctx, pool); err != nil {
		t.Errorf("no answer after accepts worked again: %v", err)
	}
	pool.Close()
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestServerThatCannotAcceptEnds guards against a server that accepts no more calls but doesn't end, since its sessions go on.
func TestServerThatCannotAcceptEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	listener := newPipeListener(func() error { return nil })
	ended := Serve(ctx, listener, Handlers{})
	pool := listener.pool()
	defer pool.Close()
	if err := ping(ctx, pool); err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("the server ended with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the server has not ended 5 s after its listener")
	}
}

// TestServerThatNeverAcceptsEnds guards against a server that goes on for ever although no accept succeeds.
func TestServerThatNeverAcceptsEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ended := Serve(t.Context(), newPipeListener(func() error { return syscall.EMFILE }), Handlers{})
		if err := <-ended; !errors.Is(err, syscall.EMFILE) {
			t.Errorf("the server ended with %v", err)
		}
		if took := time.Since(began); took < acceptPatience || took > acceptPatience+maxAcceptDelay {
			t.Errorf("the server ended after %v", took)
		}
	})
}
