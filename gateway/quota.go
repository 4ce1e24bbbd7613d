package gateway

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"burdocksaddle/logging"
	"burdocksaddle/quota"
	"burdocksaddle/team"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	// quotaTick is the least time between two calls to the leader for which no new request waits.
	quotaTick = 50 * time.Millisecond
	// quotaSpacing is the least time between any two calls, so that the requests of a burst share them.
	quotaSpacing = 5 * time.Millisecond
	// minQuotaWait and quotaWaitShare, a share of the route's objective, bound how long a request waits for its team's limit.
	minQuotaWait   = 300 * time.Millisecond
	quotaWaitShare = 0.5
	// maxQuotaWaiting limits the requests of one team that wait.
	maxQuotaWaiting = 64
	// quotaLostBackoff is how long a leader that didn't answer is not called. Leases can't be used until a while after a call.
	quotaLostBackoff = time.Second
	// quotaErrorBackoff is how long a leader that answered with an error or can't be reached is not called.
	quotaErrorBackoff = 100 * time.Millisecond
	// noLeaderRetryAfter is the Retry-After value where no leader answers; an election takes up to 2 s.
	noLeaderRetryAfter = 2 * time.Second
	// walletIdleTime is how long the wallet of a team without requests is kept; longer than any window of the rule.
	walletIdleTime = time.Minute
)

// Reasons for rejections because of a team's limit.
const (
	reasonTeamLimit     = "its team's limit is used up"
	reasonNoQuotaLeader = "no leader to grant from its team's limit"
	reasonStopping      = "this gateway is about to stop"
)

// quotaState is what a gateway has of the teams' rate limits. It is guarded by the gateway's mutex.
type quotaState struct {
	startedAt time.Time
	wallets   map[string]*teamWallet
	// waiting are the requests that wait for their teams' limits, the most urgent first, then in order of arrival.
	waiting []*quotaWaiter
	// wake wakes runQuota.
	wake chan struct{}
	// gateways is the number of gateways as the leader last told it, 0 if it never did.
	gateways int
	// failedLeader is not called until retryAt.
	failedLeader string
	retryAt      time.Time
}

type teamWallet struct {
	*quota.Wallet
	cap    team.Cap
	usedAt time.Time
}

// quotaWaiter is a request that waits for its team's limit.
type quotaWaiter struct {
	team      string
	amount    float64
	urgency   int
	arrivedAt time.Time
	// waitsUntil is when it is rejected.
	waitsUntil time.Time
	// askAt is when the leader is asked for it.
	askAt time.Time
	// result receives the decision, once.
	result chan quotaResult
}

// quotaResult is the decision on a waiting request; reason is empty if it was charged.
type quotaResult struct {
	charge quota.Charge
	reason string
	after  time.Duration
}

// quotaCharge is what was taken for one request.
type quotaCharge struct {
	quota.Charge
	team    team.Team
	charged bool
}

func newQuotaState(now time.Time) quotaState {
	return quotaState{startedAt: now, wallets: map[string]*teamWallet{}, wake: make(chan struct{}, 1)}
}

// chargeQuota charges the request to its team's limit. If the limit doesn't admit it, it answers the request and returns false.
func (t *transaction) chargeQuota(ctx context.Context, charged team.Team) (admitted bool) {
	if !charged.Cap.Limited() {
		return true
	}
	if t.takeQuota(ctx, charged, true) {
		return true
	}
	t.recordOutcome()
	return false
}

// renewQuota charges the request again if it was charged so long ago that its use would fall into a later window. It is called before each
// attempt. If the limit no longer admits the request, it answers the request and returns false.
func (t *transaction) renewQuota(ctx context.Context) bool {
	if !t.quota.charged || t.executions > 0 || !time.Now().After(t.quota.Until) {
		return true
	}
	t.count(metricQuotaRenewals)
	t.quota.charged = false
	return t.takeQuota(ctx, t.quota.team, false)
}

