package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
	"burdocksaddle/routing"
	"burdocksaddle/stream"
	"burdocksaddle/team"
)

const (
	// burstShare is the part of Config.RetryExtra that all gateways together may spend in one burst. assumedGateways
	// is the assumed number of gateways until a steward reports it.
	burstShare      = 0.6
	assumedGateways = 10
	// retryRatioShare is the part of the allowed retry ratio that is used; the rest is reserved for retries counted
	// elsewhere.
	retryRatioShare = 0.7
	// responseMargin is the part of a request's time reserved for sending its final response.
	responseMargin = 60 * time.Millisecond
	// firstEventFactor is the time, in latency objectives, after which a stream without a first event is moved to
	// another endpoint.
	firstEventFactor = 2
	// idleTimeoutFactor is the idle time, in allowed gaps between events, after which a stream is moved to another
	// endpoint.
	idleTimeoutFactor = 5
	minIdleTimeout    = 800 * time.Millisecond
	// plainTimeoutFactor is the time, in latency objectives, after which a retryable plain request is retried.
	plainTimeoutFactor = 3
	minPlainTimeout    = 250 * time.Millisecond
	// defaultRetryAfter is the Retry-After value where no better estimate exists, such as before the first table.
	defaultRetryAfter = 500 * time.Millisecond
	// As the platform documents it, clients close a stream that has been idle for the longest of
	// minClientStreamTimeout, clientTimeoutObjectives latency objectives and clientTimeoutGaps allowed gaps.
	minClientStreamTimeout  = 2 * time.Second
	clientTimeoutObjectives = 4
	clientTimeoutGaps       = 8
	// maxTableWait and tableWaitShare, a share of the client's timeout, bound the wait for a gateway's first table;
	// after a power loss of all stewards a leader is elected within 2 s.
	maxTableWait   = 3 * time.Second
	tableWaitShare = 0.4
	// versionRetryAfter is the Retry-After value where no endpoint runs a stream's software version; a crashed one is back after some seconds.
	versionRetryAfter = 2 * time.Second
	// otherGatewayRetryAfter is the Retry-After value where another gateway can serve the request.
	otherGatewayRetryAfter = 50 * time.Millisecond
	// maxHoldShare is the part of its latency objective for which a long prompt may wait for others, 1 in that number.
	maxHoldShare = 2
	// lowestUrgency is the largest urgency value that endpoints support; larger values are less urgent.
	lowestUrgency = 9
)

// Request outcomes in logs and metrics.
const (
	outcomeAnswered   = "Answered"
	outcomeRefused    = "Refused"
	outcomeTimedOut   = "TimedOut"
	outcomeFailed     = "Failed"
	outcomeCut        = "Cut"
	outcomeClientLeft = "ClientLeft"
	outcomeClientSlow = "ClientSlow"
)

// writeFailureOutcome returns the outcome of a request whose response could not be written.
func writeFailureOutcome(err error) string {
	if IsErrSlowClient(err) {
		return outcomeClientSlow
	}
	return outcomeClientLeft
}

