package uplink

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/memnet"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

// TestEndOfFormerStreamIsNotTakenForNewOne guards against a steward that counts as lost although its stream is open, since an earlier one,
// to the same steward before it was removed and added again, took long to end.
func TestEndOfFormerStreamIsNotTakenForNewOne(t *testing.T) {
	runtime.GC() // yamux pools timers, which must not come from an earlier bubble
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		ctx, cancel := context.WithCancel(t.Context())
		listener, err := network.Listen(ctx, "s:1")
		if err != nil {
			t.Fatal(err)
		}
		streams := atomic.Uint64{}
		served := wire.Serve(ctx, listener, wire.Handlers{Subscribe: func(ctx context.Context, _ *wirepb.Subscribe, stream *wire.Stream) {
			for number := streams.Add(1); ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
				snapshot := &wirepb.Frame{Body: &wirepb.Frame_Snapshot{Snapshot: &wirepb.Snapshot{Version: number}}}
				if stream.Send(snapshot, time.Second) != nil {
					return
				}
			}
		}})
		pool := wire.NewPool(wire.WithDial(network.DialFrom("gateway")))
		var mu sync.Mutex
		var events []string
		record := func(event string) {
			mu.Lock()
			defer mu.Unlock()
			events = append(events, event)
		}
		u := New("gateway", []string{"s:1"}, pool, WithDisconnectHandler(func(string) { record("lost") }),
			WithSnapshotHandler(func(_ string, s *wirepb.Snapshot) {
				record(fmt.Sprint("stream ", s.GetVersion()))
				if s.GetVersion() == 1 {
					time.Sleep(time.Second)
				}
			}))
		ended := u.Run(ctx)
		time.Sleep(50 * time.Millisecond)
		u.SetStewards(nil)
		pool.CloseSession("s:1") // as when the connection breaks
		time.Sleep(2 * reconcileInterval)
		u.SetStewards([]string{"s:1"})
		time.Sleep(3 * time.Second)
		mu.Lock()
		got := slices.Compact(slices.Clone(events))
		mu.Unlock()
		if diff := cmp.Diff([]string{"stream 1", "lost", "stream 2"}, got); diff != "" {
			t.Error(diff)
		}
		cancel()
		pool.Close()
		for _, end := range []<-chan error{served, ended} {
			if err := <-end; err != nil {
				t.Error(err)
			}
		}
	})
}
