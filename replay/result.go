package replay

import (
	"slices"

	"burdocksaddle/catalog"
)

// waitWorth is how many idle accelerator seconds weigh as much as one second
// of a caller's cold start at equal weights; the policy uses the same rate.
const waitWorth = 10

// Result is what one policy did on one trace.
type Result struct {
	Policy   string
	Requests int
	// Cold counts the requests that found no loaded replica, Refused those of them that met their deadline first.
	Cold      int
	Refused   int
	ColdShare float64
	// P50 to P99 are cold-start seconds over all requests, a warm one counting 0.
	P50 float64
	P95 float64
	P99 float64
	// ColdP99 is over the cold requests alone.
	ColdP99     float64
	ColdSeconds float64
	IdleHours   float64
	// Cost is in weighted idle accelerator hours.
	Cost    float64
	Loads   int
	Ahead   int
	Fetches int
	// RefusedDecisions counts what the fleet did not accept, Unknown the arrivals of models not in the catalog.
	RefusedDecisions int
	Unknown          int
}

// finish fills in what follows from the cold starts.
func (r Result) finish(colds []float64, preset catalog.Preset) Result {
	slices.Sort(colds)
	r.P50, r.P95, r.P99 = quantile(colds, 0.5), quantile(colds, 0.95), quantile(colds, 0.99)
	at, _ := slices.BinarySearch(colds, 1e-9)
	r.ColdP99 = quantile(colds[at:], 0.99)
	if r.Requests > 0 {
		r.ColdShare = float64(r.Cold) / float64(r.Requests)
	}
	r.Cost = cost(r.ColdSeconds, r.IdleHours, preset)
	return r
}

func cost(coldSeconds, idleHours float64, preset catalog.Preset) float64 {
	return preset.ColdStartWeight*waitWorth*coldSeconds/3600 + preset.IdleWeight*idleHours
}

// quantile takes the next value above a share of a sorted list.
func quantile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
