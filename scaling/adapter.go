package scaling

import (
	"slices"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
)

// Verdict is the decision on a request for an adapter at an endpoint.
type Verdict int

// Possible verdicts.
const (
	// VerdictUnavailable means that the endpoint can't load the adapter now.
	VerdictUnavailable Verdict = iota
	// VerdictOrder means that the returned order should be sent to the endpoint.
	VerdictOrder
	// VerdictBusy means that the endpoint accepts no adapter orders because it is loading or unloading a model.
	VerdictBusy
	// VerdictLoading means that the adapter is being loaded, VerdictLoaded that it is loaded.
	VerdictLoading
	VerdictLoaded
)

// String returns the name of the verdict.
func (v Verdict) String() string { return [...]string{"No", "Order", "Busy", "Coming", "Held"}[v] }

// PlanAdapter returns the order that gets an adapter loaded on an endpoint, given the endpoint's latest report. If there is no
// room, the order unloads the adapter that was loaded longest ago. Adapters in inUse are evicted only as a last resort, because
// the endpoint waits for their running requests before it unloads them.
func PlanAdapter(engine *route.Engine, r endpoint.Report, a endpoint.Adapter, loadedAt map[endpoint.Adapter]time.Time, inUse []endpoint.Adapter) (Order, Verdict) {
	state := endpoint.State{Models: r.Models}
	switch {
	case !state.Holds(a.Model):
		return Order{}, VerdictUnavailable
	case state.HoldsAdapter(a):
		return Order{}, VerdictLoaded
	case slices.Contains(r.Load.Pending, a):
		return Order{}, VerdictLoading
	case r.Load.Busy:
		return Order{}, VerdictBusy
	}
	order := Order{Model: a.Model, Adapter: a.Name, Sequence: r.Load.Sequence, Reason: "a request waits for it"}
	held := loadedAdapters(r.Models)
	if len(held)+len(r.Load.Pending) < engine.AdapterSlots && MemoryUsedMB(engine, r.Models, &r.Load)+adapterMB(engine, a.Model) <= engine.MemoryMB {
		return order, VerdictOrder
	}
	if len(held) == 0 {
		return Order{}, VerdictUnavailable
	}
	if free := slices.DeleteFunc(slices.Clone(held), func(one endpoint.Adapter) bool { return slices.Contains(inUse, one) }); len(free) > 0 {
		held = free
	}
	victim := slices.MinFunc(held, func(one, other endpoint.Adapter) int { return loadedAt[one].Compare(loadedAt[other]) })
	order.Model, order.Adapter, order.Unload, order.Reason = victim.Model, victim.Name, true, "room for adapter "+a.Name
	return order, VerdictOrder
}

func loadedAdapters(models []endpoint.Model) []endpoint.Adapter {
	var all []endpoint.Adapter
	for _, m := range models {
		for _, name := range m.Adapters {
			all = append(all, endpoint.Adapter{Model: m.Name, Name: name})
		}
	}
	return all
}

// PlanWeights returns the order that loads or unloads a model on an endpoint, given the endpoint's latest report. An outcome
// other than OutcomeAccepted is the reason why no order is needed or possible.
func PlanWeights(engine *route.Engine, r endpoint.Report, model string, unload bool) (Order, Outcome) {
	m, known := engine.Model(model)
	held := endpoint.State{Models: r.Models}.Holds(model)
	switch {
	case unload != held:
		return Order{}, OutcomeAlreadyApplied
	case r.Load.Busy:
		return Order{}, OutcomeConflict
	case !unload && (!known || MemoryUsedMB(engine, r.Models, &r.Load)+m.WeightsMB > engine.MemoryMB):
		return Order{}, OutcomeRefused
	}
	return Order{Model: model, Unload: unload, Sequence: r.Load.Sequence}, OutcomeAccepted
}
