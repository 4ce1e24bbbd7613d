package scaling

import "time"

// Order is one order to an endpoint.
type Order struct {
	Endpoint string
	Model    string
	// Adapter is empty for an order about the model itself.
	Adapter string
	Unload  bool
	// Sequence is the count of accepted orders that the endpoint must have for the order to hold, so that a late copy does nothing.
	Sequence int
	Reason   string
	Source   Source
	// Takes is how long a load takes at full speed.
	Takes time.Duration
}

// Outcome is what an endpoint said of an order.
type Outcome int

// Outcomes of orders.
const (
	// OutcomeUnknown means no clear answer: the order may still be carried out.
	OutcomeUnknown Outcome = iota
	OutcomeAccepted
	// OutcomeHolds means that what was ordered is so already.
	OutcomeHolds
	// OutcomeConflict means that another order is under way or the sequence differs.
	OutcomeConflict
	// OutcomeFenced means that the endpoint has seen a higher fencing number.
	OutcomeFenced
	// OutcomeRefused means that the order will not be carried out.
	OutcomeRefused
)

// String returns the name of an outcome.
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

// String returns the name of a source.
func (s Source) String() string { return [...]string{"Memory", "Disk", "Store"}[s] }

// Demand is what all gateways together are asked for of one model.
type Demand struct {
	Service string
	Model   string
	// Came counts the requests since the last report; Running and Waiting are those of now.
	Came    int
	Running int
	Waiting int
	// Missed counts the requests since the last report that were told to come back, since no endpoint held the model in time.
	Missed int
	// At names the endpoints that run requests for it, in any order and maybe more than once.
	At []string
}
