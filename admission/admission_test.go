package admission

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func halfJitter() float64 { return 0.5 }

func request(id, caller string, urgency int) Request {
	return Request{ID: id, Queue: "q", Caller: caller, Urgency: urgency, Arrived: start, Deadline: start.Add(10 * time.Second)}
}

// beginNext begins up to n requests in the queue's order.
func beginNext(a *Admission, n int) []string {
	var ids []string
	for range n {
		next, ok := a.Peek("q")
		if !ok {
			break
		}
		a.Begin(next.ID, start)
		ids = append(ids, next.ID)
	}
	return ids
}

func TestOneCallerCannotStarveOthers(t *testing.T) {
	a := New(Limits{Queue: 100}, halfJitter)
	for i := range 20 {
		_ = a.Enqueue(request("loop-"+strconv.Itoa(i), "loop", 3), start)
	}
	_ = a.Enqueue(request("one", "b", 3), start)
	_ = a.Enqueue(request("two", "c", 3), start)
	want := []string{"loop-0", "one", "two", "loop-1", "loop-2"}
	if diff := cmp.Diff(want, beginNext(a, 5)); diff != "" {
		t.Error(diff)
	}
}

func TestLiveBeforeDraftsWithoutStarvingThem(t *testing.T) {
	a := New(Limits{Queue: 100}, halfJitter)
	for i := range 20 {
		_ = a.Enqueue(request("draft-"+strconv.Itoa(i), "clerk", 7), start)
		_ = a.Enqueue(request("live-"+strconv.Itoa(i), "desk", 1), start)
	}
	got := beginNext(a, 16)
	drafts := []int{}
	for i, id := range got {
		if id[0] == 'd' {
			drafts = append(drafts, i)
		}
	}
	if diff := cmp.Diff([]int{7, 15}, drafts); diff != "" {
		t.Errorf("positions of drafts: %s", diff)
	}
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name   string
		limits Limits
		before func(*Admission)
		next   Request
		reason Reason
	}{
		{"queue", Limits{Queue: 1}, func(a *Admission) { _ = a.Enqueue(request("a", "a", 3), start) }, request("b", "b", 3), ReasonQueueFull},
		{"total", Limits{Queue: 9, Total: 1}, func(a *Admission) { _ = a.Enqueue(request("a", "a", 3), start) }, request("b", "b", 3), ReasonQueueFull},
		{"callers", Limits{Queue: 9, Callers: 1}, func(a *Admission) { _ = a.Enqueue(request("a", "a", 3), start) }, request("b", "b", 3), ReasonQueueFull},
		{"concurrency", Limits{Queue: 9, CallerConcurrency: 1}, func(a *Admission) { _ = a.Enqueue(request("a", "a", 3), start) }, request("b", "a", 3), ReasonCallerConcurrency},
		{"rate", Limits{Queue: 9, CallerRate: 1}, func(a *Admission) { _ = a.Enqueue(request("a", "a", 3), start) }, request("b", "a", 3), ReasonCallerRate},
		{"drafts", Limits{Queue: 9, RefuseDrafts: true}, func(*Admission) {}, request("b", "a", 4), ReasonDrafts},
		{"passed", Limits{Queue: 9}, func(*Admission) {}, Request{ID: "b", Queue: "q", Deadline: start}, ReasonDeadlinePassed},
		{"forecast", Limits{Queue: 9}, func(a *Admission) {
			_ = a.Enqueue(request("a", "a", 3), start)
			a.SetForecast(Forecast{Queue: "q", ReadyIn: 11 * time.Second}, start)
		}, request("b", "b", 3), ReasonDeadlineTooShort},
		{"no replica", Limits{Queue: 9}, func(a *Admission) {
			_ = a.Enqueue(request("a", "a", 3), start)
			a.SetForecast(Forecast{Queue: "q", Refused: "too large"}, start)
		}, request("b", "b", 3), ReasonNoReplica},
		{"estimate", Limits{Queue: 99}, slowQueue, request("b", "b", 3), ReasonDeadlineTooShort},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := New(test.limits, halfJitter)
			test.before(a)
			err := a.Enqueue(test.next, start)
			refused, _ := AsErrRefused(err)
			if diff := cmp.Diff(test.reason, refused.Reason); diff != "" {
				t.Error(diff)
			}
			if test.reason != ReasonDeadlinePassed && refused.RetryAfter < time.Second {
				t.Errorf("RetryAfter is %v, want at least 1s", refused.RetryAfter)
			}
			if err := a.CheckCounts(); err != nil {
				t.Error(err)
			}
		})
	}
}

