package replay

import "burdocksaddle/catalog"

// bound returns what the arrivals make unavoidable, model by model and without
// contention for memory or store: on demand a model is loaded only once it is
// asked, ahead it may be ready just in time. Each load comes from the fastest
// cache, and what began before the counting is counted from there on.
func (c Case) bound(name string) Result {
	byModel := map[string][]Arrival{}
	for _, one := range c.Trace {
		if _, known := c.Catalog.Model(one.Model); known && one.AtMS < c.EndMS {
			byModel[one.Model] = append(byModel[one.Model], one)
		}
	}
	result := Result{Policy: name}
	var colds []float64
	for _, model := range c.Catalog.Models {
		arrivals := byModel[model.Name]
		if len(arrivals) == 0 {
			continue
		}
		b := boundModel{
			arrivals: arrivals, fromMS: c.FromMS, share: float64(model.MemoryMB) / workerMB, preset: c.Catalog.InForce(),
			load: startMS/1000.0 + float64(model.CheckpointMB)/memorySpeed,
		}
		for _, one := range arrivals {
			if one.AtMS >= c.FromMS {
				result.Requests++
			}
		}
		if name == BoundAhead {
			result.IdleHours += b.ahead()
			continue
		}
		result.IdleHours += b.onDemand(&colds)
	}
	for _, cold := range colds {
		result.ColdSeconds += cold
	}
	result.Cold = len(colds)
	for len(colds) < result.Requests {
		colds = append(colds, 0)
	}
	return result.finish(colds, c.Catalog.InForce())
}

type boundModel struct {
	arrivals []Arrival
	fromMS   int64
	share    float64
	preset   catalog.Preset
	load     float64
}

// gap is an idle time before an arrival.
type gap struct {
	before  int
	seconds float64
}

// gaps returns the counted idle times; before its first arrival a model has been idle from the start on.
func (b boundModel) gaps() []gap {
	var gaps []gap
	end := int64(0)
	for i, one := range b.arrivals {
		if since := max(end, b.fromMS); one.AtMS > since {
			gaps = append(gaps, gap{before: i, seconds: float64(one.AtMS-since) / 1000})
		}
		end = max(end, one.AtMS+one.RunMS)
	}
	return gaps
}

// ahead loads just in time for the next arrival, or holds where that is shorter.
func (b boundModel) ahead() float64 {
	idle := 0.0
	for _, gap := range b.gaps() {
		idle += min(gap.seconds, b.load)
	}
	return b.share * idle / 3600
}

// onDemand takes for each gap the cheaper of holding and dropping. A cold start
// delays the requests that wait for it, which can shorten the idle time around
// it by at most twice the load; that is taken off, so that the sum stays below
// what any policy that loads on demand can reach.
func (b boundModel) onDemand(colds *[]float64) float64 {
	idle := 0.0
	for _, gap := range b.gaps() {
		waits := b.waits(gap.before)
		sum := 0.0
		for _, wait := range waits {
			sum += wait
		}
		hold, drop := b.share*gap.seconds/3600, -b.share*b.load/3600
		if cost(0, hold, b.preset) <= cost(sum, drop, b.preset) {
			idle += hold
			continue
		}
		idle += drop
		*colds = append(*colds, waits...)
	}
	return idle
}

// waits returns the cold starts of the requests that a load beginning at arrival i makes wait.
func (b boundModel) waits(i int) []float64 {
	var waits []float64
	ready := float64(b.arrivals[i].AtMS)/1000 + b.load
	for _, one := range b.arrivals[i:] {
		at := float64(one.AtMS) / 1000
		if at >= ready {
			break
		}
		waits = append(waits, ready-at)
	}
	return waits
}
