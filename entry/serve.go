package entry

import (
	"context"
	"errors"
	"time"

	"burdocksaddle/agent"
	"burdocksaddle/routing"
	"burdocksaddle/wirepb"
)

// deadlineGrace is how long an attempt may take to return by itself after the deadline.
const deadlineGrace = 50 * time.Millisecond

// Serve handles one request: it writes the response to the sink or returns ErrRefused by the deadline. A context that ends with the cause
// ErrStopping ends the request because the entry stops, not because the caller has left.
func (e *Entry) Serve(ctx context.Context, r Request, sink Sink) (err error) {
	e.beginRequest()
	resp := &responseWriter{sink: sink}
	resp.setMayHaveRunEarlier(r.mayBeCallerRetry())
	begin := time.Now()
	defer func() {
		e.metrics.requestSeconds.UpdateDuration(begin)
		e.endRequest(r, err, resp.hasStarted())
	}()
	defer func() { err = stoppingRefusal(ctx, err) }()
	var w *waiter
	if err = e.checkAccepting(); err == nil {
		e.countArrival(r.Model)
		w, err = e.scheduler.enqueue(r)
		e.wakeReporter()
	}
	if err != nil && !r.mayBeCallerRetry() {
		return err
	}
	if err != nil {
		refused := err
		return e.runUntilDeadline(ctx, r, resp, func(ctx context.Context) error { return e.checkEarlierRequest(ctx, r, resp, refused) })
	}
	err = e.runUntilDeadline(ctx, r, resp, func(ctx context.Context) error { return e.tryEndpoints(ctx, r, w, resp) })
	e.scheduler.finish(w, err == nil)
	return err
}

// runUntilDeadline calls work and returns at most deadlineGrace after the request's deadline, even if work has not
// returned.
func (e *Entry) runUntilDeadline(ctx context.Context, r Request, resp *responseWriter, work func(context.Context) error) error {
	workCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- work(workCtx) }()
	select {
	case err := <-ended:
		return err
	case <-workCtx.Done():
	}
	// A caller that disconnected may retry elsewhere at once, so no further dispatch is allowed and there is no grace period.
	if ctx.Err() == nil {
		grace := time.NewTimer(deadlineGrace)
		defer grace.Stop()
		select {
		case err := <-ended:
			return err
		case <-grace.C:
		}
	}
	run, _ := resp.close()
	return e.contextRefusal(ctx, run)
}

// contextRefusal returns the refusal for a caller that disconnected or a deadline that passed.
func (e *Entry) contextRefusal(ctx context.Context, run wirepb.Run) error {
	if ctx.Err() != nil {
		return ErrRefused{Code: CodeCallerLeft, Run: run, Detail: "the caller left"}
	}
	return ErrRefused{Code: CodeDeadlinePassed, Run: run, Detail: "no whole answer came by the deadline", RetryAfter: retryDelay()}
}

// stoppingRefusal returns what the caller is told if the entry stops before the request has its response.
func stoppingRefusal(ctx context.Context, err error) error {
	refused, ok := AsErrRefused(err)
	if !ok || !IsErrStopping(context.Cause(ctx)) || refused.Code != CodeCallerLeft && refused.Code != CodeDeadlinePassed {
		return err
	}
	if refused.Run == wirepb.Run_RUN_NOT_RUN {
		return notRunRefusal(CodeStopping, "this entry is stopping; ask again through another one")
	}
	refused.Code, refused.Detail = CodeStopped, "this entry stopped before the answer was complete"
	return refused
}

// tryEndpoints attempts the request at one endpoint after the other until one succeeds or no further attempt is allowed.
func (e *Entry) tryEndpoints(ctx context.Context, r Request, w *waiter, resp *responseWriter) error {
	var lastErr error
	for attempt := uint32(1); ; attempt++ {
		var granted grant
		select {
		case <-ctx.Done():
			return e.waitRefusal(r, resp, lastErr)
		case granted = <-w.grants:
		}
		if granted.refusal != nil {
			return e.checkEarlierRequest(ctx, r, resp, granted.refusal)
		}
		doAttempt := e.attemptRepeatable
		if !r.Repeatable {
			doAttempt = e.attemptClaimed
		}
		retry, err := doAttempt(ctx, r, granted.endpoint, attempt, resp)
		e.scheduler.release(granted.endpoint.GetName())
		if !retry || ctx.Err() != nil {
			return err
		}
		lastErr = err
		avoid := granted.endpoint.GetName()
		if refused, ok := AsErrRefused(err); ok && refused.Run == wirepb.Run_RUN_NOT_RUN {
			avoid = ""
		}
		e.scheduler.requeue(w, avoid)
	}
}

