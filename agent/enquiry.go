package agent

import (
	"context"
	"time"

	"burdocksaddle/wirepb"
)

// enquiryWait is how long an enquiry waits for a running call to end.
const enquiryWait = time.Second

// Enquiry says what became of a claim and can forbid a late start.
func (a *Agent) Enquiry(ctx context.Context, e *wirepb.Enquiry) *wirepb.Frame {
	outcome, changed := a.outcome(e)
	if changed != nil {
		wait := time.NewTimer(enquiryWait)
		defer wait.Stop()
		select {
		case <-ctx.Done():
		case <-wait.C:
		case <-changed:
			outcome, _ = a.outcome(e)
		}
	}
	return &wirepb.Frame{Body: &wirepb.Frame_Outcome{Outcome: outcome}}
}

// outcome returns what is known now, and what closes when a running call ends.
func (a *Agent) outcome(e *wirepb.Enquiry) (*wirepb.Outcome, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	outcome := &wirepb.Outcome{Incarnation: a.incarnation}
	if e.GetIncarnation() != a.incarnation {
		// Another process may have started it, so nothing is forbidden here.
		return outcome, nil
	}
	outcome.State, outcome.Answer = a.starts.look(e.GetClaim(), time.Now().UnixMilli())
	if outcome.GetState() == wirepb.Outcome_STATE_NOT_SEEN && e.GetTombstone() {
		outcome.State = a.starts.forbid(e.GetClaim())
	}
	if outcome.GetState() == wirepb.Outcome_STATE_RUNNING {
		return outcome, a.starts.byClaim[e.GetClaim()].changed
	}
	return outcome, nil
}
