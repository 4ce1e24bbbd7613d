package entry

import (
	"strconv"
	"time"
)

// maxLateness is how long after its deadline a response may start before it counts as a violation.
const maxLateness = 250 * time.Millisecond

// ErrAnsweredLate is reported if a request ended more than maxLateness after its deadline without a started response.
type ErrAnsweredLate struct {
	RequestID string
	Lateness  time.Duration
}

// Error implements the error interface.
func (e ErrAnsweredLate) Error() string {
	return "request " + e.RequestID + " ended " + e.Lateness.String() + " after its deadline"
}

// ErrRequestsLost is reported if the admitted requests differ from the sum of answered, refused and open ones.
type ErrRequestsLost struct {
	Admitted uint64
	Answered uint64
	Refused  uint64
	Open     int
}

// Error implements the error interface.
func (e ErrRequestsLost) Error() string {
	return "request counts differ: admitted " + strconv.FormatUint(e.Admitted, 10) + " != answered " + strconv.FormatUint(e.Answered, 10) +
		" + refused " + strconv.FormatUint(e.Refused, 10) + " + open " + strconv.Itoa(e.Open)
}

// reportViolation logs and counts an invariant violation and calls the callback, with which tests fail.
func (e *Entry) reportViolation(err error) {
	e.metrics.violations.Inc()
	e.log.Error(err, "invariant violated")
	if e.onViolation != nil {
		e.onViolation(err)
	}
}

// requestCounts counts requests by outcome; it is guarded by Entry.mu.
type requestCounts struct {
	admitted uint64
	answered uint64
	refused  uint64
	open     int
}

// beginRequest counts an admitted request.
func (e *Entry) beginRequest() {
	e.metrics.admitted.Inc()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests.admitted++
	e.requests.open++
}

// endRequest counts the end of a request by its outcome and checks the invariants.
func (e *Entry) endRequest(r Request, err error, started bool) {
	late := time.Since(r.Deadline)
	if late > maxLateness && !started {
		e.metrics.lateAnswers.Inc()
		e.reportViolation(ErrAnsweredLate{RequestID: r.ID, Lateness: late})
	}
	refused, isRefused := AsErrRefused(err)
	if isRefused {
		e.metrics.countRefusal(refused)
	} else {
		e.metrics.answered.Inc()
	}
	e.mu.Lock()
	t := &e.requests
	t.open--
	if isRefused {
		t.refused++
	} else {
		t.answered++
	}
	counts := *t
	e.notifyIdleLocked()
	e.mu.Unlock()
	if counts.admitted != counts.answered+counts.refused+uint64(counts.open) {
		e.reportViolation(ErrRequestsLost{Admitted: counts.admitted, Answered: counts.answered, Refused: counts.refused, Open: counts.open})
	}
}

// notifyIdleLocked wakes Stop if it has nothing left to wait for.
func (e *Entry) notifyIdleLocked() {
	if e.requests.open == 0 && e.queuedCloses == 0 {
		close(e.idle)
		e.idle = make(chan struct{})
	}
}
