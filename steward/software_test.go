package steward

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"burdocksaddle/endpoint"
	"burdocksaddle/scaling"
	"burdocksaddle/stream"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

// softwareList is a list of endpoints that a test changes.
type softwareList struct {
	mu       sync.Mutex
	versions []string
}

func (l *softwareList) set(versions ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = versions
}

func (l *softwareList) read(context.Context) ([]endpoint.State, int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var states []endpoint.State
	for _, v := range l.versions {
		states = append(states, endpoint.State{ID: "w-" + v, Service: "lm", Address: "127.0.0.1:9", Software: v, Slots: 4})
	}
	return states, 0, nil
}

// waitForVersions waits until a steward names the versions with a proven quorum.
func waitForVersions(ctx context.Context, t *testing.T, s *Steward, want ...string) {
	t.Helper()
	wanted, diff := &wirepb.OriginReply{Versions: want, Proven: true}, ""
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		reply := s.handleOrigin(ctx, &wirepb.OriginQuery{Stream: 1, Service: "lm"}).GetOriginReply()
		if diff = cmp.Diff(wanted, reply, protocmp.Transform()); diff == "" {
			return
		}
	}
	t.Fatal(diff)
}

// TestSoftwareVersionsSurviveRestart guards against a stream that is joined from two versions after all stewards have lost their memory of
// starts: the versions of the last minute must still be named.
func TestSoftwareVersionsSurviveRestart(t *testing.T) {
	dir, list := t.TempDir(), &softwareList{}
	t.Run("first run", func(t *testing.T) {
		list.set("v1", "v2")
		s, ctx := startStewardWithList(t, dir, list.read)
		waitForVersions(ctx, t, s, "v1", "v2")
	})
	t.Run("second run", func(t *testing.T) {
		list.set("v2")
		s, ctx := startStewardWithList(t, dir, list.read)
		waitForVersions(ctx, t, s, "v1", "v2")
		time.Sleep(2 * listInterval) // the new leader has seen that no endpoint runs v1
		waitForVersions(ctx, t, s, "v1", "v2")
	})
}

// TestEndpointIsPublishedAfterItsVersionIsCommitted guards against streams that begin at a version that the log does not name yet, and
// against commits while the versions stay the same.
func TestEndpointIsPublishedAfterItsVersionIsCommitted(t *testing.T) {
	list := &softwareList{}
	list.set("v1")
	s, ctx := startStewardWithList(t, "", list.read)
	waitForVersions(ctx, t, s, "v1")
	time.Sleep(3 * listInterval)
	revision := func() uint64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.software.Revision
	}
	if got := revision(); got != 1 {
		t.Errorf("%d commits with one version", got)
	}
	list.set("v1", "v2")
	var view endpoint.SubscriberView
	var sent sentView
	for end := time.Now().Add(10 * time.Second); len(view.States) < 2 && time.Now().Before(end); {
		snapshot, changed := s.nextSnapshot(&sent)
		view.Apply(snapshot, time.Now())
		versions := s.handleOrigin(ctx, &wirepb.OriginQuery{Service: "lm"}).GetOriginReply().GetVersions()
		for _, state := range view.States {
			if !slices.Contains(versions, state.Software) {
				t.Fatalf("version %s was published, %v committed", state.Software, versions)
			}
		}
		select {
		case <-changed:
		case <-time.After(heartbeatInterval):
		}
	}
	if len(view.States) != 2 || revision() != 2 {
		t.Errorf("%d endpoints published, %d commits", len(view.States), revision())
	}
}

