package placement

import (
	"cmp"
	"math"
	"slices"

	"burdocksaddle/catalog"
	"burdocksaddle/fleet"
)

// unloadSeconds is what an unload takes, which a cold start without free memory waits for.
const unloadSeconds = 0.5

// mayUnload tells whether nobody needs just this replica.
func (r *round) mayUnload(replica fleet.Replica) bool {
	if r.unloading[replica.ID] || !r.orderable(replica.Endpoint) {
		return false
	}
	model, known := r.Catalog.Model(replica.Model)
	if !known {
		return true
	}
	loaded := 0
	for _, other := range r.Fleet.OfModel(replica.Model) {
		if other.State == fleet.Loaded && !r.unloading[other.ID] {
			loaded++
		}
	}
	needed := model.MinReplicas
	if demand := r.demands[replica.Model]; demand.busy() {
		needed = r.needed(model, demand)
	}
	return replica.Version != model.Version && loaded > 1 || loaded > needed
}

// drop unloads old versions that were replaced, replicas beyond the need, and idle ones past their plan.
func (r *round) drop() {
	for _, name := range r.Fleet.Models() {
		model, known := r.Catalog.Model(name)
		if !known {
			continue
		}
		for _, replica := range r.Fleet.OfModel(name) {
			if replica.State != fleet.Loaded || !r.mayUnload(replica) {
				continue
			}
			if reason, drop := r.dropReason(model, replica); drop {
				r.unload(replica, reason)
			}
		}
	}
}

func (r *round) dropReason(model catalog.Model, replica fleet.Replica) (string, bool) {
	u := r.usage(model.Name)
	if replica.Version != model.Version {
		return ReasonVersion, r.loadedNow(model)
	}
	if u.busy {
		if r.serving(model, true) <= r.needed(model, r.demands[model.Name]) {
			u.surplusMS = 0
			return "", false
		}
		if u.surplusMS == 0 {
			u.surplusMS = r.NowMS
		}
		return ReasonSurplus, r.NowMS-u.surplusMS > surplusMS
	}
	if !u.seen && replica.Reason == ReasonStage {
		return ReasonIdle, true
	}
	if !u.seen {
		// A leader that just took over knows no history; its own start stands in for it.
		u.seen, u.idleMS = true, r.NowMS
	}
	return ReasonIdle, !r.planOf(model.Name).Warm(r.age(model.Name))
}

// loadedNow tells whether the model's present version serves somewhere.
func (r *round) loadedNow(model catalog.Model) bool {
	return slices.ContainsFunc(r.Fleet.OfModel(model.Name), func(replica fleet.Replica) bool {
		return replica.Version == model.Version && replica.State == fleet.Loaded
	})
}

// evict frees room for a model that is waited for, where it costs least; room that is being freed already is awaited. It tells whether room comes.
func (r *round) evict(model catalog.Model) bool {
	var best []fleet.Replica
	bestCost, bestName := math.Inf(1), ""
	for _, name := range r.Fleet.EndpointsOf(model.Service) {
		if _, ok := r.candidate(name, model); !ok {
			continue
		}
		victims, cost, coming := r.victims(name, model)
		if coming {
			r.claimed[name] += model.MemoryMB
			return true
		}
		cost += r.preset.ColdStartWeight * waitWorth * r.store.Seconds(checkpoint(model), r.Cached(name, model.Name, model.Version))
		if len(victims) > 0 && cost < bestCost {
			best, bestCost, bestName = victims, cost, name
		}
	}
	for _, replica := range best {
		r.unload(replica, ReasonEvicted)
	}
	if bestName != "" {
		r.claimed[bestName] += model.MemoryMB
	}
	return bestName != ""
}

// victims returns the idle replicas of least loss whose end makes room on an
// endpoint, or that the room is coming without them.
func (r *round) victims(name string, model catalog.Model) ([]fleet.Replica, float64, bool) {
	room := float64(r.Fleet.FreeMB(name)) - float64(r.claimed[name])
	var idle []fleet.Replica
	for _, replica := range r.Fleet.Replicas(name) {
		switch {
		case replica.State == fleet.Unloading || r.unloading[replica.ID]:
			room += float64(replica.MemoryMB)
		case replica.State == fleet.Loaded && r.mayUnload(replica):
			idle = append(idle, replica)
		}
	}
	need := float64(model.MemoryMB)
	if room >= need {
		return nil, 0, true
	}
	slices.SortFunc(idle, func(a, b fleet.Replica) int {
		return cmp.Or(cmp.Compare(r.loss(a), r.loss(b)), cmp.Compare(a.ID, b.ID))
	})
	cost := 0.0
	for i, replica := range idle {
		room += float64(replica.MemoryMB)
		cost += r.loss(replica)
		if room >= need {
			return idle[:i+1], cost, false
		}
	}
	return nil, 0, false
}

// headroom unloads the idle replica of least loss while a service has less
// memory free than the preset asks and the next cold start gains more by it.
func (r *round) headroom() {
	if r.preset.FreeShare <= 0 || len(r.demands) > 0 {
		return
	}
	for _, service := range r.Catalog.Services {
		var free, all uint64
		var idle []fleet.Replica
		for _, name := range r.Fleet.EndpointsOf(service.Name) {
			endpoint, _ := r.Fleet.Endpoint(name)
			free, all = free+r.Fleet.FreeMB(name), all+endpoint.MemoryMB
			for _, replica := range r.Fleet.Replicas(name) {
				if replica.State == fleet.Loaded {
					idle = append(idle, replica)
				}
			}
		}
		if float64(free) >= r.preset.FreeShare*float64(all) {
			continue
		}
		r.free(idle)
	}
}

// free unloads the cheapest of the replicas if a cold start that must wait for an unload costs more.
func (r *round) free(idle []fleet.Replica) {
	worth := r.preset.ColdStartWeight * waitWorth * unloadSeconds
	var best fleet.Replica
	for _, replica := range idle {
		if loss := r.loss(replica); loss < worth && r.mayUnload(replica) {
			best, worth = replica, loss
		}
	}
	if best.ID > 0 {
		r.unload(best, ReasonHeadroom)
	}
}
