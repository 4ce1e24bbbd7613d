package wire

import (
	"context"
	"testing"
	"time"

	"burdocksaddle/wirepb"
)

// TestCallInProgressEndsWithServer guards against callers that wait for a server that has stopped until their call times out.
func TestCallInProgressEndsWithServer(t *testing.T) {
	listener := newPipeListener(func() error { return nil })
	ctx, stop := context.WithCancel(t.Context())
	called := make(chan struct{})
	ended := Serve(ctx, listener, Handlers{Quota: func(ctx context.Context, _ *wirepb.QuotaRequest) *wirepb.Frame {
		close(called)
		<-ctx.Done()
		return nil
	}})
	pool := listener.pool()
	defer pool.Close()
	go func() {
		<-called
		stop()
	}()
	const timeout = 10 * time.Second
	began := time.Now()
	_, err := pool.Call(t.Context(), "peer", &wirepb.Frame{Body: &wirepb.Frame_QuotaRequest{QuotaRequest: &wirepb.QuotaRequest{}}}, timeout)
	if took := time.Since(began); err == nil || took > timeout/10 {
		t.Errorf("the call ended after %v with error %v, want an error when the server stops", took, err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