// TestUncommittedVersionStaysUnpublished guards against an endpoint that is published although the commit of its version fails.
func TestUncommittedVersionStaysUnpublished(t *testing.T) {
	s, _ := startSteward(t, "")
	states := []endpoint.State{{ID: "a", Service: "lm", Software: "v1"}, {ID: "b", Service: "lm", Software: "v2"}, {ID: "c", Service: "lm"}}
	publishable := func(want ...string) {
		t.Helper()
		s.mu.Lock()
		defer s.mu.Unlock()
		var got []string
		for _, state := range s.publishable(states) {
			got = append(got, state.ID)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	}
	publishable()
	s.applySoftware(softwareMessage(1, "v1"), false)
	publishable("a", "c")
	s.applySoftware(softwareMessage(2, "v1", "v2"), false)
	publishable("a", "b")
}

func softwareMessage(revision uint64, versions ...string) *wirepb.SoftwareTable {
	return &wirepb.SoftwareTable{Revision: revision, Services: []*wirepb.ServiceSoftware{{Service: "lm", Versions: versions}}}
}

// TestSoftwareChangeAppliesInSequence checks that a change of a former leader, computed from older versions, does not apply, and that a
// snapshot of the log does.
func TestSoftwareChangeAppliesInSequence(t *testing.T) {
	s, _ := startSteward(t, "")
	s.applySoftware(softwareMessage(1, "v1", "v2"), false)
	s.applySoftware(softwareMessage(1, "v2"), false)
	s.applySoftware(softwareMessage(3, "v2"), false)
	state, err := s.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other, _ := startSteward(t, "")
	if err := other.restore(9, state); err != nil {
		t.Fatal(err)
	}
	for _, steward := range []*Steward{s, other} {
		if diff := cmp.Diff(softwareMessage(1, "v1", "v2"), steward.software.ToWire(), protocmp.Transform()); diff != "" {
			t.Error(diff)
		}
	}
}

// TestVersionsAreUnprovenWithoutQuorum guards against a restarted or isolated steward whose log may lack a version.
func TestVersionsAreUnprovenWithoutQuorum(t *testing.T) {
	pool := wire.NewPool()
	s, err := Open(Config{Name: "a", Address: "127.0.0.1:1", Peers: []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}, FirstStart: true, FaultTolerance: 1}, pool,
		WithTableDecoder(decodeVersion), WithListEndpoints((&softwareList{}).read))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := s.Run(ctx)
	defer func() {
		cancel()
		pool.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	s.applySoftware(softwareMessage(1, "v1"), true)
	time.Sleep(100 * time.Millisecond)
	want := &wirepb.OriginReply{Versions: []string{"v1"}}
	if diff := cmp.Diff(want, s.handleOrigin(ctx, &wirepb.OriginQuery{Service: "lm"}).GetOriginReply(), protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
}

// TestSubscribersAreToldOfSeveralVersions checks that gateways learn from a snapshot that a service runs several versions, once per change,
// and nothing while each service runs one.
func TestSubscribersAreToldOfSeveralVersions(t *testing.T) {
	s, _ := startSteward(t, "")
	var sent sentView
	steps := []struct {
		committed, want *wirepb.SoftwareTable
	}{
		{nil, nil},
		{softwareMessage(1, "v1"), nil},
		{softwareMessage(2, "v1", "v2"), softwareMessage(2, "v1", "v2")},
		{nil, nil},
		{softwareMessage(3, "v2"), &wirepb.SoftwareTable{Revision: 3}},
		{softwareMessage(4, "v3"), nil},
	}
	for n, step := range steps {
		s.applySoftware(step.committed, false)
		snapshot, _ := s.nextSnapshot(&sent)
		if diff := cmp.Diff(step.want, snapshot.GetSoftware(), protocmp.Transform()); diff != "" {
			t.Errorf("step %d: %s", n, diff)
		}
	}
	if diff := cmp.Diff(stream.Software{}.Services(), s.software.Several().Services()); diff != "" {
		t.Error(diff)
	}
}

// TestResumedStreamsReachThePlanner checks that what gateways report of resumed streams is summed, and that starts count for their model and
// version while they are recent.
func TestResumedStreamsReachThePlanner(t *testing.T) {
	s, _ := startSteward(t, "")
	for _, gateway := range []string{"a", "b"} {
		s.recordDemand(gateway, &wirepb.DemandReport{Models: []*wirepb.GatewayDemand{
			{Service: "lm", Model: "m", Waiting: 2, Resuming: []*wirepb.ResumingDemand{{Software: "v1", Waiting: 2}}},
		}})
	}
	l := &leader{Steward: s}
	var resuming []scaling.Resuming
	for _, d := range l.collectDemand(time.Now()) {
		resuming = append(resuming, d.Resuming...)
	}
	if diff := cmp.Diff([]scaling.Resuming{{Software: "v1", Waiting: 2}, {Software: "v1", Waiting: 2}}, resuming); diff != "" {
		t.Error(diff)
	}
	now := time.Now()
	s.recordStarts(&wirepb.StreamStarts{Groups: []*wirepb.StreamGroup{
		{Service: "lm", Software: "v1", Model: "m", Streams: []uint64{1, 2}}, {Service: "lm", Software: "v2", Model: "n", Streams: []uint64{3}},
	}})
	want := map[scaling.ModelVersion]int{{Model: "m", Software: "v1"}: 2, {Model: "n", Software: "v2"}: 1}
	if diff := cmp.Diff(want, s.recentStarts(now)); diff != "" {
		t.Error(diff)
	}
	if recent := s.recentStarts(now.Add(2 * recentStartAge)); len(recent) > 0 {
		t.Errorf("%v", recent)
	}
}

// TestDrainingSinceIsNeverTooLate guards against endpoints that take up streams after their drain time because a read of the list was missed.
func TestDrainingSinceIsNeverTooLate(t *testing.T) {
	start := time.Unix(1000, 0)
	states := func(draining bool) []endpoint.State { return []endpoint.State{{ID: "w1", Draining: draining}} }
	l := &leader{}
	steps := []struct {
		what   string
		listed []endpoint.State
		after  time.Duration
		want   time.Time
	}{
		{"first read shows it draining", states(true), 0, time.Time{}},
		{"not draining", states(false), time.Second, start.Add(time.Second)},
		{"draining after missed reads", states(true), 5 * time.Second, start.Add(time.Second)},
		{"still draining", states(true), 6 * time.Second, start.Add(time.Second)},
		{"no longer listed", nil, 7 * time.Second, time.Time{}},
	}
	for _, step := range steps {
		l.recordNotDraining(step.listed, start.Add(step.after))
		if got := l.withDrainingSince(states(true))[0].DrainingSince; !got.Equal(step.want) {
			t.Errorf("%s: draining since %v, want %v", step.what, got, step.want)
		}
	}
}