// returnQuota gives back what was charged for a request that no endpoint can have run.
func (t *transaction) returnQuota() {
	if !t.quota.charged || t.executions > 0 {
		return
	}
	t.quota.charged = false
	t.count(metricQuotaReturns)
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.quotas.wallets[t.quota.team.Name]; w != nil {
		w.Return(t.quota.Charge, time.Now())
		t.serveQuotaLocked(time.Now())
	}
}

// takeQuota takes the request's amount, and waits for the leader if the gateway doesn't have it.
func (t *transaction) takeQuota(ctx context.Context, charged team.Team, first bool) bool {
	amount := charged.Cap.Amount(t.request.PromptTokens + t.request.MaxTokens)
	urgency := t.route.Priority
	if charged.HasUrgency {
		urgency = charged.Urgency
	}
	now := time.Now()
	waiter := &quotaWaiter{
		team: charged.Name, amount: amount, urgency: urgency, arrivedAt: t.arrivedAt, askAt: now, result: make(chan quotaResult, 1),
		waitsUntil: now.Add(max(minQuotaWait, time.Duration(quotaWaitShare*float64(t.route.LatencyObjective)))),
	}
	t.mu.Lock()
	t.walletLocked(charged, now, amount, first)
	t.addQuotaWaiterLocked(waiter, now)
	t.mu.Unlock()
	result := t.awaitQuota(ctx, waiter)
	if result.reason != "" {
		t.rejectForQuota(charged, amount, result)
		return false
	}
	t.quota = quotaCharge{result.charge, charged, true}
	t.count(fmt.Sprintf("%s{source=%q}", metricQuotaCharges, result.charge.Source.String()))
	return true
}

// awaitQuota returns the decision on a waiting request.
func (t *transaction) awaitQuota(ctx context.Context, waiter *quotaWaiter) quotaResult {
	select {
	case result := <-waiter.result:
		return result
	default:
	}
	left := time.NewTimer(time.Until(waiter.waitsUntil))
	defer left.Stop()
	after, reason := noLeaderRetryAfter, reasonNoQuotaLeader
	select {
	case result := <-waiter.result:
		return result
	case <-t.pendingCtx.Done():
		after, reason = otherGatewayRetryAfter, reasonStopping
	case <-left.C:
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case result := <-waiter.result: // decided meanwhile
		return result
	default:
	}
	t.quotas.waiting = slices.DeleteFunc(t.quotas.waiting, func(w *quotaWaiter) bool { return w == waiter })
	if left := time.Until(waiter.askAt); left > 0 && reason != reasonStopping {
		after, reason = left, reasonTeamLimit
	}
	return quotaResult{reason: reason, after: after}
}

// rejectForQuota answers a request that its team's limit doesn't admit.
func (t *transaction) rejectForQuota(charged team.Team, amount float64, result quotaResult) {
	if t.clientDisconnected() {
		t.endLeft()
		return
	}
	t.mu.Lock()
	leader := t.currentLeader
	t.mu.Unlock()
	t.outcome, t.reason = outcomeRefused, result.reason
	status := http.StatusTooManyRequests
	if result.reason == reasonStopping {
		status = http.StatusServiceUnavailable
	}
	t.log.Info("request refused", "id", t.request.ID, "key", formatKey(t.request.Key), "route", t.route.Name, "model", t.request.Model, "reason", result.reason,
		"team", charged.Name, "amount", amount, "after", result.after.Milliseconds(), "sends", t.sends, "ms", time.Since(t.arrivedAt).Milliseconds(), "leader", leader, "version", t.table.Version)
	t.responder.Refuse(Refusal{Status: status, RetryAfter: result.after, Reason: result.reason})
}

// walletLocked returns a team's wallet with the limit of the table that routed the request.
func (g *Gateway) walletLocked(charged team.Team, now time.Time, amount float64, first bool) {
	w := g.quotas.wallets[charged.Name]
	if w == nil {
		w = &teamWallet{Wallet: quota.NewWallet(g.config.Quota, charged.Cap, g.quotas.startedAt), cap: charged.Cap}
		g.quotas.wallets[charged.Name] = w
	}
	if w.cap != charged.Cap {
		w.SetCap(charged.Cap)
		w.cap = charged.Cap
	}
	w.usedAt = now
	if first {
		w.RecordDemand(amount, now)
	}
}

