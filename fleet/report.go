package fleet

import (
	"cmp"
	"slices"
)

// ReportedReplica is one item of an agent's report: a model that the engine holds or, with a replica ID, the answer to an
// order. State Gone confirms that the replica is absent, Decided that the order was lost or refused.
type ReportedReplica struct {
	ID       uint64
	Model    string
	Version  string
	MemoryMB uint64
	Fence    uint64
	State    State
}

// Inventory is an agent's report of everything that its engine holds.
type Inventory struct {
	Endpoint    string
	Incarnation uint64
	// Sequence numbers the reports of one incarnation.
	Sequence uint64
	Held     []ReportedReplica
}

// Report applies an agent's report. It fails with ErrEndpointUnavailable if the incarnation does not match and with
// ErrStaleReport if a newer report was applied before.
func (f *Fleet) Report(inventory Inventory, atMS int64) error {
	current, ok := f.endpoints[inventory.Endpoint]
	if !ok || current.Incarnation != inventory.Incarnation {
		return ErrEndpointUnavailable{Endpoint: inventory.Endpoint}
	}
	if inventory.Sequence > 0 && inventory.Sequence <= current.Reported {
		return ErrStaleReport{Endpoint: inventory.Endpoint, Sequence: inventory.Sequence}
	}
	changes := f.Changes(inventory, atMS)
	current.Reported = max(current.Reported, inventory.Sequence)
	f.endpoints[current.Name] = current
	for _, next := range changes {
		switch {
		case next.State == Gone:
			f.removeReplica(f.replicas[next.ID])
		case next.Attempts > f.replicas[next.ID].Attempts:
			// A lost or refused order is retried with a new fencing token, so that it supersedes orders issued in between.
			f.lastFence++
			next.Fence = f.lastFence
			f.putReplica(next)
		case next.ID == 0:
			f.lastReplicaID++
			next.ID = f.lastReplicaID
			f.putReplica(next)
		default:
			f.putReplica(next)
		}
	}
	if len(changes) > 0 {
		f.recordChange(current)
	}
	return nil
}

// Changes returns the replicas that a report changes, as they would be after it; a replica that the report
// adopts has ID 0.
func (f *Fleet) Changes(inventory Inventory, atMS int64) []Replica {
	listed := map[string]ReportedReplica{}
	confirmations := map[uint64]ReportedReplica{}
	for _, item := range inventory.Held {
		if item.State == Gone || item.State == Decided {
			confirmations[item.ID] = item
			continue
		}
		key := item.Model + "@" + item.Version
		if other, duplicate := listed[key]; !duplicate || precedence(item.State) > precedence(other.State) {
			listed[key] = item
		}
	}
	var changes []Replica
	for _, replica := range f.Replicas(inventory.Endpoint) {
		key := replica.Model + "@" + replica.Version
		item, isListed := listed[key]
		delete(listed, key)
		confirmation, confirmed := confirmations[replica.ID]
		if !confirmed || confirmation.Fence != replica.Fence {
			confirmation = ReportedReplica{}
		}
		next := afterReport(replica, item, isListed, confirmation.State, atMS)
		if next != replica {
			changes = append(changes, next)
		}
	}
	return append(changes, f.adoptedReplicas(inventory, listed, atMS)...)
}

// afterReport returns the replica as it is after a report that lists or omits it.
func afterReport(replica Replica, item ReportedReplica, isListed bool, confirmed State, atMS int64) Replica {
	state := replica.State
	switch {
	case replica.State == Unloading && confirmed == Decided:
		replica.Attempts++
	case isListed && replica.State == Unloading:
		// Unloading ends only when the agent confirms that the replica is absent.
	case isListed:
		state = item.State
	case confirmed == Gone:
		state = Gone
	case confirmed == Decided && replica.Pending():
		state = Decided
		replica.Attempts++
	case replica.State == Loaded:
		state = Unknown
	}
	next, err := replica.WithState(state, atMS)
	if err != nil {
		return replica
	}
	return next
}

// adoptedReplicas returns replicas for the models that the engine holds without a decision.
func (f *Fleet) adoptedReplicas(inventory Inventory, unmatched map[string]ReportedReplica, atMS int64) []Replica {
	adopted := make([]Replica, 0, len(unmatched))
	for _, item := range unmatched {
		adopted = append(adopted, Replica{
			Endpoint: inventory.Endpoint, Incarnation: inventory.Incarnation, Model: item.Model, Version: item.Version,
			MemoryMB: item.MemoryMB, Fence: item.Fence, State: item.State, DecidedMS: atMS, SinceMS: atMS, Adopted: true, Reason: "Adopted",
		})
	}
	slices.SortFunc(adopted, func(a, b Replica) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return adopted
}

// precedence ranks states for an engine that lists a model twice; the item with the highest rank counts.
func precedence(state State) int {
	return slices.Index([]State{Unloading, Loading, Loaded}, state)
}
