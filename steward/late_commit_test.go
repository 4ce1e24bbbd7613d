package steward

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/quorum"
	"burdocksaddle/wire"
)

// TestLateCommitsDoNotEndCommits guards against a leader that commits no further change after one took longer than changeTimeout.
func TestLateCommitsDoNotEndCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const address = "127.0.0.1:1"
		pool, list := wire.NewPool(), &softwareList{}
		defer pool.Close()
		s, err := Open(Config{Name: "s", Address: address, Peers: []string{address}, FirstStart: true}, pool, WithTableDecoder(decodeVersion),
			WithListEndpoints(list.read))
		if err != nil {
			t.Fatal(err)
		}
		s.quorumLog, err = quorum.Open(quorum.Config{Name: address, Address: address}, quorum.WithPool(pool),
			quorum.WithApply(func(index uint64, command []byte) any {
				time.Sleep(changeTimeout + 100*time.Millisecond)
				return s.apply(index, command)
			}))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := s.Run(ctx)
		var want []string
		for n := range 8 {
			want = append(want, fmt.Sprint("v", n))
			list.set(want...)
			time.Sleep(5 * time.Second)
		}
		s.mu.Lock()
		got := s.software.Versions("lm")
		s.mu.Unlock()
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}
