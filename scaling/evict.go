package scaling

import (
	"cmp"
	"slices"

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
)

// maxRareRate is the request rate, per second, below which a model's last replica may be evicted for another replica of a busy model.
const maxRareRate = 0.05

// displacingRequests is the number of requests per replica from which a model may displace the last replica of any idle model. The
// displaced one keeps a local copy, so its next request waits for less than those at an overloaded endpoint.
const displacingRequests = 2 * targetConcurrency

// evictions returns the models to evict from an endpoint to make room for a model, the least needed first, and the cost of doing so.
func (p *Planner) evictions(f *planState, t *trackedEndpoint, n need) (evict []string, evictCost float64, ok bool) {
	free := f.engine.MemoryMB - t.usedMB(f.engine) - f.reservedAdapterMB(t, n.model)
	type victim struct {
		model endpoint.Model
		loss  float64
	}
	var victims []victim
	for _, m := range t.state.Models {
		if loss, allowed := p.evictionCost(f, t, m.Name, n); allowed && !p.lastForResumed(f, t, m.Name, n) {
			if l := p.demandByModel[m.Name]; l != nil && l.runningOn[t.state.ID] {
				loss += drainCostSeconds
			}
			victims = append(victims, victim{m, loss})
		}
	}
	slices.SortStableFunc(victims, func(a, b victim) int { return cmp.Compare(a.loss, b.loss) })
	for _, v := range victims {
		if free >= n.model.WeightsMB {
			break
		}
		evict = append(evict, v.model.Name)
		evictCost += v.loss
		if m, known := f.engine.Model(v.model.Name); known {
			free += m.WeightsMB
		}
		free += float64(len(v.model.Adapters)) * adapterMB(f.engine, v.model.Name)
	}
	return evict, evictCost, free >= n.model.WeightsMB
}

// reservedAdapterMB returns the memory that must stay free beside the weights so that requests for adapters can be served.
func (f *planState) reservedAdapterMB(t *trackedEndpoint, incoming route.Model) float64 {
	largest, held := 0.0, 0.0
	if incoming.Adapters > 0 {
		largest = incoming.AdapterMB
	}
	for _, m := range t.state.Models {
		if known, ok := f.engine.Model(m.Name); ok && known.Adapters > 0 {
			largest = max(largest, known.AdapterMB)
			held += float64(len(m.Adapters)) * known.AdapterMB
		}
	}
	return max(0, largest*float64(f.engine.AdapterSlots)-held)
}

// evictionCost returns the cost of removing an endpoint's replica of a model: low while the remaining replicas can serve its requests well, higher
// for the last replica of an occasionally requested model. allowed is false if the replica must stay.
func (p *Planner) evictionCost(f *planState, t *trackedEndpoint, model string, n need) (loss float64, allowed bool) {
	l, remainingReplicas := p.demandByModel[model], f.serving[model]-1
	value := l.concurrencyAt(f.now)
	perReplica := value
	if remainingReplicas >= 1 {
		perReplica = value / max(f.servingCapacity[model]-t.speed(), minSpeed)
	}
	switch {
	case n.prefetch:
		return perReplica, remainingReplicas >= 1 && perReplica < targetConcurrency/2
	case remainingReplicas <= 0:
		arrivalRate := l.arrivalRateAt(f.now)
		if n.displaces(value) {
			return 1 + 10*arrivalRate, true
		}
		return 1 + 10*arrivalRate, l.idle(f.now) && (n.replicas == 0 || n.requestsPerReplica >= displacingRequests || arrivalRate < maxRareRate)
	}
	if n.replicas == 0 {
		return max(0, perReplica-targetConcurrency) + perReplica/100, perReplica <= targetConcurrency || n.displaces(perReplica)
	}
	return perReplica / 10, perReplica*minDisplacementRatio <= n.requestsPerReplica
}
