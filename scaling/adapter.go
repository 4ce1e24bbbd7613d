package scaling

import (
	"time"

	"burdocksaddle/worker"
)

// Verdict says what is to be done for an adapter.
type Verdict int

// Verdicts on an adapter.
const (
	// VerdictNo means that the worker can't have the adapter now.
	VerdictNo Verdict = iota
	// VerdictOrder means that the order shall be given.
	VerdictOrder
	// VerdictWait means that another order to the worker is under way.
	VerdictWait
	// VerdictComing means that the adapter is on its way, VerdictHeld that it is there.
	VerdictComing
	VerdictHeld
)

// Adapter returns the order that brings an adapter to a worker: first to drop the one loaded longest ago if there is no room.
func (p *Planner) Adapter(id string, a worker.Adapter, now time.Time) (Order, Verdict) {
	t, known := p.workers[id]
	if !known || t.state.Draining || t.state.Load == nil || !t.state.Holds(a.Model) || t.leaving == a.Model {
		return Order{}, VerdictNo
	}
	engine := p.engines[t.state.Service]
	if engine == nil {
		return Order{}, VerdictNo
	}
	switch _, ordered := t.adapters[a]; {
	case adapterState(t.state, a) == AdapterHeld:
		return Order{}, VerdictHeld
	case ordered || adapterState(t.state, a) == AdapterPending:
		return Order{}, VerdictComing
	case t.asked || t.unsure:
		return Order{}, VerdictWait
	}
	order := Order{Worker: id, Model: a.Model, Adapter: a.Name, Sequence: t.sequence, Reason: "a request waits for it"}
	if t.adapterCount() < engine.AdapterSlots && engine.MemoryMB-t.used(engine) >= adapterMB(engine, a.Model) {
		t.adapters[a], t.brought[a], t.ordered, t.asked = now, now, now, true
		return order, VerdictOrder
	}
	if len(t.dropping) > 0 {
		return Order{}, VerdictWait
	}
	victim, found := t.oldestAdapter()
	if !found {
		return Order{}, VerdictNo
	}
	t.ordered, t.asked = now, true
	order.Model, order.Adapter, order.Unload, order.Reason = victim.Model, victim.Name, true, "room for adapter "+a.Name
	return order, VerdictOrder
}

// adapterCount counts the adapters that a worker holds or was ordered to load.
func (t *tracked) adapterCount() int {
	count := 0
	for _, m := range t.state.Models {
		count += len(m.Adapters)
	}
	for a := range t.adapters {
		if adapterState(t.state, a) != AdapterHeld {
			count++
		}
	}
	return count
}

// oldestAdapter returns the adapter that was brought longest ago.
func (t *tracked) oldestAdapter() (worker.Adapter, bool) {
	var oldest worker.Adapter
	found := false
	for _, m := range t.state.Models {
		for _, name := range m.Adapters {
			a := worker.Adapter{Model: m.Name, Name: name}
			if !found || t.brought[a].Before(t.brought[oldest]) {
				oldest, found = a, true
			}
		}
	}
	return oldest, found
}
