package fleet

import "strconv"

// State is where a replica stands between its decision and its confirmed end.
type State string

// States of a replica. Every state but Gone holds memory.
const (
	Decided   State = "Decided"
	Loading   State = "Loading"
	Loaded    State = "Loaded"
	Unloading State = "Unloading"
	Unknown   State = "Unknown"
	Gone      State = "Gone"
)

// transitions is the one table of what may follow what.
var transitions = map[State][]State{
	Decided:   {Loading, Loaded, Unloading, Unknown, Gone},
	Loading:   {Loaded, Unloading, Unknown, Gone},
	Loaded:    {Unloading, Unknown, Gone},
	Unloading: {Unknown, Gone},
	Unknown:   {Loading, Loaded, Unloading, Gone},
}

// Replica is one copy of a model on one endpoint, from its decision to its confirmed end.
type Replica struct {
	ID          uint64
	Endpoint    string
	Incarnation uint64
	Model       string
	Version     string
	MemoryMB    uint64
	Fence       uint64
	State       State
	// DecidedMS and SinceMS are the leader's clock in milliseconds.
	DecidedMS int64
	SinceMS   int64
	Reason    string
}

// With returns the replica in another state, or ErrTransitionNotAllowed.
func (r Replica) With(state State, atMS int64) (Replica, error) {
	if r.State == state {
		return r, nil
	}
	for _, next := range transitions[r.State] {
		if next == state {
			r.State = state
			r.SinceMS = atMS
			return r, nil
		}
	}
	return r, ErrTransitionNotAllowed{Replica: r.ID, From: r.State, To: state}
}

// ErrTransitionNotAllowed tells that a replica cannot go from one state to another.
type ErrTransitionNotAllowed struct {
	Replica uint64
	From    State
	To      State
}

// Error implements error.
func (e ErrTransitionNotAllowed) Error() string {
	return "replica " + strconv.FormatUint(e.Replica, 10) + " cannot go from " + string(e.From) + " to " + string(e.To)
}
