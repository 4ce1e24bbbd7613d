package entry

import (
	"context"
	"time"

	"burdocksaddle/ledger"
	"burdocksaddle/wirepb"
)

const (
	maxRecordedBytes = ledger.MaxAnswerBytes
	enquiryTimeout   = 2 * time.Second
	followPause      = 100 * time.Millisecond
	// openGrace is how long a resend leaves an open claim that its agent has not seen to the first sender.
	openGrace = 2 * time.Second
)

// follow gives a resend the outcome of the claim that holds its key; again tells
// that the claim did not run, so that the resend may claim the key itself.
func (e *Entry) follow(ctx context.Context, r Request, claim *wirepb.ClaimView, g *guard) (again bool, err error) {
	begin := time.Now()
	for {
		switch {
		case claim.GetClosed() && claim.GetRun() == wirepb.Run_RUN_NOT_RUN:
			g.settle(wirepb.Run_RUN_NOT_RUN)
			return true, refuse(CodeEndpointLost, "the request did not run")
		case claim.GetClosed() && claim.GetAnswer() != nil:
			return false, e.known(claim, g)
		}
		// What the ledger can't say, the agent may.
		forbid := claim.GetClosed() && claim.GetRun() == wirepb.Run_RUN_UNKNOWN || time.Since(begin) > openGrace
		outcome, err := e.ask(ctx, claim, forbid)
		if err == nil {
			done, again, err := e.conclude(ctx, r, claim, outcome, g)
			if done {
				return again, err
			}
		}
		if claim.GetClosed() && outcome.GetState() != wirepb.Outcome_STATE_RUNNING {
			return false, e.known(claim, g)
		}
		if !pause(ctx, followPause) {
			return false, e.known(claim, g)
		}
		if held, err := e.peek(ctx, r); err == nil && held.GetClaim() > 0 {
			claim = held
		}
	}
}

// known says what the ledger holds of a claim.
func (e *Entry) known(claim *wirepb.ClaimView, g *guard) error {
	switch {
	case claim.GetClosed() && claim.GetAnswer() != nil:
		if err := g.answer(claim.GetAnswer()); err != nil {
			return ErrRefused{Code: CodeCallerLeft, Run: wirepb.Run_RUN_RAN, Detail: err.Error()}
		}
		return nil
	case claim.GetClosed() && claim.GetRun() == wirepb.Run_RUN_RAN:
		return ErrRefused{Code: CodeAnswerNotKept, Run: wirepb.Run_RUN_RAN, Detail: "the request ran, but its answer is not kept"}
	case claim.GetClosed():
		return ErrRefused{Code: CodeOutcomeUnknown, Run: wirepb.Run_RUN_UNKNOWN, Detail: "whether the request ran can't be found out"}
	default:
		return unknown(CodeOutcomeUnknown, "the request was sent and has no known outcome yet; ask again under the same key")
	}
}

// ask enquires about a claim at its agent.
func (e *Entry) ask(ctx context.Context, claim *wirepb.ClaimView, tombstone bool) (*wirepb.Outcome, error) {
	address, ok := e.addressOf(claim)
	if !ok {
		// The endpoint is gone or started again; no one is left who knows.
		return &wirepb.Outcome{}, nil
	}
	e.count.enquiries.Inc()
	reply, err := e.pool.Call(ctx, address, &wirepb.Frame{Body: &wirepb.Frame_Enquiry{Enquiry: &wirepb.Enquiry{
		RequestId: claim.GetRequestId(), Claim: claim.GetClaim(), Tombstone: tombstone, Incarnation: claim.GetIncarnation(),
	}}}, enquiryTimeout)
	if err != nil {
		if ctx.Err() == nil {
			e.pool.Drop(address)
		}
		return nil, err
	}
	if reply.GetOutcome() == nil {
		return nil, ErrNotCommitted{Reason: "the agent gave no outcome"}
	}
	return reply.GetOutcome(), nil
}

// addressOf returns where the incarnation that a claim names listens.
func (e *Entry) addressOf(claim *wirepb.ClaimView) (string, bool) {
	e.sched.mu.Lock()
	defer e.sched.mu.Unlock()
	endpoint, ok := e.sched.known[claim.GetEndpoint()]
	if !ok || endpoint.GetIncarnation() > claim.GetIncarnation() {
		return "", false
	}
	return endpoint.GetAddress(), true
}

// conclude turns an agent's word into an answer; done is false while there is none yet.
func (e *Entry) conclude(ctx context.Context, r Request, claim *wirepb.ClaimView, outcome *wirepb.Outcome, g *guard) (done, again bool, _ error) {
	if outcome.GetIncarnation() != claim.GetIncarnation() || outcome.GetState() == wirepb.Outcome_STATE_UNKNOWN {
		return true, false, e.lost(r, claim, "the agent that was sent the request is there no more")
	}
	switch outcome.GetState() {
	case wirepb.Outcome_STATE_TOMBSTONED:
		again, err := e.notRun(ctx, r, claim, g, refuse(CodeEndpointLost, "the request did not reach its endpoint"))
		return true, again, err
	case wirepb.Outcome_STATE_FAILED:
		return true, false, e.lost(r, claim, "the endpoint was given the request and gave no whole answer")
	case wirepb.Outcome_STATE_DONE:
		g.settle(wirepb.Run_RUN_RAN)
		e.record(closeOf(r, claim, wirepb.Run_RUN_RAN, outcome.GetAnswer()))
		return true, false, e.known(&wirepb.ClaimView{Closed: true, Run: wirepb.Run_RUN_RAN, Answer: outcome.GetAnswer()}, g)
	}
	return false, false, nil
}

// lost records that nobody can say any more whether a claim ran.
func (e *Entry) lost(r Request, claim *wirepb.ClaimView, detail string) error {
	if !claim.GetClosed() {
		e.record(closeOf(r, claim, wirepb.Run_RUN_UNKNOWN, nil))
	} else if claim.GetRun() == wirepb.Run_RUN_RAN {
		return ErrRefused{Code: CodeAnswerNotKept, Run: wirepb.Run_RUN_RAN, Detail: "the request ran, but its answer is not kept"}
	}
	return ErrRefused{Code: CodeOutcomeUnknown, Run: wirepb.Run_RUN_UNKNOWN, Detail: detail}
}

// enquire asks over a fresh connection what became of a dispatch whose connection
// broke, and forbids a late start.
func (e *Entry) enquire(ctx context.Context, r Request, claim *wirepb.ClaimView, g *guard, tombstone bool) (again bool, _ error) {
	if address, ok := e.addressOf(claim); ok {
		e.pool.Drop(address)
	}
	for {
		outcome, err := e.ask(ctx, claim, tombstone)
		if err == nil {
			if done, again, err := e.conclude(ctx, r, claim, outcome, g); done {
				return again, err
			}
		}
		if !pause(ctx, followPause) {
			return false, unknown(CodeDeadlinePassed, "the request was sent and has no known outcome yet; ask again under the same key")
		}
	}
}