// slowQueue sets an average of 6 s per request and one slot, with one request waiting.
func slowQueue(a *Admission) {
	for i := range minServiceSamples {
		id := "past-" + strconv.Itoa(i)
		_ = a.Enqueue(Request{ID: id, Queue: "q", Caller: "past", Deadline: start.Add(time.Hour)}, start)
		a.Begin(id, start)
		a.End(id, true, start.Add(6*time.Second))
	}
	_ = a.Enqueue(request("a", "a", 3), start)
	a.SetCapacity("q", 1)
}

func TestWaitingRequestIsRefusedWhenForecastGrows(t *testing.T) {
	a := New(Limits{Queue: 9}, halfJitter)
	_ = a.Enqueue(request("a", "a", 3), start)
	if err := a.CheckWaiting("a", start); err != nil {
		t.Fatal(err)
	}
	a.SetForecast(Forecast{Queue: "q", ReadyIn: 11 * time.Second}, start)
	if _, ok := AsErrRefused(a.CheckWaiting("a", start)); !ok {
		t.Error("a request that cannot meet its deadline is still waiting")
	}
	// A serving replica ends the forecast.
	a.SetCapacity("q", 1)
	if err := a.CheckWaiting("a", start); err != nil {
		t.Error(err)
	}
}

func TestRetryAfterIsJittered(t *testing.T) {
	at := 0.0
	a := New(Limits{Queue: 0}, func() float64 { at += 0.1; return at })
	seen := map[time.Duration]bool{}
	for range 9 {
		refused, _ := AsErrRefused(a.Enqueue(request("a", "a", 3), start))
		seen[refused.RetryAfter] = true
	}
	if len(seen) != 9 {
		t.Errorf("%d distinct Retry-After values of 9", len(seen))
	}
}

// TestRandomOperations checks that, in any order of operations, the counts match and each request is served once or
// ended.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(Limits{Queue: 20, Total: 40}, halfJitter)
		running := []string{}
		for i := range 200 {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				r := request(strconv.Itoa(i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"), rapid.IntRange(0, 7).Draw(t, "urgency"))
				_ = a.Enqueue(r, start)
			case 2:
				if next, ok := a.Peek("q"); ok {
					a.Begin(next.ID, start)
					running = append(running, next.ID)
				}
			case 3:
				if len(running) > 0 && rapid.Bool().Draw(t, "return") {
					a.Requeue(running[0])
					running = running[1:]
				} else if len(running) > 0 {
					a.End(running[0], true, start)
					running = running[1:]
				}
			case 4:
				a.End(strconv.Itoa(rapid.IntRange(0, i).Draw(t, "id")), false, start)
				running = stillOpen(a, running)
			}
			if err := a.CheckCounts(); err != nil {
				t.Fatal(err)
			}
		}
		beginNext(a, 1000)
		if q := a.queues["q"]; q != nil && (q.waiting != 0 || q.live.size()+q.draft.size() != 0) {
			t.Fatalf("%d requests still waiting", q.waiting)
		}
	})
}

func stillOpen(a *Admission, ids []string) []string {
	var kept []string
	for _, id := range ids {
		if a.tickets[id] != nil {
			kept = append(kept, id)
		}
	}
	return kept
}