// addQuotaWaiterLocked adds a request to those that wait, and decides about it if that needs no call.
func (g *Gateway) addQuotaWaiterLocked(waiter *quotaWaiter, now time.Time) {
	q := &g.quotas
	ahead, askAt := 0, now
	for _, w := range q.waiting {
		if w.team == waiter.team {
			ahead, askAt = ahead+1, w.askAt
		}
	}
	if ahead >= maxQuotaWaiting {
		after := max(askAt.Sub(now), minQuotaWait)
		waiter.result <- quotaResult{reason: reasonTeamLimit, after: withJitter(after)}
		return
	}
	at, _ := slices.BinarySearchFunc(q.waiting, waiter, func(w, added *quotaWaiter) int {
		if order := cmp.Compare(w.urgency, added.urgency); order != 0 {
			return order
		}
		if order := w.arrivedAt.Compare(added.arrivedAt); order != 0 {
			return order
		}
		return -1
	})
	q.waiting = slices.Insert(q.waiting, at, waiter)
	g.serveQuotaLocked(now)
	if slices.Contains(q.waiting, waiter) {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

// serveQuotaLocked charges the waiting requests in order; a team's later requests don't pass its earlier ones.
func (g *Gateway) serveQuotaLocked(now time.Time) {
	alone := !g.quotaLeaderAnswersLocked(now)
	blocked := map[string]bool{}
	g.quotas.waiting = slices.DeleteFunc(g.quotas.waiting, func(w *quotaWaiter) bool {
		wallet := g.quotas.wallets[w.team]
		if blocked[w.team] || wallet == nil {
			return false
		}
		charge, ok := wallet.Take(w.amount, now)
		if !ok && alone {
			charge, ok = wallet.TakeAlone(w.amount, g.quotas.gateways, now)
		}
		if ok {
			w.result <- quotaResult{charge: charge}
		}
		blocked[w.team] = !ok
		return ok
	})
}

// quotaLeaderAnswersLocked reports whether a leader is known that may be called.
func (g *Gateway) quotaLeaderAnswersLocked(now time.Time) bool {
	return g.currentLeader != "" && (g.currentLeader != g.quotas.failedLeader || !now.Before(g.quotas.retryAt))
}

// runQuota calls the leader for the requests that wait and ahead of others, one call at a time. The returned channel is closed once it has
// stopped.
func (g *Gateway) runQuota(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(quotaTick)
		defer ticker.Stop()
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-ticker.C:
			case <-g.quotas.wake:
			}
			g.callQuota(ctx)
			select {
			case <-ctx.Done():
			case <-time.After(quotaSpacing):
			}
		}
		close(done)
	}()
	return done
}

// callQuota makes one call if it is due, and applies its answer.
func (g *Gateway) callQuota(ctx context.Context) {
	now := time.Now()
	g.mu.Lock()
	if len(g.quotas.wallets) == 0 {
		g.mu.Unlock()
		return
	}
	g.serveQuotaLocked(now)
	leader, asks, waiters := g.currentLeader, []quota.TeamAsk(nil), []*quotaWaiter(nil)
	if g.quotaLeaderAnswersLocked(now) {
		asks, waiters = g.quotaAsksLocked(leader, now)
	}
	g.mu.Unlock()
	if len(asks) == 0 {
		return
	}
	reply, err := g.askQuota(ctx, leader, quota.EncodeAsks(g.config.Node, asks))
	answers, match := quota.DecodeAnswers(asks, reply)
	g.mu.Lock()
	defer g.mu.Unlock()
	sentAt, now := now, time.Now()
	switch {
	case now.Sub(sentAt) < quota.CallTimeout && err == nil && reply.GetError() == "" && match:
		g.count(metricQuotaCalls + `{result="answered"}`)
		g.applyQuotaLocked(leader, asks, answers, waiters, sentAt, now)
	case wire.IsErrUnreachable(err) || err == nil && reply.GetError() != "":
		// Nothing was lent. Where even that took long, the requests should not wait for the next call.
		for _, ask := range asks {
			if wallet := g.quotas.wallets[ask.Team]; wallet != nil {
				wallet.Unsent()
			}
		}
		backoff := quotaErrorBackoff
		if now.Sub(sentAt) >= quotaErrorBackoff {
			backoff = quotaLostBackoff
		}
		g.failQuotaLocked(leader, "refused", backoff, reply.GetError(), err)
	default:
		g.failQuotaLocked(leader, "lost", quotaLostBackoff, "", err)
	}
	g.serveQuotaLocked(now)
}

