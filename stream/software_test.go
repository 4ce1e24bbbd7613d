package stream

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// commit returns the committed versions after a pass of the tracker, and whether they had to be committed.
func commit(tracker *SoftwareTracker, committed Software, now time.Time, listed ...Origin) (Software, bool) {
	next, changed := tracker.Next(committed, listed, now)
	return SoftwareFromWire(next.ToWire()), changed
}

// TestSoftwareIsCommittedOncePerChange guards against commits on days with one version, and against a version that is forgotten before TTL
// has passed, at which a resumed stream could continue at another version.
func TestSoftwareIsCommittedOncePerChange(t *testing.T) {
	unknown := Origin{Service: "lm"}
	steps := []struct {
		after   time.Duration
		listed  []Origin
		want    []string
		changed bool
	}{
		{0, []Origin{first}, []string{"v1"}, true},
		{time.Second, []Origin{first}, []string{"v1"}, false},
		{2 * TTL, []Origin{first}, []string{"v1"}, false},
		{2*TTL + time.Second, []Origin{first, unknown}, []string{"v1"}, false},
		{2*TTL + 2*time.Second, []Origin{first, second}, []string{"v1", "v2"}, true},
		{2*TTL + 3*time.Second, []Origin{second}, []string{"v1", "v2"}, false},
		{3*TTL + 2*time.Second, []Origin{second}, []string{"v1", "v2"}, false},
		{3*TTL + 3*time.Second, []Origin{second}, []string{"v2"}, true},
		{3*TTL + 4*time.Second, []Origin{second}, []string{"v2"}, false},
		{4*TTL + 5*time.Second, nil, nil, true},
	}
	tracker, committed := &SoftwareTracker{}, Software{}
	for n, step := range steps {
		var changed bool
		committed, changed = commit(tracker, committed, testStart.Add(step.after), step.listed...)
		if diff := cmp.Diff(step.want, committed.Versions("lm")); diff != "" || changed != step.changed {
			t.Errorf("step %d: changed %t, %s", n, changed, diff)
		}
	}
	if committed.Revision != 4 {
		t.Errorf("revision %d after 4 changes", committed.Revision)
	}
}

// TestNewLeaderKeepsCommittedVersions guards against a new leader that removes a version because it has never seen an endpoint with it.
func TestNewLeaderKeepsCommittedVersions(t *testing.T) {
	committed, _ := commit(&SoftwareTracker{}, Software{}, testStart, first, second)
	tracker := &SoftwareTracker{}
	for _, after := range []time.Duration{0, TTL / 2, TTL} {
		if next, changed := commit(tracker, committed, testStart.Add(after), second); changed {
			t.Errorf("after %v: %v", after, next)
		}
	}
	next, changed := commit(tracker, committed, testStart.Add(TTL+1), second)
	if diff := cmp.Diff([]string{"v2"}, next.Versions("lm")); diff != "" || !changed {
		t.Errorf("changed %t, %s", changed, diff)
	}
}

// TestAllowedEndpoints guards against an endpoint at which streams begin before its version is committed.
func TestAllowedEndpoints(t *testing.T) {
	unknown := Origin{Service: "lm"}
	one, _ := commit(&SoftwareTracker{}, Software{}, testStart, first)
	both, _ := commit(&SoftwareTracker{}, Software{}, testStart, first, second)
	none, _ := commit(&SoftwareTracker{}, Software{}, testStart, unknown)
	tests := map[string]struct {
		committed Software
		want      map[Origin]bool
	}{
		"nothing committed": {Software{}, map[Origin]bool{first: false, unknown: false}},
		"one version":       {one, map[Origin]bool{first: true, second: false, unknown: true}},
		"two versions":      {both, map[Origin]bool{first: true, second: true, unknown: false}},
		"no version known":  {none, map[Origin]bool{first: false, unknown: true}},
	}
	for name, test := range tests {
		for o, want := range test.want {
			if got := test.committed.Allows(o); got != want {
				t.Errorf("%s, %v: allowed %t", name, o, got)
			}
		}
	}
	if diff := cmp.Diff([]string{"lm"}, both.Several().Services()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string(nil), one.Several().Services()); diff != "" {
		t.Error(diff)
	}
}

// TestStartsSince checks that only starts of the given age are yielded, the latest first.
func TestStartsSince(t *testing.T) {
	s := NewStarts(9)
	for id := range uint64(4) {
		s.Record(Start{ID: id, Origin: first, Model: "m"}, testStart.Add(time.Duration(id)*time.Second))
	}
	var got []uint64
	for start := range s.Since(testStart.Add(2 * time.Second)) {
		got = append(got, start.ID)
	}
	if diff := cmp.Diff([]uint64{3, 2}, got); diff != "" {
		t.Error(diff)
	}
}
