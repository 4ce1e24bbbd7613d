package engineapi

// Paths of a stand-in's own controls.
const (
	PathFault  = "/fault"
	PathCounts = "/counts"
)

// Fault is how a stand-in misbehaves; the zero value is none.
type Fault struct {
	// Slow multiplies every duration when above 1.
	Slow float64 `json:",omitempty"`
	// Silent accepts requests and never answers; open streams stall too.
	Silent bool `json:",omitempty"`
	// StallOpen stalls for good what is open when it is set; new connections work.
	StallOpen bool `json:",omitempty"`
	// DieInLoad loses all loads in progress, now and half-way through each later one.
	DieInLoad bool `json:",omitempty"`
	// LateOrderMS carries orders out so many milliseconds after they were accepted.
	LateOrderMS int64 `json:",omitempty"`
	// Refuse resets new requests before any answer.
	Refuse bool `json:",omitempty"`
	// LoseAnswer carries requests out and resets before the answer's first byte.
	LoseAnswer bool `json:",omitempty"`
	// ResetAfter resets an answer after so many writes; 0 never does.
	ResetAfter int `json:",omitempty"`
}
