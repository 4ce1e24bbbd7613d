package quarantine

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// keyedCrash returns a crash under a request with the key, after the given time.
func keyedCrash(n int, key uint64, at time.Duration, parts ...uint64) Crash {
	c := testCrash(n, at-100*time.Millisecond, at, true, parts...)
	c.Key, c.Service = key, "desk"
	return c
}

// blamedKeys returns the keys of the requests that the evidence quarantines.
func blamedKeys(e *Evidence, at time.Duration) []uint64 {
	next, _ := e.Next(Table{}, testStart.Add(at))
	var keys []uint64
	for _, r := range next.Requests {
		keys = append(keys, r.Key)
	}
	return keys
}

// TestBlamedRequests checks which requests are quarantined.
func TestBlamedRequests(t *testing.T) {
	const ms = time.Millisecond
	crashes := func(key uint64, at ...time.Duration) []Crash {
		var all []Crash
		for n, at := range at {
			all = append(all, keyedCrash(n, key, at))
		}
		return all
	}
	tests := map[string]struct {
		crashes []Crash
		// answered is when the request with key 7 was last answered, 0 for never.
		answered time.Duration
		want     []uint64
	}{
		"two crashes":                          {crashes(7, 100*ms, 200*ms), 0, nil},
		"three crashes":                        {crashes(7, 100*ms, 200*ms, 350*ms), 0, []uint64{7}},
		"three at the same time":               {crashes(7, 100*ms, 100*ms, 100*ms), 0, []uint64{7}},
		"three requests at one crash":          {[]Crash{keyedCrash(1, 7, 100*ms), keyedCrash(1, 8, 100*ms), keyedCrash(1, 9, 100*ms)}, 0, nil},
		"two requests at three crashes":        {append(crashes(7, 100*ms, 200*ms, 350*ms), crashes(8, 100*ms, 200*ms, 350*ms)...), 0, []uint64{7, 8}},
		"answered after two of them":           {crashes(7, 100*ms, 200*ms, 350*ms), 300 * ms, nil},
		"answered after them":                  {crashes(7, 100*ms, 200*ms, 350*ms), 400 * ms, nil},
		"asked for all the time":               {crashes(7, 10_100*ms, 10_200*ms, 10_350*ms), 10_000 * ms, nil},
		"asked for all the time, then crashes": {crashes(7, 10_100*ms, 10_200*ms, 10_350*ms, 14_000*ms), 10_000 * ms, []uint64{7}},
		"answered long before":                 {crashes(7, 10_100*ms, 10_200*ms, 10_350*ms), 4_000 * ms, []uint64{7}},
		"after a part of its response":         {crashes(0, 100*ms, 200*ms, 350*ms), 0, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := New()
			for n, c := range test.crashes {
				c.Request += string(rune('a' + n)) // several requests may see one crash
				e.RecordCrash(c, c.At)
			}
			if test.answered > 0 {
				e.RecordAnswer(7, testStart.Add(test.answered))
			}
			if diff := cmp.Diff(test.want, blamedKeys(e, 15*time.Second)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestRepeatedRequestDoesNotBlameItsPrompt checks that a rare part isn't quarantined with the only request in whose prompt it crashed endpoints.
func TestRepeatedRequestDoesNotBlameItsPrompt(t *testing.T) {
	e := New()
	for n := range 4 {
		e.RecordCrash(keyedCrash(n, 7, time.Duration(n)*time.Second, 100), testStart)
	}
	bystander := keyedCrash(3, 8, 3*time.Second, 100)
	bystander.Request = "bystander"
	e.RecordCrash(bystander, testStart)
	next, _ := e.Next(Table{}, testStart.Add(10*time.Second))
	if diff := cmp.Diff(Table{Revision: 1, Requests: []Request{{Key: 7}}}, next); diff != "" {
		t.Error(diff)
	}
}

// TestDeadlyPartIsFoundBesideRepeatedRequests checks that retries of the first requests with a deadly part don't hide it.
func TestDeadlyPartIsFoundBesideRepeatedRequests(t *testing.T) {
	e := New()
	for n := range 3 {
		e.RecordCrash(keyedCrash(n, 7, time.Duration(n)*time.Second, 666), testStart)
	}
	table, _ := e.Next(Table{}, testStart.Add(5*time.Second))
	if !table.BlocksRequest(7) || table.Blocks([]uint64{666}) {
		t.Errorf("after one request: %v", table)
	}
	e.RecordCrash(keyedCrash(9, 8, 6*time.Second, 666), testStart)
	if table, _ = e.Next(table, testStart.Add(7*time.Second)); !table.Blocks([]uint64{666}) {
		t.Errorf("after another one: %v", table)
	}
}

// TestAnsweredRequestIsReleased checks that an answer ends the quarantine of a request, at this leader and at the next one.
func TestAnsweredRequestIsReleased(t *testing.T) {
	e, now := New(), testStart.Add(5*time.Second)
	for n := range 3 {
		e.RecordCrash(keyedCrash(n, 7, time.Second), testStart)
	}
	table, _ := e.Next(Table{}, now)
	if suspects := e.Suspects(table); !slices.Equal(suspects, []uint64{7}) || !table.BlocksRequest(7) {
		t.Fatalf("suspects %v, %v", suspects, table)
	}
	for name, leader := range map[string]*Evidence{"this leader": e, "the next leader": New()} {
		leader.RecordAnswer(7, now)
		if next, changed := leader.Next(table, now.Add(time.Second)); !changed || next.BlocksRequest(7) {
			t.Errorf("%s: %v", name, next)
		}
	}
}

// TestRequestQuarantineEnds checks that a request that is never answered is let through after requestDuration.
func TestRequestQuarantineEnds(t *testing.T) {
	e, table := New(), Table{Revision: 1, Requests: []Request{{Key: 7}}}
	table, _ = e.Next(table, testStart)
	for at, want := range map[time.Duration]bool{requestDuration - time.Second: true, requestDuration + time.Second: false} {
		if next, _ := e.Next(table, testStart.Add(at)); next.BlocksRequest(7) != want {
			t.Errorf("after %v: %v", at, next)
		}
	}
}

// TestRequestTableIsBounded checks that the oldest request without a trial yields to a new one, and that a table is sent whole.
func TestRequestTableIsBounded(t *testing.T) {
	table := Table{Requests: []Request{{Key: 1, Trials: 1}}}
	for n := range maxRequests + 3 {
		table = table.WithBlamedRequest(uint64(100 + n))
	}
	if len(table.Requests) != maxRequests || !table.BlocksRequest(1) || table.BlocksRequest(103) || !table.BlocksRequest(104) {
		t.Errorf("%d requests: %v", len(table.Requests), table)
	}
	if diff := cmp.Diff(table, FromWire(table.ToWire())); diff != "" {
		t.Error(diff)
	}
}

// TestRepeatedRequestIsFound sends a deadly request again and again to a plain service among sound ones, some of which many callers send.
func TestRepeatedRequestIsFound(t *testing.T) {
	for seed := range uint64(simulatedSeeds) {
		f := newSimulatedFleet(seed, 3)
		f.speed = 20
		for f.now < 40*time.Second {
			f.sendKeyed(false, 1000+f.r.Uint64N(1<<40))
			f.sendKeyed(false, 1+f.r.Uint64N(20))
			if f.now > 4*time.Second && f.r.IntN(20) == 0 {
				f.sendKeyed(true, 666)
			}
			f.step()
		}
		if !f.table.BlocksRequest(666) || f.crashes > 9 {
			t.Errorf("seed %d: %d crashes, %v", seed, f.crashes, f.table)
		}
		for _, r := range f.table.Requests {
			if r.Key <= 20 {
				t.Errorf("seed %d: the sound request %d is quarantined", seed, r.Key)
			}
		}
	}
}
