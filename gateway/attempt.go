package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
)

// attempt sends the request to an endpoint and tells whether that answered it.
func (t *try) attempt(ctx context.Context, c choice) (done bool) {
	// The watchdog ends the sending alone: the request may go on elsewhere.
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	t.sends++
	if t.sends == 1 {
		t.sentAfter = time.Since(t.began)
	}
	t.endpoint = c.state.ID
	stream := t.route.Kind == route.KindStream
	silent := t.watchdog(cancel, t.firstLimit(), c.endpoint.Name)
	defer silent.Stop()
	answer, err := t.send(sending, Call{
		Request: t.request, Endpoint: c.state.ID, Address: c.state.Address, Remaining: time.Until(t.deadline),
		LastEvent: t.lastEvent, Stream: stream, Urgency: min(t.route.Priority, lowestUrgency),
	})
	if err != nil {
		if !IsErrNotSent(err) {
			t.ran++
			t.owes = true
		}
		return t.failed(ctx, c, err)
	}
	defer answer.Close()
	t.owes = true
	switch {
	case answer.NotRun || answer.Elsewhere:
		return t.turnedAway(ctx, c, answer)
	case answer.Status/100 == 2 && !answer.Signed:
		t.ran++
		return t.failed(ctx, c, ErrUnsigned{Endpoint: c.state.ID})
	case answer.Next == nil:
		t.ran++
		return t.whole(ctx, c, answer)
	}
	t.ran++
	return t.relay(ctx, c, answer, silent)
}

// firstLimit is how long an endpoint may take for its first word before a repeatable request is sent elsewhere.
func (t *try) firstLimit() time.Duration {
	if !t.route.Repeatable() || t.ran+1 >= t.route.MaxAttempts {
		return time.Until(t.deadline)
	}
	if t.route.Kind == route.KindStream {
		return firstEventFactor * t.route.Objective
	}
	return max(plainLeast, plainFactor*t.route.Objective)
}

// watchdog ends an attempt after a silence, as soon as another endpoint and the retry budget allow a further one: an attempt
// that might still be answered is not given up for nothing.
func (t *try) watchdog(cancel context.CancelFunc, limit time.Duration, current string) *time.Timer {
	var timer *time.Timer
	armed := make(chan struct{})
	timer = time.AfterFunc(max(limit, time.Millisecond), func() {
		<-armed
		if t.mayMove(current) {
			cancel()
			return
		}
		timer.Reset(retryPause)
	})
	close(armed)
	return timer
}

// mayMove pays for one more sending if another endpoint could take it.
func (t *try) mayMove(current string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !time.Now().Before(t.deadline) {
		return true
	}
	other, _, ok := t.chooseLocked(t.request, t.service, append([]string{current}, t.moved...), time.Now())
	if !ok || other.endpoint.Name == current || queues(t.endpoints[current]) && queues(other.state) || !t.budgets[t.service].Retry() {
		return false
	}
	t.paid = true
	t.moved = append(t.moved, current)
	return true
}

// queues tells whether requests wait at an endpoint by its last report: then a late first event is no sign of a fault.
func queues(e endpoint.State) bool {
	return e.Load != nil && (e.Load.Waiting > 0 || e.Load.Running >= e.Slots)
}

// whole passes an answer on that is here whole, or tries again after an endpoint's own failure.
func (t *try) whole(ctx context.Context, c choice, answer *Answer) bool {
	if t.begun {
		return t.failed(ctx, c, ErrBroken{Endpoint: c.state.ID, Cause: ErrNoEvents{Status: answer.Status}})
	}
	if answer.Status >= http.StatusInternalServerError && t.mayRepeat() {
		t.mu.Lock()
		again := t.budgets[t.service].Retry()
		t.mu.Unlock()
		if again {
			t.release(c, nil)
			t.owes = false // it is paid for
			t.avoid = append(t.avoid, c.state.ID)
			return false
		}
	}
	t.release(c, nil)
	if answer.Status < http.StatusInternalServerError {
		t.succeed(c)
	}
	t.outcome = outcomeAnswered
	if err := t.client.Answer(answer.Status, answer.Header, answer.Body); err != nil {
		t.outcome = outcomeLeft
	}
	return true
}

func (t *try) succeed(c choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.router.Succeed(c.endpoint.Name, now)
	if t.firstAfter > 0 {
		t.ranLocked(t.service, now.Sub(t.began)-t.firstAfter)
	}
}

// mayRepeat tells whether the request may run at one more endpoint.
func (t *try) mayRepeat() bool {
	return t.route.Repeatable() && t.ran < t.route.MaxAttempts
}

