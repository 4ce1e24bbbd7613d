package admission

import (
	"errors"
	"strconv"
	"time"
)

// Reason identifies why a request is refused.
type Reason string

// Reasons for refusing a request.
const (
	ReasonDeadlinePassed    Reason = "DeadlinePassed"
	ReasonDeadlineTooShort  Reason = "DeadlineTooShort"
	ReasonNoReplica         Reason = "NoReplica"
	ReasonQueueFull         Reason = "QueueFull"
	ReasonCallerRate        Reason = "CallerRate"
	ReasonCallerConcurrency Reason = "CallerConcurrency"
	ReasonDrafts            Reason = "DraftsRefused"
)

const (
	minRetryAfter   = time.Second
	maxRetryAfter   = time.Minute
	draftRetryAfter = 30 * time.Second
)

// ErrRefused reports why a request is not admitted and when to retry.
type ErrRefused struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Error implements error.
func (e ErrRefused) Error() string {
	return "refused: " + string(e.Reason) + ", retry after " + e.RetryAfter.String()
}

// AsErrRefused returns the ErrRefused in an error's chain.
func AsErrRefused(err error) (ErrRefused, bool) {
	var refused ErrRefused
	ok := errors.As(err, &refused)
	return refused, ok
}

// refuse returns an ErrRefused. It adds jitter of up to the Retry-After value plus minRetryAfter, so that callers do
// not retry at the same moment.
func (a *Admission) refuse(reason Reason, retryAfter time.Duration) error {
	retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	return ErrRefused{Reason: reason, RetryAfter: retryAfter + time.Duration(a.jitter()*float64(retryAfter+minRetryAfter))}
}

// ErrCountsDiffer reports that requests were lost or counted twice.
type ErrCountsDiffer struct {
	Counts Counts
	Open   int
}

// Error implements error.
func (e ErrCountsDiffer) Error() string {
	return "admitted " + strconv.FormatUint(e.Counts.Admitted, 10) + " differs from ended " + strconv.FormatUint(e.Counts.Ended, 10) +
		" + waiting " + strconv.Itoa(e.Counts.Waiting) + " + running " + strconv.Itoa(e.Counts.Running) + ", open " + strconv.Itoa(e.Open)
}

// IsErrCountsDiffer reports whether an error is an ErrCountsDiffer.
func IsErrCountsDiffer(err error) bool {
	var differ ErrCountsDiffer
	return errors.As(err, &differ)
}