// transaction is the state of one request in the gateway.
type transaction struct {
	*Gateway
	request   *Request
	responder Responder
	route     route.Route
	service   string
	arrivedAt time.Time
	// clientTimeout is how long the client waits for the final response.
	clientTimeout time.Duration
	// deadline is when the final response is due. A stream that has begun has none, and may go on until its client leaves. It is guarded by the
	// gateway's mutex.
	deadline time.Time
	// beginTimer ends a stream that has not begun at its deadline, nil for other requests.
	beginTimer *time.Timer
	table      *route.Table
	// team is the caller's team if hasTeam is set.
	team    team.Team
	hasTeam bool
	// sends counts the attempts, executions those that an endpoint may have executed.
	sends, executions int
	// needsRetryToken is set if the next attempt must take a token from the retry budget.
	needsRetryToken bool
	// retryTokenTaken is set once that token has been taken; stalledEndpoints are endpoints that stopped responding.
	// Both are guarded by the gateway's mutex.
	retryTokenTaken  bool
	stalledEndpoints []string
	avoid            []string
	// sentTo are the addresses of the endpoints that were sent the request.
	sentTo        []string
	lastEvent     string
	streamStarted bool
	// origin is where the stream began, nil for one that hasn't; it is guarded by the gateway's mutex.
	origin *stream.Origin
	// viewDue is until when an endpoint of the stream's version is expected to appear, if the gateway has seen none.
	viewDue time.Time
	// resumedWait is what the transaction waits for as a resumed stream, resumedWaitSince since when. Both are guarded by the gateway's mutex.
	resumedWait      resumedWait
	resumedWaitSince time.Time
	// lastEventAt is when the client was sent the last event.
	lastEventAt time.Time
	// begun is set once the current attempt's endpoint has begun a response, attemptEvents counts that response's events.
	begun         bool
	attemptEvents int
	// sentAt is when the current attempt began.
	sentAt time.Time
	// stalled is set once the gateway has broken the current attempt off because the endpoint stopped responding.
	stalled atomic.Bool
	// quarantined is set once the request or a part of its prompt has been quarantined, which ends the transaction.
	quarantined atomic.Bool
	// work is what the current attempt's prompt adds to its endpoint, workPending is set until it has been prefilled. Both are guarded by
	// the gateway's mutex.
	work        routing.Work
	workPending bool
	// held is set once the request had to wait because of other long prompts.
	held bool
	// trial is set if the leader allowed one attempt although the request is quarantined.
	trial bool
	// quota is what was taken of the team's rate limit for the request.
	quota quotaCharge
	// demandReportRequested is set once a demand report was requested because no endpoint holds the model.
	demandReportRequested bool
	events                int
	// outcome and reason describe the result in logs and metrics; endpoint is the last endpoint tried, software the version of its software.
	outcome, reason, endpoint, software string
	// waitedFor is the cause of the last wait for an endpoint, empty if there was none.
	waitedFor string
	// firstSentAfter is the time from arrival to the first attempt, firstEventAfter that to the first event.
	firstSentAfter, firstEventAfter time.Duration
	// longestGap is the longest time between two events from the same endpoint.
	longestGap time.Duration
}

// Serve handles one request; it returns when the response has been sent or the client has disconnected.
func (g *Gateway) Serve(ctx context.Context, request *Request, responder Responder) {
	found, refusal := g.awaitRoute(ctx, request)
	if refusal != nil {
		responder.Refuse(*refusal)
		return
	}
	t := &transaction{
		Gateway: g, request: found.tag(request), responder: responder, route: found.route, table: found.table, arrivedAt: request.Arrived,
		service: found.route.PickService(splitPosition(request.ID)), lastEvent: request.LastEvent, team: found.team, hasTeam: found.hasTeam,
	}
	t.request.maxGap = t.route.MaxEventGap
	if t.route.Kind == route.KindStream {
		t.request.maxHold = t.route.LatencyObjective / maxHoldShare
	}
	t.clientTimeout = t.route.Timeout
	if request.ClientTimeout > 0 {
		t.clientTimeout = min(t.clientTimeout, request.ClientTimeout)
	}
	t.deadline = t.arrivedAt.Add(t.clientTimeout - min(responseMargin, t.clientTimeout/10))
	if !t.completesBeforeStop(time.Now()) {
		t.refuse(otherGatewayRetryAfter, stoppingReason)
		t.recordOutcome()
		return
	}
	ctx, cancel := context.WithDeadline(ctx, t.endpointDeadline())
	defer cancel()
	if t.route.Kind == route.KindStream {
		t.beginTimer = time.AfterFunc(time.Until(t.deadline), cancel)
		defer t.beginTimer.Stop()
	}
	defer context.AfterFunc(g.activeCtx, cancel)()
	t.trial = t.takeTrial(ctx)
	if t.hasTeam && !t.chargeQuota(ctx, t.team) {
		return
	}
	defer t.returnQuota()
	if reason, after := t.register(cancel); reason != "" {
		t.refuse(after, reason)
		t.recordOutcome()
		return
	}
	defer t.unregister()
	t.run(ctx)
	if t.outcome == outcomeAnswered {
		t.recordAnswerTime(time.Now())
	}
	t.recordOutcome()
	g.log.Info("request ended", t.withTeam("id", request.ID, "key", formatKey(t.request.Key), "route", t.route.Name, "model", request.Model, "adapter", request.Adapter,
		"outcome", t.outcome, "endpoint", t.endpoint, "software", t.software, "resumes", request.Resumes, "origin", t.originSoftware(), "waitedFor", t.waitedFor, "sends", t.sends, "events", t.events, "sentMs", t.firstSentAfter.Milliseconds(),
		"firstMs", t.firstEventAfter.Milliseconds(), "gapMs", t.longestGap.Milliseconds(), "limitMs", t.clientTimeout.Milliseconds(), "ms", time.Since(t.arrivedAt).Milliseconds(), "version", t.table.Version)...)
}