// turnedAway handles an endpoint's word that it did not run the request.
func (t *try) turnedAway(ctx context.Context, c choice, answer *Answer) bool {
	now := time.Now()
	t.mu.Lock()
	switch {
	case answer.Elsewhere:
		if t.request.Model != "" {
			// Without the adapter the model may still be there.
			t.absent[place{c.state.ID, t.request.Model, t.request.Adapter}] = now.Add(absentFor)
		} else {
			t.router.Leave(c.endpoint.Name, now)
		}
	default:
		t.router.Busy(c.endpoint.Name, now)
	}
	t.mu.Unlock()
	t.release(c, nil)
	t.count(fmt.Sprintf("%s{elsewhere=%q}", metricNotRun, strconv.FormatBool(answer.Elsewhere)))
	t.log.Info("endpoint did not run the request", "id", t.request.ID, "endpoint", c.state.ID, "status", answer.Status,
		"model", t.request.Model, "adapter", t.request.Adapter, "send", t.sends)
	return !t.pause(ctx)
}

// failed handles an attempt without a usable answer.
func (t *try) failed(ctx context.Context, c choice, err error) bool {
	if t.clientLeft() || !time.Now().Before(t.deadline) {
		t.release(c, nil)
	} else {
		t.release(c, err)
	}
	t.log.Info("attempt failed", "id", t.request.ID, "endpoint", c.state.ID, "model", t.request.Model, "send", t.sends,
		"ran", t.ran, "events", t.events, "error", err.Error(), "ms", time.Since(t.began).Milliseconds())
	t.avoid = append(t.avoid, c.state.ID)
	if t.clientLeft() {
		t.outcome = outcomeLeft
		return true
	}
	if ctx.Err() == nil && time.Now().Before(t.deadline) && (IsErrNotSent(err) || t.mayRepeat()) {
		return false
	}
	t.end()
	return true
}

// clientLeft tells whether the client has closed its connection.
func (t *try) clientLeft() bool {
	return t.request.Wire.Context().Err() != nil
}

// giveUp ends a request that found no endpoint; after is when the client had better come back if it has not run.
func (t *try) giveUp(reason string, after time.Duration) {
	if t.clientLeft() {
		t.outcome = outcomeLeft
		return
	}
	if t.ran > 0 {
		t.end()
		return
	}
	t.refuse(after, reason)
}

// refuse says that the request has not run and when to come back.
func (t *try) refuse(after time.Duration, reason string) {
	t.outcome, t.reason = outcomeRefused, reason
	t.log.Info("request refused", "id", t.request.ID, "route", t.route.Name, "model", t.request.Model, "reason", reason,
		"after", after.Milliseconds(), "sends", t.sends, "ms", time.Since(t.began).Milliseconds(), "version", t.table.Version)
	t.client.Refuse(Refusal{Status: http.StatusServiceUnavailable, After: after, Reason: reason})
}

// end closes a request that may have run and has no whole answer.
func (t *try) end() {
	switch {
	case t.begun:
		t.outcome = outcomeCut
		t.client.Cut()
	case t.ran == 0:
		t.refuse(comeBack, "no endpoint took it")
	case !time.Now().Before(t.deadline):
		t.outcome = outcomeTimedOut
		t.client.Refuse(Refusal{Status: http.StatusGatewayTimeout, Reason: "no answer in time"})
	default:
		t.outcome = outcomeFailed
		t.client.Refuse(Refusal{Status: http.StatusBadGateway, Reason: "the endpoint's answer broke off"})
	}
}

// relay passes a stream's events on as they come, and goes on at another endpoint where the route allows it.
func (t *try) relay(ctx context.Context, c choice, answer *Answer, silent *time.Timer) bool {
	for {
		event, id, err := answer.Next()
		if errors.Is(err, io.EOF) {
			t.release(c, nil)
			t.succeed(c)
			t.outcome = outcomeAnswered
			if !t.begun && t.client.Begin(answer.Status, answer.Header) != nil {
				t.outcome = outcomeLeft
			}
			return true
		}
		if err != nil {
			return t.failed(ctx, c, err)
		}
		if !t.begun {
			t.begun = true
			t.first()
			if t.client.Begin(answer.Status, answer.Header) != nil {
				t.release(c, nil)
				t.outcome = outcomeLeft
				return true
			}
		}
		if id != "" {
			t.lastEvent = id
		}
		t.events++
		if t.client.Event(event) != nil {
			t.release(c, nil)
			t.outcome = outcomeLeft
			return true
		}
		if t.route.Repeatable() && t.ran < t.route.MaxAttempts {
			silent.Reset(max(silenceLeast, silenceFactor*t.route.Gap))
		} else {
			silent.Reset(max(time.Until(t.deadline), time.Millisecond))
		}
	}
}
