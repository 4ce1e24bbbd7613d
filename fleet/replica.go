package fleet

import "strconv"

// State is the stage of a replica's life cycle.
type State string

// States of a replica. Memory is reserved in every state except Gone.
const (
	Decided   State = "Decided"
	Loading   State = "Loading"
	Loaded    State = "Loaded"
	Unloading State = "Unloading"
	Unknown   State = "Unknown"
	Gone      State = "Gone"
)

// transitions lists the states that may follow each state.
var transitions = map[State][]State{
	Decided:   {Loading, Loaded, Unloading, Unknown, Gone},
	Loading:   {Decided, Loaded, Unloading, Unknown, Gone}, // back to Decided when the load order was lost or refused
	Loaded:    {Unloading, Unknown, Gone},
	Unloading: {Gone},
	Unknown:   {Loading, Loaded, Unloading, Gone},
}

// Replica is one copy of a model on one endpoint, from the decision to load it until it is confirmed gone.
type Replica struct {
	ID          uint64
	Endpoint    string
	Incarnation uint64
	Model       string
	Version     string
	MemoryMB    uint64
	// Fence is the fencing token of the latest order for the replica.
	Fence uint64
	State State
	// DecidedMS and SinceMS are times in milliseconds on the leader's clock.
	DecidedMS int64
	SinceMS   int64
	// Role is the role of the engine for this replica.
	Role string
	// Source is where the checkpoint was expected to be at the time of the decision: Memory, Disk or Remote.
	Source string
	// ExpectedMS is the expected duration of the load.
	ExpectedMS int64
	// Adopted is set if the engine held the replica without a decision to load it.
	Adopted bool
	// Attempts counts the orders that were lost or refused.
	Attempts int
	Reason   string
}

// WithState returns the replica in the given state, or ErrTransitionNotAllowed.
func (r Replica) WithState(state State, atMS int64) (Replica, error) {
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

// Pending reports whether the replica is decided or loading.
func (r Replica) Pending() bool { return r.State == Decided || r.State == Loading }

// ErrTransitionNotAllowed is returned when a replica cannot change from one state to another.
type ErrTransitionNotAllowed struct {
	Replica uint64
	From    State
	To      State
}

// Error implements error.
func (e ErrTransitionNotAllowed) Error() string {
	return "replica " + strconv.FormatUint(e.Replica, 10) + " cannot go from " + string(e.From) + " to " + string(e.To)
}
