package placement

import "burdocksaddle/catalog"

// Demand is the demand for one model, summed over all entries.
type Demand struct {
	Model   string
	Waiting int
	Running int
	// EarliestDeadlineMS is the earliest deadline of the waiting requests, on the leader's clock.
	EarliestDeadlineMS int64
	// Urgency is the highest urgency of the waiting requests, as in RFC 9218.
	Urgency int
}

// busy reports whether any requests are waiting or running.
func (d Demand) busy() bool { return d.Waiting+d.Running > 0 }

// modelUsage is the policy's request history of one model.
type modelUsage struct {
	gaps Gaps
	// lastBusyMS is when the model was last busy; seen is whether it ever was, busy whether it is now.
	lastBusyMS int64
	seen       bool
	busy       bool
	// meanBurst is the average number of requests within burstWindowMS of the first one
	// after a gap; burstCount and burstStartMS belong to the current burst.
	meanBurst    float64
	burstCount   int
	burstStartMS int64
	// plan is valid for the current gap and the preset it was computed for.
	plan   *Plan
	preset catalog.Preset
	// stagedMS is when the model was last loaded only to cache its checkpoint.
	stagedMS int64
	// surplusSinceMS is since when there have been more replicas than required.
	surplusSinceMS int64
}

func (u *modelUsage) secondsIdle(nowMS int64) float64 {
	return float64(nowMS-u.lastBusyMS) / msPerSecond
}

const (
	// initialBurst is the assumed mean burst of a model, burstWeight the weight of its latest burst in the moving average.
	initialBurst = 1.2
	burstWeight  = 0.1
	// burstWindowMS is how long after the first request a request counts as part of the same burst.
	burstWindowMS = 3000
)

// RecordArrivals records new requests for a model, which ends an idle gap.
func (p *Policy) RecordArrivals(model string, count int, nowMS int64) {
	u := p.usage(model)
	if !u.busy {
		if u.seen {
			seconds := float64(nowMS-u.lastBusyMS) / msPerSecond
			u.gaps.Add(seconds)
			p.commonGaps.Add(seconds)
		}
		if u.burstCount > 0 {
			u.meanBurst += burstWeight * (float64(u.burstCount) - u.meanBurst)
		}
		u.burstCount, u.burstStartMS = 0, nowMS
	}
	if nowMS-u.burstStartMS <= burstWindowMS {
		u.burstCount += count
	}
	u.busy, u.seen, u.lastBusyMS, u.plan = true, true, nowMS, nil
}

// RecordIdle records that a model has no waiting or running requests left.
func (p *Policy) RecordIdle(model string, nowMS int64) {
	u := p.usage(model)
	if u.busy {
		u.busy, u.lastBusyMS, u.plan = false, nowMS, nil
	}
}

func (p *Policy) usage(model string) *modelUsage {
	u, known := p.models[model]
	if !known {
		u = &modelUsage{meanBurst: initialBurst}
		p.models[model] = u
	}
	return u
}
