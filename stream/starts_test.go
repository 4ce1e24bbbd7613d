package stream

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var (
	testStart = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	first     = Origin{Service: "lm", Software: "v1"}
	second    = Origin{Service: "lm", Software: "v2"}
)

// TestStartsAreForgotten checks that starts are known for TTL, and that the oldest one yields to a new one.
func TestStartsAreForgotten(t *testing.T) {
	s := NewStarts(2)
	s.Record(Start{ID: 1, Origin: first}, testStart)
	s.Record(Start{ID: 1, Origin: second}, testStart.Add(time.Second))
	s.Record(Start{ID: 2, Origin: second}, testStart.Add(time.Second))
	if origin, known := s.Find(1, testStart.Add(TTL)); origin != first || !known {
		t.Errorf("%v %t, where it first began counts", origin, known)
	}
	if _, known := s.Find(1, testStart.Add(TTL+1)); known || !s.Has("lm", testStart.Add(TTL+1)) {
		t.Error("known too long, or forgotten too early")
	}
	if s.Has("lm", testStart.Add(2*TTL)) || s.Has("desk", testStart) {
		t.Error("a service has starts that it can't have")
	}
	for id := range uint64(3) {
		s.Record(Start{ID: 10 + id, Origin: first}, testStart.Add(2*TTL))
	}
	if _, known := s.Find(10, testStart.Add(2*TTL)); known || len(s.origin) != 2 || len(s.order) != 2 {
		t.Errorf("%d known, limit 2", len(s.origin))
	}
}

// TestStartsAfter checks that a receiver gets each start once, also when some were forgotten in between.
func TestStartsAfter(t *testing.T) {
	s := NewStarts(4)
	var next uint64
	expect := func(limit int, want ...uint64) {
		t.Helper()
		var starts []Start
		var got []uint64
		starts, next = s.After(next, limit)
		for _, start := range starts {
			got = append(got, start.ID)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	}
	expect(9)
	for id := range uint64(3) {
		s.Record(Start{ID: id, Origin: first}, testStart)
	}
	expect(2, 0, 1)
	expect(2, 2)
	expect(2)
	for id := range uint64(6) {
		s.Record(Start{ID: 10 + id, Origin: second}, testStart)
	}
	expect(9, 12, 13, 14, 15)
	s.Record(Start{ID: 20, Origin: second}, testStart.Add(2*TTL))
	expect(9, 20)
}

// TestVersions checks that a version counts until TTL after it was last seen.
func TestVersions(t *testing.T) {
	var v Versions
	v.Record(first, testStart)
	v.Record(second, testStart)
	v.Record(Origin{Service: "desk", Software: "v7"}, testStart)
	v.Record(second, testStart.Add(TTL))
	for at, want := range map[time.Duration][]string{TTL: {"v1", "v2"}, TTL + time.Second: {"v2"}, 3 * TTL: nil} {
		seen := Versions{map[Origin]time.Time{}}
		for o, at := range v.seen {
			seen.Record(o, at)
		}
		if diff := cmp.Diff(want, seen.Of("lm", testStart.Add(at))); diff != "" {
			t.Errorf("after %v: %s", at, diff)
		}
	}
}
