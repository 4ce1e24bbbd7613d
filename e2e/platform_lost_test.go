package e2e

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/platform/standin"
)

const (
	// lossSlack is how long a gateway may hold a request that it does not pass on and whose connection it then closes.
	lossSlack = 200 * time.Millisecond
	// closeCrossing is how long after the first bytes of a request its caller learns that the connection was closed before.
	closeCrossing = 20 * time.Millisecond
	// rotationTime is how long new connections come to a gateway that reports that it is not ready: the platform asks twice.
	rotationTime = 2 * time.Second
	// A request that was sent up to lateRequestTime after a SIGTERM may be cut if its endpoint still works on it in the last sixth of the grace
	// period.
	lateRequestTime = 3 * time.Second
)

// answer says how a request ended.
type answer string

const (
	// answerUnjudged is that of a request of which nothing was written, or whose gateway was subject to an unplanned fault.
	answerUnjudged answer = "unjudged"
	answerComplete answer = "complete"
	// answerLeft, answerTimedOut and answerExcused end early for reasons that are not the gateway's: the last one as the endpoint broke off or
	// was still at work near the end of the grace period.
	answerLeft     answer = "caller left"
	answerTimedOut answer = "timed out"
	answerExcused  answer = "excused"
	// answerCrossed is none as the request crossed the gateway's close of an idle connection, answerLate is none on a connection that was opened
	// when the platform sends a stopping gateway no new ones.
	answerCrossed answer = "crossed the close"
	answerLate    answer = "late connection"
	// answerMissing is none to a request that was not passed on, answerLost a missing or cut one to a request that was passed on or held.
	answerMissing answer = "missing"
	answerLost    answer = "lost"
)

// checkLost checks that each request that was written to a gateway gets a complete answer, also while the gateway stops or reloads its settings.
func checkLost(o observations) (judged int, broken []string) {
	runs := o.runsByID()
	for _, outcome := range o.outcomes {
		switch ended := o.judgeAnswer(outcome, runs[outcome.ID]); ended {
		case answerUnjudged:
		case answerMissing, answerLost:
			broken = append(broken, fmt.Sprintf("%s %s at %s: %s after %v, status %d, %d runs, reused connection %t, %s: %v", outcome.Path, outcome.ID, outcome.Gateway,
				ended, outcome.Done.Sub(outcome.Began), outcome.Status, len(runs[outcome.ID]), outcome.Reused, o.sinceStop(outcome), outcome.Err))
			judged++
		default:
			judged++
		}
	}
	return judged, broken
}

// answers returns how many requests ended in each way.
func (o observations) answers() map[answer]int {
	runs, counts := o.runsByID(), map[answer]int{}
	for _, outcome := range o.outcomes {
		counts[o.judgeAnswer(outcome, runs[outcome.ID])]++
	}
	return counts
}

// judgeAnswer returns how a request with these runs ended.
func (o observations) judgeAnswer(outcome standin.Outcome, runs []standin.Run) answer {
	var left standin.ErrLeft
	switch {
	case outcome.Began.IsZero() || o.impaired(o.senders[outcome.Gateway], outcome.Sent.Add(-contactTime), outcome.Done):
		return answerUnjudged
	case outcome.Complete:
		return answerComplete
	case errors.As(outcome.Err, &left):
		return answerLeft
	case outcome.Done.Sub(outcome.Sent) >= outcome.Timeout*9/10:
		return answerTimedOut
	}
	stop, stopping := o.stopDuring(outcome)
	if len(runs) > 0 {
		last := runs[0]
		for _, run := range runs {
			if run.Start.After(last.Start) {
				last = run
			}
		}
		lastSixth := stop.from.Add(o.grace * 5 / 6)
		atWork := stopping && outcome.Sent.Sub(stop.from) <= lateRequestTime && outcome.Done.After(lastSixth) && (last.End.IsZero() || last.End.After(lastSixth))
		if last.BrokenOff || atWork {
			return answerExcused
		}
		return answerLost
	}
	switch {
	case outcome.Status != 0 || !outcome.Written.IsZero() && outcome.Done.Sub(outcome.Written) > lossSlack:
		return answerLost
	case outcome.Reused && outcome.Done.Sub(outcome.Began) <= closeCrossing:
		return answerCrossed
	case !outcome.Reused && stopping && outcome.Sent.Sub(stop.from) > rotationTime:
		return answerLate
	}
	return answerMissing
}

// impaired reports whether an unplanned fault affected a gateway in a period.
func (o observations) impaired(gateway string, from, until time.Time) bool {
	for _, p := range o.disturbances[gateway] {
		if !p.planned && p.overlaps(from, until) {
			return true
		}
	}
	return gateway == ""
}

