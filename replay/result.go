package replay

import (
	"slices"

	"burdocksaddle/catalog"
)

// idleSecondsPerWaitSecond is the number of idle accelerator seconds that cost as much as one second of a
// caller's cold start at equal weights. The placement policy uses the same rate.
const idleSecondsPerWaitSecond = 10

// Result holds the measurements of one policy on one trace.
type Result struct {
	Policy   string
	Requests int
	// Cold counts the requests that found no loaded replica. Refused
	// counts those of them that exceeded their deadline first.
	Cold      int
	Refused   int
	ColdShare float64
	// P50 to P99 are quantiles of the cold start in seconds over all requests, with 0 for a warm one.
	P50 float64
	P95 float64
	P99 float64
	// ColdP99 covers only the cold requests.
	ColdP99     float64
	ColdSeconds float64
	IdleHours   float64
	// Cost is measured in weighted idle accelerator hours.
	Cost float64
	// Loads counts the loads, Ahead those of them that preload a model before it is requested, and Fetches those that download
	// the checkpoint from the weight store.
	Loads   int
	Ahead   int
	Fetches int
	// RefusedDecisions counts the decisions that the fleet did not accept. Unknown counts the arrivals of
	// models that the catalog does not contain.
	RefusedDecisions int
	Unknown          int
}

// finish computes the measurements derived from the cold starts.
func (r Result) finish(coldStarts []float64, preset catalog.Preset) Result {
	slices.Sort(coldStarts)
	r.P50, r.P95, r.P99 = quantile(coldStarts, 0.5), quantile(coldStarts, 0.95), quantile(coldStarts, 0.99)
	index, _ := slices.BinarySearch(coldStarts, 1e-9)
	r.ColdP99 = quantile(coldStarts[index:], 0.99)
	if r.Requests > 0 {
		r.ColdShare = float64(r.Cold) / float64(r.Requests)
	}
	r.Cost = cost(r.ColdSeconds, r.IdleHours, preset)
	return r
}

func cost(coldSeconds, idleHours float64, preset catalog.Preset) float64 {
	return preset.ColdStartWeight*idleSecondsPerWaitSecond*coldSeconds/3600 + preset.IdleWeight*idleHours
}

// quantile returns the next value above a share of a sorted list.
func quantile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
