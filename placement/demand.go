package placement

import "burdocksaddle/catalog"

// Demand is what waits for one model at all entries together.
type Demand struct {
	Model   string
	Waiting int
	Running int
	// EarliestMS is the first deadline of what waits, on the leader's clock.
	EarliestMS int64
	// Urgency is the most urgent of what waits, as in RFC 9218.
	Urgency int
}

// busy tells whether anything waits or runs.
func (d Demand) busy() bool { return d.Waiting+d.Running > 0 }

// usage is what the policy remembers of one model.
type usage struct {
	gaps Gaps
	// idleMS is when the model was last busy, seen whether it ever was; busy whether it is now.
	idleMS int64
	seen   bool
	busy   bool
	// burst is how many requests come within burstMS of the first after a gap,
	// on average; burstCount and wokenMS are of the present stretch.
	burst      float64
	burstCount int
	wokenMS    int64
	// plan holds for the present gap under the preset it was made for.
	plan   *Plan
	preset catalog.Preset
	// stagedMS is when the model was last loaded for its checkpoint alone.
	stagedMS int64
	// surplusMS is since when there are more replicas than needed.
	surplusMS int64
}

func (u *usage) ageSeconds(nowMS int64) float64 { return float64(nowMS-u.idleMS) / millisecond }

const (
	firstBurst = 1.2
	burstShare = 0.1
	burstMS    = 3000
)

// Arrive notes that requests for a model came in; it ends an idle gap.
func (p *Policy) Arrive(model string, count int, nowMS int64) {
	u := p.usage(model)
	if !u.busy {
		if u.seen {
			seconds := float64(nowMS-u.idleMS) / millisecond
			u.gaps.Add(seconds)
			p.common.Add(seconds)
		}
		if u.burstCount > 0 {
			u.burst += burstShare * (float64(u.burstCount) - u.burst)
		}
		u.burstCount, u.wokenMS = 0, nowMS
	}
	if nowMS-u.wokenMS <= burstMS {
		u.burstCount += count
	}
	u.busy, u.seen, u.idleMS, u.plan = true, true, nowMS, nil
}

// Rest notes that nothing waits or runs for a model any more.
func (p *Policy) Rest(model string, nowMS int64) {
	u := p.usage(model)
	if u.busy {
		u.busy, u.idleMS, u.plan = false, nowMS, nil
	}
}

func (p *Policy) usage(model string) *usage {
	u, known := p.models[model]
	if !known {
		u = &usage{burst: firstBurst}
		p.models[model] = u
	}
	return u
}
