package endpoint

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"burdocksaddle/wirepb"
)

// newStates returns n endpoints with two models each.
func newStates(n int) []State {
	var states []State
	for i := range n {
		states = append(states, State{
			ID: fmt.Sprintf("i-%08d", i), Service: "lm", Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), DataCentre: "here", Slots: 32,
			Models: []Model{{Name: "model0001", Adapters: []string{"a1", "a2"}}, {Name: fmt.Sprintf("model%04d", i)}}, Load: &Load{},
		})
	}
	return states
}

// randomChange changes one property of a random endpoint, or adds or removes an endpoint.
func randomChange(r *rand.Rand, states []State) []State {
	i := r.IntN(len(states))
	state := states[i]
	load := *state.Load
	switch r.IntN(9) {
	case 0, 1, 2:
		load.Running = r.IntN(32)
	case 3:
		load.Waiting = r.IntN(5)
	case 4:
		load.Busy = !load.Busy
	case 5:
		state.Models = []Model{{Name: fmt.Sprintf("m%d", r.IntN(9)), Adapters: []string{fmt.Sprintf("a%d", r.IntN(9))}}}
	case 6:
		state.Software = fmt.Sprintf("v%d", r.IntN(3))
		state.Holder, state.Loading = fmt.Sprintf("h%d", r.IntN(3)), fmt.Sprintf("m%d", r.IntN(3))
	case 7:
		state.Limit = Limit{Named: r.IntN(2) == 0, PerSecond: float64(r.IntN(3))}
		state.Speed = float64(r.IntN(3)) / 2
	case 8:
		if len(states) > 3 {
			return slices.Delete(slices.Clone(states), i, i+1)
		}
	}
	state.Load = &load
	states = slices.Clone(states)
	states[i] = state
	if r.IntN(9) == 0 {
		states = append(states, State{ID: fmt.Sprintf("n-%d", r.Int()), Load: &Load{}})
	}
	return states
}

// subscriber receives the snapshots of a view in their wire encoding.
type subscriber struct {
	view     SubscriberView
	revision uint64
}

func (s *subscriber) receive(t *testing.T, v *View, now time.Time) {
	t.Helper()
	snapshot := &wirepb.Snapshot{}
	s.revision = v.FillSnapshot(snapshot, s.revision, now)
	data, err := proto.Marshal(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	received := &wirepb.Snapshot{}
	if err := proto.Unmarshal(data, received); err != nil {
		t.Fatal(err)
	}
	if !s.view.Apply(received, now) {
		t.Fatal("snapshot rejected")
	}
}

// TestSubscribersConverge applies random changes that subscribers receive at different times, and guards against missed
// changes: a subscriber with the latest snapshot must have the complete current state.
func TestSubscribersConverge(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		v, all, now := &View{}, newStates(6), time.Unix(1000, 0)
		subscribers := []*subscriber{{}, {}, {}}
		for range 200 {
			now = now.Add(time.Duration(r.IntN(300)) * time.Millisecond)
			all = randomChange(r, all)
			want := map[Absent]Expected{{Model: "gone"}: {Wait: time.Duration(r.IntN(20)) * time.Second}}
			v.Update(all, want, now)
			sub := subscribers[r.IntN(len(subscribers))]
			sub.receive(t, v, now)
			states := map[string]State{}
			for _, s := range all {
				s = s.ForGateways()
				// A load is sent again only if it has changed significantly.
				if got, ok := sub.view.States[s.ID]; ok && !s.Load.differsSignificantly(*got.Load, s.Slots) {
					s.Load.Running, s.Load.Waiting = got.Load.Running, got.Load.Waiting
				}
				states[s.ID] = s
			}
			if diff := cmp.Diff(states, sub.view.States); diff != "" {
				t.Fatalf("seed %d: %s", seed, diff)
			}
			if got, _ := sub.view.ExpectedTime(Absent{Model: "gone"}, now); (got - want[Absent{Model: "gone"}].Wait).Abs() > expectedTolerance {
				t.Fatalf("seed %d: expected in %v, want %v", seed, got, want[Absent{Model: "gone"}].Wait)
			}
		}
	}
}

