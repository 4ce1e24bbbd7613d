package entry

import (
	"context"
	"time"

	"burdocksaddle/wirepb"
)

const (
	maxPendingCloses = 1024
	// closeWorkers is the number of claim closes that are committed concurrently.
	closeWorkers = 4
	// maxLookups limits concurrent ledger lookups for refused requests, so that an overload of the entry doesn't overload
	// control.
	maxLookups    = 8
	lookupTimeout = 150 * time.Millisecond
)

// attemptClaimed runs a non-repeatable request under a claim in the ledger. retry reports that it certainly did not run
// and may be attempted under another claim.
func (e *Entry) attemptClaimed(ctx context.Context, r Request, endpoint *wirepb.EndpointView, attempt uint32, resp *responseWriter) (retry bool, err error) {
	result, err := e.propose(ctx, newClaimOpen(r, endpoint, attempt, false))
	if err != nil {
		return false, noQuorumRefusal(r, err)
	}
	if result.GetErrorCode() != "" {
		return false, e.claimRefusal(r, result)
	}
	// The ledger has decided: an earlier request with this key can only run if it holds the claim.
	claim := result.GetClaim()
	if !claim.GetFresh() {
		return e.followClaim(ctx, r, claim, resp)
	}
	resp.setMayHaveRunEarlier(false)
	if !resp.beginDispatch() {
		e.queueClose(&wirepb.ClaimClose{Claim: claim.GetClaim(), RequestId: r.ID, Run: wirepb.Run_RUN_NOT_RUN})
		return false, ErrResponseClosed{}
	}
	relay := e.newRelay(r, endpoint, attempt, resp)
	relay.claim = claim.GetClaim()
	err = relay.run(ctx)
	e.reportToRouter(endpoint.GetName(), relay, err)
	return e.resolveClaim(ctx, r, claim, relay, resp, err)
}

func newClaimOpen(r Request, endpoint *wirepb.EndpointView, attempt uint32, peek bool) *wirepb.Command {
	return &wirepb.Command{Kind: &wirepb.Command_ClaimOpen{ClaimOpen: &wirepb.ClaimOpen{
		Caller: r.KeyScope, Key: r.IdempotencyKey, RequestId: r.ID, Service: r.Service, Attempt: attempt, Peek: peek,
		Endpoint: endpoint.GetName(), Incarnation: endpoint.GetIncarnation(), BodyHash: r.requestHash(),
		RemainingMs: uint64(max(time.Until(r.Deadline), 0).Milliseconds()),
	}}}
}

// noQuorumRefusal refuses a request whose claim could not be committed. The request was not dispatched, but if the
// caller chose the key, an earlier request with that key may have run.
func noQuorumRefusal(r Request, cause error) error {
	refused := notRunRefusal(CodeNoQuorum, "nothing was sent, since the claim could not be recorded: "+cause.Error())
	if r.KeyFromCaller {
		refused.Run = wirepb.Run_RUN_UNKNOWN
		refused.Detail = "this send was not run, but whether an earlier one with its key ran can't be looked up: " + cause.Error()
	}
	return refused
}

func (e *Entry) claimRefusal(r Request, result *wirepb.CommandResult) error {
	if result.GetErrorCode() == CodeKeyReused {
		return ErrRefused{Code: CodeKeyReused, Run: wirepb.Run_RUN_NOT_RUN, Detail: result.GetErrorDetail()}
	}
	return noQuorumRefusal(r, ErrNotCommitted{Reason: result.GetErrorDetail()})
}

// resolveClaim determines and records the outcome of a dispatched claim.
func (e *Entry) resolveClaim(ctx context.Context, r Request, claim *wirepb.ClaimView, relay *relay, resp *responseWriter, err error) (retry bool, _ error) {
	refused, isRefused := AsErrRefused(err)
	switch {
	case err == nil || isRefused && refused.Code == CodeCallerLeft && relay.status > 0:
		resp.setRun(wirepb.Run_RUN_RAN)
		e.queueClose(newClaimClose(r, claim, wirepb.Run_RUN_RAN, &wirepb.Answer{
			Status: uint32(relay.status), ContentType: relay.contentType, Body: relay.buffer,
		}))
		return false, err
	case isRefused && refused.Run == wirepb.Run_RUN_NOT_RUN:
		return e.closeNotRun(ctx, r, claim, resp, err)
	case isRefused && refused.Run == wirepb.Run_RUN_RAN:
		resp.setRun(wirepb.Run_RUN_RAN)
		e.queueClose(newClaimClose(r, claim, wirepb.Run_RUN_RAN, nil))
		return false, err
	case ctx.Err() != nil:
		// The caller gets the refusal for the deadline; a retry by the caller gets the outcome from the agent.
		return false, err
	}
	return e.awaitOutcome(ctx, r, claim, resp, true)
}

