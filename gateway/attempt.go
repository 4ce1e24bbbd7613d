package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
	"burdocksaddle/stream"
)

// attempt sends the request to an endpoint and reports whether the request is finished.
func (t *transaction) attempt(ctx context.Context, c choice) (done bool) {
	// The watchdog cancels only this attempt; the request may be retried at another endpoint.
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.sends++
	if t.sends == 1 {
		t.firstSentAfter = time.Since(t.arrivedAt)
	}
	t.software = c.state.Software
	t.endpoint, t.begun, t.attemptEvents, t.sentAt = c.state.ID, false, 0, time.Now()
	t.stalled.Store(false)
	isStream := t.route.Kind == route.KindStream
	beginTimer := t.watchdog(cancel, t.firstResponseTimeout(), c.endpoint.Name)
	defer beginTimer.Stop()
	again := !t.route.Repeatable() && slices.Contains(t.sentTo, c.state.Address)
	t.sentTo = append(t.sentTo, c.state.Address)
	response, err := t.send(attemptCtx, Call{
		Request: t.request, Endpoint: c.state.ID, Address: c.state.Address, Again: again, Remaining: time.Until(t.endpointDeadline()),
		LastEvent: t.lastEvent, Stream: isStream, Urgency: t.urgency(), Team: t.team.Name, HasTeams: t.table.Teams != nil,
	})
	if err != nil {
		if !IsErrNotSent(err) {
			t.executions++
			t.needsRetryToken = true
		}
		return t.handleFailure(ctx, c, err)
	}
	defer response.Close()
	t.begun = response.Signed
	t.recordNotices(c, response)
	t.needsRetryToken = true
	switch {
	case response.NotRun || response.Misdirected:
		return t.handleNotRun(ctx, c, response)
	case response.Status/100 == 2 && !response.Signed:
		t.executions++
		return t.handleFailure(ctx, c, ErrUnsigned{Endpoint: c.state.ID})
	case response.Next == nil:
		t.executions++
		return t.handleBuffered(ctx, c, response)
	}
	t.executions++
	done, moved := t.relayStream(ctx, c, response, func() { beginTimer.Stop() }, cancel)
	for moved != nil {
		defer moved.cancel()
		defer moved.response.Close()
		done, moved = t.relayStream(ctx, moved.to, moved.response, func() {}, moved.cancel)
	}
	return done
}

// urgency returns the urgency to send the request with. Where a service runs several software versions, new requests are one step less
// urgent, so that endpoints admit resumed streams first: those have few endpoints to go to, and their clients wait for seconds only.
func (t *transaction) urgency() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	urgency := t.route.Priority
	if t.hasTeam && t.team.HasUrgency {
		urgency = t.team.Urgency
	}
	if t.origin == nil && t.severalVersionsLocked(t.service, time.Now()) {
		urgency++
	}
	return min(urgency, lowestUrgency)
}

