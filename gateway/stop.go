package gateway

import (
	"time"

	"burdocksaddle/route"
)

const (
	// answerTimeWeight is the weight of a shorter answer in an answerTime.
	answerTimeWeight = 0.01
	// answerTimeMargin is the factor by which the rest of the grace period must exceed a route's answerTime for a request to be taken.
	answerTimeMargin = 1.25
	stoppingReason   = "this gateway is about to stop"
)

// answerTime follows the longest of the recent times from a request's arrival to the end of its response.
type answerTime time.Duration

// With returns the answerTime after another answer.
func (a answerTime) With(took time.Duration) answerTime {
	if took >= time.Duration(a) {
		return answerTime(took)
	}
	return a - answerTime(answerTimeWeight*float64(time.Duration(a)-took))
}

// Drain makes the readiness probe fail so that no new connections arrive. Requests are still served if they can be completed by the given time.
func (g *Gateway) Drain(until time.Time) {
	g.stopsAt.Store(&until)
	g.log.Info("draining", "active", g.Active(), "ms", time.Until(until).Milliseconds())
}

// RefuseWaiting refuses the requests that wait for an endpoint and all later ones that find none, because another gateway can serve them
// sooner.
func (g *Gateway) RefuseWaiting() { g.cancelPending() }

// CancelActive ends every active request with a final response.
func (g *Gateway) CancelActive() { g.cancelActive() }

// Draining reports whether the gateway is shutting down.
func (g *Gateway) Draining() bool { return g.stopsAt.Load() != nil }

// completesBeforeStop reports whether the response to a request will be complete before the gateway stops, by the times that recent requests
// of its route took.
func (t *transaction) completesBeforeStop(now time.Time) bool {
	stopsAt := t.stopsAt.Load()
	if stopsAt == nil {
		return true
	}
	left := t.deadline.Sub(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if expected, ok := t.answerTimes[t.route.Name]; ok {
		left = min(left, time.Duration(answerTimeMargin*float64(expected)))
	}
	return now.Add(left).Before(*stopsAt)
}

// recordAnswerTime records how long an answered request took.
func (t *transaction) recordAnswerTime(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answerTimes[t.route.Name] = t.answerTimes[t.route.Name].With(now.Sub(t.arrivedAt))
}

// keepAnswerTimesLocked forgets the times of routes that a new table does not have.
func (g *Gateway) keepAnswerTimesLocked(table *route.Table) {
	kept := make(map[string]answerTime, len(g.answerTimes))
	for _, r := range table.Routes {
		if expected, ok := g.answerTimes[r.Name]; ok {
			kept[r.Name] = expected
		}
	}
	g.answerTimes = kept
}