// endpointDeadline returns until when an endpoint may work on the request.
func (t *transaction) endpointDeadline() time.Time {
	if t.route.Kind != route.KindStream {
		return t.deadline
	}
	return t.arrivedAt.Add(t.clientTimeout)
}

// routed is what the routing table determines for a request.
type routed struct {
	table *route.Table
	route route.Route
	// team is the caller's team if hasTeam is set.
	team    team.Team
	hasTeam bool
}

// awaitRoute returns the current table with the request's route and team, or why there are none. A gateway that has no table, or has no such
// route or API key and knows of a newer table, waits for it for a share of the client's timeout: clients retry only once, and never after
// 404 or 401.
func (g *Gateway) awaitRoute(ctx context.Context, request *Request) (routed, *Refusal) {
	end := request.Arrived.Add(min(maxTableWait, time.Duration(float64(request.ClientTimeout)*tableWaitShare)))
	for {
		g.mu.Lock()
		table, announced, changed := g.table.Load(), g.announcedVersion, g.changed
		g.mu.Unlock()
		reason := "no configuration yet"
		if table != nil {
			found, missing := lookUp(table, request)
			if missing == "" {
				return found, nil
			}
			if table.Version >= announced {
				return routed{}, g.deny(request, found, missing)
			}
			reason = missing + ", but a newer configuration is on its way"
		}
		left := time.Until(end)
		if left <= 0 || ctx.Err() != nil {
			g.log.Info("no table to route the request", "id", request.ID, "host", request.Host, "path", request.Path, "announced", announced, "reason", reason)
			return routed{}, &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: defaultRetryAfter, Reason: reason}
		}
		select {
		case <-g.pendingCtx.Done():
			return routed{}, &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: otherGatewayRetryAfter, Reason: stoppingReason}
		case <-changed:
		case <-time.After(left):
		case <-ctx.Done():
		}
	}
}

// splitPosition maps a request to a position among a route's weights, the same one for each of its attempts.
func splitPosition(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}

// run attempts the request until it has been answered, refused or ended.
func (t *transaction) run(ctx context.Context) {
	if t.request.LastEvent != "" && t.route.Kind == route.KindStream && (!t.mayResume() || !t.findOrigin(ctx)) {
		return
	}
	for {
		chosen, ok := t.acquireEndpoint(ctx)
		if !ok {
			return
		}
		if chosen.needsAdapter && (!t.loadAdapter(ctx, chosen.state, t.request) || !t.stillUsable(chosen)) {
			t.release(chosen, nil)
			t.avoid = append(t.avoid, chosen.state.ID)
			if !t.waitRetryInterval(ctx) {
				return
			}
			continue
		}
		if chosen.limit.Named && (!t.takeTurn(ctx, chosen) || !t.stillUsable(chosen)) {
			t.release(chosen, nil)
			continue
		}
		if !t.renewQuota(ctx) {
			t.release(chosen, nil)
			return
		}
		if done := t.attempt(ctx, chosen); done {
			return
		}
	}
}

// stillUsable reports whether the endpoint may still be used. While an adapter is loaded, the endpoint may ask for a pause.
func (t *transaction) stillUsable(c choice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.notices.UseOf(c.state, t.request.Arrived, time.Now()) != endpoint.UseNever
}

// retryInterval is the pause between two attempts to find an endpoint.
const retryInterval = 30 * time.Millisecond

func (t *transaction) waitRetryInterval(ctx context.Context) bool {
	select {
	case <-time.After(retryInterval):
		return true
	case <-ctx.Done():
		t.giveUp("no endpoint in time", defaultRetryAfter)
		return false
	}
}

