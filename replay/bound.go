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
		idle, waits := b.onDemand()
		result.IdleHours += idle
		colds = append(colds, waits...)
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

// stretch is what follows from one arrival that meets an idle model until the
// next such arrival: with its own waits if the model was dropped before it.
type stretch struct {
	next  int
	gap   float64
	waits []float64
}

// from follows the requests from arrival k on, undelayed or behind a load.
func (b boundModel) from(k int, dropped bool) stretch {
	var s stretch
	ready := b.arrivals[k].AtMS
	if dropped {
		ready += int64(b.load * 1000)
	}
	end := ready
	for s.next = k; s.next < len(b.arrivals); s.next++ {
		one := b.arrivals[s.next]
		if s.next > k && one.AtMS > end {
			s.gap = float64(one.AtMS-end) / 1000
			return s
		}
		if one.AtMS < ready {
			s.waits = append(s.waits, float64(ready-one.AtMS)/1000)
		}
		end = max(end, max(one.AtMS, ready)+one.RunMS)
	}
	return s
}

// onDemand returns the idle hours and waits of the cheapest way to hold or drop
// the model in each gap, going backwards from the last arrival; it takes into
// account that a load delays what waits for it and shortens the next gap.
func (b boundModel) onDemand() (float64, []float64) {
	first := 0
	end := b.fromMS
	for ; first < len(b.arrivals) && b.arrivals[first].AtMS < b.fromMS; first++ {
		// What ran before the counting may have been delayed by a load.
		end = max(end, b.arrivals[first].AtMS+b.arrivals[first].RunMS+int64(b.load*1000))
	}
	if first == len(b.arrivals) {
		return 0, nil
	}
	type way struct {
		cost, idle float64
		colds      []float64
		next       int
		drop       bool
	}
	ways := [2][]way{make([]way, len(b.arrivals)+1), make([]way, len(b.arrivals)+1)}
	choose := func(k int, gap float64) (float64, bool) {
		hold := cost(0, b.share*gap/3600, b.preset) + ways[0][k].cost
		drop := cost(0, b.share*b.load/3600, b.preset) + ways[1][k].cost
		return min(hold, drop), drop < hold
	}
	for k := len(b.arrivals) - 1; k >= first; k-- {
		for mode := range 2 {
			s := b.from(k, mode == 1)
			w := way{colds: s.waits, next: s.next}
			for _, wait := range s.waits {
				w.cost += cost(wait, 0, b.preset)
			}
			if s.next < len(b.arrivals) {
				rest, drop := choose(s.next, s.gap)
				w.cost, w.drop, w.idle = w.cost+rest, drop, b.share*s.gap/3600
			}
			ways[mode][k] = w
		}
	}
	gap := float64(max(0, b.arrivals[first].AtMS-end)) / 1000
	_, drop := choose(first, gap)
	idle, waits := 0.0, []float64(nil)
	hold := b.share * gap / 3600
	for k := first; k < len(b.arrivals); {
		mode := 0
		if drop {
			mode, hold = 1, b.share*b.load/3600
		}
		idle += hold
		w := ways[mode][k]
		waits = append(waits, w.colds...)
		k, drop, hold = w.next, w.drop, w.idle
	}
	return idle, waits
}
