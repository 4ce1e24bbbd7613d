package entry

import (
	"errors"
	"time"

	"burdocksaddle/wirepb"
)

// Request is one caller's request, checked.
type Request struct {
	ID          string
	Caller      string
	Service     string
	Model       string
	Adapter     string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Stream      bool
	Deadline    time.Time
	// Urgency is 0 for live callers to 7 for drafts, as in RFC 9218.
	Urgency int
	// Key is the caller's idempotency key.
	Key string
	// Repeatable requests may be tried again elsewhere.
	Repeatable bool
}

// Sink takes an answer: Start once, then its parts in order.
type Sink struct {
	Start func(status int, contentType string) error
	Part  func(data []byte) error
}

// Codes of refusals by an entry.
const (
	CodeModelNotExist    = "ModelNotExist"
	CodeAdapterNotExist  = "AdapterNotExist"
	CodeServiceNotExist  = "ServiceNotExist"
	CodeDeadlinePassed   = "DeadlinePassed"
	CodeDeadlineTooShort = "DeadlineTooShort"
	CodeQueueFull        = "QueueFull"
	CodeNoLease          = "NoLease"
	CodeStopping         = "Stopping"
	CodeCallerLimit      = "CallerLimit"
	CodeNoQuorum         = "NoQuorum"
	CodeEndpointLost     = "EndpointLost"
	CodeKeyReused        = "KeyReused"
	CodeOutcomeUnknown   = "OutcomeUnknown"
	CodeCallerLeft       = "CallerLeft"
)

// ErrRefused tells that a request got no whole answer, and whether it ran.
type ErrRefused struct {
	Code   string
	Run    wirepb.Run
	Detail string
	// RetryAfter tells the caller when to come back; 0 gives no advice.
	RetryAfter time.Duration
}

// Error implements error.
func (e ErrRefused) Error() string { return "refused: " + e.Code + ": " + e.Detail }

// AsErrRefused returns the refusal in an error.
func AsErrRefused(err error) (ErrRefused, bool) {
	var refused ErrRefused
	ok := errors.As(err, &refused)
	return refused, ok
}

func refuse(code, detail string) ErrRefused {
	return ErrRefused{Code: code, Run: wirepb.Run_RUN_NOT_RUN, Detail: detail, RetryAfter: time.Second}
}
