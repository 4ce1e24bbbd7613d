package holder

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"burdocksaddle/wirepb"
)

const (
	// silentMost is how long a steward may be silent before others take its endpoints over. A process that was killed is back
	// within about a second, and a new holder has to wait for longer than that.
	silentMost = 2 * time.Second
	// heardMost is the age of a steward's word up to which it gets endpoints.
	heardMost = 500 * time.Millisecond
	// uneven is by how many endpoints the fullest steward may exceed the emptiest one.
	uneven = 2
)

// Assignment says which steward gives an endpoint its orders.
type Assignment struct {
	Steward string
	Fence   uint64
	// Settled tells that no former holder can still give orders.
	Settled bool
}

// Table is the committed assignment of all endpoints, by their addresses.
type Table struct {
	// Revision counts the changes; a change is valid only on top of the revision that it was made from.
	Revision uint64
	// Fence is the highest fencing number that was assigned.
	Fence   uint64
	Holders map[string]Assignment
}

// View is what the leader knows when it decides on the assignment.
type View struct {
	// Endpoints are the addresses that are listed, Gone those that have not been for so long that no order can be under way; one
	// that is both stays.
	Endpoints, Gone []string
	// Silent says for how long each member of the core has not been heard.
	Silent map[string]time.Duration
	// Ready are the fences under which stewards say that they may give orders.
	Ready map[string]uint64
	// Balance tells that an endpoint may be moved only to even out the load.
	Balance bool
}

// Next returns the assignment that follows from a view, and whether it differs. The load that it answers is a steward that
// fails: its endpoints go to those that hold the fewest, and nothing else moves.
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
	held := map[string]int{}
	for steward, silent := range v.Silent {
		if silent <= heardMost {
			held[steward] = 0
		}
	}
	for _, a := range next.Holders {
		if _, heard := held[a.Steward]; heard {
			held[a.Steward]++
		}
	}
	for _, endpoint := range slices.Sorted(slices.Values(v.Endpoints)) {
		a, known := next.Holders[endpoint]
		switch silent, member := v.Silent[a.Steward]; {
		case !known:
			// Nobody has given it orders yet, so there is nobody to wait for.
			next.assign(endpoint, least(held), true, held)
		case !member || silent > silentMost:
			next.assign(endpoint, least(held), false, held)
		case !a.Settled && v.Ready[endpoint] == a.Fence:
			a.Settled = true
			next.Holders[endpoint] = a
		}
	}
	if v.Balance {
		next.balance(v, held)
	}
	return next, !maps.Equal(next.Holders, t.Holders)
}

// assign gives an endpoint to a steward under a new fence.
func (t *Table) assign(endpoint, steward string, settled bool, held map[string]int) {
	if steward == "" {
		return
	}
	t.Fence++
	t.Holders[endpoint] = Assignment{Steward: steward, Fence: t.Fence, Settled: settled}
	held[steward]++
}

// balance moves one endpoint from the fullest steward to the emptiest one.
func (t *Table) balance(v View, held map[string]int) {
	to := least(held)
	for _, endpoint := range slices.Sorted(slices.Values(v.Endpoints)) {
		a := t.Holders[endpoint]
		if count, heard := held[a.Steward]; heard && a.Settled && count > held[to]+uneven {
			t.assign(endpoint, to, false, held)
			return
		}
	}
}

// least returns the steward that holds the fewest endpoints, "" if there is none.
func least(held map[string]int) string {
	stewards := slices.Sorted(maps.Keys(held))
	if len(stewards) == 0 {
		return ""
	}
	return slices.MinFunc(stewards, func(a, b string) int { return cmp.Compare(held[a], held[b]) })
}

// ToWire returns the message for a whole table.
func (t Table) ToWire() *wirepb.HolderTable {
	out := t.Change(Table{})
	out.Complete = true
	return out
}

// Change returns the message that makes a table of the one before it.
func (t Table) Change(before Table) *wirepb.HolderTable {
	out := &wirepb.HolderTable{Revision: t.Revision, Fence: t.Fence}
	for _, endpoint := range slices.Sorted(maps.Keys(t.Holders)) {
		if a := t.Holders[endpoint]; a != before.Holders[endpoint] {
			out.Holders = append(out.Holders, &wirepb.HolderEntry{Endpoint: endpoint, Steward: a.Steward, Fence: a.Fence, Settled: a.Settled})
		}
	}
	for _, endpoint := range slices.Sorted(maps.Keys(before.Holders)) {
		if _, held := t.Holders[endpoint]; !held {
			out.Gone = append(out.Gone, endpoint)
		}
	}
	return out
}

// With returns the table after a change; false where the change was not made from this table.
func (t Table) With(w *wirepb.HolderTable) (Table, bool) {
	next := Table{Revision: w.GetRevision(), Fence: w.GetFence(), Holders: map[string]Assignment{}}
	if !w.GetComplete() {
		if w.GetRevision() != t.Revision+1 {
			return t, false
		}
		maps.Copy(next.Holders, t.Holders)
		for _, endpoint := range w.GetGone() {
			delete(next.Holders, endpoint)
		}
	}
	for _, e := range w.GetHolders() {
		next.Holders[e.GetEndpoint()] = Assignment{Steward: e.GetSteward(), Fence: e.GetFence(), Settled: e.GetSettled()}
	}
	return next, true
}