// recordNotices records what an endpoint's response says about the endpoint itself.
func (t *transaction) recordNotices(c choice, response *Response) {
	if response.InvalidPause != "" {
		t.count(metricInvalidPauses)
		t.log.Info("endpoint asked for an invalid pause", "id", t.request.ID, "endpoint", c.state.ID, "value", response.InvalidPause)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now, i := time.Now(), c.state.Incarnation()
	t.recordLimitLocked(c, response, now)
	if response.Leaving && t.notices.RecordLeaving(i, now) {
		t.count(metricLeaving)
		t.log.Info("endpoint is leaving", "id", t.request.ID, "endpoint", i.ID, "startMs", i.StartMS, "listed", c.state.Draining)
		t.requestDemandReportLocked()
	}
	if response.Pause > 0 {
		t.notices.RecordPause(c.state.Address, response.Pause, now)
		t.count(metricPauses)
		t.log.Info("endpoint wants no requests", "id", t.request.ID, "endpoint", i.ID, "address", c.state.Address, "pauseMs", response.Pause.Milliseconds(), "status", response.Status)
	}
}

// firstResponseTimeout returns how long an endpoint may take to start responding before a retryable request is sent
// to another one.
func (t *transaction) firstResponseTimeout() time.Duration {
	if !t.route.Repeatable() || t.executions+1 >= t.maxAttempts() {
		return time.Until(t.deadline)
	}
	if t.route.Kind == route.KindStream {
		return firstEventFactor * t.route.LatencyObjective
	}
	return max(minPlainTimeout, plainTimeoutFactor*t.route.LatencyObjective)
}

// watchdog cancels an attempt that has been idle for limit, but only once another endpoint and the retry budget allow
// a further attempt. Until then the attempt goes on, since it may still be answered.
func (t *transaction) watchdog(cancel context.CancelFunc, limit time.Duration, current string) *time.Timer {
	var timer *time.Timer
	armed := make(chan struct{})
	timer = time.AfterFunc(max(limit, time.Millisecond), func() {
		<-armed
		if t.reserveFailover(current) {
			t.stalled.Store(true)
			cancel()
			return
		}
		timer.Reset(retryInterval)
	})
	close(armed)
	return timer
}

// reserveFailover takes a retry token if another endpoint could serve the request, and reports whether the current
// attempt should be cancelled.
func (t *transaction) reserveFailover(current string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !time.Now().Before(t.deadline) {
		return true
	}
	other, _, ok := t.chooseLocked(t.request, t.service, t.origin, append([]string{current}, t.stalledEndpoints...), time.Now())
	if !ok || other.endpoint.Name == current || other.limit.Named || hasBacklog(t.endpoints[current]) && hasBacklog(other.state) || !t.budgetLocked().TakeRetry() {
		return false
	}
	t.retryTokenTaken = true
	t.stalledEndpoints = append(t.stalledEndpoints, current)
	return true
}

// hasBacklog reports whether requests were queued at an endpoint, or all its slots taken, by its last report; a late
// first event is then no sign of a fault.
func hasBacklog(e endpoint.State) bool {
	return e.Load != nil && (e.Load.Waiting > 0 || e.Load.Running >= e.Slots)
}

// handleBuffered forwards a complete response, or retries the request after an endpoint's server error.
func (t *transaction) handleBuffered(ctx context.Context, c choice, response *Response) bool {
	if t.streamStarted {
		return t.handleFailure(ctx, c, ErrIncompleteResponse{Endpoint: c.state.ID, Cause: ErrNotEventStream{Status: response.Status}})
	}
	if response.Status >= http.StatusInternalServerError && t.canRetry() {
		t.mu.Lock()
		retryGranted := t.budgetLocked().TakeRetry()
		t.mu.Unlock()
		if retryGranted {
			t.release(c, nil)
			t.needsRetryToken = false // the token was taken above
			t.avoid = append(t.avoid, c.state.ID)
			return false
		}
	}
	t.release(c, nil)
	if response.Status < http.StatusInternalServerError {
		t.recordSuccess(c)
	}
	if response.Signed && response.Status < http.StatusInternalServerError {
		t.recordAnswer()
	}
	if !t.route.Repeatable() && promisesNotRun(response.Status) {
		t.finishIncomplete()
		return true
	}
	t.outcome = outcomeAnswered
	if err := t.responder.Respond(response.Status, response.Header, response.Body); err != nil {
		t.outcome = writeFailureOutcome(err)
	}
	return true
}

// promisesNotRun reports whether clients take a status as a promise that the request was not and will not be executed.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (t *transaction) recordSuccess(c choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.router.RecordSuccess(c.endpoint.Name, now)
	if t.firstEventAfter > 0 {
		t.recordStreamDurationLocked(t.service, now.Sub(t.arrivedAt)-t.firstEventAfter)
	}
}

// canRetry reports whether the request may be executed by one more endpoint. A stream whose last event has no ID can't be resumed.
func (t *transaction) canRetry() bool {
	return t.route.Repeatable() && t.executions < t.maxAttempts() && (!t.streamStarted || t.lastEvent != "")
}

// handleNotRun handles an endpoint's response that it did not execute the request.
func (t *transaction) handleNotRun(ctx context.Context, c choice, response *Response) bool {
	t.recordNotRun(c, response, t.sends)
	t.release(c, nil)
	if response.Pause > 0 {
		return false // the endpoint is not chosen again soon, so there is no need to wait
	}
	return !t.waitRetryInterval(ctx)
}

// recordNotRun records that an endpoint did not execute the request, which was sent for the given time.
func (t *transaction) recordNotRun(c choice, response *Response, send int) {
	now := time.Now()
	t.mu.Lock()
	switch {
	case response.Misdirected:
		if t.request.Model != "" {
			// Only the adapter is missing; the endpoint may still hold the model.
			t.absentUntil[modelLocation{c.state.ID, t.request.Model, t.request.Adapter}] = now.Add(absentTTL)
		} else {
			t.router.RecordDraining(c.endpoint.Name, now)
		}
	default:
		t.router.RecordBusy(c.endpoint.Name, now)
	}
	t.mu.Unlock()
	t.count(fmt.Sprintf("%s{elsewhere=%q}", metricNotRun, strconv.FormatBool(response.Misdirected)))
	t.log.Info("endpoint did not run the request", "id", t.request.ID, "endpoint", c.state.ID, "status", response.Status,
		"model", t.request.Model, "adapter", t.request.Adapter, "send", send)
}

