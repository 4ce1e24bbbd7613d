package endpoint

import (
	"maps"
	"slices"
	"time"

	"burdocksaddle/wirepb"
)

// expectedSlack is by how much an expected time may be off before it is shown anew; clients' patience is counted in seconds.
const expectedSlack = 100 * time.Millisecond

// goneMost is how many removals are kept, for subscribers that have not seen them: 3,000 endpoints lose some each second.
const goneMost = 256

// Expected is how long until a model that no endpoint holds can serve.
type Expected struct {
	In time.Duration
	// Coming tells that it is being loaded, so that the time passes.
	Coming bool
}

// after returns what is left of an expected time a while later.
func (e Expected) after(passed time.Duration) Expected {
	if e.Coming {
		e.In = max(0, e.In-passed)
	}
	return e
}

// View is what a leader shows of the endpoints. It numbers the changes, so that a subscriber is sent only what it has not seen:
// at 300 VMs all endpoints to all gateways with each change took the leader 25 MB a second.
type View struct {
	revision uint64
	states   map[string]viewed
	// gone are the endpoints that were removed, oldest first; who has seen less than forgotten is shown everything.
	gone      []removal
	forgotten uint64
	// expected are the models that no endpoint holds, as shown at the revision and time given.
	expected   map[string]Expected
	expectedAt uint64
	since      time.Time
}

// removal is the end of an endpoint.
type removal struct {
	id       string
	revision uint64
}

// viewed is an endpoint with the revisions of its last change and of its last load.
type viewed struct {
	state           State
	changed, loaded uint64
}

// Show takes the endpoints as they are now, and when models that none holds can serve.
func (v *View) Show(states []State, expected map[string]Expected, now time.Time) {
	v.revision++
	next := make(map[string]viewed, len(states))
	for _, s := range states {
		s = s.Shown()
		old, known := v.states[s.ID]
		switch {
		case !known || !s.sameShown(old.state):
			old = viewed{s, v.revision, v.revision}
		case s.Load != nil && s.Load.differs(*old.state.Load, s.Slots):
			old.state, old.loaded = s, v.revision
		}
		next[s.ID] = old
	}
	for id := range v.states {
		if _, listed := next[id]; !listed {
			v.gone = append(v.gone, removal{id, v.revision})
		}
	}
	if extra := len(v.gone) - goneMost; extra > 0 {
		v.forgotten = v.gone[extra-1].revision
		v.gone = slices.Clone(v.gone[extra:])
	}
	v.states = next
	passed := now.Sub(v.since)
	same := maps.EqualFunc(expected, v.expected, func(a, b Expected) bool {
		b = b.after(passed)
		return a.Coming == b.Coming && (a.In-b.In).Abs() <= expectedSlack
	})
	if !same {
		v.expected, v.expectedAt, v.since = expected, v.revision, now
	}
}

// Fill puts into a snapshot what changed after a revision, and returns the revision that it shows; 0 is before all.
func (v *View) Fill(snapshot *wirepb.Snapshot, after uint64, now time.Time) uint64 {
	snapshot.HasEndpoints = true
	snapshot.Complete = after == 0 || after < v.forgotten
	for i := len(v.gone) - 1; i >= 0 && v.gone[i].revision > after && !snapshot.GetComplete(); i-- {
		snapshot.Gone = append(snapshot.Gone, v.gone[i].id)
	}
	for _, id := range slices.Sorted(maps.Keys(v.states)) {
		switch s := v.states[id]; {
		case snapshot.GetComplete() || s.changed > after:
			snapshot.Endpoints = append(snapshot.Endpoints, s.state.ToWire())
		case s.loaded > after:
			snapshot.Loads = append(snapshot.Loads, &wirepb.EndpointLoad{
				Id: id, Running: uint32(s.state.Load.Running), Waiting: uint32(s.state.Load.Waiting),
			})
		}
	}
	if snapshot.GetComplete() || v.expectedAt > after {
		snapshot.HasAbsent = true
		for _, name := range slices.Sorted(maps.Keys(v.expected)) {
			e := v.expected[name].after(now.Sub(v.since))
			snapshot.Absent = append(snapshot.Absent, &wirepb.AbsentModel{Name: name, ExpectedMs: uint32(e.In.Milliseconds()), Coming: e.Coming})
		}
	}
	return v.revision
}

// differs tells whether a load has changed by so much that a choice between endpoints may change: a tenth of the slots, or
// whether requests wait.
func (l Load) differs(o Load, slots int) bool {
	return abs(l.Running-o.Running) > slots/10 || (l.Waiting == 0) != (o.Waiting == 0) || abs(l.Waiting-o.Waiting) > slots/10 ||
		(l.Running == 0) != (o.Running == 0) || (l.Running >= slots) != (o.Running >= slots)
}

func abs(n int) int { return max(n, -n) }

// Shown returns a state with what gateways need of it.
func (s State) Shown() State {
	s.Remaining, s.LoadingLeft = 0, 0
	if s.Load != nil {
		s.Load = &Load{Running: s.Load.Running, Waiting: s.Load.Waiting, Busy: s.Load.Busy}
	}
	return s
}

// sameShown tells whether two shown states differ at most in their loads' numbers.
func (s State) sameShown(o State) bool {
	if (s.Load == nil) != (o.Load == nil) || s.Load != nil && s.Load.Busy != o.Load.Busy {
		return false
	}
	same := s.Born == o.Born && s.Service == o.Service && s.Address == o.Address && s.DataCentre == o.DataCentre && s.Slots == o.Slots
	return same && s.Draining == o.Draining && s.Loading == o.Loading && s.Holder == o.Holder &&
		slices.EqualFunc(s.Models, o.Models, func(a, b Model) bool { return a.Name == b.Name && slices.Equal(a.Adapters, b.Adapters) })
}

// Picture is what a subscriber knows by one leader's snapshots.
type Picture struct {
	States map[string]State
	// Expected are the models that no endpoint holds, as of At.
	Expected map[string]Expected
	At       time.Time
}

// Take takes a leader's snapshot in; false if it only changes a picture that was never shown.
func (p *Picture) Take(snapshot *wirepb.Snapshot, now time.Time) bool {
	if p.States == nil && !snapshot.GetComplete() {
		return false
	}
	if snapshot.GetComplete() {
		p.States = make(map[string]State, len(snapshot.GetEndpoints()))
	}
	for _, id := range snapshot.GetGone() {
		delete(p.States, id)
	}
	for _, w := range snapshot.GetEndpoints() {
		p.States[w.GetId()] = FromWire(w)
	}
	for _, l := range snapshot.GetLoads() {
		if s, ok := p.States[l.GetId()]; ok && s.Load != nil {
			load := *s.Load
			load.Running, load.Waiting = int(l.GetRunning()), int(l.GetWaiting())
			s.Load = &load
			p.States[l.GetId()] = s
		}
	}
	if snapshot.GetHasAbsent() {
		p.At, p.Expected = now, make(map[string]Expected, len(snapshot.GetAbsent()))
		for _, a := range snapshot.GetAbsent() {
			p.Expected[a.GetName()] = Expected{time.Duration(a.GetExpectedMs()) * time.Millisecond, a.GetComing()}
		}
	}
	return true
}

// Expect returns how long until a model that no endpoint holds can serve.
func (p *Picture) Expect(model string, now time.Time) (time.Duration, bool) {
	e, ok := p.Expected[model]
	return e.after(now.Sub(p.At)).In, ok
}
