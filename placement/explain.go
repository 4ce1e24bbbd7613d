package placement

import (
	"math"
	"slices"
	"strings"
)

// Explanation is the policy's state and plan for one model.
type Explanation struct {
	Model string
	Busy  bool
	// IdleSeconds is how long the model has been idle, Gaps the number of recorded idle gaps.
	IdleSeconds float64
	Gaps        int
	// HeldUntil is the idle time at which a loaded replica is unloaded, LoadAt the idle
	// time at which the model is loaded ahead of demand; 0 if the plan has none.
	HeldUntil float64
	LoadAt    float64
	// Loss is the expected cost of unloading the model now.
	Loss float64
}

// Explain returns an explanation for each model that has been requested, sorted by name.
func (p *Policy) Explain(nowMS int64) []Explanation {
	all := make([]Explanation, 0, len(p.models))
	for name, u := range p.models {
		if !u.seen {
			continue
		}
		e := Explanation{Model: name, Busy: u.busy, Gaps: u.gaps.Count}
		if !u.busy {
			e.IdleSeconds = u.secondsIdle(nowMS)
		}
		if u.plan != nil && !u.busy {
			e.Loss = u.plan.Loss(e.IdleSeconds)
			for _, w := range u.plan.Windows {
				switch {
				case e.IdleSeconds >= w.From && e.IdleSeconds < w.To:
					e.HeldUntil = math.Min(w.To, math.MaxInt32)
				case w.From > e.IdleSeconds && e.LoadAt == 0:
					e.LoadAt = w.From
				}
			}
		}
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Explanation) int { return strings.Compare(a.Model, b.Model) })
	return all
}
