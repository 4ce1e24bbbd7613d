package endpoint

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestNotices checks the use of one endpoint over time. Times are in seconds since the endpoint's first notice.
func TestNotices(t *testing.T) {
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	first, restarted, unknown := State{ID: "w", StartMS: 1, Address: "a"}, State{ID: "w", StartMS: 2, Address: "a"}, State{ID: "w", Address: "a"}
	successor, moved := State{ID: "x", StartMS: 2, Address: "a"}, State{ID: "w", StartMS: 2, Address: "b"}
	leave := func(n *Notices) { n.RecordLeaving(first.Incarnation(), began) }
	pause := func(length time.Duration) func(*Notices) {
		return func(n *Notices) { n.RecordPause(first.Address, length, began) }
	}
	tests := map[string]struct {
		notices []func(*Notices)
		state   State
		arrived float64
		now     float64
		want    Use
	}{
		"nothing was said":                 {nil, first, 1, 1, UseNormal},
		"leaving":                          {[]func(*Notices){leave}, first, 1, 1, UseLast},
		"leaving, after the drain time":    {[]func(*Notices){leave}, first, 3, 3, UseNever},
		"leaving, sent before, tried late": {[]func(*Notices){leave}, first, 2.9, 6, UseLast},
		"leaving, start time unknown":      {[]func(*Notices){leave}, unknown, 3, 3, UseNever},
		"started again":                    {[]func(*Notices){leave}, restarted, 3, 3, UseNormal},
		"leaving, said again":              {[]func(*Notices){leave, func(n *Notices) { n.RecordLeaving(first.Incarnation(), at(2)) }}, first, 3, 3, UseNever},
		"paused":                           {[]func(*Notices){pause(2 * time.Second)}, first, 1, 1.9, UseNever},
		"paused until now":                 {[]func(*Notices){pause(2 * time.Second)}, first, 1, 2, UseNormal},
		"paused for a shorter time later":  {[]func(*Notices){pause(2 * time.Second), pause(time.Second)}, first, 1, 1.9, UseNever},
		"paused, started again":            {[]func(*Notices){pause(2 * time.Second)}, restarted, 1, 1.9, UseNever},
		"paused, started again elsewhere":  {[]func(*Notices){pause(2 * time.Second)}, moved, 1, 1.9, UseNormal},
		"paused, address reused":           {[]func(*Notices){pause(2 * time.Second)}, successor, 1, 1.9, UseNever},
		"paused, address reused, ended":    {[]func(*Notices){pause(2 * time.Second)}, successor, 1, 2, UseNormal},
		"paused, address reused, listed": {[]func(*Notices){pause(2 * time.Second), func(n *Notices) {
			n.Update(map[string]State{"x": successor}, at(1))
		}}, successor, 1, 1.9, UseNever},
		"paused for a day":                 {[]func(*Notices){pause(24 * time.Hour)}, first, 59, 59, UseNever},
		"paused for a day, after MaxPause": {[]func(*Notices){pause(24 * time.Hour)}, first, 60, 60, UseNormal},
		"paused and leaving":               {[]func(*Notices){leave, pause(time.Second)}, first, 0.5, 0.5, UseNever},
		"leaving, listed without it": {[]func(*Notices){leave, func(n *Notices) {
			n.Update(map[string]State{"w": {ID: "w", StartMS: 1}}, at(1))
		}}, first, 3, 3, UseNever},
		"leaving, not listed for a while": {[]func(*Notices){leave, func(n *Notices) { n.Update(nil, at(100)) }}, first, 101, 101, UseNever},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			n := NewNotices(3 * time.Second)
			for _, record := range test.notices {
				record(n)
			}
			if got := n.UseOf(test.state, at(test.arrived), at(test.now)); got != test.want {
				t.Errorf("use %d, want %d", got, test.want)
			}
		})
	}
}

// TestNoticesAreBounded checks that notices of endpoints that are gone, started again or no longer paused are dropped.
func TestNoticesAreBounded(t *testing.T) {
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	n := NewNotices(time.Second)
	n.RecordLeaving(Incarnation{"gone", 1}, began)
	n.RecordLeaving(Incarnation{"again", 1}, began)
	n.RecordLeaving(Incarnation{"stays", 0}, began)
	n.RecordPause("paused", time.Second, began)
	n.Update(map[string]State{"again": {ID: "again", StartMS: 2}, "stays": {ID: "stays", StartMS: 1}, "paused": {ID: "paused", StartMS: 1}}, began.Add(time.Second))
	if diff := cmp.Diff([]Incarnation{{"gone", 1}, {"stays", 1}}, n.Leaving()); diff != "" || len(n.pausedUntil) != 0 {
		t.Errorf("%d pauses: %s", len(n.pausedUntil), diff)
	}
	n.Update(map[string]State{"stays": {ID: "stays", StartMS: 1}}, began.Add(noticeRetention+time.Second))
	if diff := cmp.Diff([]Incarnation{{"stays", 1}}, n.Leaving()); diff != "" || len(n.byID) != 1 {
		t.Errorf("%d notices: %s", len(n.byID), diff)
	}
}

// TestNoticesAreKept draws notices, lists and restarts, and checks that a pause, also across restarts at its address, and a leaving endpoint
// are respected throughout.
func TestNoticesAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const drainTime = 3 * time.Second
		n, now, startMS := NewNotices(drainTime), time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), int64(1)
		var leavingSince, pausedUntil time.Time
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"leave": func(*rapid.T) {
				if n.RecordLeaving(Incarnation{"w", startMS}, now); leavingSince.IsZero() {
					leavingSince = now
				}
			},
			"pause": func(t *rapid.T) {
				pause := time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second
				n.RecordPause("a", pause, now)
				if until := now.Add(min(pause, MaxPause)); until.After(pausedUntil) {
					pausedUntil = until
				}
			},
			"restart": func(*rapid.T) { startMS++; leavingSince = time.Time{} },
			"list":    func(*rapid.T) { n.Update(map[string]State{"w": {ID: "w", StartMS: startMS, Address: "a"}}, now) },
			"": func(t *rapid.T) {
				checkUse(t, n, State{ID: "w", StartMS: startMS, Address: "a"}, now, leavingSince, pausedUntil, drainTime)
			},
		})
	})
}

func checkUse(t *rapid.T, n *Notices, state State, now, leavingSince, pausedUntil time.Time, drainTime time.Duration) {
	want := UseNormal
	switch {
	case now.Before(pausedUntil), !leavingSince.IsZero() && now.Sub(leavingSince) >= drainTime:
		want = UseNever
	case !leavingSince.IsZero():
		want = UseLast
	}
	if got := n.UseOf(state, now, now); got != want {
		t.Fatalf("use %d, want %d: leaving since %v, paused until %v, now %v", got, want, leavingSince, pausedUntil, now)
	}
}
