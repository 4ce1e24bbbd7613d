package entry

import (
	"context"
	"errors"
	"time"

	"burdocksaddle/agent"
	"burdocksaddle/routing"
	"burdocksaddle/wirepb"
)

// answerGrace is how long an attempt may take to end by itself once its time is up.
const answerGrace = 50 * time.Millisecond

// Serve answers one request through the sink, or fails with ErrRefused by the deadline.
func (e *Entry) Serve(ctx context.Context, r Request, sink Sink) (err error) {
	e.enter()
	g := &guard{sink: sink}
	g.suspect(r.mayBeResend())
	begin := time.Now()
	defer func() {
		e.count.seconds.UpdateDuration(begin)
		e.exit(r, err, g.hasStarted())
	}()
	var w *waiter
	if err = e.takes(); err == nil {
		e.arrived(r.Model)
		w, err = e.sched.offer(r)
		e.nudge()
	}
	if err != nil && !r.mayBeResend() {
		return err
	}
	if err != nil {
		refused := err
		return e.attend(ctx, r, g, func(ctx context.Context) error { return e.lookUp(ctx, r, g, refused) })
	}
	err = e.attend(ctx, r, g, func(ctx context.Context) error { return e.work(ctx, r, w, g) })
	e.sched.end(w, err == nil)
	return err
}

// attend runs a request and answers at its deadline whatever the run does.
func (e *Entry) attend(ctx context.Context, r Request, g *guard, work func(context.Context) error) error {
	working, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- work(working) }()
	select {
	case err := <-ended:
		return err
	case <-working.Done():
	}
	// A caller that left may ask elsewhere at once, so nothing may be dispatched any more.
	if ctx.Err() == nil {
		grace := time.NewTimer(answerGrace)
		defer grace.Stop()
		select {
		case err := <-ended:
			return err
		case <-grace.C:
		}
	}
	run, _ := g.close()
	return e.timeUp(ctx, run)
}

// timeUp says that a deadline passed or that the caller left.
func (e *Entry) timeUp(ctx context.Context, run wirepb.Run) error {
	if ctx.Err() != nil {
		return ErrRefused{Code: CodeCallerLeft, Run: run, Detail: "the caller left"}
	}
	return ErrRefused{Code: CodeDeadlinePassed, Run: run, Detail: "no whole answer came by the deadline", RetryAfter: spread()}
}

// work tries endpoints until one answers, or nothing more may be tried.
func (e *Entry) work(ctx context.Context, r Request, w *waiter, g *guard) error {
	var last error
	for attempt := uint32(1); ; attempt++ {
		var given grant
		select {
		case <-ctx.Done():
			return e.outOfTime(r, g, last)
		case given = <-w.grants:
		}
		if given.refused != nil {
			return e.lookUp(ctx, r, g, given.refused)
		}
		try := e.attempt
		if !r.Repeatable {
			try = e.claimed
		}
		again, err := try(ctx, r, given.endpoint, attempt, g)
		e.sched.free(given.endpoint.GetName())
		if !again || ctx.Err() != nil {
			return err
		}
		last = err
		avoid := given.endpoint.GetName()
		if refused, ok := AsErrRefused(err); ok && refused.Run == wirepb.Run_RUN_NOT_RUN {
			avoid = ""
		}
		e.sched.again(w, avoid)
	}
}

// outOfTime says what is known of a request that waited to its deadline.
func (e *Entry) outOfTime(r Request, g *guard, last error) error {
	refused := refuse(CodeDeadlinePassed, "no endpoint was free in time")
	if refusal, ok := AsErrRefused(last); ok {
		refused.Run, refused.Detail = refusal.Run, "the deadline passed after: "+refusal.Detail
	}
	// The caller's own context may have ended with the deadline.
	return e.lookUp(context.Background(), r, g, refused)
}

// attempt runs a repeatable request at one endpoint; again tells that another may be tried.
func (e *Entry) attempt(ctx context.Context, r Request, endpoint *wirepb.EndpointView, attempt uint32, g *guard) (again bool, err error) {
	if !g.begin() {
		return false, ErrCallerGone{}
	}
	relay := e.relay(r, endpoint, attempt, g)
	err = relay.run(ctx)
	run := relay.ran(err)
	g.settle(run)
	e.see(endpoint.GetName(), relay, err)
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
	if g.hasStarted() && !r.Stream {
		return false, err
	}
	if !e.sched.mayRetry() {
		e.count.denied.Inc()
		return false, err
	}
	e.count.retried.Inc()
	return true, err
}

// see tells the router what an attempt showed of its endpoint.
func (e *Entry) see(name string, relay *relay, err error) {
	refused, isRefused := AsErrRefused(err)
	e.sched.tell(func(router *routing.Router, now time.Time) {
		if relay.load != nil {
			router.Report(name, reportOf(relay.load), now)
		}
		switch {
		case err == nil:
			router.Succeed(name, now)
		case !isRefused || refused.Code == CodeCallerLeft || refused.Code == CodeAnswerTooLarge || errors.Is(err, context.Canceled):
		case refused.Code == agent.CodeBusy:
			router.Busy(name, now)
		case refused.Code == agent.CodeLeaving || refused.Code == agent.CodeIncarnation:
			router.Leave(name, now)
		case refused.Code == agent.CodeNotLoaded || refused.Code == agent.CodeAdapter || refused.Code == agent.CodeTombstoned:
			router.Busy(name, now)
		case refused.Code == CodeDeadlinePassed && relay.heard:
			// The request was slow; that says little of the endpoint.
		default:
			router.Fail(name, now)
		}
	})
}

func reportOf(load *wirepb.LoadReport) routing.Report {
	report := routing.Report{
		Running: int(load.GetRunning()), Waiting: int(load.GetWaiting()), Slots: int(load.GetSlots()),
		Age: time.Duration(load.GetAgeMs()) * time.Millisecond,
	}
	for _, event := range load.GetCacheEvents() {
		report.Events = append(report.Events, routing.CacheEvent{Sequence: event.GetSequence(), Prefix: event.GetPrefix(), Dropped: event.GetDropped()})
	}
	return report
}