// acquireEndpoint waits for an endpoint; it returns false if the request was refused or its client has disconnected.
func (t *transaction) acquireEndpoint(ctx context.Context) (choice, bool) {
	for {
		if ctx.Err() != nil || t.activeCtx.Err() != nil {
			t.giveUp("no endpoint in time", defaultRetryAfter)
			return choice{}, false
		}
		t.mu.Lock()
		now := time.Now()
		chosen, found, ok := t.chooseLocked(t.request, t.service, t.origin, t.avoid, now)
		behind := ok && chosen.limit.Named && t.joinTurnQueueLocked() > 1
		ok = ok && !behind
		t.setResumedWaitLocked(found.resumedWait(ok, t.request.Model), now)
		if ok && t.needsRetryToken && !t.retryTokenTaken && !t.budgetLocked().TakeRetry() {
			t.mu.Unlock()
			t.giveUp("the retry budget is used up", defaultRetryAfter)
			return choice{}, false
		}
		if wait := t.queueWaitLocked(chosen.state); ok && t.sends == 0 && wait > queueWaitMargin*time.Until(t.nextResponseDue()) {
			t.mu.Unlock()
			t.giveUp("every endpoint that holds its model has too long a queue", withJitter(wait))
			return choice{}, false
		}
		if ok {
			t.needsRetryToken, t.retryTokenTaken = false, false
			if !chosen.limit.Named {
				t.leaveTurnQueueLocked()
			}
			t.router.RecordStart(chosen.endpoint, chosen.query, now)
			t.recordSentLocked(chosen, now)
			t.countRunningLocked(chosen.endpoint.Name, true)
			t.mu.Unlock()
			return chosen, true
		}
		if found.held && !t.held {
			t.held = true
			t.count(metricHeldPrompts)
			t.log.Info("long prompt waits for others", "id", t.request.ID, "model", t.request.Model, "promptTokens", t.request.PromptTokens)
		}
		t.waitedFor = found.waitCause(behind)
		changed := t.changed
		wait, turnWait := time.Duration(0), time.Duration(0)
		if found.limitedRate > 0 && (behind || !found.modelHeld) {
			turnWait = t.turnWaitLocked(found.limitedRate)
		}
		if !found.modelHeld && t.request.Model != "" {
			if wait = t.modelLoadTimeLocked(t.table, t.service, t.request.Model); t.resumedWait == resumedWaitModel {
				wait = t.resumedLoadTimeLocked(now)
			}
			t.requestDemandReportLocked()
		}
		t.mu.Unlock()
		if reason, after := t.hopeless(found, wait, turnWait, now); reason != "" {
			t.countMissed()
			t.giveUp(reason, after)
			return choice{}, false
		}
		if !t.awaitChange(ctx, changed) {
			return choice{}, false
		}
	}
}

// awaitChange waits until an endpoint may be found, or returns false if the request was refused.
func (t *transaction) awaitChange(ctx context.Context, changed <-chan struct{}) bool {
	stopping := t.pendingCtx.Done()
	if t.executions > 0 {
		stopping = nil // no other gateway can complete it
	}
	select {
	case <-stopping:
		t.giveUp(stoppingReason, otherGatewayRetryAfter)
		return false
	case <-ctx.Done():
		t.giveUp("no endpoint in time", defaultRetryAfter)
		return false
	case <-changed:
	case <-time.After(retryInterval):
	}
	return true
}

// hopeless returns why a request for which no endpoint is available now cannot be served in time and when the client should retry, or
// "". loadTime is the time until its model is loaded, 0 if that is unknown or an endpoint holds it; turnWait is the time until an endpoint
// with a limit can take the request, 0 if it need not wait for that.
func (t *transaction) hopeless(found availability, loadTime, turnWait time.Duration, now time.Time) (reason string, after time.Duration) {
	left := t.nextResponseDue().Sub(now)
	paused := found.pausedUntil.Sub(now)
	switch {
	case t.origin != nil && !found.softwareServes && now.Before(t.viewDue):
		return "", 0
	case t.origin != nil && !found.softwareServes:
		return "no endpoint runs the software version that began its stream", withJitter(versionRetryAfter)
	case !found.modelHeld && !found.pausedUntil.IsZero() && paused > left && (loadTime == 0 || loadTime > left):
		return "every endpoint that could serve it wants no requests", withJitter(paused)
	case turnWait > max(left, 0) && (loadTime == 0 || loadTime > left):
		return "every endpoint that could serve it is at its limit", withJitter(turnWait)
	case !found.modelHeld && found.pausedUntil.IsZero() && loadTime > left:
		return "its model cannot be loaded in time", loadTime
	case left < 0:
		return "no endpoint in time", defaultRetryAfter // its client has left or is about to
	}
	return "", 0
}

// nextResponseDue returns when the client disconnects unless the response, or a stream's next event, has arrived.
func (t *transaction) nextResponseDue() time.Time {
	if t.route.Kind != route.KindStream {
		return t.deadline
	}
	last := t.arrivedAt
	if t.streamStarted {
		last = t.lastEventAt
	}
	disconnectsAt := last.Add(max(minClientStreamTimeout, clientTimeoutObjectives*t.route.LatencyObjective, clientTimeoutGaps*t.route.MaxEventGap))
	if disconnectsAt.Before(t.deadline) {
		return disconnectsAt
	}
	return t.deadline
}
