package entry

import (
	"context"
	"time"

	"burdocksaddle/ledger"
	"burdocksaddle/wirepb"
)

const (
	maxRecordedBytes    = ledger.MaxAnswerBytes
	enquiryTimeout      = 2 * time.Second
	outcomePollInterval = 100 * time.Millisecond
	// openGrace is how long a caller's retry waits before it tombstones an open claim that the agent has not seen, since
	// the first attempt may still dispatch it.
	openGrace = 2 * time.Second
)

// followClaim answers a caller's retry with the outcome of the claim that holds its key. retry reports that the claim
// did not run, so that the request may open a claim of its own.
func (e *Entry) followClaim(ctx context.Context, r Request, claim *wirepb.ClaimView, resp *responseWriter) (retry bool, err error) {
	startedAt := time.Now()
	for {
		switch {
		case claim.GetClosed() && claim.GetRun() == wirepb.Run_RUN_NOT_RUN:
			resp.setRun(wirepb.Run_RUN_NOT_RUN)
			return true, notRunRefusal(CodeEndpointLost, "the request did not run")
		case claim.GetClosed() && claim.GetAnswer() != nil:
			return false, e.ledgerOutcome(claim, resp)
		}
		// The ledger has no final outcome; the agent may have one.
		tombstone := claim.GetClosed() && claim.GetRun() == wirepb.Run_RUN_UNKNOWN || time.Since(startedAt) > openGrace
		outcome, err := e.queryAgent(ctx, claim, tombstone)
		if err == nil {
			done, retry, err := e.applyOutcome(ctx, r, claim, outcome, resp)
			if done {
				return retry, err
			}
		}
		if claim.GetClosed() && outcome.GetState() != wirepb.Outcome_STATE_RUNNING {
			return false, e.ledgerOutcome(claim, resp)
		}
		if !sleepContext(ctx, outcomePollInterval) {
			return false, e.ledgerOutcome(claim, resp)
		}
		if current, err := e.peekClaim(ctx, r); err == nil && current.GetClaim() > 0 {
			claim = current
		}
	}
}

// ledgerOutcome responds with the outcome that the ledger has recorded for a claim.
func (e *Entry) ledgerOutcome(claim *wirepb.ClaimView, resp *responseWriter) error {
	switch {
	case claim.GetClosed() && claim.GetAnswer() != nil:
		if err := resp.writeAnswer(claim.GetAnswer()); err != nil {
			return ErrRefused{Code: CodeCallerLeft, Run: wirepb.Run_RUN_RAN, Detail: err.Error()}
		}
		return nil
	case claim.GetClosed() && claim.GetRun() == wirepb.Run_RUN_RAN:
		return ErrRefused{Code: CodeAnswerNotKept, Run: wirepb.Run_RUN_RAN, Detail: "the request ran, but its answer is not kept"}
	case claim.GetClosed():
		return ErrRefused{Code: CodeOutcomeUnknown, Run: wirepb.Run_RUN_UNKNOWN, Detail: "whether the request ran can't be found out"}
	default:
		return unknownRefusal(CodeOutcomeUnknown, "the request was sent and has no known outcome yet; ask again under the same key")
	}
}

// queryAgent asks the claim's agent for its outcome. With tombstone set, the agent refuses a dispatch of the claim that
// arrives later.
func (e *Entry) queryAgent(ctx context.Context, claim *wirepb.ClaimView, tombstone bool) (*wirepb.Outcome, error) {
	address, ok := e.agentAddress(claim)
	if !ok {
		// The endpoint was removed or has restarted, so the outcome is lost.
		return &wirepb.Outcome{}, nil
	}
	e.metrics.enquiries.Inc()
	reply, err := e.pool.Call(ctx, address, &wirepb.Frame{Body: &wirepb.Frame_Enquiry{Enquiry: &wirepb.Enquiry{
		RequestId: claim.GetRequestId(), Claim: claim.GetClaim(), Tombstone: tombstone, Incarnation: claim.GetIncarnation(),
	}}}, enquiryTimeout)
	if err != nil {
		if ctx.Err() == nil {
			e.pool.CloseSession(address)
		}
		return nil, err
	}
	if reply.GetOutcome() == nil {
		return nil, ErrNotCommitted{Reason: "the agent's reply has no outcome"}
	}
	return reply.GetOutcome(), nil
}

