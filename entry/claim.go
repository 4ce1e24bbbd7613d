package entry

import (
	"context"
	"time"

	"burdocksaddle/wirepb"
)

const (
	maxCloses = 1024
	// closers is how many outcomes are recorded at once.
	closers = 4
	// maxLookups bounds the look-ups of refused requests, so that an overload doesn't reach control.
	maxLookups    = 8
	lookupTimeout = 150 * time.Millisecond
)

// claimed runs a request that may not be repeated; again tells that it certainly
// did not run and may be tried under another claim.
func (e *Entry) claimed(ctx context.Context, r Request, endpoint *wirepb.EndpointView, attempt uint32, g *guard) (again bool, err error) {
	result, err := e.propose(ctx, claimOpen(r, endpoint, attempt, false))
	if err != nil {
		return false, noQuorum(r, err)
	}
	if result.GetErrorCode() != "" {
		return false, e.claimRefused(r, result)
	}
	// From here the ledger has spoken: no earlier send runs unless it holds the claim.
	claim := result.GetClaim()
	if !claim.GetFresh() {
		return e.follow(ctx, r, claim, g)
	}
	g.suspect(false)
	if !g.begin() {
		e.record(&wirepb.ClaimClose{Claim: claim.GetClaim(), RequestId: r.ID, Run: wirepb.Run_RUN_NOT_RUN})
		return false, ErrCallerGone{}
	}
	relay := e.relay(r, endpoint, attempt, g)
	relay.claim = claim.GetClaim()
	err = relay.run(ctx)
	e.see(endpoint.GetName(), relay, err)
	return e.settle(ctx, r, claim, relay, g, err)
}

func claimOpen(r Request, endpoint *wirepb.EndpointView, attempt uint32, peek bool) *wirepb.Command {
	return &wirepb.Command{Kind: &wirepb.Command_ClaimOpen{ClaimOpen: &wirepb.ClaimOpen{
		Caller: r.Scope, Key: r.Key, RequestId: r.ID, Service: r.Service, Attempt: attempt, Peek: peek,
		Endpoint: endpoint.GetName(), Incarnation: endpoint.GetIncarnation(), BodyHash: r.bodyHash(),
		RemainingMs: uint64(max(time.Until(r.Deadline), 0).Milliseconds()),
	}}}
}

// noQuorum refuses a request whose claim could not be committed. Nothing was
// dispatched, but where the caller chose the key, an earlier send may have run.
func noQuorum(r Request, cause error) error {
	refused := refuse(CodeNoQuorum, "nothing was sent, since the claim could not be recorded: "+cause.Error())
	if r.KeyGiven {
		refused.Run = wirepb.Run_RUN_UNKNOWN
		refused.Detail = "this send was not run, but whether an earlier one with its key ran can't be looked up: " + cause.Error()
	}
	return refused
}

func (e *Entry) claimRefused(r Request, result *wirepb.CommandResult) error {
	if result.GetErrorCode() == CodeKeyReused {
		return ErrRefused{Code: CodeKeyReused, Run: wirepb.Run_RUN_NOT_RUN, Detail: result.GetErrorDetail()}
	}
	return noQuorum(r, ErrNotCommitted{Reason: result.GetErrorDetail()})
}

// settle finds out and records how a dispatched claim ended.
func (e *Entry) settle(ctx context.Context, r Request, claim *wirepb.ClaimView, relay *relay, g *guard, err error) (again bool, _ error) {
	refused, isRefused := AsErrRefused(err)
	switch {
	case err == nil || isRefused && refused.Code == CodeCallerLeft && relay.status > 0:
		g.settle(wirepb.Run_RUN_RAN)
		e.record(closeOf(r, claim, wirepb.Run_RUN_RAN, &wirepb.Answer{
			Status: uint32(relay.status), ContentType: relay.contentType, Body: relay.whole,
		}))
		return false, err
	case isRefused && refused.Run == wirepb.Run_RUN_NOT_RUN:
		return e.notRun(ctx, r, claim, g, err)
	case isRefused && refused.Run == wirepb.Run_RUN_RAN:
		g.settle(wirepb.Run_RUN_RAN)
		e.record(closeOf(r, claim, wirepb.Run_RUN_RAN, nil))
		return false, err
	case ctx.Err() != nil:
		// The deadline answers; a resend finds the outcome at the agent.
		return false, err
	}
	return e.enquire(ctx, r, claim, g, true)
}

