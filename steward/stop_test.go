package steward

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"burdocksaddle/consensus"
	"burdocksaddle/endpoint"
	"burdocksaddle/quorum"
	"burdocksaddle/wire"
)

func TestStewardEndsWhenItsLogHasStopped(t *testing.T) {
	synctest.Test(t, testStewardEndsWhenItsLogHasStopped)
}

func testStewardEndsWhenItsLogHasStopped(t *testing.T) {
	const address = "127.0.0.1:1"
	pool := wire.NewPool()
	defer pool.Close()
	s, err := Open(Config{Name: "s", Address: address, Peers: []string{address}, FirstStart: true}, pool, WithTableDecoder(decodeVersion),
		WithListEndpoints(func(context.Context) ([]endpoint.State, int, error) { return nil, 0, nil }))
	if err != nil {
		t.Fatal(err)
	}
	s.quorumLog, err = quorum.Open(quorum.Config{Name: address, Address: address}, quorum.WithPool(pool),
		quorum.WithApply(func(uint64, []byte) any { panic(consensus.ErrInvariantBroken{Invariant: "test"}) }))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := s.Run(ctx)
	time.Sleep(time.Second) // an election
	var notCommitted ErrNotCommitted
	if err := s.CommitTable(ctx, []byte("version 1:"), 1); !errors.As(err, &notCommitted) {
		t.Errorf("a change on a log that stops returned %v, want ErrNotCommitted", err)
	}
	if status := s.HealthStatus(); status == http.StatusOK {
		t.Error("a steward whose log has stopped reports that it is healthy")
	}
	select {
	case err := <-ended:
		if !consensus.IsErrInvariantBroken(err) {
			t.Errorf("the steward ended with %v, want ErrInvariantBroken", err)
		}
	case <-time.After(time.Minute):
		t.Error("the steward goes on without its log")
		cancel()
		t.Log(<-ended)
	}
}