// agentAddress returns the address of the endpoint incarnation that a claim was dispatched to.
func (e *Entry) agentAddress(claim *wirepb.ClaimView) (string, bool) {
	e.scheduler.mu.Lock()
	defer e.scheduler.mu.Unlock()
	endpoint, ok := e.scheduler.endpoints[claim.GetEndpoint()]
	if !ok || endpoint.GetIncarnation() > claim.GetIncarnation() {
		return "", false
	}
	return endpoint.GetAddress(), true
}

// applyOutcome responds according to the outcome that the agent reported; done is false if the claim is still running.
func (e *Entry) applyOutcome(ctx context.Context, r Request, claim *wirepb.ClaimView, outcome *wirepb.Outcome, resp *responseWriter) (done, retry bool, _ error) {
	if outcome.GetIncarnation() != claim.GetIncarnation() || outcome.GetState() == wirepb.Outcome_STATE_UNKNOWN {
		return true, false, e.closeUnknown(r, claim, "the agent that was sent the request is there no more")
	}
	switch outcome.GetState() {
	case wirepb.Outcome_STATE_TOMBSTONED:
		retry, err := e.closeNotRun(ctx, r, claim, resp, notRunRefusal(CodeEndpointLost, "the request did not reach its endpoint"))
		return true, retry, err
	case wirepb.Outcome_STATE_FAILED:
		return true, false, e.closeUnknown(r, claim, "the endpoint was given the request and gave no whole answer")
	case wirepb.Outcome_STATE_DONE:
		resp.setRun(wirepb.Run_RUN_RAN)
		e.queueClose(newClaimClose(r, claim, wirepb.Run_RUN_RAN, outcome.GetAnswer()))
		return true, false, e.ledgerOutcome(&wirepb.ClaimView{Closed: true, Run: wirepb.Run_RUN_RAN, Answer: outcome.GetAnswer()}, resp)
	}
	return false, false, nil
}

// closeUnknown records that it can no longer be determined whether a claim ran.
func (e *Entry) closeUnknown(r Request, claim *wirepb.ClaimView, detail string) error {
	if !claim.GetClosed() {
		e.queueClose(newClaimClose(r, claim, wirepb.Run_RUN_UNKNOWN, nil))
	} else if claim.GetRun() == wirepb.Run_RUN_RAN {
		return ErrRefused{Code: CodeAnswerNotKept, Run: wirepb.Run_RUN_RAN, Detail: "the request ran, but its answer is not kept"}
	}
	return ErrRefused{Code: CodeOutcomeUnknown, Run: wirepb.Run_RUN_UNKNOWN, Detail: detail}
}

// awaitOutcome polls the agent over a new connection for the outcome of a dispatch whose connection broke. With
// tombstone set, it also prevents the dispatch from starting late.
func (e *Entry) awaitOutcome(ctx context.Context, r Request, claim *wirepb.ClaimView, resp *responseWriter, tombstone bool) (retry bool, _ error) {
	if address, ok := e.agentAddress(claim); ok {
		e.pool.CloseSession(address)
	}
	for {
		outcome, err := e.queryAgent(ctx, claim, tombstone)
		if err == nil {
			if done, retry, err := e.applyOutcome(ctx, r, claim, outcome, resp); done {
				return retry, err
			}
		}
		if !sleepContext(ctx, outcomePollInterval) {
			return false, unknownRefusal(CodeDeadlinePassed, "the request was sent and has no known outcome yet; ask again under the same key")
		}
	}
}
