package scaling

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"burdocksaddle/route"
	"burdocksaddle/worker"
)

// Plan returns the orders to give now, at most one a worker.
func (p *Planner) Plan(now time.Time) []Order {
	var orders []Order
	for _, service := range sortedKeys(p.engines) {
		orders = append(orders, p.planService(service, p.engines[service], now)...)
	}
	return orders
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// fleet is what one planning of a service works with.
type fleet struct {
	engine   *route.Engine
	now      time.Time
	workers  []*tracked
	replicas map[string]int
	store    int
}

func (p *Planner) planService(service string, engine *route.Engine, now time.Time) []Order {
	f := fleet{engine: engine, now: now, replicas: map[string]int{}}
	for _, id := range sortedKeys(p.workers) {
		t := p.workers[id]
		if t.state.Service != service || t.state.Draining {
			continue
		}
		if t.loading != "" {
			f.replicas[t.loading]++
			if t.source == SourceStore {
				f.store++
			}
		}
		// A silent worker's replicas serve nobody.
		if now.Sub(t.reported) > reportMost {
			continue
		}
		for _, m := range t.state.Models {
			if m.Name != t.leaving {
				f.replicas[m.Name]++
			}
		}
		f.workers = append(f.workers, t)
	}
	var orders []Order
	for range len(f.workers) {
		o, ok := p.next(&f)
		if !ok {
			break
		}
		orders = append(orders, o)
	}
	return orders
}

// pressure is a model's concurrent requests for each of its replicas.
func (p *Planner) pressure(model string, replicas int, now time.Time) float64 {
	value := p.levels[model].now(now)
	if replicas <= 0 {
		return value * 100
	}
	return value / float64(replicas)
}

// next returns the order that relieves the model with the most requests for each replica.
func (p *Planner) next(f *fleet) (Order, bool) {
	type need struct {
		model    route.Model
		pressure float64
	}
	var needs []need
	for _, name := range sortedKeys(p.levels) {
		m, ok := f.engine.Model(name)
		if !ok {
			continue
		}
		n := f.replicas[name]
		pressure := p.pressure(name, n, f.now)
		if n == 0 && pressure > 0 || n > 0 && n < len(f.workers) && pressure > replicaLoad {
			needs = append(needs, need{m, pressure})
		}
	}
	slices.SortStableFunc(needs, func(a, b need) int { return cmp.Compare(b.pressure, a.pressure) })
	for _, n := range needs {
		if o, ok := p.place(f, n.model, n.pressure); ok {
			return o, true
		}
	}
	return Order{}, false
}

// place finds the worker that can have a model soonest at the least loss.
func (p *Planner) place(f *fleet, m route.Model, pressure float64) (Order, bool) {
	var best *tracked
	var bestEvict []string
	bestCost := 0.0
	for _, t := range f.workers {
		if t.busy(f.now) || t.state.Holds(m.Name) {
			continue
		}
		source := t.sourceOf(m.Name)
		if source == SourceStore && f.store >= storeSlots {
			continue
		}
		evict, lost, ok := p.evictions(f, t, m, pressure)
		if !ok {
			continue
		}
		cost := loadTime(m, source).Seconds() + lost + float64(t.state.Load.Running+t.state.Load.Waiting)/float64(max(t.state.Slots, 1))
		if best == nil || cost < bestCost {
			best, bestEvict, bestCost = t, evict, cost
		}
	}
	if best == nil {
		return Order{}, false
	}
	best.quiet = f.now.Add(orderTimeout)
	best.ordered = f.now
	if len(bestEvict) > 0 {
		best.leaving = bestEvict[0]
		f.replicas[bestEvict[0]]--
		// The room is for this model: nothing else is planned for it in this round.
		f.replicas[m.Name]++
		return Order{
			Worker: best.state.ID, Model: bestEvict[0], Unload: true, Sequence: best.sequence,
			Reason: fmt.Sprintf("room for %s with %.1f requests a replica", m.Name, pressure),
		}, true
	}
	source := best.sourceOf(m.Name)
	best.loading, best.source, best.until = m.Name, source, f.now.Add(loadTime(m, source))
	f.replicas[m.Name]++
	if source == SourceStore {
		f.store++
	}
	return Order{
		Worker: best.state.ID, Model: m.Name, Sequence: best.sequence, Source: source,
		Reason: fmt.Sprintf("%.1f requests a replica", pressure),
	}, true
}

// evictions returns what must leave a worker for a model, the least needed first, and what is lost by it.
func (p *Planner) evictions(f *fleet, t *tracked, m route.Model, pressure float64) (evict []string, lost float64, ok bool) {
	free := f.engine.MemoryMB - t.used(f.engine)
	held := slices.Clone(t.state.Models)
	slices.SortStableFunc(held, func(a, b worker.Model) int {
		return cmp.Compare(p.loss(f, a.Name), p.loss(f, b.Name))
	})
	for _, victim := range held {
		if free >= m.WeightsMB {
			break
		}
		after := p.pressure(victim.Name, f.replicas[victim.Name]-1, f.now)
		if pressure < after*gain || pressure <= 0 {
			return nil, 0, false
		}
		evict = append(evict, victim.Name)
		lost += p.loss(f, victim.Name)
		if v, known := f.engine.Model(victim.Name); known {
			free += v.WeightsMB
		}
		free += float64(len(victim.Adapters)) * adapterMB(f.engine, victim.Name)
	}
	return evict, lost, free >= m.WeightsMB
}

// loss weighs how much a replica's going hurts: by the requests for those that stay, and most if none stays.
func (p *Planner) loss(f *fleet, model string) float64 {
	n := f.replicas[model]
	loss := p.pressure(model, n-1, f.now)
	if n <= 1 {
		loss++ // the only one of an idle model goes after surplus ones
		if l := p.levels[model]; l != nil {
			loss += 1 / (1 + f.now.Sub(l.used).Seconds())
		}
	}
	return loss
}

// used is the memory that is taken at a worker, what is being loaded included.
func (t *tracked) used(engine *route.Engine) float64 {
	used := 0.0
	for _, m := range t.state.Models {
		if model, ok := engine.Model(m.Name); ok {
			used += model.WeightsMB + float64(len(m.Adapters))*model.AdapterMB
		}
	}
	for a := range t.adapters {
		if adapterState(t.state, a) != AdapterHeld {
			used += adapterMB(engine, a.Model)
		}
	}
	if m, ok := engine.Model(t.loading); ok && !t.state.Holds(t.loading) {
		used += m.WeightsMB
	}
	return used
}

func adapterMB(engine *route.Engine, model string) float64 {
	m, _ := engine.Model(model)
	return m.AdapterMB
}

// busy tells that no order can be given now: one is under way, or what the last one did is not known.
func (t *tracked) busy(now time.Time) bool {
	return t.state.Load == nil || t.state.Load.Busy || t.loading != "" || t.leaving != "" || now.Before(t.quiet)
}

func (t *tracked) sourceOf(model string) Source {
	switch {
	case t.state.Load == nil:
		return SourceStore
	case slices.Contains(t.state.Load.InMemory, model):
		return SourceMemory
	case slices.Contains(t.state.Load.OnDisk, model):
		return SourceDisk
	}
	return SourceStore
}

func loadTime(m route.Model, source Source) time.Duration {
	return map[Source]time.Duration{SourceMemory: m.FromMemory, SourceDisk: m.FromDisk, SourceStore: m.FromStore}[source]
}
