package scaling

import (
	"slices"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
)

// Verdict says what is to be done for an adapter.
type Verdict int

// Verdicts on an adapter.
const (
	// VerdictNo means that the endpoint can't have the adapter now.
	VerdictNo Verdict = iota
	// VerdictOrder means that the order shall be given.
	VerdictOrder
	// VerdictBusy means that the endpoint takes no order about adapters while it loads or drops a model.
	VerdictBusy
	// VerdictComing means that the adapter is on its way, VerdictHeld that it is there.
	VerdictComing
	VerdictHeld
)

// String returns the name of a verdict.
func (v Verdict) String() string { return [...]string{"No", "Order", "Busy", "Coming", "Held"}[v] }

// Adapter returns the order that brings an adapter to an endpoint which reports what it holds now: first to drop the one that was
// brought longest ago if there is no room, rather not one of those in use, whose runs the endpoint would wait for.
func Adapter(engine *route.Engine, r endpoint.Report, a endpoint.Adapter, brought map[endpoint.Adapter]time.Time, inUse []endpoint.Adapter) (Order, Verdict) {
	state := endpoint.State{Models: r.Models}
	switch {
	case !state.Holds(a.Model):
		return Order{}, VerdictNo
	case state.HoldsAdapter(a):
		return Order{}, VerdictHeld
	case slices.Contains(r.Load.Pending, a):
		return Order{}, VerdictComing
	case r.Load.Busy:
		return Order{}, VerdictBusy
	}
	order := Order{Model: a.Model, Adapter: a.Name, Sequence: r.Load.Sequence, Reason: "a request waits for it"}
	held := adapters(r.Models)
	if len(held)+len(r.Load.Pending) < engine.AdapterSlots && Used(engine, r.Models, &r.Load)+adapterMB(engine, a.Model) <= engine.MemoryMB {
		return order, VerdictOrder
	}
	if len(held) == 0 {
		return Order{}, VerdictNo
	}
	if free := slices.DeleteFunc(slices.Clone(held), func(one endpoint.Adapter) bool { return slices.Contains(inUse, one) }); len(free) > 0 {
		held = free
	}
	victim := slices.MinFunc(held, func(one, other endpoint.Adapter) int { return brought[one].Compare(brought[other]) })
	order.Model, order.Adapter, order.Unload, order.Reason = victim.Model, victim.Name, true, "room for adapter "+a.Name
	return order, VerdictOrder
}

func adapters(models []endpoint.Model) []endpoint.Adapter {
	var all []endpoint.Adapter
	for _, m := range models {
		for _, name := range m.Adapters {
			all = append(all, endpoint.Adapter{Model: m.Name, Name: name})
		}
	}
	return all
}

// Weights returns the order that loads or unloads a model at an endpoint which reports what it holds now; an outcome other than
// OutcomeAccepted tells why there is nothing to order.
func Weights(engine *route.Engine, r endpoint.Report, model string, unload bool) (Order, Outcome) {
	m, known := engine.Model(model)
	held := endpoint.State{Models: r.Models}.Holds(model)
	switch {
	case unload != held:
		return Order{}, OutcomeHolds
	case r.Load.Busy:
		return Order{}, OutcomeConflict
	case !unload && (!known || Used(engine, r.Models, &r.Load)+m.WeightsMB > engine.MemoryMB):
		return Order{}, OutcomeRefused
	}
	return Order{Model: model, Unload: unload, Sequence: r.Load.Sequence}, OutcomeAccepted
}