// handleFailure handles an attempt without a usable response.
func (t *transaction) handleFailure(ctx context.Context, c choice, err error) bool {
	t.recordFailure(ctx, c, err)
	if t.clientDisconnected() {
		t.endLeft()
		return true
	}
	if ctx.Err() == nil && time.Now().Before(t.deadline) && (IsErrNotSent(err) || t.canRetry()) {
		return false
	}
	t.finishIncomplete()
	return true
}

// recordFailure records an attempt without a usable response and releases its endpoint.
func (t *transaction) recordFailure(ctx context.Context, c choice, err error) {
	if ctx.Err() == nil && !t.stalled.Load() && IsErrIncompleteResponse(err) {
		t.recordBreak(c)
	}
	if t.clientDisconnected() || t.quarantined.Load() || !time.Now().Before(t.deadline) {
		t.release(c, nil)
	} else {
		t.release(c, err)
	}
	t.log.Info("attempt failed", "id", t.request.ID, "endpoint", c.state.ID, "software", c.state.Software, "model", t.request.Model, "send", t.sends,
		"ran", t.executions, "begun", t.begun, "stalled", t.stalled.Load(), "attemptEvents", t.attemptEvents, "events", t.events, "key", formatKey(t.request.Key), "parts", formatParts(t.request.SharedParts), "error", err.Error(), "ms", time.Since(t.arrivedAt).Milliseconds())
	t.avoid = append(t.avoid, c.state.ID)
}

// clientDisconnected reports whether the client has closed its connection.
func (t *transaction) clientDisconnected() bool {
	return t.request.HTTPRequest.Context().Err() != nil
}

// giveUp ends a request for which no endpoint was found; after is the Retry-After value sent if no endpoint may have
// executed it.
func (t *transaction) giveUp(reason string, after time.Duration) {
	if t.clientDisconnected() {
		t.endLeft()
		return
	}
	if t.executions > 0 {
		t.finishIncomplete()
		return
	}
	if t.quarantined.Load() {
		t.mu.Lock()
		if r, a := t.quarantineRefusalLocked(); r != "" {
			reason, after = r, a
		}
		t.mu.Unlock()
	}
	t.refuse(after, reason)
}

// refuse tells the client that the request was not executed and when to retry.
func (t *transaction) refuse(after time.Duration, reason string) {
	t.outcome, t.reason = outcomeRefused, reason
	t.log.Info("request refused", t.withTeam("id", t.request.ID, "key", formatKey(t.request.Key), "route", t.route.Name, "model", t.request.Model, "reason", reason,
		"after", after.Milliseconds(), "sends", t.sends, "ms", time.Since(t.arrivedAt).Milliseconds(), "version", t.table.Version)...)
	t.responder.Refuse(Refusal{Status: http.StatusServiceUnavailable, RetryAfter: after, Reason: reason})
}

// endLeft ends a request whose client has closed its connection. The client may have closed only its own side, and gets an answer then.
func (t *transaction) endLeft() {
	const reason = "its client has left"
	t.outcome = outcomeClientLeft
	switch {
	case t.streamStarted:
		t.responder.Abort()
	case t.executions > 0:
		t.responder.Refuse(Refusal{Status: http.StatusBadGateway, Reason: reason})
	default:
		t.responder.Refuse(Refusal{Status: http.StatusServiceUnavailable, RetryAfter: defaultRetryAfter, Reason: reason})
	}
}

// finishIncomplete ends a request that has no complete response; an endpoint may have executed it.
func (t *transaction) finishIncomplete() {
	switch {
	case t.streamStarted:
		t.outcome = outcomeCut
		t.responder.Abort()
	case t.executions == 0:
		t.refuse(defaultRetryAfter, "no endpoint took it")
	case !time.Now().Before(t.deadline):
		t.outcome = outcomeTimedOut
		t.responder.Refuse(Refusal{Status: http.StatusGatewayTimeout, Reason: "no answer in time"})
	default:
		t.outcome = outcomeFailed
		t.responder.Refuse(Refusal{Status: http.StatusBadGateway, Reason: "the endpoint's answer broke off"})
	}
}