// stopDuring returns the stop of a request's gateway during the request, if there was one.
func (o observations) stopDuring(outcome standin.Outcome) (stop period, found bool) {
	for _, p := range o.stops[o.senders[outcome.Gateway]] {
		if p.overlaps(outcome.Sent, outcome.Done) {
			return p, true
		}
	}
	return period{}, false
}

// sinceStop describes when a request was sent and ended, relative to its gateway's stop.
func (o observations) sinceStop(outcome standin.Outcome) string {
	stop, found := o.stopDuring(outcome)
	if !found {
		return "no stop"
	}
	return fmt.Sprintf("sent %v and ended %v after SIGTERM", outcome.Sent.Sub(stop.from), outcome.Done.Sub(stop.from))
}

// TestLostRequestsAreToldFromOthers verifies checkLost's judgement of a request that ends without a complete answer.
func TestLostRequestsAreToldFromOthers(t *testing.T) {
	signal := time.Now()
	at := func(ms int) time.Time { return signal.Add(time.Duration(ms) * time.Millisecond) }
	outcome := func(sent, done, status int, reused bool) standin.Outcome {
		return standin.Outcome{Request: standin.Request{Timeout: 6 * time.Second}, Gateway: "caller's", Sent: at(sent), Began: at(sent), Written: at(sent), Done: at(done), Status: status, Reused: reused}
	}
	run := func(end int, broken bool) []standin.Run {
		return []standin.Run{{Start: at(10), End: at(end), BrokenOff: broken}}
	}
	left := outcome(1000, 1300, 200, true)
	left.Err = standin.ErrLeft{Events: 1}
	unwritten := outcome(1000, 1300, 0, true)
	unwritten.Began, unwritten.Written = time.Time{}, time.Time{}
	partial := outcome(1000, 1050, 0, true)
	partial.Written = time.Time{}
	for name, test := range map[string]struct {
		outcome standin.Outcome
		runs    []standin.Run
		faults  []period
		want    answer
	}{
		"held":                           {outcome: outcome(1000, 1300, 0, true), want: answerLost},
		"passed on":                      {outcome: outcome(1000, 1100, 0, true), runs: run(1100, false), want: answerLost},
		"cut":                            {outcome: outcome(1000, 1100, 200, true), runs: run(1100, false), want: answerLost},
		"cut late in the grace":          {outcome: outcome(3500, 3800, 200, false), runs: run(3800, false), want: answerLost},
		"at work in the last sixth":      {outcome: outcome(2000, 3800, 200, false), runs: run(3800, false), want: answerExcused},
		"endpoint broke off":             {outcome: outcome(1000, 1300, 200, true), runs: run(1200, true), want: answerExcused},
		"time limit":                     {outcome: outcome(-4000, 1500, 0, true), want: answerTimedOut},
		"caller left":                    {outcome: left, runs: run(1300, false), want: answerLeft},
		"unwritten":                      {outcome: unwritten, want: answerUnjudged},
		"closed with a part of the head": {outcome: partial, want: answerMissing},
		"new connection":                 {outcome: outcome(1000, 1005, 0, false), want: answerMissing},
		"reused connection":              {outcome: outcome(1000, 1005, 0, true), want: answerCrossed},
		"reused connection, later":       {outcome: outcome(1000, 1100, 0, true), want: answerMissing},
		"connection after rotation":      {outcome: outcome(2100, 2105, 0, false), want: answerLate},
		"held after rotation":            {outcome: outcome(2100, 2400, 0, false), want: answerLost},
		"beside a planned stop only":     {outcome: outcome(1000, 1300, 0, true), faults: []period{{from: at(0), until: at(4000), planned: true}}, want: answerLost},
		"after a kill":                   {outcome: outcome(1000, 1300, 0, true), faults: []period{{from: at(-2500), until: at(-1900)}}, want: answerUnjudged},
		"long after a kill":              {outcome: outcome(1000, 1300, 0, true), faults: []period{{from: at(-2500), until: at(-2100)}}, want: answerLost},
	} {
		t.Run(name, func(t *testing.T) {
			o := observations{
				senders: map[string]string{"caller's": "gateway"}, disturbances: map[string][]period{"gateway": test.faults},
				stops: map[string][]period{"gateway": {{from: signal, until: at(4000)}}}, grace: 4 * time.Second,
			}
			if diff := cmp.Diff(test.want, o.judgeAnswer(test.outcome, test.runs)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
