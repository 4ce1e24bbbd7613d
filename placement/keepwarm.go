package placement

import "math"

// Costs are the costs of one model's cold starts and idle replicas.
type Costs struct {
	// IdlePerSecond is the cost of keeping the model loaded and idle for one second.
	IdlePerSecond float64
	// ColdStart is the cost of one cold start, LoadSeconds the duration of a load.
	ColdStart   float64
	LoadSeconds float64
	// LoadDisturbance is the additional cost of a load, which slows down running requests.
	LoadDisturbance float64
	// MaxIdleSeconds limits how long an idle replica is kept; 0 means no limit.
	MaxIdleSeconds float64
}

// Window is an interval of idle time, in seconds since the model was last busy, during
// which the model should be loaded or loading.
type Window struct {
	From float64
	To   float64
}

// Plan says when an idle model should be kept loaded and what unloading it would cost.
type Plan struct {
	Windows []Window
	// loss is the expected cost of unloading the model at the start of each bin.
	loss [numBins + 1]float64
}

// KeepLoaded reports whether the model should be loaded after the given idle time in seconds.
func (p *Plan) KeepLoaded(age float64) bool {
	for _, w := range p.Windows {
		if age >= w.From && age < w.To {
			return true
		}
	}
	return false
}

// Loss returns the expected cost of unloading the model after the given idle time in seconds.
func (p *Plan) Loss(age float64) float64 { return p.loss[binOf(age)] }

// Next returns the first change of the plan after age, or false if there is none.
func (p *Plan) Next(age float64) (float64, bool) {
	next := math.Inf(1)
	for _, w := range p.Windows {
		if w.From > age {
			next = min(next, w.From)
		}
		if w.To > age {
			next = min(next, w.To)
		}
	}
	return next, !math.IsInf(next, 1)
}

// costToGo holds the minimum expected cost from the start of each bin on, for a loaded
// (warm) and an unloaded (cold) model, and the decisions that achieve it.
type costToGo struct {
	warm, cold [numBins + 1]float64
	drop, load [numBins]bool
}

// computePlan computes the cheapest plan for an idle gap by dynamic programming,
// backwards over the bins. In each bin the model is kept loaded, unloaded, left
// unloaded, or loaded ahead of demand.
func computePlan(hazard [numBins]float64, c Costs) *Plan {
	var v costToGo
	v.warm[numBins], v.cold[numBins] = c.ColdStart+c.LoadDisturbance, c.ColdStart+c.LoadDisturbance
	for i := numBins - 1; i >= 0; i-- {
		width := binEdges[i+1] - binEdges[i]
		// On average, a request arrives in the middle of its bin.
		hold := c.IdlePerSecond*width*(1-hazard[i]/2) + (1-hazard[i])*v.warm[i+1]
		v.warm[i] = hold
		stayCold := hazard[i]*(c.ColdStart+c.LoadDisturbance+c.IdlePerSecond*c.LoadSeconds) + (1-hazard[i])*v.cold[i+1]
		ahead := v.preloadCost(hazard, c, i)
		v.load[i] = ahead < stayCold
		v.cold[i] = min(ahead, stayCold)
		v.drop[i] = v.cold[i] < hold
		v.warm[i] = min(hold, v.cold[i])
	}
	p := &Plan{Windows: v.windows(c)}
	for i := range p.loss {
		p.loss[i] = max(0, v.cold[i]-v.warm[i])
	}
	return p
}

// preloadCost returns the cost of starting a load at the start of bin i. Requests that
// arrive during the load wait for half of it on average.
func (v *costToGo) preloadCost(hazard [numBins]float64, c Costs, i int) float64 {
	ready := binEdges[i] + c.LoadSeconds
	cost, left := c.LoadDisturbance+c.IdlePerSecond*c.LoadSeconds, 1.0
	for ; i < numBins && binEdges[i+1] <= ready; i++ {
		cost += left * hazard[i] * c.ColdStart / 2
		left *= 1 - hazard[i]
	}
	if i == numBins {
		return cost + left*c.ColdStart
	}
	inBin := min(1, (ready-binEdges[i])/(binEdges[i+1]-binEdges[i]))
	return cost + left*(hazard[i]*inBin*c.ColdStart/2+v.warm[i])
}

// windows follows the decisions from the time at which the model became idle.
func (v *costToGo) windows(c Costs) []Window {
	const maxWindows = 4
	var windows []Window
	warm, from := true, 0.0
	for i := 0; i < numBins && len(windows) < maxWindows; i++ {
		at := binEdges[i]
		switch {
		case warm && c.MaxIdleSeconds > 0 && at-from >= c.MaxIdleSeconds:
			return append(windows, Window{From: from, To: from + c.MaxIdleSeconds})
		case warm && v.drop[i]:
			if at > from {
				windows = append(windows, Window{From: from, To: at})
			}
			warm = false
		case !warm && v.load[i]:
			warm, from = true, at
		}
	}
	if warm && len(windows) < maxWindows {
		to := binEdges[numBins]
		if c.MaxIdleSeconds > 0 {
			to = from + c.MaxIdleSeconds
		}
		windows = append(windows, Window{From: from, To: to})
	}
	return windows
}