// follows reports whether an event may come after the one with the previous ID, from the same endpoint or, as its first one, from another.
func (t *transaction) follows(previousID, id string) bool {
	if t.attemptEvents == 0 {
		return stream.GoesOn(t.request.LastEvent, t.events, previousID, id)
	}
	return stream.Follows(previousID, id)
}

// beginStream begins the client's response before its first event, and reports whether the client is still there.
func (t *transaction) beginStream(ctx context.Context, c choice, response *Response) bool {
	t.streamStarted = true
	t.beginTimer.Stop()
	t.mu.Lock()
	t.deadline = t.endpointDeadline()
	t.mu.Unlock()
	t.recordFirstEvent()
	if t.recordOrigin(c) {
		t.flushStarts(ctx)
	}
	t.protectFromQuarantine()
	return t.responder.Begin(response.Status, response.Header) == nil
}

// relayStream forwards a stream's events as they arrive. It returns the move that goes on with the stream, if there is one. The functions are
// called at the first event, and to give the endpoint up.
func (t *transaction) relayStream(ctx context.Context, c choice, response *Response, begun, giveUp func()) (done bool, moved *streamMove) {
	var progress streamProgress
	previousID := t.lastEvent
	defer func() { t.recordPace(c, &progress.pace) }()
	mover := t.newMover(ctx, c, giveUp)
	defer mover.close()
	for {
		event, id, err := response.Next()
		if errors.Is(err, io.EOF) {
			t.release(c, nil)
			t.recordSuccess(c)
			if t.attemptEvents > 0 {
				t.recordAnswer()
			}
			t.outcome = outcomeAnswered
			if !t.streamStarted && t.responder.Begin(response.Status, response.Header) != nil {
				t.outcome = outcomeClientLeft
			}
			return true, nil
		}
		if err == nil && !t.follows(previousID, id) {
			err = ErrIncompleteResponse{Endpoint: c.state.ID, Cause: ErrEventOrder{Previous: previousID, ID: id}}
		}
		if err == nil && !mover.advance(id) {
			err = ErrIncompleteResponse{Endpoint: c.state.ID, Cause: context.Canceled}
		}
		if err != nil {
			if moved := mover.next(); moved != nil {
				t.takeMoved(ctx, c, err, moved)
				return false, moved
			}
			return t.handleFailure(ctx, c, err), nil
		}
		begun()
		if !t.streamStarted && !t.beginStream(ctx, c, response) {
			t.release(c, nil)
			t.outcome = outcomeClientLeft
			return true, nil
		}
		if t.lastEvent = id; id != "" {
			previousID = id
		}
		t.recordProgress(c, &progress)
		if err := t.responder.Event(event); err != nil {
			t.release(c, nil)
			t.outcome = writeFailureOutcome(err)
			return true, nil
		}
		progress.pace.recordWritten(time.Now())
		if t.canRetry() {
			mover.expect(max(minIdleTimeout, idleTimeoutFactor*t.route.MaxEventGap))
		}
	}
}

// streamProgress is what a transaction knows of the events of the current attempt.
type streamProgress struct {
	previousAt, steadyAt time.Time
	pace                 streamPace
}

// recordProgress records an event from the endpoint.
func (t *transaction) recordProgress(c choice, p *streamProgress) {
	t.events++
	t.attemptEvents++
	now := time.Now()
	t.lastEventAt = now
	if c.byWork && t.attemptEvents == 1 {
		t.recordPrefilled()
	}
	t.recordEvent(c, &p.pace, now)
	if p.steadyAt.IsZero() {
		p.steadyAt = now.Add(steadyStreamTime)
	} else if now.After(p.steadyAt) {
		t.recordAnswer()
		p.steadyAt = now.Add(steadyStreamTime)
	}
	if !p.previousAt.IsZero() {
		t.longestGap = max(t.longestGap, now.Sub(p.previousAt))
	}
	p.previousAt = now
}

// takeMoved makes the endpoint that a stream was moved to that of the current attempt.
func (t *transaction) takeMoved(ctx context.Context, from choice, err error, moved *streamMove) {
	t.recordFailure(ctx, from, err)
	t.mu.Lock()
	t.countSecondLocked(false)
	t.mu.Unlock()
	t.stalled.Store(false)
	t.endpoint, t.software, t.sentAt = moved.to.state.ID, moved.to.state.Software, moved.sentAt
	t.begun, t.attemptEvents = true, 0
	t.sentTo = append(t.sentTo, moved.to.state.Address)
	t.recordNotices(moved.to, moved.response)
}
