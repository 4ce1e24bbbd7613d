package entry

import (
	"strconv"
	"time"
)

// lateBound is how far past its deadline a request may be answered.
const lateBound = 250 * time.Millisecond

// ErrAnsweredLate tells that a request had no answer long after its deadline.
type ErrAnsweredLate struct {
	RequestID string
	By        time.Duration
}

// Error implements error.
func (e ErrAnsweredLate) Error() string {
	return "request " + e.RequestID + " was answered " + e.By.String() + " after its deadline"
}

// ErrRequestsLost tells that admitted requests are neither answered, refused nor waiting.
type ErrRequestsLost struct {
	Admitted uint64
	Answered uint64
	Refused  uint64
	Waiting  int
}

// Error implements error.
func (e ErrRequestsLost) Error() string {
	return "admitted " + strconv.FormatUint(e.Admitted, 10) + " differs from answered " + strconv.FormatUint(e.Answered, 10) +
		" + refused " + strconv.FormatUint(e.Refused, 10) + " + waiting " + strconv.Itoa(e.Waiting)
}

// violation logs and counts a broken invariant; tests make it fatal.
func (e *Entry) violation(err error) {
	e.count.violated.Inc()
	e.log.Error(err, "invariant violated")
	if e.onViolation != nil {
		e.onViolation(err)
	}
}

// tally is how requests ended; the entry's mutex guards it.
type tally struct {
	admitted uint64
	answered uint64
	refused  uint64
	open     int
}

// enter counts a request in.
func (e *Entry) enter() {
	e.count.admitted.Inc()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tally.admitted++
	e.tally.open++
}

// exit counts a request out by how it was answered and checks that none is lost.
func (e *Entry) exit(r Request, err error, started bool) {
	late := time.Since(r.Deadline)
	if late > lateBound && !started {
		e.count.late.Inc()
		e.violation(ErrAnsweredLate{RequestID: r.ID, By: late})
	}
	refused, isRefused := AsErrRefused(err)
	if isRefused {
		e.count.refusal(refused)
	} else {
		e.count.answered.Inc()
	}
	e.mu.Lock()
	t := &e.tally
	t.open--
	if isRefused {
		t.refused++
	} else {
		t.answered++
	}
	now := *t
	if t.open == 0 {
		close(e.idle)
		e.idle = make(chan struct{})
	}
	e.mu.Unlock()
	if now.admitted != now.answered+now.refused+uint64(now.open) {
		e.violation(ErrRequestsLost{Admitted: now.admitted, Answered: now.answered, Refused: now.refused, Waiting: now.open})
	}
}
