package endpoint

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"burdocksaddle/wirepb"
)

// expectedTolerance is the largest error of an expected time that is not corrected in a snapshot. Clients wait for seconds, so
// a smaller error doesn't matter to them.
const expectedTolerance = 100 * time.Millisecond

// maxRemovals is the number of removals kept for subscribers that have not seen them. With 3,000 endpoints, some are removed
// every second.
const maxRemovals = 256

// Absent is a model that no endpoint of a software version holds, or no endpoint at all if Software is empty.
type Absent struct{ Model, Software string }

// compare orders models by name and version.
func (a Absent) compare(other Absent) int {
	return cmp.Or(strings.Compare(a.Model, other.Model), strings.Compare(a.Software, other.Software))
}

// Expected is the expected time until an absent model can serve requests.
type Expected struct {
	Wait time.Duration
	// Loading is set while the model is being loaded, so that Wait counts down.
	Loading bool
}

// afterDelay returns the expected time after the given time has elapsed.
func (e Expected) afterDelay(elapsed time.Duration) Expected {
	if e.Loading {
		e.Wait = max(0, e.Wait-elapsed)
	}
	return e
}

// View is the endpoint state that a leader publishes. It assigns a revision to each change, so that a subscriber is sent only
// the changes it has not seen: with 300 VMs, sending all endpoints to all gateways on each change cost the leader 25 MB/s.
type View struct {
	revision uint64
	states   map[string]trackedState
	// removals are the removed endpoints, oldest first. A subscriber at a revision before prunedRevision, that of the last
	// discarded removal, is sent a complete snapshot.
	removals       []removal
	prunedRevision uint64
	// expected are the absent models, as published at expectedRevision and expectedSince.
	expected         map[Absent]Expected
	expectedRevision uint64
	expectedSince    time.Time
}

// removal is the removal of an endpoint at a revision.
type removal struct {
	id       string
	revision uint64
}

// trackedState is an endpoint's state with the revisions of its last change and of its last load update.
type trackedState struct {
	state                         State
	changedRevision, loadRevision uint64
}

// Update updates the view to the current endpoints and to the expected times of absent models.
func (v *View) Update(states []State, expected map[Absent]Expected, now time.Time) {
	v.revision++
	next := make(map[string]trackedState, len(states))
	for _, s := range states {
		s = s.ForGateways()
		tracked, exists := v.states[s.ID]
		switch {
		case !exists || !s.equalExceptLoadCounts(tracked.state):
			tracked = trackedState{s, v.revision, v.revision}
		case s.Load != nil && s.Load.differsSignificantly(*tracked.state.Load, s.Slots):
			tracked.state, tracked.loadRevision = s, v.revision
		}
		next[s.ID] = tracked
	}
	for id := range v.states {
		if _, listed := next[id]; !listed {
			v.removals = append(v.removals, removal{id, v.revision})
		}
	}
	if excess := len(v.removals) - maxRemovals; excess > 0 {
		v.prunedRevision = v.removals[excess-1].revision
		v.removals = slices.Clone(v.removals[excess:])
	}
	v.states = next
	elapsed := now.Sub(v.expectedSince)
	unchanged := maps.EqualFunc(expected, v.expected, func(a, b Expected) bool {
		b = b.afterDelay(elapsed)
		return a.Loading == b.Loading && (a.Wait-b.Wait).Abs() <= expectedTolerance
	})
	if !unchanged {
		v.expected, v.expectedRevision, v.expectedSince = expected, v.revision, now
	}
}

// FillSnapshot adds the changes after a revision to a snapshot and returns the snapshot's revision. After revision 0, the
// snapshot is complete.
func (v *View) FillSnapshot(snapshot *wirepb.Snapshot, after uint64, now time.Time) uint64 {
	snapshot.HasEndpoints = true
	snapshot.Complete = after == 0 || after < v.prunedRevision
	for i := len(v.removals) - 1; i >= 0 && v.removals[i].revision > after && !snapshot.GetComplete(); i-- {
		snapshot.Gone = append(snapshot.Gone, v.removals[i].id)
	}
	for _, id := range slices.Sorted(maps.Keys(v.states)) {
		switch s := v.states[id]; {
		case snapshot.GetComplete() || s.changedRevision > after:
			message := s.state.ToWire()
			if !s.state.DrainingSince.IsZero() {
				message.DrainingMs = uint32(now.Sub(s.state.DrainingSince).Milliseconds())
			}
			snapshot.Endpoints = append(snapshot.Endpoints, message)
		case s.loadRevision > after:
			snapshot.Loads = append(snapshot.Loads, &wirepb.EndpointLoad{
				Id: id, Running: uint32(s.state.Load.Running), Waiting: uint32(s.state.Load.Waiting),
			})
		}
	}
	if snapshot.GetComplete() || v.expectedRevision > after {
		snapshot.HasAbsent = true
		for _, absent := range slices.SortedFunc(maps.Keys(v.expected), Absent.compare) {
			remaining := v.expected[absent].afterDelay(now.Sub(v.expectedSince))
			message := &wirepb.AbsentModel{Name: absent.Model, Software: absent.Software, ExpectedMs: uint32(remaining.Wait.Milliseconds()), Coming: remaining.Loading}
			if absent.Software == "" {
				snapshot.Absent = append(snapshot.Absent, message)
			} else {
				snapshot.AbsentAt = append(snapshot.AbsentAt, message)
			}
		}
	}
	return v.revision
}