// closeNotRun closes a claim as not run; retry reports that another claim may then be opened.
func (e *Entry) closeNotRun(ctx context.Context, r Request, claim *wirepb.ClaimView, resp *responseWriter, cause error) (retry bool, _ error) {
	resp.setRun(wirepb.Run_RUN_NOT_RUN)
	command := &wirepb.Command{Kind: &wirepb.Command_ClaimClose{ClaimClose: newClaimClose(r, claim, wirepb.Run_RUN_NOT_RUN, nil)}}
	if _, err := e.propose(ctx, command); err != nil {
		e.metrics.claimsLeftOpen.Inc()
		return false, cause
	}
	return true, cause
}

// newClaimClose returns the command that closes a claim. An answer that is too large for the ledger stays at the agent.
func newClaimClose(r Request, claim *wirepb.ClaimView, run wirepb.Run, answer *wirepb.Answer) *wirepb.ClaimClose {
	claimClose := &wirepb.ClaimClose{Claim: claim.GetClaim(), RequestId: r.ID, Run: run, Answer: answer}
	if len(answer.GetBody()) > maxRecordedBytes {
		claimClose.Answer, claimClose.AnswerOnAgent = nil, true
	}
	return claimClose
}

// queueClose queues a claim's outcome for commitCloses. If the queue is full, the claim stays open and a later enquiry
// at the agent finds its outcome.
func (e *Entry) queueClose(claimClose *wirepb.ClaimClose) {
	e.addQueuedCloses(1)
	select {
	case e.claimCloses <- claimClose:
	default:
		e.addQueuedCloses(-1)
		e.metrics.claimsLeftOpen.Inc()
	}
}

func (e *Entry) addQueuedCloses(change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queuedCloses += change
	e.notifyIdleLocked()
}

// commitCloses commits queued outcomes in the background, so that responses don't wait for the commit.
func (e *Entry) commitCloses(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case claimClose := <-e.claimCloses:
				if _, err := e.propose(ctx, &wirepb.Command{Kind: &wirepb.Command_ClaimClose{ClaimClose: claimClose}}); err != nil {
					e.metrics.claimsLeftOpen.Inc()
					e.log.Info("failed to record the outcome of a claim", "request", claimClose.GetRequestId(), "claim", claimClose.GetClaim(), "error", err.Error())
				}
				e.addQueuedCloses(-1)
			}
		}
		ended <- nil
	}()
	return ended
}

// checkEarlierRequest checks a NotRun refusal against the ledger if the caller chose the key: the request may be a retry of
// one that ran, and NotRun would then be wrong.
func (e *Entry) checkEarlierRequest(ctx context.Context, r Request, resp *responseWriter, refusal error) error {
	refused, ok := AsErrRefused(refusal)
	if !r.mayBeCallerRetry() || !ok || refused.Run != wirepb.Run_RUN_NOT_RUN {
		return refusal
	}
	claim, err := e.peekClaim(ctx, r)
	switch {
	case err != nil:
		refused.Run = wirepb.Run_RUN_UNKNOWN
		refused.Detail += "; whether an earlier send with this key ran could not be looked up"
		return refused
	case claim.GetClaim() == 0 || claim.GetClosed() && claim.GetRun() == wirepb.Run_RUN_NOT_RUN:
		return refused
	}
	if !time.Now().Before(r.Deadline) {
		return e.ledgerOutcome(claim, resp)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	retry, err := e.followClaim(ctx, r, claim, resp)
	if retry {
		return refused
	}
	return err
}

// peekClaim returns the claim that holds the key of a request, without opening one.
func (e *Entry) peekClaim(ctx context.Context, r Request) (*wirepb.ClaimView, error) {
	select {
	case e.lookupSlots <- struct{}{}:
		defer func() { <-e.lookupSlots }()
	default:
		return nil, ErrTooManyLookups{}
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	result, err := e.propose(ctx, newClaimOpen(r, nil, 0, true))
	if err != nil {
		return nil, err
	}
	return result.GetClaim(), nil
}

// ErrTooManyLookups is returned if maxLookups ledger lookups are already running.
type ErrTooManyLookups struct{}

// Error implements the error interface.
func (ErrTooManyLookups) Error() string { return "too many concurrent ledger lookups" }