// TestExpectedTimeCountsDown publishes the expected times of two models, one of which is being loaded. Only its time must
// count down, and neither time must be sent again.
func TestExpectedTimeCountsDown(t *testing.T) {
	v, s, start := &View{}, &subscriber{}, time.Unix(1000, 0)
	for elapsed := time.Duration(0); elapsed <= 3*time.Second; elapsed += 200 * time.Millisecond {
		v.Update(nil, map[Absent]Expected{{Model: "coming"}: {Wait: 6*time.Second - elapsed, Loading: true}, {Model: "absent"}: {Wait: 13 * time.Second}}, start.Add(elapsed))
		s.receive(t, v, start.Add(elapsed))
	}
	end := start.Add(3 * time.Second)
	coming, _ := s.view.ExpectedTime(Absent{Model: "coming"}, end)
	absent, _ := s.view.ExpectedTime(Absent{Model: "absent"}, end)
	if coming != 3*time.Second || absent != 13*time.Second || !s.view.ExpectedAt.Equal(start) {
		t.Errorf("coming in %v, absent in %v, sent at %v", coming, absent, s.view.ExpectedAt.Sub(start))
	}
}

// TestDrainingSinceReachesLateSubscribers guards against endpoints that count as draining only since a subscriber connected.
func TestDrainingSinceReachesLateSubscribers(t *testing.T) {
	v, start := &View{}, time.Unix(1000, 0)
	v.Update([]State{{ID: "w1", Draining: true, DrainingSince: start}, {ID: "w2", Draining: true}}, nil, start.Add(time.Second))
	for _, after := range []time.Duration{time.Second, 2500 * time.Millisecond} {
		s := &subscriber{}
		s.receive(t, v, start.Add(after))
		if known, unknown := s.view.States["w1"].DrainingSince, s.view.States["w2"].DrainingSince; !known.Equal(start) || !unknown.IsZero() {
			t.Errorf("after %v: draining since %v and %v", after, known, unknown)
		}
	}
}

// TestSnapshotSizeDependsOnChanges guards against snapshots that repeat unchanged state. If the loads of all 187 endpoints
// change, the snapshot must have at most a quarter of the size of a complete one; without changes, its size must not depend on
// the number of endpoints.
func TestSnapshotSizeDependsOnChanges(t *testing.T) {
	const endpoints = 187 // as in a deployment of 300 VMs
	v, all, now := &View{}, newStates(endpoints), time.Unix(1000, 0)
	size := func(after uint64) (int, uint64) {
		snapshot := &wirepb.Snapshot{}
		revision := v.FillSnapshot(snapshot, after, now)
		return proto.Size(snapshot), revision
	}
	v.Update(all, nil, now)
	complete, seen := size(0)
	for i := range all {
		load := *all[i].Load
		load.Running += 9
		all[i].Load = &load
	}
	v.Update(all, nil, now)
	loads, seen := size(seen)
	nothing, _ := size(seen)
	if loads > complete/4 || nothing > 16 {
		t.Errorf("complete snapshot has %d bytes, load changes %d, no changes %d", complete, loads, nothing)
	}
	v.Update(all[1:], nil, now)
	if after, _ := size(seen); after > 32 {
		t.Errorf("snapshot after a removal has %d bytes, a complete one %d", after, complete)
	}
	for n := range maxRemovals + 2 {
		v.Update(append(newStates(3), State{ID: fmt.Sprintf("brief-%d", n)}), nil, now)
	}
	snapshot := &wirepb.Snapshot{}
	if v.FillSnapshot(snapshot, seen, now); !snapshot.GetComplete() {
		t.Error("want a complete snapshot after removals were discarded")
	}
}