// notRun records that a claim certainly did not run, after which another may be opened.
func (e *Entry) notRun(ctx context.Context, r Request, claim *wirepb.ClaimView, g *guard, cause error) (again bool, _ error) {
	g.settle(wirepb.Run_RUN_NOT_RUN)
	command := &wirepb.Command{Kind: &wirepb.Command_ClaimClose{ClaimClose: closeOf(r, claim, wirepb.Run_RUN_NOT_RUN, nil)}}
	if _, err := e.propose(ctx, command); err != nil {
		e.count.unclosed.Inc()
		return false, cause
	}
	return true, cause
}

func closeOf(r Request, claim *wirepb.ClaimView, run wirepb.Run, answer *wirepb.Answer) *wirepb.ClaimClose {
	closed := &wirepb.ClaimClose{Claim: claim.GetClaim(), RequestId: r.ID, Run: run, Answer: answer}
	if len(answer.GetBody()) > maxRecordedBytes {
		closed.Answer, closed.AnswerOnAgent = nil, true
	}
	return closed
}

// record hands an outcome to the duty that commits it; one that finds no room is found by enquiry later.
func (e *Entry) record(closed *wirepb.ClaimClose) {
	select {
	case e.closes <- closed:
	default:
		e.count.unclosed.Inc()
	}
}

// closeClaims is the duty that commits outcomes, so that no answer waits for it.
func (e *Entry) closeClaims(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case closed := <-e.closes:
				if _, err := e.propose(ctx, &wirepb.Command{Kind: &wirepb.Command_ClaimClose{ClaimClose: closed}}); err != nil {
					e.count.unclosed.Inc()
					e.log.Info("outcome not recorded", "request", closed.GetRequestId(), "claim", closed.GetClaim(), "error", err.Error())
				}
			}
		}
		ended <- nil
	}()
	return ended
}

// lookUp checks a refusal against the ledger where the caller chose the key:
// it may be the resend of a request that ran, and then NotRun would be false.
func (e *Entry) lookUp(ctx context.Context, r Request, g *guard, refusal error) error {
	refused, ok := AsErrRefused(refusal)
	if !r.mayBeResend() || !ok || refused.Run != wirepb.Run_RUN_NOT_RUN {
		return refusal
	}
	claim, err := e.peek(ctx, r)
	switch {
	case err != nil:
		refused.Run = wirepb.Run_RUN_UNKNOWN
		refused.Detail += "; whether an earlier send with this key ran could not be looked up"
		return refused
	case claim.GetClaim() == 0 || claim.GetClosed() && claim.GetRun() == wirepb.Run_RUN_NOT_RUN:
		return refused
	}
	if !time.Now().Before(r.Deadline) {
		return e.known(claim, g)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	again, err := e.follow(ctx, r, claim, g)
	if again {
		return refused
	}
	return err
}

// peek returns the claim that holds the key of a request.
func (e *Entry) peek(ctx context.Context, r Request) (*wirepb.ClaimView, error) {
	select {
	case e.lookups <- struct{}{}:
		defer func() { <-e.lookups }()
	default:
		return nil, ErrLookupsBusy{}
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	result, err := e.propose(ctx, claimOpen(r, nil, 0, true))
	if err != nil {
		return nil, err
	}
	return result.GetClaim(), nil
}

// ErrLookupsBusy tells that too many refused requests are looked up already.
type ErrLookupsBusy struct{}

// Error implements error.
func (ErrLookupsBusy) Error() string { return "too many look-ups are under way" }
