package gateway

import (
	"math/rand/v2"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
)

const (
	// firstDuration is the guess at how long a run takes before any has ended here; the sheets' answers take about a second.
	firstDuration = time.Second
	// durationWeight is the weight of the last run in the mean.
	durationWeight = 0.05
	// sureFactor is how far an estimated wait must be over the time that is left for the request to count as hopeless: the
	// reports behind it are up to half a second old.
	sureFactor = 2
	// spreadShare is by how much of itself a time to come back varies, so that clients don't come back together.
	spreadShare = 0.5
)

// ranLocked takes the time of a run that ended into the mean of its service.
func (g *Gateway) ranLocked(service string, took time.Duration) {
	mean, ok := g.durations[service]
	if !ok {
		mean = firstDuration
	}
	g.durations[service] = mean + time.Duration(durationWeight*float64(took-mean))
}

// queueWaitLocked estimates how long a request would wait at an endpoint whose slots are taken: the load is a model that
// became busy faster than replicas of it can be loaded.
func (t *try) queueWaitLocked(e endpoint.State) time.Duration {
	if t.route.Kind != route.KindStream || e.Load == nil || e.Load.Running < e.Slots || e.Slots <= 0 {
		return 0
	}
	mean, ok := t.durations[t.service]
	if !ok {
		mean = firstDuration
	}
	return time.Duration(float64(mean) * float64(e.Load.Waiting+1) / float64(e.Slots))
}

// spread varies a time to come back.
func spread(after time.Duration) time.Duration {
	return time.Duration(float64(after) * (1 + spreadShare*(rand.Float64()-0.5)))
}
