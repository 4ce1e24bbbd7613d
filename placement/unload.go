package placement

import (
	"cmp"
	"math"
	"slices"

	"burdocksaddle/catalog"
	"burdocksaddle/fleet"
)

// unloadSeconds is the duration of an unload, which a cold start without free memory has to wait for.
const unloadSeconds = 0.5

// canUnload reports whether the replica may be ordered to unload and isn't needed for its model's demand or minimum.
func (r *decisionRound) canUnload(replica fleet.Replica) bool {
	if r.unloading[replica.ID] || !r.acceptsOrders(replica.Endpoint) {
		return false
	}
	model, known := r.Catalog.Model(replica.Model)
	if !known {
		return true
	}
	loaded := 0
	for _, other := range r.Fleet.ReplicasOfModel(replica.Model) {
		if other.State == fleet.Loaded && !r.unloading[other.ID] {
			loaded++
		}
	}
	needed := model.MinReplicas
	if demand := r.demands[replica.Model]; demand.busy() {
		needed = r.requiredReplicas(model, demand)
	}
	return replica.Version != model.Version && loaded > 1 || loaded > needed
}

// unloadUnneeded unloads replaced versions, surplus replicas, and idle replicas that the plan no longer keeps.
func (r *decisionRound) unloadUnneeded() {
	for _, name := range r.Fleet.Models() {
		model, known := r.Catalog.Model(name)
		if !known {
			continue
		}
		for _, replica := range r.Fleet.ReplicasOfModel(name) {
			if replica.State != fleet.Loaded || !r.canUnload(replica) {
				continue
			}
			if reason, drop := r.unloadReason(model, replica); drop {
				r.unload(replica, reason)
			}
		}
	}
}

func (r *decisionRound) unloadReason(model catalog.Model, replica fleet.Replica) (string, bool) {
	u := r.usage(model.Name)
	if replica.Version != model.Version {
		return ReasonVersion, r.currentVersionLoaded(model)
	}
	if u.busy {
		if r.countReplicas(model, true) <= r.requiredReplicas(model, r.demands[model.Name]) {
			u.surplusSinceMS = 0
			return "", false
		}
		if u.surplusSinceMS == 0 {
			u.surplusSinceMS = r.NowMS
		}
		return ReasonSurplus, r.NowMS-u.surplusSinceMS > surplusDelayMS
	}
	if !u.seen && replica.Reason == ReasonStage {
		return ReasonIdle, true
	}
	if !u.seen {
		// A new leader has no history, so the idle time is counted from now.
		u.seen, u.lastBusyMS = true, r.NowMS
	}
	return ReasonIdle, !r.planOf(model.Name).KeepLoaded(r.idleFor(model.Name))
}

// currentVersionLoaded reports whether a replica of the model's current version is loaded.
func (r *decisionRound) currentVersionLoaded(model catalog.Model) bool {
	return slices.ContainsFunc(r.Fleet.ReplicasOfModel(model.Name), func(replica fleet.Replica) bool {
		return replica.Version == model.Version && replica.State == fleet.Loaded
	})
}

// evict frees memory for a model with waiting requests where the cost is lowest, or waits for memory that is already being
// freed. It reports whether memory will become free.
func (r *decisionRound) evict(model catalog.Model) bool {
	var best []fleet.Replica
	bestCost, bestName := math.Inf(1), ""
	for _, name := range r.Fleet.EndpointsOf(model.Service) {
		if _, ok := r.eligibleEndpoint(name, model); !ok {
			continue
		}
		victims, cost, fitsAnyway := r.selectVictims(name, model)
		if fitsAnyway {
			r.reservedMB[name] += model.MemoryMB
			return true
		}
		cost += r.preset.ColdStartWeight * coldStartIdleRatio * r.store.Seconds(checkpointSize(model), r.CheckpointSource(name, model.Name, model.Version))
		if len(victims) > 0 && cost < bestCost {
			best, bestCost, bestName = victims, cost, name
		}
	}
	for _, replica := range best {
		r.unload(replica, ReasonEvicted)
	}
	if bestName != "" {
		r.reservedMB[bestName] += model.MemoryMB
	}
	return bestName != ""
}

// selectVictims returns the idle replicas with the lowest loss whose unloading makes
// room on an endpoint, and their cost. The last result is true if there will be
// enough room without unloading any.
func (r *decisionRound) selectVictims(name string, model catalog.Model) ([]fleet.Replica, float64, bool) {
	room := float64(r.Fleet.FreeMB(name)) - float64(r.reservedMB[name])
	var idle []fleet.Replica
	for _, replica := range r.Fleet.Replicas(name) {
		switch {
		case replica.State == fleet.Unloading || r.unloading[replica.ID]:
			room += float64(replica.MemoryMB)
		case replica.State == fleet.Loaded && r.canUnload(replica):
			idle = append(idle, replica)
		}
	}
	need := float64(model.MemoryMB)
	if room >= need {
		return nil, 0, true
	}
	slices.SortFunc(idle, func(a, b fleet.Replica) int {
		return cmp.Or(cmp.Compare(r.unloadLoss(a), r.unloadLoss(b)), cmp.Compare(a.ID, b.ID))
	})
	cost := 0.0
	for i, replica := range idle {
		room += float64(replica.MemoryMB)
		cost += r.unloadLoss(replica)
		if room >= need {
			return idle[:i+1], cost, false
		}
	}
	return nil, 0, false
}

// keepHeadroom unloads the idle replica with the lowest loss while a service has less
// free memory than the preset requires and the next cold start gains more from it.
func (r *decisionRound) keepHeadroom() {
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
		r.unloadCheapest(idle)
	}
}

// unloadCheapest unloads the replica with the lowest loss if that loss is lower than the cost of a cold start waiting for an unload.
func (r *decisionRound) unloadCheapest(idle []fleet.Replica) {
	maxLoss := r.preset.ColdStartWeight * coldStartIdleRatio * unloadSeconds
	var best fleet.Replica
	for _, replica := range idle {
		if loss := r.unloadLoss(replica); loss < maxLoss && r.canUnload(replica) {
			best, maxLoss = replica, loss
		}
	}
	if best.ID > 0 {
		r.unload(best, ReasonHeadroom)
	}
}
