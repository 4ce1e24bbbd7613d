package scaling

import "time"

// Order tells an endpoint to load or unload a model or an adapter.
type Order struct {
	Endpoint string
	Model    string
	// Adapter is empty for an order about the model itself.
	Adapter string
	Unload  bool
	// Sequence is the number of accepted orders that the endpoint must have counted for this order to apply, so that a delayed
	// duplicate has no effect.
	Sequence int
	Reason   string
	Source   Source
	// ExpectedDuration is the expected duration of a load at full speed.
	ExpectedDuration time.Duration
}

// Outcome is the result of an order.
type Outcome int

// Outcomes of orders.
const (
	// OutcomeUnknown means that no clear reply arrived; the order may still be executed.
	OutcomeUnknown Outcome = iota
	OutcomeAccepted
	// OutcomeAlreadyApplied means that the endpoint is already in the ordered state.
	OutcomeAlreadyApplied
	// OutcomeConflict means that another order is in progress or that the sequence doesn't match.
	OutcomeConflict
	// OutcomeFenced means that the endpoint has seen a higher fencing token.
	OutcomeFenced
	// OutcomeRefused means that the order won't be executed.
	OutcomeRefused
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"Unknown", "Accepted", "Holds", "Conflict", "Fenced", "Refused"}[o]
}

// Source is where a model's weights are loaded from.
type Source int

// Sources of weights, the fastest first.
const (
	SourceMemory Source = iota
	SourceDisk
	SourceStore
)

// String returns the name of the source.
func (s Source) String() string { return [...]string{"Memory", "Disk", "Store"}[s] }

// Demand is the demand for one model, summed over all gateways.
type Demand struct {
	Service string
	Model   string
	// Arrivals is the number of requests that arrived since the last report; Running and Waiting are current counts.
	Arrivals int
	Running  int
	Waiting  int
	// Missed is the number of requests since the last report that were told to retry later because the model couldn't be loaded in time.
	Missed int
	// Resuming are the resumed streams that are not served because no endpoint of their software version holds the model.
	Resuming []Resuming
	// RunningOn lists the endpoints that run requests for the model, in any order and possibly with duplicates.
	RunningOn []string
}

// Resuming counts the resumed streams that want a model at a software version. Missed is the number since the last report that were told to
// retry later.
type Resuming struct {
	Software        string
	Waiting, Missed int
}
