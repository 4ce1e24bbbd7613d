package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

// Serve answers one request through the sink, or fails with ErrRefused by the deadline.
func (e *Entry) Serve(ctx context.Context, r Request, sink Sink) error {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	q, err := e.admit(r)
	if err != nil {
		return err
	}
	defer e.leave(q, r.ID)
	for attempt := uint32(1); ; attempt++ {
		endpoint, err := e.await(ctx, q, r)
		if err != nil {
			return err
		}
		again, err := e.attempt(ctx, r, endpoint, attempt, sink)
		e.finish(endpoint.GetName(), q, r)
		if !again {
			return err
		}
	}
}

// admit checks what can be refused at once and counts the request as waiting.
func (e *Entry) admit(r Request) (*queue, error) {
	if !e.Ready() {
		return nil, refuse(CodeNoLease, "this entry takes no new work now")
	}
	name, isModel := r.Service, false
	if r.Model != "" {
		name, isModel = r.Model, true
	}
	limit := e.Catalog().InForce().QueueLimit
	if limit == 0 {
		limit = defaultQueue
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	q, ok := e.queues[name]
	if !ok {
		q = &queue{model: isModel, earliest: map[string]time.Time{}}
		e.queues[name] = q
	}
	if q.waiting >= limit {
		return nil, refuse(CodeQueueFull, "too many requests wait for "+name)
	}
	q.waiting++
	q.arrivals++
	q.earliest[r.ID] = r.Deadline
	e.open++
	e.nudge()
	return q, nil
}

// await waits until an endpoint can take the request.
func (e *Entry) await(ctx context.Context, q *queue, r Request) (*wirepb.EndpointView, error) {
	for {
		changed := e.watch.Changed()
		e.mu.Lock()
		freed := e.freed
		endpoint := e.choose(r)
		if endpoint != nil {
			e.running[endpoint.GetName()]++
			q.waiting--
			q.running++
			delete(q.earliest, r.ID)
		}
		e.mu.Unlock()
		if endpoint != nil {
			return endpoint, nil
		}
		select {
		case <-ctx.Done():
			return nil, refuse(CodeDeadlinePassed, "no endpoint was free in time")
		case <-changed:
		case <-freed:
		}
	}
}

// choose takes the least loaded endpoint that can serve the request.
func (e *Entry) choose(r Request) *wirepb.EndpointView {
	var best *wirepb.EndpointView
	for _, endpoint := range e.watch.Endpoints(r.Service) {
		if endpoint.GetLeaving() || endpoint.GetSilent() || !serves(endpoint, r.Model) {
			continue
		}
		if e.running[endpoint.GetName()] >= int(endpoint.GetSlots()) {
			continue
		}
		if best == nil || e.running[endpoint.GetName()] < e.running[best.GetName()] {
			best = endpoint
		}
	}
	return best
}

func serves(endpoint *wirepb.EndpointView, model string) bool {
	if model == "" {
		return true
	}
	for _, replica := range endpoint.GetReplicas() {
		if replica.GetModel() == model && replica.GetState() == wirepb.ReplicaState_REPLICA_LOADED {
			return true
		}
	}
	return false
}

// finish gives the endpoint's slot back and counts the request as waiting again.
func (e *Entry) finish(endpoint string, q *queue, r Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[endpoint]--
	q.running--
	q.waiting++
	q.earliest[r.ID] = r.Deadline
	close(e.freed)
	e.freed = make(chan struct{})
}

func (e *Entry) leave(q *queue, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	q.waiting--
	delete(q.earliest, id)
	e.open--
}

func (e *Entry) nudge() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// attempt runs the request once; again tells that another endpoint may be tried.
func (e *Entry) attempt(ctx context.Context, r Request, endpoint *wirepb.EndpointView, attempt uint32, sink Sink) (again bool, err error) {
	claim := uint64(0)
	if !r.Repeatable {
		view, err := e.claim(ctx, r, endpoint)
		if err != nil {
			return false, err
		}
		if !view.GetFresh() {
			return false, replay(view, sink)
		}
		claim = view.GetClaim()
	}
	relay := relay{entry: e, request: r, endpoint: endpoint, attempt: attempt, claim: claim, sink: sink}
	err = relay.run(ctx)
	if claim > 0 {
		e.closeClaim(r, claim, relay.outcome(err))
	}
	refused, ok := AsErrRefused(err)
	if ok && refused.Run == wirepb.Run_RUN_NOT_RUN && r.Repeatable && ctx.Err() == nil && !relay.sent {
		return true, err
	}
	return false, err
}

func (e *Entry) claim(ctx context.Context, r Request, endpoint *wirepb.EndpointView) (*wirepb.ClaimView, error) {
	result, err := e.propose(ctx, &wirepb.Command{Kind: &wirepb.Command_ClaimOpen{ClaimOpen: &wirepb.ClaimOpen{
		Caller: r.Caller, Key: r.Key, RequestId: r.ID, Service: r.Service, Endpoint: endpoint.GetName(),
		Incarnation: endpoint.GetIncarnation(), BodyHash: xxhash.Sum64(r.Body),
		RemainingMs: uint64(time.Until(r.Deadline).Milliseconds()),
	}}})
	if err != nil {
		return nil, refuse(CodeNoQuorum, err.Error())
	}
	if result.GetErrorCode() != "" {
		return nil, refuse(CodeKeyReused, result.GetErrorDetail())
	}
	return result.GetClaim(), nil
}

func (e *Entry) closeClaim(r Request, claim uint64, outcome *wirepb.ClaimClose) {
	outcome.Claim, outcome.RequestId = claim, r.ID
	// The caller may be gone; the outcome is recorded all the same.
	ctx, cancel := context.WithTimeout(context.Background(), controlCallLimit)
	defer cancel()
	if _, err := e.propose(ctx, &wirepb.Command{Kind: &wirepb.Command_ClaimClose{ClaimClose: outcome}}); err != nil {
		e.log.Error(err, "outcome not recorded", "request", r.ID, "claim", claim)
	}
}

// propose hands a command to any control member.
func (e *Entry) propose(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
	var last error = ErrControlNotReached{}
	frame := &wirepb.Frame{Body: &wirepb.Frame_Propose{Propose: &wirepb.Propose{Command: command, RemainingMs: uint64(controlCallLimit.Milliseconds())}}}
	for _, address := range e.settings.Controls {
		reply, err := e.pool.Call(ctx, address, frame, controlCallLimit)
		if err != nil {
			last = err
			if wire.IsErrNotReached(err) {
				continue
			}
			return nil, err
		}
		if proposed := reply.GetProposeReply(); proposed.GetCommitted() {
			return proposed.GetResult(), nil
		}
	}
	return nil, last
}

// ErrControlNotReached tells that no control member could commit a command.
type ErrControlNotReached struct{}

// Error implements error.
func (ErrControlNotReached) Error() string { return "no control member commits now" }
