package holder

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"burdocksaddle/wirepb"
)

const (
	// takeoverTimeout is how long a steward may be silent before its endpoints are reassigned. A killed process restarts within about
	// a second, and a new holder has to wait longer than that, so reassigning earlier would gain nothing.
	takeoverTimeout = 2 * time.Second
	// maxStewardReportAge is the maximum age of a steward's last report for it to be assigned endpoints.
	maxStewardReportAge = 500 * time.Millisecond
	// maxImbalance is the largest tolerated difference in endpoint count between two stewards.
	maxImbalance = 2
)

// Assignment names the steward that holds an endpoint.
type Assignment struct {
	Steward string
	Fence   uint64
	// Settled reports that no former holder can still issue orders.
	Settled bool
}

// Table is the committed assignment of all endpoints, keyed by address.
type Table struct {
	// Revision is incremented by each change. A change applies only to the revision it was computed from.
	Revision uint64
	// Fence is the highest fencing token assigned so far.
	Fence   uint64
	Holders map[string]Assignment
}

// View is the leader's knowledge that an assignment is computed from.
type View struct {
	// Endpoints are the listed addresses. Gone are those that have been off the list for so long that no order can be in flight. An
	// endpoint that is in both is kept.
	Endpoints, Gone []string
	// SilentFor is the time since the last report of each steward that votes or is in Retained.
	SilentFor map[string]time.Duration
	// Retained are stewards that gave up their votes before a stop. They keep what they hold while they report, as they would over a
	// restart, and get nothing new.
	Retained map[string]bool
	// ReadyFences are the fencing tokens under which holders report that they may issue orders, keyed by endpoint.
	ReadyFences map[string]uint64
	// Rebalance allows moving one endpoint only to even out the load.
	Rebalance bool
}

// Next returns the assignment that follows from a view, and whether it differs from the current one. Endpoints of a failed steward
// go to the stewards that hold the fewest. All others keep their holder unless the view allows rebalancing, as each move leaves an
// endpoint without orders for seconds.
func (t Table) Next(v View) (Table, bool) {
	next := Table{Revision: t.Revision + 1, Fence: t.Fence, Holders: maps.Clone(t.Holders)}
	if next.Holders == nil {
		next.Holders = map[string]Assignment{}
	}
	for _, endpoint := range v.Gone {
		if !slices.Contains(v.Endpoints, endpoint) {
			delete(next.Holders, endpoint)
		}
	}
	heldCounts := map[string]int{}
	for steward, silent := range v.SilentFor {
		if silent <= maxStewardReportAge && !v.Retained[steward] {
			heldCounts[steward] = 0
		}
	}
	for _, a := range next.Holders {
		if _, eligible := heldCounts[a.Steward]; eligible {
			heldCounts[a.Steward]++
		}
	}
	for _, endpoint := range slices.Sorted(slices.Values(v.Endpoints)) {
		a, known := next.Holders[endpoint]
		switch silent, member := v.SilentFor[a.Steward]; {
		case !known:
			// The endpoint has had no holder, so there is no lease to wait for.
			next.assign(endpoint, leastLoaded(heldCounts), true, heldCounts)
		case !member || silent > takeoverTimeout:
			next.assign(endpoint, leastLoaded(heldCounts), false, heldCounts)
		case !a.Settled && v.ReadyFences[endpoint] == a.Fence:
			a.Settled = true
			next.Holders[endpoint] = a
		}
	}
	if v.Rebalance {
		next.rebalance(v, heldCounts)
	}
	return next, !maps.Equal(next.Holders, t.Holders)
}

// assign gives an endpoint to a steward under a new fencing token. It does nothing if steward is empty.
func (t *Table) assign(endpoint, steward string, settled bool, heldCounts map[string]int) {
	if steward == "" {
		return
	}
	t.Fence++
	t.Holders[endpoint] = Assignment{Steward: steward, Fence: t.Fence, Settled: settled}
	heldCounts[steward]++
}

// rebalance moves at most one endpoint to the steward that holds the fewest, from one that holds over maxImbalance more.
func (t *Table) rebalance(v View, heldCounts map[string]int) {
	to := leastLoaded(heldCounts)
	for _, endpoint := range slices.Sorted(slices.Values(v.Endpoints)) {
		a := t.Holders[endpoint]
		if count, eligible := heldCounts[a.Steward]; eligible && a.Settled && count > heldCounts[to]+maxImbalance {
			t.assign(endpoint, to, false, heldCounts)
			return
		}
	}
}

// leastLoaded returns the steward that holds the fewest endpoints, or "" if there is none.
func leastLoaded(heldCounts map[string]int) string {
	stewards := slices.Sorted(maps.Keys(heldCounts))
	if len(stewards) == 0 {
		return ""
	}
	return slices.MinFunc(stewards, func(a, b string) int { return cmp.Compare(heldCounts[a], heldCounts[b]) })
}

// ToWire returns the message that carries the whole table.
func (t Table) ToWire() *wirepb.HolderTable {
	out := t.ChangeFrom(Table{})
	out.Complete = true
	return out
}

// ChangeFrom returns the message that turns the previous table into this one.
func (t Table) ChangeFrom(previous Table) *wirepb.HolderTable {
	out := &wirepb.HolderTable{Revision: t.Revision, Fence: t.Fence}
	for _, endpoint := range slices.Sorted(maps.Keys(t.Holders)) {
		if a := t.Holders[endpoint]; a != previous.Holders[endpoint] {
			out.Holders = append(out.Holders, &wirepb.HolderEntry{Endpoint: endpoint, Steward: a.Steward, Fence: a.Fence, Settled: a.Settled})
		}
	}
	for _, endpoint := range slices.Sorted(maps.Keys(previous.Holders)) {
		if _, held := t.Holders[endpoint]; !held {
			out.Gone = append(out.Gone, endpoint)
		}
	}
	return out
}

// Apply returns the table after a change. It returns false if the change was not computed from this revision.
func (t Table) Apply(change *wirepb.HolderTable) (Table, bool) {
	next := Table{Revision: change.GetRevision(), Fence: change.GetFence(), Holders: map[string]Assignment{}}
	if !change.GetComplete() {
		if change.GetRevision() != t.Revision+1 {
			return t, false
		}
		maps.Copy(next.Holders, t.Holders)
		for _, endpoint := range change.GetGone() {
			delete(next.Holders, endpoint)
		}
	}
	for _, e := range change.GetHolders() {
		next.Holders[e.GetEndpoint()] = Assignment{Steward: e.GetSteward(), Fence: e.GetFence(), Settled: e.GetSettled()}
	}
	return next, true
}
