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
	Loading:   {Decided, Loaded, Unloading, Unknown, Gone}, // Decided again once the load was lost
	Loaded:    {Unloading, Unknown, Gone},
	Unloading: {Gone},
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
	// Fence is the fencing number of the newest order for the replica.
	Fence uint64
	State State
	// DecidedMS and SinceMS are the leader's clock in milliseconds.
	DecidedMS int64
	SinceMS   int64
	// Role is the role that the engine plays for the replica.
	Role string
	// Source says where the checkpoint was expected at the decision: Memory, Disk or Remote.
	Source string
	// ExpectedMS is how long the load was expected to take.
	ExpectedMS int64
	// Adopted marks a replica that the engine held without a decision.
	Adopted bool
	// Attempts counts the load orders that were lost or refused.
	Attempts int
	Reason   string
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

// Pending tells whether the replica is on its way to being loaded.
func (r Replica) Pending() bool { return r.State == Decided || r.State == Loading }

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
