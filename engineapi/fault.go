package engineapi

// Paths at which tests set the fault of a simulated server and read its counters.
const (
	PathFault  = "/fault"
	PathCounts = "/counts"
)

// Fault describes the faults that a simulated server injects; the zero value injects none.
type Fault struct {
	// Slow multiplies every duration if it is greater than 1.
	Slow float64 `json:",omitempty"`
	// Silent accepts requests but never answers them. Open streams stall as well.
	Silent bool `json:",omitempty"`
	// StallOpen permanently stalls whatever is open when the fault is set. New connections work.
	StallOpen bool `json:",omitempty"`
	// DieInLoad aborts all loads in progress when it is set, and each later load halfway.
	DieInLoad bool `json:",omitempty"`
	// LateOrderMS is the delay in ms between accepting an order and executing it.
	LateOrderMS int64 `json:",omitempty"`
	// Refuse resets the connection of new requests before any response.
	Refuse bool `json:",omitempty"`
	// LoseAnswer executes requests, but resets the connection before the first byte of the response.
	LoseAnswer bool `json:",omitempty"`
	// ResetAfter resets the connection after this number of writes of a response; 0 never does.
	ResetAfter int `json:",omitempty"`
}
