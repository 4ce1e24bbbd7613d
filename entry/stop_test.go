package entry_test

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/catalog"
	"burdocksaddle/standin"
)

// TestAgentStopCutsOffNothing stops agents under load; every request is answered
// whole, and after a few seconds the stopped ones get nothing new.
func TestAgentStopCutsOffNothing(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedSize{entries: 2, services: 2, engines: 2, callTime: 100 * time.Millisecond, engine: []standin.EngineOption{standin.TokenTime(5 * time.Millisecond)}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	bad := []string{}
	for caller := range 8 {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				var got answer
				if caller%2 == 0 {
					got = b.book(t.Context(), n%2, strconv.Itoa(caller)+"-"+strconv.Itoa(n), longDeadline)
				} else {
					got = b.chat(t.Context(), n%2, strings.TrimSpace(strings.Repeat("word ", 20)), caller%4 == 1, longDeadline)
				}
				if got.err != nil || got.status != 200 {
					mu.Lock()
					bad = append(bad, got.run()+" "+got.body)
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	for _, i := range []int{0, 2} {
		b.agents[i].stop()
		if err := <-b.agents[i].ended; err != nil {
			t.Errorf("agent %d ended with %v", i, err)
		}
		ended := make(chan error)
		close(ended)
		b.agents[i].ended = ended
	}
	before := len(b.services[0].Runs())
	time.Sleep(500 * time.Millisecond)
	cancel()
	group.Wait()
	if len(bad) > 0 {
		t.Errorf("%d requests were cut off: %v", len(bad), bad[:min(len(bad), 5)])
	}
	if after := len(b.services[0].Runs()); after != before {
		t.Errorf("the stopped agent's service got %d more calls", after-before)
	}
}

// TestEntryStopHandsOver stops an entry with requests that run and that wait.
func TestEntryStopHandsOver(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedSize{entries: 1, services: 1, slots: 1, callTime: 500 * time.Millisecond})
	got := make(chan answer, 2)
	go func() { got <- b.book(t.Context(), 0, "runs", longDeadline) }()
	b.await("the first booking runs", func() bool { return b.runs("runs") == 1 })
	go func() { got <- b.book(t.Context(), 0, "waits", longDeadline) }()
	b.await("the second booking waits", func() bool { return b.entries[0].Dump().Queues["service/"+desk].Waiting == 1 })
	b.entries[0].Drain()
	if b.entries[0].Ready() {
		t.Error("the health check still holds")
	}
	b.entries[0].HandOver()
	if left := b.entries[0].Stop(t.Context()); left != 0 {
		t.Errorf("%d left", left)
	}
	told := map[string]int{}
	for range 2 {
		told[(<-got).run()]++
	}
	late := b.book(t.Context(), 0, "late", longDeadline)
	want := []any{map[string]int{"Answered": 1, "NotRun": 1}, "NotRun", 0, 0}
	if diff := cmp.Diff(want, []any{told, late.run(), b.runs("waits"), b.runs("late")}); diff != "" {
		t.Error(diff)
	}
}

// TestLoopingCallerLeavesOthersTheirTurn lets one caller fill the queue.
func TestLoopingCallerLeavesOthersTheirTurn(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedSize{entries: 1, services: 1, slots: 2, callTime: 50 * time.Millisecond, preset: catalog.Preset{CallerConcurrency: 20}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	refused := make(chan string, 10_000)
	for range 40 {
		group.Go(func() {
			for ctx.Err() == nil {
				if got := b.lookUp(ctx, 0, longDeadline); got.err != nil {
					refused <- got.run()
					sleep(ctx, 10*time.Millisecond)
				}
			}
		})
	}
	b.await("the queue is full", func() bool { return b.entries[0].Dump().Queues["service/"+desk].Waiting > 10 })
	begin := time.Now()
	got := b.bookAs(t.Context(), "other", 0, "key", longDeadline)
	// Its turn comes after at most one request of the loop, not after all that wait.
	if took := time.Since(begin); got.err != nil || took > 2*time.Second {
		t.Errorf("%v after %v", got.err, took)
	}
	cancel()
	group.Wait()
	if len(refused) == 0 {
		t.Error("the loop was never refused beyond its 20 at once")
	}
}
