package gateway

import (
	"math/rand/v2"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
)

const (
	// initialStreamDuration is the assumed duration of a stream before any has ended at this gateway; by the
	// engines' data sheets a response takes about a second.
	initialStreamDuration = time.Second
	// streamDurationWeight is the weight of the latest stream in the moving average.
	streamDurationWeight = 0.05
	// queueWaitMargin is the factor by which the estimated wait must exceed the remaining time before a request is
	// refused: the load reports behind the estimate are up to half a second old.
	queueWaitMargin = 2
	// retryAfterJitter is the relative spread of Retry-After values, so that clients do not retry at the same
	// moment.
	retryAfterJitter = 0.5
)

// recordStreamDurationLocked adds the duration of a finished stream to its service's moving average.
func (g *Gateway) recordStreamDurationLocked(service string, took time.Duration) {
	mean, ok := g.meanStreamDurations[service]
	if !ok {
		mean = initialStreamDuration
	}
	g.meanStreamDurations[service] = mean + time.Duration(streamDurationWeight*float64(took-mean))
}

// queueWaitLocked estimates how long a request would wait at an endpoint without a free slot. This happens when
// demand for a model grows faster than replicas of it can be loaded.
func (t *transaction) queueWaitLocked(e endpoint.State) time.Duration {
	if t.route.Kind != route.KindStream || e.Load == nil || e.Load.Running < e.Slots || e.Slots <= 0 {
		return 0
	}
	mean, ok := t.meanStreamDurations[t.service]
	if !ok {
		mean = initialStreamDuration
	}
	waiting := e.Load.Waiting
	if t.origin != nil && t.severalVersionsLocked(t.service, time.Now()) {
		waiting = 0 // new requests are less urgent and are admitted after it
	}
	return time.Duration(float64(mean) * float64(waiting+1) / float64(e.Slots))
}

// withJitter randomizes a Retry-After value.
func withJitter(after time.Duration) time.Duration {
	return time.Duration(float64(after) * (1 + retryAfterJitter*(rand.Float64()-0.5)))
}
