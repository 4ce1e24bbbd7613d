package fleet

import (
	"cmp"
	"slices"
)

// Held is one line of an agent's report: a model that the engine holds or,
// with a replica's number, State Gone for an absence that the agent confirms
// and State Decided for an order that was lost or refused.
type Held struct {
	ID       uint64
	Model    string
	Version  string
	MemoryMB uint64
	Fence    uint64
	State    State
}

// Inventory is everything that an endpoint's engine said it holds.
type Inventory struct {
	Endpoint    string
	Incarnation uint64
	// Sequence counts the reports of one incarnation.
	Sequence uint64
	Held     []Held
}

// Report takes over what an agent's engine really holds; the error is
// ErrEndpointNotUsable for another incarnation and ErrReportOld for a late report.
func (f *Fleet) Report(inventory Inventory, atMS int64) error {
	known, ok := f.endpoints[inventory.Endpoint]
	if !ok || known.Incarnation != inventory.Incarnation {
		return ErrEndpointNotUsable{Endpoint: inventory.Endpoint}
	}
	if inventory.Sequence > 0 && inventory.Sequence <= known.Reported {
		return ErrReportOld{Endpoint: inventory.Endpoint, Sequence: inventory.Sequence}
	}
	changes := f.Changes(inventory, atMS)
	known.Reported = max(known.Reported, inventory.Sequence)
	f.endpoints[known.Name] = known
	for _, next := range changes {
		switch {
		case next.State == Gone:
			f.drop(f.replicas[next.ID])
		case next.Attempts > f.replicas[next.ID].Attempts:
			// What was lost or refused is ordered anew, ahead of what came between.
			f.fence++
			next.Fence = f.fence
			f.put(next)
		case next.ID == 0:
			f.replicaID++
			next.ID = f.replicaID
			f.put(next)
		default:
			f.put(next)
		}
	}
	if len(changes) > 0 {
		f.touch(known)
	}
	return nil
}

// Changes returns the replicas that a report changes, as they would be after
// it; a replica adopted by it has number 0.
func (f *Fleet) Changes(inventory Inventory, atMS int64) []Replica {
	held := map[string]Held{}
	answers := map[uint64]Held{}
	for _, one := range inventory.Held {
		if one.State == Gone || one.State == Decided {
			answers[one.ID] = one
			continue
		}
		key := one.Model + "@" + one.Version
		if other, twice := held[key]; !twice || rank(one.State) > rank(other.State) {
			held[key] = one
		}
	}
	var changes []Replica
	for _, replica := range f.Replicas(inventory.Endpoint) {
		key := replica.Model + "@" + replica.Version
		one, there := held[key]
		delete(held, key)
		answer, answered := answers[replica.ID]
		if !answered || answer.Fence != replica.Fence {
			answer = Held{}
		}
		next := after(replica, one, there, answer.State, atMS)
		if next != replica {
			changes = append(changes, next)
		}
	}
	return append(changes, f.adoptions(inventory, held, atMS)...)
}

// after returns what a replica becomes once its engine has spoken.
func after(replica Replica, one Held, there bool, answer State, atMS int64) Replica {
	state := replica.State
	switch {
	case replica.State == Unloading && answer == Decided:
		replica.Attempts++
	case there && replica.State == Unloading:
		// It ends only by a confirmed absence.
	case there:
		state = one.State
	case answer == Gone:
		state = Gone
	case answer == Decided && replica.Pending():
		state = Decided
		replica.Attempts++
	case replica.State == Loaded:
		state = Unknown
	}
	next, err := replica.With(state, atMS)
	if err != nil {
		return replica
	}
	return next
}

// adoptions returns replicas for what the engine holds without a decision.
func (f *Fleet) adoptions(inventory Inventory, held map[string]Held, atMS int64) []Replica {
	adopted := make([]Replica, 0, len(held))
	for _, one := range held {
		adopted = append(adopted, Replica{
			Endpoint: inventory.Endpoint, Incarnation: inventory.Incarnation, Model: one.Model, Version: one.Version,
			MemoryMB: one.MemoryMB, Fence: one.Fence, State: one.State, DecidedMS: atMS, SinceMS: atMS, Adopted: true, Reason: "Adopted",
		})
	}
	slices.SortFunc(adopted, func(a, b Replica) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return adopted
}

// rank puts the word that matters most first when an engine lists a model twice.
func rank(state State) int {
	return slices.Index([]State{Unloading, Loading, Loaded}, state)
}
