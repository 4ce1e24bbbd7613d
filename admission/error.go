package admission

import (
	"errors"
	"strconv"
	"time"
)

// Reason names why a request is refused.
type Reason string

// Reasons of refusals.
const (
	ReasonDeadlinePassed    Reason = "DeadlinePassed"
	ReasonDeadlineTooShort  Reason = "DeadlineTooShort"
	ReasonForecast          Reason = "NoReplica"
	ReasonQueueFull         Reason = "QueueFull"
	ReasonCallerRate        Reason = "CallerRate"
	ReasonCallerConcurrency Reason = "CallerConcurrency"
	ReasonDrafts            Reason = "DraftsRefused"
)

const (
	leastAgain  = time.Second
	mostAgain   = time.Minute
	draftsAgain = 30 * time.Second
)

// ErrRefused tells why a request isn't admitted and when to come back.
type ErrRefused struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Error implements error.
func (e ErrRefused) Error() string {
	return "refused: " + string(e.Reason) + ", come back in " + e.RetryAfter.String()
}

// AsErrRefused returns the refusal in an error.
func AsErrRefused(err error) (ErrRefused, bool) {
	var refused ErrRefused
	ok := errors.As(err, &refused)
	return refused, ok
}

// refuse spreads the advice over once to twice the time, so that callers don't return together.
func (a *Admission) refuse(reason Reason, again time.Duration) error {
	again = min(max(again, leastAgain), mostAgain)
	return ErrRefused{Reason: reason, RetryAfter: again + time.Duration(a.spread()*float64(again+leastAgain))}
}

// ErrCountsDiffer tells that requests were lost or counted twice.
type ErrCountsDiffer struct {
	Counts Counts
	Open   int
}

// Error implements error.
func (e ErrCountsDiffer) Error() string {
	return "admitted " + strconv.FormatUint(e.Counts.Admitted, 10) + " differs from ended " + strconv.FormatUint(e.Counts.Ended, 10) +
		" + waiting " + strconv.Itoa(e.Counts.Waiting) + " + running " + strconv.Itoa(e.Counts.Running) + ", open " + strconv.Itoa(e.Open)
}

// IsErrCountsDiffer tells whether an error is an ErrCountsDiffer.
func IsErrCountsDiffer(err error) bool {
	var differ ErrCountsDiffer
	return errors.As(err, &differ)
}
