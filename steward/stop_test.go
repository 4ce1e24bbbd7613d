package steward

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"burdocksaddle/consensus"
	"burdocksaddle/endpoint"
	"burdocksaddle/quorum"
	"burdocksaddle/storage"
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

func TestStewardWhoseDiskStaysBrokenGivesUpItsEndpoints(t *testing.T) {
	synctest.Test(t, testStewardWhoseDiskStaysBrokenGivesUpItsEndpoints)
}

func testStewardWhoseDiskStaysBrokenGivesUpItsEndpoints(t *testing.T) {
	const address = "127.0.0.1:1"
	pool := wire.NewPool()
	defer pool.Close()
	s, err := Open(Config{Name: "s", Address: address, Peers: []string{address}, FirstStart: true}, pool, WithTableDecoder(decodeVersion))
	if err != nil {
		t.Fatal(err)
	}
	disk := storage.MemoryFileSystem()
	create := disk.Create
	var full atomic.Bool
	disk.Create = func(name string) (storage.File, error) {
		f, err := create(name)
		write := f.Write
		f.Write = func(p []byte) (int, error) {
			if full.Load() {
				return 0, syscall.ENOSPC
			}
			return write(p)
		}
		return f, err
	}
	s.quorumLog, err = quorum.Open(quorum.Config{Name: address, Address: address}, quorum.WithFileSystem(disk))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := s.quorumLog.Run(ctx)
	defer func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	time.Sleep(2 * time.Second) // an election
	full.Store(true)
	proposed := make(chan error, 1)
	go func() {
		_, err := s.quorumLog.Propose(ctx, nil)
		proposed <- err
	}()
	time.Sleep(maxDiskOutage / 2)
	if s.reportToLeader(ctx, "") == "" {
		t.Error("no report during a short outage")
	}
	time.Sleep(maxDiskOutage)
	if reported := s.reportToLeader(ctx, ""); reported != "" {
		t.Errorf("reported to %s with a disk that has taken nothing for %v", reported, s.quorumLog.WriteAge())
	}
	full.Store(false)
	if err := <-proposed; err != nil {
		t.Errorf("the change that waited for the disk: %v", err)
	}
	time.Sleep(time.Second)
	if s.reportToLeader(ctx, "") == "" {
		t.Error("no report after the disk has recovered")
	}
}
