package endpoint

import (
	"time"

	"golang.org/x/time/rate"
)

// Limit is the rate of requests that an endpoint in need takes from all processes together.
type Limit struct {
	// Named is set while the endpoint names a limit, which is PerSecond.
	Named     bool
	PerSecond float64
}

const (
	// maxTurnWait limits the time until the next request to an endpoint with a very low limit, which may be raised meanwhile.
	maxTurnWait = 5 * time.Second
	// turnRetention is how long the turns of an endpoint are kept after the last request.
	turnRetention = time.Minute
)

// Turns paces the requests to endpoints that named a limit. One process decides for all. It isn't safe for concurrent use.
type Turns struct {
	byEndpoint map[Incarnation]*turn
}

type turn struct {
	limiter *rate.Limiter
	usedAt  time.Time
}

// NewTurns returns Turns without any endpoint.
func NewTurns() *Turns { return &Turns{byEndpoint: map[Incarnation]*turn{}} }

// Take takes a turn for one request, if the endpoint's limit allows it now. Otherwise it returns the time until it does.
func (t *Turns) Take(i Incarnation, perSecond float64, now time.Time) (granted bool, wait time.Duration) {
	for other, known := range t.byEndpoint {
		if now.Sub(known.usedAt) > turnRetention {
			delete(t.byEndpoint, other)
		}
	}
	known := t.byEndpoint[i]
	if known == nil {
		known = &turn{limiter: rate.NewLimiter(rate.Limit(perSecond), 1)}
		t.byEndpoint[i] = known
	}
	known.usedAt = now
	if known.limiter.Limit() != rate.Limit(perSecond) {
		known.limiter.SetLimitAt(now, rate.Limit(perSecond))
	}
	if perSecond <= 0 {
		return false, maxTurnWait
	}
	reservation := known.limiter.ReserveN(now, 1)
	if wait = reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		return false, min(wait, maxTurnWait)
	}
	return true, 0
}
