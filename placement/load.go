package placement

import (
	"cmp"
	"math"
	"slices"

	"burdocksaddle/catalog"
	"burdocksaddle/fleet"
)

// decideLoads decides the loads: for waiting requests, for minimum replica counts, for new versions, and ahead of demand.
func (r *decisionRound) decideLoads() {
	for _, demand := range r.sortedWaiting() {
		model, _ := r.Catalog.Model(demand.Model)
		switch serving := r.countReplicas(model, true); {
		case serving == 0 && r.countReplicas(model, false) > 0:
			r.replaceVersion(model)
		case serving < r.requiredReplicas(model, demand):
			r.placeReplica(model, ReasonDemand, true)
		}
	}
	for _, model := range r.Catalog.Models {
		serving := r.countReplicas(model, true)
		switch {
		case serving < model.MinReplicas:
			r.placeReplica(model, ReasonMinimum, false)
		case serving == 0 && r.countReplicas(model, false) > 0 && !r.demands[model.Name].busy():
			r.replaceVersion(model)
		case serving == 0 && r.shouldPreload(model):
			r.placeReplica(model, ReasonPreload, false)
		}
	}
	r.stage()
}

// requiredReplicas returns how many replicas the model's demand requires.
func (r *decisionRound) requiredReplicas(model catalog.Model, demand Demand) int {
	slots := 1
	if names := r.Fleet.EndpointsOf(model.Service); len(names) > 0 {
		endpoint, _ := r.Fleet.Endpoint(names[0])
		slots = max(1, int(endpoint.Slots))
	}
	need := (demand.Waiting + demand.Running + slots - 1) / slots
	if model.MaxReplicas > 0 {
		need = min(need, model.MaxReplicas)
	}
	return max(need, model.MinReplicas)
}

// countReplicas counts the replicas that serve the model or will serve it, of its current version or of any version.
func (r *decisionRound) countReplicas(model catalog.Model, thisVersion bool) int {
	count := 0
	for _, replica := range r.Fleet.ReplicasOfModel(model.Name) {
		endpoint, _ := r.Fleet.Endpoint(replica.Endpoint)
		if replica.State == fleet.Unloading || r.unloading[replica.ID] || endpoint.Leaving || endpoint.Silent {
			continue
		}
		if !thisVersion || replica.Version == model.Version {
			count++
		}
	}
	for _, one := range r.decisions {
		if one.Unload == 0 && one.Model.Name == model.Name {
			count++
		}
	}
	return count
}

// shouldPreload reports whether the plan wants an idle model loaded that isn't loaded.
func (r *decisionRound) shouldPreload(model catalog.Model) bool {
	u, known := r.models[model.Name]
	if !known || !u.seen || u.busy {
		return false
	}
	age := r.idleFor(model.Name)
	p := r.planOf(model.Name)
	// A model that isn't loaded in a window that began when it became idle was unloaded against the plan, such as by an eviction, and
	// loading it again would undo that.
	return p.KeepLoaded(age) && (p.Windows[0].From > 0 || age >= p.Windows[0].To)
}

// replaceVersion loads a model's new version. It loads it beside the old version if
// there is memory or, for a model in use, if idle models can be evicted; otherwise it
// unloads the old version first.
func (r *decisionRound) replaceVersion(model catalog.Model) {
	if _, _, fits := r.chooseEndpoint(model); fits {
		r.placeReplica(model, ReasonVersion, false)
		return
	}
	if r.demands[model.Name].busy() && r.evict(model) {
		return
	}
	for _, replica := range r.Fleet.ReplicasOfModel(model.Name) {
		if replica.State == fleet.Unloading || r.unloading[replica.ID] {
			return
		}
	}
	for _, replica := range r.Fleet.ReplicasOfModel(model.Name) {
		if replica.State == fleet.Loaded && replica.Version != model.Version && r.acceptsOrders(replica.Endpoint) {
			r.unload(replica, ReasonVersion)
			return
		}
	}
}