// quotaAsksLocked returns what to ask the leader for now, and the waiting requests in it in the same order.
func (g *Gateway) quotaAsksLocked(leader string, now time.Time) (asks []quota.TeamAsk, waiters []*quotaWaiter) {
	byTeam, due := map[string][]*quotaWaiter{}, map[string]bool{}
	for _, w := range g.quotas.waiting {
		byTeam[w.team] = append(byTeam[w.team], w)
		due[w.team] = due[w.team] || !now.Before(w.askAt)
	}
	for name, wallet := range g.quotas.wallets {
		if now.Sub(wallet.usedAt) > walletIdleTime && len(byTeam[name]) == 0 {
			delete(g.quotas.wallets, name)
			continue
		}
		if !due[name] && !wallet.Due(now) {
			continue
		}
		ask := quota.TeamAsk{Team: name, Ask: wallet.Call(leader, now)}
		held := wallet.Held(now)
		for _, w := range byTeam[name] {
			// What is left of grants serves the first requests in part.
			need := max(0, w.amount-held)
			held = max(0, held-w.amount)
			ask.Requests = append(ask.Requests, need)
			waiters = append(waiters, w)
		}
		asks = append(asks, ask)
	}
	return asks, waiters
}

// applyQuotaLocked applies the leader's answers. It rejects the requests whose turn would come too late.
func (g *Gateway) applyQuotaLocked(leader string, asks []quota.TeamAsk, answers []quota.TeamAnswer, waiters []*quotaWaiter, sentAt, now time.Time) {
	g.quotas.failedLeader = ""
	next := 0
	for i, ask := range asks {
		if wallet := g.quotas.wallets[ask.Team]; wallet != nil {
			wallet.Apply(leader, ask.Granted(answers[i].Answer), ask.Ask, answers[i].Lease, sentAt, now)
		}
		for _, wait := range answers[i].Waits {
			waiters[next].askAt = now.Add(wait)
			next++
		}
	}
	g.serveQuotaLocked(now)
	g.quotas.waiting = slices.DeleteFunc(g.quotas.waiting, func(w *quotaWaiter) bool {
		late := w.askAt.After(w.waitsUntil)
		if late {
			w.result <- quotaResult{reason: reasonTeamLimit, after: w.askAt.Sub(now)}
		}
		return late
	})
}

// failQuotaLocked records that a call had no usable answer.
func (g *Gateway) failQuotaLocked(leader, result string, backoff time.Duration, answer string, err error) {
	g.count(fmt.Sprintf("%s{result=%q}", metricQuotaCalls, result))
	g.log.Info("no leader to grant from teams' limits", "leader", leader, "result", result, "answer", answer, "error", logging.ErrorText(err))
	g.quotas.failedLeader, g.quotas.retryAt = leader, time.Now().Add(backoff)
}

// callForQuota asks a steward for parts of teams' rate limits.
func (g *Gateway) callForQuota(ctx context.Context, leader string, request *wirepb.QuotaRequest) (*wirepb.QuotaReply, error) {
	reply, err := g.pool.Call(ctx, leader, &wirepb.Frame{Body: &wirepb.Frame_QuotaRequest{QuotaRequest: request}}, quota.CallTimeout)
	return reply.GetQuotaReply(), err
}
