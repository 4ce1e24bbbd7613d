package endpoint

import (
	"maps"
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
	// askingTTL is how long a process that asked counts as one that wants turns.
	askingTTL = 2 * time.Second
)

// Turns paces the requests to endpoints that named a limit. One process decides for all. It isn't safe for concurrent use.
type Turns struct {
	byEndpoint map[Incarnation]*turn
}

type turn struct {
	limiter *rate.Limiter
	usedAt  time.Time
	// askedAt is when each process last asked for a turn.
	askedAt map[string]time.Time
}

// Turn is the answer to a process that asks whether it may send a request.
type Turn struct {
	Granted bool
	// Wait is the time until the next request can be granted, 0 if this one was.
	Wait time.Duration
	// Processes is how many processes asked lately, the asking one included.
	Processes int
}

// NewTurns returns Turns without any endpoint.
func NewTurns() *Turns { return &Turns{byEndpoint: map[Incarnation]*turn{}} }

// Take takes a turn for one request of a process, if the endpoint's limit allows it now.
func (t *Turns) Take(i Incarnation, process string, perSecond float64, now time.Time) Turn {
	for other, known := range t.byEndpoint {
		if now.Sub(known.usedAt) > turnRetention {
			delete(t.byEndpoint, other)
		}
	}
	known := t.byEndpoint[i]
	if known == nil {
		known = &turn{limiter: rate.NewLimiter(rate.Limit(perSecond), 1), askedAt: map[string]time.Time{}}
		t.byEndpoint[i] = known
	}
	known.usedAt, known.askedAt[process] = now, now
	maps.DeleteFunc(known.askedAt, func(_ string, at time.Time) bool { return now.Sub(at) > askingTTL })
	result := Turn{Wait: maxTurnWait, Processes: len(known.askedAt)}
	if known.limiter.Limit() != rate.Limit(perSecond) {
		known.limiter.SetLimitAt(now, rate.Limit(perSecond))
	}
	if perSecond <= 0 {
		return result
	}
	reservation := known.limiter.ReserveN(now, 1)
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		result.Wait = min(wait, maxTurnWait)
		return result
	}
	result.Granted, result.Wait = true, 0
	return result
}
