package gateway

import (
	"context"
	"slices"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/logging"
	"burdocksaddle/wirepb"
)

const (
	// turnTimeout bounds the leader's reply to a request for a turn.
	turnTimeout = 300 * time.Millisecond
	// noTurnBackoff is how long an endpoint is left out if the leader can't be asked.
	noTurnBackoff = 200 * time.Millisecond
	// maxTurnEstimate limits the time after which clients are told to return.
	maxTurnEstimate = time.Minute
	// leaderSettleTime is how long a new leader may take to hear from all gateways about endpoints' limits.
	leaderSettleTime = time.Second
)

// limitOfLocked returns the limit that applies to an endpoint now.
func (g *Gateway) limitOfLocked(state endpoint.State, now time.Time) endpoint.Limit {
	return g.notices.LimitOf(state, g.currentLeader != "" && now.Sub(g.leaderSince) > leaderSettleTime, now)
}

// recordLimitLocked records what a response says about its endpoint's limit.
func (t *transaction) recordLimitLocked(c choice, response *Response, now time.Time) {
	if response.InvalidLimit != "" {
		t.count(metricInvalidLimits)
		t.log.Info("endpoint named an invalid limit", "id", t.request.ID, "endpoint", c.state.ID, "value", response.InvalidLimit)
		return
	}
	state, ok := t.endpoints[c.state.ID]
	if !ok {
		state = c.state
	}
	if t.notices.RecordLimit(state, response.Limit, t.sentAt, now) {
		t.count(metricLimits)
		t.log.Info("endpoint limit changed", "id", t.request.ID, "endpoint", c.state.ID, "startMs", c.state.StartMS, "named", response.Limit.Named,
			"perSecond", response.Limit.PerSecond)
		t.wakeReport()
	}
}

// takeTurn asks the leader whether the request may be sent to an endpoint with a limit. If not, the endpoint is left out until the next turn,
// and meanwhile no other request of this gateway asks.
func (t *transaction) takeTurn(ctx context.Context, c choice) bool {
	t.mu.Lock()
	leader, asking := t.currentLeader, t.notices.NoTurnUntil(c.state.Incarnation()).After(time.Now())
	if !asking {
		t.notices.RecordNoTurn(c.state.Incarnation(), turnTimeout, time.Now())
	}
	t.mu.Unlock()
	if asking {
		return false
	}
	var reply *wirepb.TurnReply
	wait, err := noTurnBackoff, error(nil)
	if leader != "" {
		reply, err = t.askTurn(ctx, leader, &wirepb.TurnRequest{Endpoint: c.state.ID, BornMs: c.state.StartMS, PerSecond: c.limit.PerSecond, Gateway: t.config.Node})
	}
	switch {
	case reply.GetGranted():
		wait = 0
	case reply != nil && reply.GetError() == "":
		wait = max(time.Duration(reply.GetWaitMs())*time.Millisecond, time.Millisecond)
		t.count(metricNoTurns)
	default:
		t.log.Info("no leader to grant a turn", "id", t.request.ID, "endpoint", c.state.ID, "leader", leader, "answer", reply.GetError(), "error", logging.ErrorText(err))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notices.RecordNoTurn(c.state.Incarnation(), wait, time.Now())
	if gateways := reply.GetGateways(); gateways > 0 {
		t.turnGateways[t.turnQueue()] = int(gateways)
	}
	if !reply.GetGranted() {
		return false
	}
	t.leaveTurnQueueLocked()
	return true
}

// callForTurn asks a steward for a turn.
func (g *Gateway) callForTurn(ctx context.Context, leader string, request *wirepb.TurnRequest) (*wirepb.TurnReply, error) {
	reply, err := g.pool.Call(ctx, leader, &wirepb.Frame{Body: &wirepb.Frame_TurnRequest{TurnRequest: request}}, turnTimeout)
	return reply.GetTurnReply(), err
}

// turnQueue identifies the requests that wait for turns at the same endpoints.
type turnQueue struct{ service, model, adapter string }

func (t *transaction) turnQueue() turnQueue {
	return turnQueue{t.service, t.request.Model, t.request.Adapter}
}

// joinTurnQueueLocked returns the request's position among those that wait for a turn, from 1 on, and adds it to them if it isn't there.
func (t *transaction) joinTurnQueueLocked() int {
	queue := t.turnQueues[t.turnQueue()]
	if at := slices.Index(queue, t); at >= 0 {
		return at + 1
	}
	t.turnQueues[t.turnQueue()] = append(queue, t)
	return len(queue) + 1
}

// leaveTurnQueueLocked removes the request from those that wait for a turn.
func (t *transaction) leaveTurnQueueLocked() {
	key := t.turnQueue()
	at := slices.Index(t.turnQueues[key], t)
	if at < 0 {
		return
	}
	t.turnQueues[key] = slices.Delete(t.turnQueues[key], at, at+1)
	if len(t.turnQueues[key]) == 0 {
		delete(t.turnQueues, key)
		delete(t.turnGateways, key)
	}
	t.notifyWaitersLocked()
}

// turnWaitLocked estimates how long the request waits for its turn, if the other gateways that asked for turns have as many requests waiting.
func (t *transaction) turnWaitLocked(perSecond float64) time.Duration {
	waiting := float64(t.joinTurnQueueLocked() * max(t.turnGateways[t.turnQueue()], 1))
	return time.Duration(min(waiting/perSecond, maxTurnEstimate.Seconds()) * float64(time.Second))
}
