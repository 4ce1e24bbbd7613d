package gateway

import (
	"time"

	"burdocksaddle/route"
)

const stoppingReason = "this gateway is about to stop"

const (
	// answerTimeWeight is the weight of the latest answer in an answerTime.
	answerTimeWeight = 1.0 / 32
	// maxDeviations is how many mean deviations above the mean few answers exceed.
	maxDeviations = 2.5
)

// answerTime estimates the time from a request's arrival to the end of its response.
type answerTime struct {
	mean, deviation time.Duration
}

// With returns the answerTime after another answer.
func (a answerTime) With(took time.Duration) answerTime {
	if a == (answerTime{}) {
		return answerTime{took, took / 2}
	}
	difference := took - a.mean
	return answerTime{
		mean:      a.mean + time.Duration(answerTimeWeight*float64(difference)),
		deviation: a.deviation + time.Duration(answerTimeWeight*float64(difference.Abs()-a.deviation)),
	}
}

// longest returns the time that few answers exceed.
func (a answerTime) longest() time.Duration {
	return a.mean + time.Duration(maxDeviations*float64(a.deviation))
}

// Drain makes the readiness probe fail so that no new connections arrive. Requests are still served if they can be completed by the given time.
func (g *Gateway) Drain(until time.Time) {
	g.stopsAt.Store(&until)
	g.log.Info("draining", "active", g.Active(), "ms", time.Until(until).Milliseconds())
}

// RefuseWaiting refuses the requests that wait for their first endpoint, all later ones that find none, and all later streams that might be cut,
// because another gateway can serve them sooner.
func (g *Gateway) RefuseWaiting() { g.cancelPending() }

// CancelActive ends every active request with a final response.
func (g *Gateway) CancelActive() { g.cancelActive() }

// Draining reports whether the gateway is shutting down.
func (g *Gateway) Draining() bool { return g.stopsAt.Load() != nil }

// completesBeforeStop reports whether the response to a request will be complete before the gateway stops, by the times that recent requests
// of its route took, or its time limit. Only the limit counts for a stream once other gateways serve new ones: a stream that is cut has no final
// response, whereas any other request gets one.
func (t *transaction) completesBeforeStop(now time.Time) bool {
	stopsAt := t.stopsAt.Load()
	if stopsAt == nil {
		return true
	}
	left := t.endpointDeadline().Sub(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	usualTimesCount := t.route.Kind != route.KindStream || t.pendingCtx.Err() == nil
	if expected, ok := t.answerTimes[t.route.Name]; ok && usualTimesCount {
		left = min(left, expected.longest())
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