// waitRefusal returns the refusal for a request whose deadline passed while it was queued.
func (e *Entry) waitRefusal(r Request, resp *responseWriter, lastErr error) error {
	refused := notRunRefusal(CodeDeadlinePassed, "no endpoint was free in time")
	if refusal, ok := AsErrRefused(lastErr); ok {
		refused.Run, refused.Detail = refusal.Run, "the deadline passed after: "+refusal.Detail
	}
	// The caller's context may already be done, since it may end at the same deadline.
	return e.checkEarlierRequest(context.Background(), r, resp, refused)
}

// attemptRepeatable runs a repeatable request at one endpoint; retry reports whether another attempt is allowed.
func (e *Entry) attemptRepeatable(ctx context.Context, r Request, endpoint *wirepb.EndpointView, attempt uint32, resp *responseWriter) (retry bool, err error) {
	if !resp.beginDispatch() {
		return false, ErrResponseClosed{}
	}
	relay := e.newRelay(r, endpoint, attempt, resp)
	err = relay.run(ctx)
	run := relay.runState(err)
	resp.setRun(run)
	e.reportToRouter(endpoint.GetName(), relay, err)
	if err == nil {
		return false, nil
	}
	refused, ok := AsErrRefused(err)
	if !ok || ctx.Err() != nil || refused.Code == CodeCallerLeft || refused.Code == CodeAnswerTooLarge {
		return false, err
	}
	if run == wirepb.Run_RUN_NOT_RUN {
		return true, err
	}
	if resp.hasStarted() && !r.Stream {
		return false, err
	}
	if !e.scheduler.spendRetry() {
		e.metrics.retriesDenied.Inc()
		return false, err
	}
	e.metrics.retries.Inc()
	return true, err
}

// reportToRouter passes the result of an attempt and the endpoint's load to the router.
func (e *Entry) reportToRouter(name string, relay *relay, err error) {
	refused, isRefused := AsErrRefused(err)
	e.scheduler.updateRouter(func(router *routing.Router, now time.Time) {
		if relay.load != nil {
			router.RecordReport(name, routingReport(relay.load), now)
		}
		switch {
		case err == nil:
			router.RecordSuccess(name, now)
		case !isRefused || refused.Code == CodeCallerLeft || refused.Code == CodeAnswerTooLarge || errors.Is(err, context.Canceled):
		case refused.Code == agent.CodeBusy:
			router.RecordBusy(name, now)
		case refused.Code == agent.CodeLeaving || refused.Code == agent.CodeOtherIncarnation:
			router.RecordDraining(name, now)
		case refused.Code == agent.CodeModelNotLoaded || refused.Code == agent.CodeAdapterNotReady || refused.Code == agent.CodeTombstoned:
			router.RecordBusy(name, now)
		case refused.Code == CodeDeadlinePassed && relay.responded:
			// The agent responded, but the request took too long. This doesn't indicate a failed endpoint.
		default:
			router.RecordFailure(name, now)
		}
	})
}

func routingReport(load *wirepb.LoadReport) routing.Report {
	report := routing.Report{
		Running: int(load.GetRunning()), Waiting: int(load.GetWaiting()), Slots: int(load.GetSlots()),
		Age: time.Duration(load.GetAgeMs()) * time.Millisecond,
	}
	for _, event := range load.GetCacheEvents() {
		report.Events = append(report.Events, routing.CacheEvent{Sequence: event.GetSequence(), Prefix: event.GetPrefix(), Dropped: event.GetDropped()})
	}
	return report
}