// placeReplica decides a load on the best endpoint. If none has room and evict is set, it frees memory instead.
func (r *decisionRound) placeReplica(model catalog.Model, reason string, evict bool) {
	endpoint, source, ok := r.chooseEndpoint(model)
	if !ok {
		if evict {
			r.evict(model)
		}
		return
	}
	if source == Remote {
		if reason == ReasonPreload && r.inFlight >= r.store.slots-1 {
			return
		}
		if !r.store.acquire(r.inFlight) {
			return
		}
		r.inFlight++
	}
	r.reservedMB[endpoint.Name] += model.MemoryMB
	r.decisions = append(r.decisions, Decision{
		Endpoint: endpoint.Name, Incarnation: endpoint.Incarnation, Model: model, Limit: r.Fleet.ReplicaCountOfModel(model.Name) + 1,
		Reason: reason, Source: source, ExpectedSeconds: r.store.Seconds(checkpointSize(model), source),
	})
}

// chooseEndpoint returns the endpoint with enough memory that loads the model
// fastest. Among endpoints without a copy in memory, it prefers the one that caches
// the fewest checkpoints in memory, to spread copies over the VMs, and then the one
// with the least free memory, to leave room for large models.
func (r *decisionRound) chooseEndpoint(model catalog.Model) (fleet.Endpoint, Source, bool) {
	var best fleet.Endpoint
	var bestSource Source
	bestSeconds, bestFree, bestCachedMB, found := math.Inf(1), uint64(0), uint64(0), false
	for _, name := range r.Fleet.EndpointsOf(model.Service) {
		endpoint, ok := r.eligibleEndpoint(name, model)
		free := r.Fleet.FreeMB(name)
		if !ok || free < r.reservedMB[name]+model.MemoryMB {
			continue
		}
		free -= r.reservedMB[name]
		source := r.CheckpointSource(name, model.Name, model.Version)
		seconds := r.store.Seconds(checkpointSize(model), source)
		if found && seconds > bestSeconds {
			continue
		}
		cachedMB := uint64(0)
		if source != Memory {
			cachedMB = r.memoryCachedMB(name)
		}
		if !found || seconds < bestSeconds || cmp.Or(cmp.Compare(cachedMB, bestCachedMB), cmp.Compare(free, bestFree)) < 0 {
			best, bestSource, bestSeconds, bestFree, bestCachedMB, found = endpoint, source, seconds, free, cachedMB, true
		}
	}
	return best, bestSource, found
}

// memoryCachedMB returns the size of the catalog's checkpoints that an endpoint's VM caches in memory.
func (r *decisionRound) memoryCachedMB(name string) uint64 {
	if cachedMB, known := r.cachedMB[name]; known {
		return cachedMB
	}
	sum := uint64(0)
	for _, model := range r.Catalog.Models {
		if r.CheckpointSource(name, model.Name, model.Version) == Memory {
			sum += checkpointSize(model)
		}
	}
	r.cachedMB[name] = sum
	return sum
}

// eligibleEndpoint reports whether the endpoint may get a replica of the model, regardless of its free memory.
func (r *decisionRound) eligibleEndpoint(name string, model catalog.Model) (fleet.Endpoint, bool) {
	endpoint, _ := r.Fleet.Endpoint(name)
	if endpoint.Leaving || endpoint.Silent || endpoint.MemoryMB < model.MemoryMB || !r.acceptsOrders(name) {
		return endpoint, false
	}
	if _, blocked := r.blocked[endpointModel{name, model.Name}]; blocked {
		return endpoint, false
	}
	return endpoint, !slices.ContainsFunc(r.Fleet.Replicas(name), func(replica fleet.Replica) bool {
		return replica.Model == model.Name && replica.Version == model.Version
	})
}

// fastestSource returns the fastest source from which any endpoint can load the model.
func (r *decisionRound) fastestSource(model catalog.Model) Source {
	best := Remote
	for _, name := range r.Fleet.EndpointsOf(model.Service) {
		switch r.CheckpointSource(name, model.Name, model.Version) {
		case Memory:
			return Memory
		case Disk:
			best = Disk
		}
	}
	return best
}
