package scaling

import (
	"time"

	"burdocksaddle/worker"
)

// Adapter returns the order that brings an adapter to a worker: first to drop the one used longest ago if there is no room.
// It returns false where the adapter is there or on its way, or can't be brought now, as state tells.
func (p *Planner) Adapter(id string, a worker.Adapter, now time.Time) (order Order, state AdapterState, ok bool) {
	t, known := p.workers[id]
	if !known || t.state.Draining || t.state.Load == nil || !t.state.Holds(a.Model) || t.leaving == a.Model {
		return Order{}, AdapterAbsent, false
	}
	engine := p.engines[t.state.Service]
	if engine == nil {
		return Order{}, AdapterAbsent, false
	}
	if state := adapterState(t.state, a); state != AdapterAbsent {
		return Order{}, state, false
	}
	if _, pending := t.adapters[a]; pending {
		return Order{}, AdapterPending, false
	}
	order = Order{Worker: id, Model: a.Model, Adapter: a.Name, Sequence: t.sequence, Reason: "a request waits for it"}
	if t.adapterCount() < engine.AdapterSlots && engine.MemoryMB-t.used(engine) >= adapterMB(engine, a.Model) {
		t.adapters[a], t.ordered = now, now
		return order, AdapterAbsent, true
	}
	victim, found := t.oldestAdapter()
	if !found {
		return Order{}, AdapterAbsent, false
	}
	order.Model, order.Adapter, order.Unload, order.Reason = victim.Model, victim.Name, true, "room for adapter "+a.Name
	return order, AdapterAbsent, true
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

// oldestAdapter returns the adapter that was loaded first; workers list them in that order.
func (t *tracked) oldestAdapter() (worker.Adapter, bool) {
	for _, m := range t.state.Models {
		for _, name := range m.Adapters {
			return worker.Adapter{Model: m.Name, Name: name}, true
		}
	}
	return worker.Adapter{}, false
}
