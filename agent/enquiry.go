package agent

import (
	"context"
	"time"

	"burdocksaddle/wirepb"
)

// enquiryWait bounds how long an enquiry waits for a running call to finish.
const enquiryWait = time.Second

// Enquiry returns the outcome of a claim. On request, it tombstones a claim that has not arrived yet.
func (a *Agent) Enquiry(ctx context.Context, enquiry *wirepb.Enquiry) *wirepb.Frame {
	outcome, finished := a.outcome(enquiry)
	if finished != nil {
		wait := time.NewTimer(enquiryWait)
		defer wait.Stop()
		select {
		case <-ctx.Done():
		case <-wait.C:
		case <-finished:
			outcome, _ = a.outcome(enquiry)
		}
	}
	return &wirepb.Frame{Body: &wirepb.Frame_Outcome{Outcome: outcome}}
}

// outcome returns the current outcome and, for a running call, a channel that is closed when the call finishes.
func (a *Agent) outcome(enquiry *wirepb.Enquiry) (*wirepb.Outcome, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	outcome := &wirepb.Outcome{Incarnation: a.incarnation}
	if enquiry.GetIncarnation() != a.incarnation {
		// Another incarnation may have started the claim, so it isn't tombstoned here.
		return outcome, nil
	}
	outcome.State, outcome.Answer = a.claims.lookup(enquiry.GetClaim(), time.Now().UnixMilli())
	if outcome.GetState() == wirepb.Outcome_STATE_NOT_SEEN && enquiry.GetTombstone() {
		outcome.State = a.claims.tombstone(enquiry.GetClaim())
	}
	if outcome.GetState() == wirepb.Outcome_STATE_RUNNING {
		return outcome, a.claims.byClaim[enquiry.GetClaim()].finished
	}
	return outcome, nil
}
