package placement

import "math"

// Costs are what one model's waiting and idling are worth.
type Costs struct {
	// IdlePerSecond is the cost of one second of holding the model idle.
	IdlePerSecond float64
	// Cold is the cost of one cold start, LoadSeconds how long a load takes.
	Cold        float64
	LoadSeconds float64
	// Switch is the cost of a load beside its waiting and idling: it disturbs what runs.
	Switch float64
	// MostSeconds bounds how long an idle replica stays; 0 is no bound.
	MostSeconds float64
}

// Window is a time of idling, in seconds since the model was last busy,
// during which it should be loaded or loading.
type Window struct {
	From float64
	To   float64
}

// Plan says when an idle model is to be held, and what dropping it would cost.
type Plan struct {
	Windows []Window
	// loss is the expected cost of dropping the model at the start of each bin.
	loss [bins + 1]float64
}

// Warm tells whether the model should be held after so many idle seconds.
func (p *Plan) Warm(age float64) bool {
	for _, w := range p.Windows {
		if age >= w.From && age < w.To {
			return true
		}
	}
	return false
}

// Loss returns the expected cost of dropping the model after so many idle seconds.
func (p *Plan) Loss(age float64) float64 { return p.loss[binOf(age)] }

// Until returns when the window that holds an age ends, or the age itself.
func (p *Plan) Until(age float64) float64 {
	for _, w := range p.Windows {
		if age >= w.From && age < w.To {
			return w.To
		}
	}
	return age
}

// Next returns the first change of the plan after an age, or false when none is left.
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

// values are the least expected costs from the start of each bin on, by whether the model is loaded.
type values struct {
	warm, cold [bins + 1]float64
	drop, load [bins]bool
}

// plan finds the cheapest way through an idle gap by going backwards over the
// bins: in each the model is held, dropped, left out, or loaded ahead.
func plan(hazard [bins]float64, c Costs) *Plan {
	var v values
	v.warm[bins], v.cold[bins] = c.Cold+c.Switch, c.Cold+c.Switch
	for i := bins - 1; i >= 0; i-- {
		width := binEdges[i+1] - binEdges[i]
		// An arrival falls into the middle of its bin on average.
		hold := c.IdlePerSecond*width*(1-hazard[i]/2) + (1-hazard[i])*v.warm[i+1]
		v.warm[i] = hold
		stayCold := hazard[i]*(c.Cold+c.Switch+c.IdlePerSecond*c.LoadSeconds) + (1-hazard[i])*v.cold[i+1]
		ahead := v.ahead(hazard, c, i)
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

// ahead returns the cost of beginning a load at the start of bin i: arrivals
// while it loads wait for half of it on average.
func (v *values) ahead(hazard [bins]float64, c Costs, i int) float64 {
	ready := binEdges[i] + c.LoadSeconds
	cost, left := c.Switch+c.IdlePerSecond*c.LoadSeconds, 1.0
	for ; i < bins && binEdges[i+1] <= ready; i++ {
		cost += left * hazard[i] * c.Cold / 2
		left *= 1 - hazard[i]
	}
	if i == bins {
		return cost + left*c.Cold
	}
	inBin := min(1, (ready-binEdges[i])/(binEdges[i+1]-binEdges[i]))
	return cost + left*(hazard[i]*inBin*c.Cold/2+v.warm[i])
}

// windows follows the decisions from the moment at which the model became idle.
func (v *values) windows(c Costs) []Window {
	const most = 4
	var windows []Window
	warm, from := true, 0.0
	for i := 0; i < bins && len(windows) < most; i++ {
		at := binEdges[i]
		switch {
		case warm && c.MostSeconds > 0 && at-from >= c.MostSeconds:
			return append(windows, Window{From: from, To: from + c.MostSeconds})
		case warm && v.drop[i]:
			if at > from {
				windows = append(windows, Window{From: from, To: at})
			}
			warm = false
		case !warm && v.load[i]:
			warm, from = true, at
		}
	}
	if warm && len(windows) < most {
		to := binEdges[bins]
		if c.MostSeconds > 0 {
			to = from + c.MostSeconds
		}
		windows = append(windows, Window{From: from, To: to})
	}
	return windows
}
