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

// TestAgentGracefulStop stops agents under load. Every request must get a complete response, and a stopped agent's
// service must receive no further calls.
func TestAgentGracefulStop(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, services: 2, engines: 2, callTime: 100 * time.Millisecond, engineOptions: []standin.EngineOption{standin.TokenTime(5 * time.Millisecond)}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	failed := []string{}
	for caller := range 8 {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				var got result
				if caller%2 == 0 {
					got = c.book(t.Context(), n%2, strconv.Itoa(caller)+"-"+strconv.Itoa(n), longDeadline)
				} else {
					got = c.chat(t.Context(), n%2, strings.TrimSpace(strings.Repeat("word ", 20)), caller%4 == 1, longDeadline)
				}
				if got.err != nil || got.status != 200 {
					mu.Lock()
					failed = append(failed, got.outcomeName()+" "+got.body)
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	for _, i := range []int{0, 2} {
		c.agents[i].stop()
		if err := <-c.agents[i].ended; err != nil {
			t.Errorf("agent %d ended with error: %v", i, err)
		}
		ended := make(chan error)
		close(ended)
		c.agents[i].ended = ended
	}
	before := len(c.services[0].Runs())
	time.Sleep(500 * time.Millisecond)
	cancel()
	group.Wait()
	if len(failed) > 0 {
		t.Errorf("%d requests failed: %v", len(failed), failed[:min(len(failed), 5)])
	}
	if after := len(c.services[0].Runs()); after != before {
		t.Errorf("the stopped agent's service received %d more calls", after-before)
	}
}

// TestEntryStopRefusesWaiting stops an entry with a running and a queued request. The running one must complete; the
// queued one and a later one must be refused as not run.
func TestEntryStopRefusesWaiting(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 1, services: 1, slots: 1, callTime: 500 * time.Millisecond})
	got := make(chan result, 2)
	go func() { got <- c.book(t.Context(), 0, "runs", longDeadline) }()
	c.await("first booking running", func() bool { return c.runCount("runs") == 1 })
	go func() { got <- c.book(t.Context(), 0, "waits", longDeadline) }()
	c.await("second booking queued", func() bool { return c.entries[0].Dump().Queues["service/"+plainService].Waiting == 1 })
	c.entries[0].Drain()
	if c.entries[0].Ready() {
		t.Error("entry is still ready after Drain")
	}
	c.entries[0].RefuseWaiting()
	if left := c.entries[0].Stop(t.Context()); left != 0 {
		t.Errorf("%d requests still open after Stop", left)
	}
	outcomes := map[string]int{}
	for range 2 {
		outcomes[(<-got).outcomeName()]++
	}
	late := c.book(t.Context(), 0, "late", longDeadline)
	want := []any{map[string]int{"Answered": 1, "NotRun": 1}, "NotRun", 0, 0}
	if diff := cmp.Diff(want, []any{outcomes, late.outcomeName(), c.runCount("waits"), c.runCount("late")}); diff != "" {
		t.Error(diff)
	}
}

// TestOutcomesOfAnsweredRequestsSurviveStop ends an entry once it has stopped, and the agent with what it remembers. Repeats through another
// entry must get the recorded answers.
func TestOutcomesOfAnsweredRequestsSurviveStop(t *testing.T) {
	t.Parallel()
	const bookings = 30
	c := newCluster(t, clusterConfig{entries: 2, services: 1, slots: bookings, callTime: 50 * time.Millisecond})
	answers := make([]result, bookings)
	var group sync.WaitGroup
	for n := range answers {
		group.Go(func() { answers[n] = c.book(t.Context(), 0, strconv.Itoa(n), longDeadline) })
	}
	c.await("bookings running", func() bool { return c.runCount("0") == 1 })
	if left := c.entries[0].Stop(t.Context()); left != 0 {
		t.Errorf("%d requests still open after Stop", left)
	}
	c.endEntry[0]()
	group.Wait()
	c.restart(0)
	for n, first := range answers {
		if first.err != nil {
			continue // refused because the entry was stopping
		}
		if again := c.book(t.Context(), 1, strconv.Itoa(n), longDeadline); again.outcomeName() != "Answered" || again.body != first.body {
			t.Errorf("booking %d: %q at first, then %s %q", n, first.body, again.outcomeName(), again.body)
		}
	}
	if answers[0].err != nil {
		t.Error(answers[0].err)
	}
}

// TestCallerFairness fills the queue from one caller and checks that another caller's request is still served promptly.
func TestCallerFairness(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 1, services: 1, slots: 2, callTime: 50 * time.Millisecond, preset: catalog.Preset{CallerConcurrency: 20}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	refused := make(chan string, 10_000)
	for range 40 {
		group.Go(func() {
			for ctx.Err() == nil {
				if got := c.lookUpStock(ctx, 0, longDeadline); got.err != nil {
					refused <- got.outcomeName()
					sleep(ctx, 10*time.Millisecond)
				}
			}
		})
	}
	c.await("more than 10 requests queued", func() bool { return c.entries[0].Dump().Queues["service/"+plainService].Waiting > 10 })
	begin := time.Now()
	got := c.bookAs(t.Context(), "other", 0, "key", longDeadline)
	// Its turn comes after at most one queued request of the first caller, not after all of them.
	if took := time.Since(begin); got.err != nil || took > 2*time.Second {
		t.Errorf("error %v after %v", got.err, took)
	}
	cancel()
	group.Wait()
	if len(refused) == 0 {
		t.Error("no request was refused beyond the caller's limit of 20 concurrent requests")
	}
}
