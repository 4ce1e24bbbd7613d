package replay

import "burdocksaddle/catalog"

// computeBound returns a lower bound that the arrivals imply, for each model separately and without contention for
// memory or the store. On demand, a model is only loaded once it is requested; with preloading, it may become ready
// just in time. Each load uses the fastest cache. An idle period that began before the
// counted period is included from the start of the counted period.
func (c Case) computeBound(name string) Result {
	byModel := map[string][]Arrival{}
	for _, one := range c.Trace {
		if _, known := c.Catalog.Model(one.Model); known && one.AtMS < c.EndMS {
			byModel[one.Model] = append(byModel[one.Model], one)
		}
	}
	result := Result{Policy: name}
	var allWaits []float64
	for _, model := range c.Catalog.Models {
		arrivals := byModel[model.Name]
		if len(arrivals) == 0 {
			continue
		}
		b := boundModel{
			arrivals: arrivals, fromMS: c.FromMS, memoryShare: float64(model.MemoryMB) / workerMB, preset: c.Catalog.ActivePreset(),
			loadSeconds: startMS/1000.0 + float64(model.CheckpointMB)/memorySpeed,
		}
		for _, one := range arrivals {
			if one.AtMS >= c.FromMS {
				result.Requests++
			}
		}
		if name == BoundPreload {
			result.IdleHours += b.preloadIdleHours()
			continue
		}
		idle, modelWaits := b.onDemand()
		result.IdleHours += idle
		allWaits = append(allWaits, modelWaits...)
	}
	for _, wait := range allWaits {
		result.ColdSeconds += wait
	}
	result.Cold = len(allWaits)
	for len(allWaits) < result.Requests {
		allWaits = append(allWaits, 0)
	}
	return result.finish(allWaits, c.Catalog.ActivePreset())
}

type boundModel struct {
	arrivals    []Arrival
	fromMS      int64
	memoryShare float64
	preset      catalog.Preset
	loadSeconds float64
}

// idleGap is an idle period before an arrival.
type idleGap struct {
	arrival int
	seconds float64
}

// gaps returns the counted idle periods. Before its first arrival, a model has been idle since the start.
func (b boundModel) gaps() []idleGap {
	var gaps []idleGap
	end := int64(0)
	for i, one := range b.arrivals {
		if since := max(end, b.fromMS); one.AtMS > since {
			gaps = append(gaps, idleGap{arrival: i, seconds: float64(one.AtMS-since) / 1000})
		}
		end = max(end, one.AtMS+one.RunMS)
	}
	return gaps
}

// preloadIdleHours returns the idle hours if each load finishes just in time for the next arrival, or the model
// stays loaded where that takes less time.
func (b boundModel) preloadIdleHours() float64 {
	idle := 0.0
	for _, gap := range b.gaps() {
		idle += min(gap.seconds, b.loadSeconds)
	}
	return b.memoryShare * idle / 3600
}

// busyPeriod starts with an arrival at an idle model and ends at the next
// such arrival. It has its own waits if the model was unloaded before it.
type busyPeriod struct {
	next        int
	idleSeconds float64
	waits       []float64
}

// busyPeriodFrom returns the busy period that starts with arrival k, which is served without delay or after a load.
func (b boundModel) busyPeriodFrom(k int, unloaded bool) busyPeriod {
	var period busyPeriod
	ready := b.arrivals[k].AtMS
	if unloaded {
		ready += int64(b.loadSeconds * 1000)
	}
	end := ready
	for period.next = k; period.next < len(b.arrivals); period.next++ {
		one := b.arrivals[period.next]
		if period.next > k && one.AtMS > end {
			period.idleSeconds = float64(one.AtMS-end) / 1000
			return period
		}
		if one.AtMS < ready {
			period.waits = append(period.waits, float64(ready-one.AtMS)/1000)
		}
		end = max(end, max(one.AtMS, ready)+one.RunMS)
	}
	return period
}

// onDemand returns the idle hours and waits of the cheapest choice in each gap between keeping the model and
// unloading it, computed backwards from the last arrival. It takes into account that a load delays the requests
// that wait for it and shortens the next gap.
func (b boundModel) onDemand() (float64, []float64) {
	firstCounted := 0
	end := b.fromMS
	for ; firstCounted < len(b.arrivals) && b.arrivals[firstCounted].AtMS < b.fromMS; firstCounted++ {
		// A load may have delayed requests that ran before the counted period.
		end = max(end, b.arrivals[firstCounted].AtMS+b.arrivals[firstCounted].RunMS+int64(b.loadSeconds*1000))
	}
	if firstCounted == len(b.arrivals) {
		return 0, nil
	}
	type plan struct {
		cost, idle float64
		waits      []float64
		next       int
		unload     bool
	}
	// plans[0] holds the cheapest plan from each arrival on if the model is still loaded then, plans[1] if it was unloaded before.
	plans := [2][]plan{make([]plan, len(b.arrivals)+1), make([]plan, len(b.arrivals)+1)}
	cheaper := func(k int, gap float64) (float64, bool) {
		keep := cost(0, b.memoryShare*gap/3600, b.preset) + plans[0][k].cost
		unload := cost(0, b.memoryShare*b.loadSeconds/3600, b.preset) + plans[1][k].cost
		return min(keep, unload), unload < keep
	}
	for k := len(b.arrivals) - 1; k >= firstCounted; k-- {
		for mode := range 2 {
			period := b.busyPeriodFrom(k, mode == 1)
			p := plan{waits: period.waits, next: period.next}
			for _, wait := range period.waits {
				p.cost += cost(wait, 0, b.preset)
			}
			if period.next < len(b.arrivals) {
				rest, unload := cheaper(period.next, period.idleSeconds)
				p.cost, p.unload, p.idle = p.cost+rest, unload, b.memoryShare*period.idleSeconds/3600
			}
			plans[mode][k] = p
		}
	}
	gap := float64(max(0, b.arrivals[firstCounted].AtMS-end)) / 1000
	_, unload := cheaper(firstCounted, gap)
	idle, waits := 0.0, []float64(nil)
	gapIdle := b.memoryShare * gap / 3600
	for k := firstCounted; k < len(b.arrivals); {
		mode := 0
		if unload {
			mode, gapIdle = 1, b.memoryShare*b.loadSeconds/3600
		}
		idle += gapIdle
		p := plans[mode][k]
		waits = append(waits, p.waits...)
		k, unload, gapIdle = p.next, p.unload, p.idle
	}
	return idle, waits
}