// differsSignificantly reports whether a load has changed enough to affect the choice between endpoints: by more than a tenth
// of the slots, or between waiting and no waiting requests, idle and busy, or free and no free slots.
func (l Load) differsSignificantly(other Load, slots int) bool {
	return abs(l.Running-other.Running) > slots/10 || (l.Waiting == 0) != (other.Waiting == 0) || abs(l.Waiting-other.Waiting) > slots/10 ||
		(l.Running == 0) != (other.Running == 0) || (l.Running >= slots) != (other.Running >= slots)
}

func abs(n int) int { return max(n, -n) }

// ForGateways returns the part of a state that gateways need.
func (s State) ForGateways() State {
	s.Remaining, s.LoadingLeft = 0, 0
	if s.Load != nil {
		s.Load = &Load{Running: s.Load.Running, Waiting: s.Load.Waiting, Busy: s.Load.Busy}
	}
	return s
}

// equalExceptLoadCounts reports whether two states as returned by ForGateways differ at most in their numbers of running and waiting
// requests.
func (s State) equalExceptLoadCounts(other State) bool {
	if (s.Load == nil) != (other.Load == nil) || s.Load != nil && s.Load.Busy != other.Load.Busy {
		return false
	}
	equal := s.StartMS == other.StartMS && s.Service == other.Service && s.Software == other.Software && s.Address == other.Address && s.DataCentre == other.DataCentre && s.Slots == other.Slots
	return equal && s.Draining == other.Draining && s.DrainingSince.Equal(other.DrainingSince) && s.Loading == other.Loading && s.Holder == other.Holder && s.Limit == other.Limit && s.Speed == other.Speed &&
		slices.EqualFunc(s.Models, other.Models, func(a, b Model) bool { return a.Name == b.Name && slices.Equal(a.Adapters, b.Adapters) })
}

// SubscriberView is the endpoint state that a subscriber has received in one leader's snapshots.
type SubscriberView struct {
	States map[string]State
	// Expected are the absent models, as of ExpectedAt.
	Expected   map[Absent]Expected
	ExpectedAt time.Time
}

// Apply applies a leader's snapshot. It reports whether it did; an incremental snapshot before the first complete one
// is ignored.
func (v *SubscriberView) Apply(snapshot *wirepb.Snapshot, now time.Time) bool {
	if v.States == nil && !snapshot.GetComplete() {
		return false
	}
	if snapshot.GetComplete() {
		v.States = make(map[string]State, len(snapshot.GetEndpoints()))
	}
	for _, id := range snapshot.GetGone() {
		delete(v.States, id)
	}
	for _, w := range snapshot.GetEndpoints() {
		state := FromWire(w)
		if w.GetDrainingMs() > 0 {
			state.DrainingSince = now.Add(-time.Duration(w.GetDrainingMs()) * time.Millisecond)
		}
		v.States[w.GetId()] = state
	}
	for _, l := range snapshot.GetLoads() {
		if s, ok := v.States[l.GetId()]; ok && s.Load != nil {
			load := *s.Load
			load.Running, load.Waiting = int(l.GetRunning()), int(l.GetWaiting())
			s.Load = &load
			v.States[l.GetId()] = s
		}
	}
	if snapshot.GetHasAbsent() {
		v.ExpectedAt, v.Expected = now, make(map[Absent]Expected, len(snapshot.GetAbsent()))
		for _, a := range slices.Concat(snapshot.GetAbsent(), snapshot.GetAbsentAt()) {
			v.Expected[Absent{a.GetName(), a.GetSoftware()}] = Expected{time.Duration(a.GetExpectedMs()) * time.Millisecond, a.GetComing()}
		}
	}
	return true
}

// ExpectedTime returns the expected time until an absent model can serve requests.
func (v *SubscriberView) ExpectedTime(absent Absent, now time.Time) (time.Duration, bool) {
	e, ok := v.Expected[absent]
	return e.afterDelay(now.Sub(v.ExpectedAt)).Wait, ok
}
