package quota

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/team"
)

var testCap = team.Cap{PerSecond: 1000, Burst: 2000, CountsTokens: true}

// newSettledBucket returns a full bucket of a leader that has led for a minute.
func newSettledBucket() *Bucket {
	b := NewBucket(simBounds, testCap, simStart.Add(-time.Minute))
	b.Level(simStart)
	return b
}

// TestTake guards against requests that are granted in part, out of order or beyond the bucket's level.
func TestTake(t *testing.T) {
	tests := map[string]struct {
		ask  Ask
		want Answer
	}{
		"room for all":              {Ask{Requests: []float64{500, 1000}}, Answer{Waits: []time.Duration{0, 0}}},
		"not in part":               {Ask{Requests: []float64{1500, 1000}}, Answer{Waits: []time.Duration{0, 500 * time.Millisecond}}},
		"smaller ones do not pass":  {Ask{Requests: []float64{1500, 1000, 100}}, Answer{Waits: []time.Duration{0, 500 * time.Millisecond, 600 * time.Millisecond}}},
		"more than the burst":       {Ask{Requests: []float64{3000}}, Answer{Waits: []time.Duration{0}}},
		"more than any window has":  {Ask{Requests: []float64{30_000}}, Answer{Waits: []time.Duration{time.Minute}}},
		"ahead, as far as there is": {Ask{Requests: []float64{1500}, Ahead: 900}, Answer{Ahead: 500, Waits: []time.Duration{0}}},
		"requests before ahead":     {Ask{Requests: []float64{1500, 600}, Ahead: 900}, Answer{Waits: []time.Duration{0, 100 * time.Millisecond}}},
		"lease":                     {Ask{PerSecond: 900}, Answer{Waits: []time.Duration{}}},
		"more lease than the rate":  {Ask{PerSecond: 1001}, Answer{Lease: LeaseKept, Waits: []time.Duration{}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, newSettledBucket().Take("g", test.ask, simStart)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestNegativeBalance guards against requests that are granted before the bucket has made up for one that needed more than the burst.
func TestNegativeBalance(t *testing.T) {
	b := newSettledBucket()
	b.Take("g", Ask{Requests: []float64{3000}}, simStart)
	got := b.Take("h", Ask{Requests: []float64{100}}, simStart.Add(500*time.Millisecond))
	if diff := cmp.Diff(Answer{Waits: []time.Duration{600 * time.Millisecond}}, got); diff != "" {
		t.Error(diff)
	}
}

// TestNewLeaderIsEmpty guards against a new leader that lends what the earlier one lent, or what its leases still allow.
func TestNewLeaderIsEmpty(t *testing.T) {
	b := NewBucket(simBounds, testCap, simStart)
	b.Take("g", Ask{PerSecond: 400}, simStart)
	var levels []int
	for _, after := range []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond, 2200 * time.Millisecond} {
		levels = append(levels, int(b.Level(simStart.Add(after))+0.5))
	}
	// 100 and 400 per second at first, after 0.2 s of silence 100.
	if diff := cmp.Diff([]int{0, 50, 100, 300}, levels); diff != "" {
		t.Error(diff)
	}
}

// TestLoweredLimit guards against a bucket that keeps more than the new burst.
func TestLoweredLimit(t *testing.T) {
	b := newSettledBucket()
	b.SetCap(team.Cap{PerSecond: 10, Burst: 50}, simStart)
	if got := b.Level(simStart); got != 50 {
		t.Error(got)
	}
}

// TestGrantExpires guards against grants that are used later than GrantLife after the call for them, and answers that came too late.
func TestGrantExpires(t *testing.T) {
	w := NewWallet(simBounds, testCap, simStart)
	ask := w.Call("l", simStart)
	w.Apply("l", 100, ask, LeaseGranted, simStart, simStart.Add(CallTimeout))
	if held := w.Held(simStart.Add(CallTimeout)); held != 0 {
		t.Errorf("%v held of a late answer", held)
	}
	w.Apply("l", 100, ask, LeaseGranted, simStart, simStart.Add(100*time.Millisecond))
	charge, ok := w.Take(60, simStart.Add(400*time.Millisecond))
	if !ok || charge.Until != simStart.Add(GrantLife) {
		t.Errorf("%v %v", charge, ok)
	}
	w.Return(charge, simStart.Add(450*time.Millisecond))
	if held := w.Held(simStart.Add(450 * time.Millisecond)); held != 100 {
		t.Errorf("%v held after a return", held)
	}
	if _, ok := w.Take(10, simStart.Add(GrantLife)); ok {
		t.Error("an expired grant was used")
	}
}

// TestAllowance guards against a gateway that uses more than its part of the allowance in a window, or any in its first one.
func TestAllowance(t *testing.T) {
	w := NewWallet(simBounds, testCap, simStart)
	var admitted []int
	for _, after := range []time.Duration{time.Second, 9 * time.Second, 10 * time.Second, 17*time.Second + 200*time.Millisecond} {
		n := 0
		for {
			if _, ok := w.TakeAlone(100, 10, simStart.Add(after)); !ok {
				break
			}
			n++
		}
		admitted = append(admitted, n)
	}
	// Half of the slack of 7,400 for 10 gateways is 370 for each.
	if diff := cmp.Diff([]int{0, 3, 0, 3}, admitted); diff != "" {
		t.Error(diff)
	}
}

// TestLease guards against a gateway that uses its lease too early, too long or beyond its rate, while a leader may count it as unused.
func TestLease(t *testing.T) {
	for _, used := range []struct {
		after  time.Duration
		amount float64
		want   bool
	}{
		{400 * time.Millisecond, 1, false}, {600 * time.Millisecond, 41, false}, {600 * time.Millisecond, 39, true},
		{2400 * time.Millisecond, 761, false}, {2400 * time.Millisecond, 759, true}, {2500 * time.Millisecond, 1, false},
	} {
		w := NewWallet(simBounds, testCap, simStart)
		w.RecordDemand(2000, simStart)
		w.Apply("l", 0, Ask{PerSecond: 400}, LeaseGranted, simStart, simStart.Add(time.Millisecond))
		w.calledAt = simStart
		if _, ok := w.TakeAlone(used.amount, 10, simStart.Add(used.after)); ok != used.want {
			t.Errorf("%v after the call %v were taken: %v", used.after, used.amount, ok)
		}
	}
}

// TestLateCharge guards against charges that may be sent long after the amount was lent.
func TestLateCharge(t *testing.T) {
	w := NewWallet(simBounds, testCap, simStart)
	w.Apply("l", 100, Ask{PerSecond: 400}, LeaseGranted, simStart, simStart.Add(time.Millisecond))
	w.calledAt = simStart
	near := simStart.Add(450 * time.Millisecond)
	granted, _ := w.Take(100, near)
	alone, _ := w.TakeAlone(10, 10, simStart.Add(600*time.Millisecond))
	got := []time.Duration{granted.Until.Sub(simStart), alone.Until.Sub(simStart)}
	if diff := cmp.Diff([]time.Duration{550 * time.Millisecond, 700 * time.Millisecond}, got); diff != "" {
		t.Error(diff)
	}
}
