package placement

import (
	"math"
	"slices"
	"strings"
)

// Explanation says what the policy knows of one model and plans for it.
type Explanation struct {
	Model string
	Busy  bool
	// IdleSeconds is how long the model has been idle, Gaps how many idle gaps were counted.
	IdleSeconds float64
	Gaps        int
	// HeldUntil is the idle time at which a loaded replica is dropped, LoadAt the
	// one at which it is loaded ahead; 0 where the plan has none.
	HeldUntil float64
	LoadAt    float64
	// Loss is the expected cost of dropping the model now.
	Loss float64
}

// Explain returns what is planned for each model that was asked, by name.
func (p *Policy) Explain(nowMS int64) []Explanation {
	all := make([]Explanation, 0, len(p.models))
	for name, u := range p.models {
		if !u.seen {
			continue
		}
		e := Explanation{Model: name, Busy: u.busy, Gaps: u.gaps.Count}
		if !u.busy {
			e.IdleSeconds = u.ageSeconds(nowMS)
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
