package placement

import (
	"cmp"
	"math"
	"slices"

	"burdocksaddle/catalog"
	"burdocksaddle/fleet"
)

// load decides the loads: for what waits, for the least replicas, for new versions, and ahead of demand.
func (r *round) load() {
	for _, demand := range r.waitingFirst() {
		model, _ := r.Catalog.Model(demand.Model)
		switch serving := r.serving(model, true); {
		case serving == 0 && r.serving(model, false) > 0:
			r.replace(model)
		case serving < r.needed(model, demand):
			r.place(model, ReasonDemand, true)
		}
	}
	for _, model := range r.Catalog.Models {
		serving := r.serving(model, true)
		switch {
		case serving < model.MinReplicas:
			r.place(model, ReasonMinimum, false)
		case serving == 0 && r.serving(model, false) > 0 && !r.demands[model.Name].busy():
			r.replace(model)
		case serving == 0 && r.wantedAhead(model):
			r.place(model, ReasonAhead, false)
		}
	}
	r.stage()
}

// needed returns how many replicas a model's demand fills.
func (r *round) needed(model catalog.Model, demand Demand) int {
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

// serving counts the replicas that serve or will serve a model, of its version or of any.
func (r *round) serving(model catalog.Model, thisVersion bool) int {
	count := 0
	for _, replica := range r.Fleet.OfModel(model.Name) {
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

// wantedAhead tells whether the plan holds an idle model that is not loaded.
func (r *round) wantedAhead(model catalog.Model) bool {
	u, known := r.models[model.Name]
	if !known || !u.seen || u.busy {
		return false
	}
	age := r.age(model.Name)
	p := r.planOf(model.Name)
	// What was dropped in its first window went for a reason.
	return p.Warm(age) && age >= p.Windows[0].To
}

// replace loads a model's new version: beside the old one where there is memory
// or, for a model in use, where idle others can give way; else in its place.
func (r *round) replace(model catalog.Model) {
	if _, _, fits := r.choose(model); fits {
		r.place(model, ReasonVersion, false)
		return
	}
	if r.demands[model.Name].busy() && r.evict(model) {
		return
	}
	for _, replica := range r.Fleet.OfModel(model.Name) {
		if replica.State == fleet.Unloading || r.unloading[replica.ID] {
			return
		}
	}
	for _, replica := range r.Fleet.OfModel(model.Name) {
		if replica.State == fleet.Loaded && replica.Version != model.Version && r.orderable(replica.Endpoint) {
			r.unload(replica, ReasonVersion)
			return
		}
	}
}

// place decides one load on the best endpoint, or frees room for it where evict allows.
func (r *round) place(model catalog.Model, reason string, evict bool) {
	endpoint, source, ok := r.choose(model)
	if !ok {
		if evict {
			r.evict(model)
		}
		return
	}
	if source == Remote {
		if reason == ReasonAhead && r.inFlight >= r.store.slots-1 {
			return
		}
		if !r.store.take(r.inFlight) {
			return
		}
		r.inFlight++
	}
	r.claimed[endpoint.Name] += model.MemoryMB
	r.decisions = append(r.decisions, Decision{
		Endpoint: endpoint.Name, Incarnation: endpoint.Incarnation, Model: model, Limit: r.Fleet.ReplicasOf(model.Name) + 1,
		Reason: reason, Source: source, ExpectedSeconds: r.store.Seconds(checkpoint(model), source),
	})
}

// choose finds the endpoint with room that loads fastest. Among those that
// have no copy at hand the one whose memory keeps the fewest checkpoints is
// best, so that copies spread over the VMs, then the fullest, so that large
// models find room too.
func (r *round) choose(model catalog.Model) (fleet.Endpoint, Source, bool) {
	var best fleet.Endpoint
	var bestSource Source
	bestSeconds, bestFree, bestKept, found := math.Inf(1), uint64(0), uint64(0), false
	for _, name := range r.Fleet.EndpointsOf(model.Service) {
		endpoint, ok := r.candidate(name, model)
		free := r.Fleet.FreeMB(name)
		if !ok || free < r.claimed[name]+model.MemoryMB {
			continue
		}
		free -= r.claimed[name]
		source := r.Cached(name, model.Name, model.Version)
		seconds := r.store.Seconds(checkpoint(model), source)
		if found && seconds > bestSeconds {
			continue
		}
		kept := uint64(0)
		if source != Memory {
			kept = r.keptMB(name)
		}
		if !found || seconds < bestSeconds || cmp.Or(cmp.Compare(kept, bestKept), cmp.Compare(free, bestFree)) < 0 {
			best, bestSource, bestSeconds, bestFree, bestKept, found = endpoint, source, seconds, free, kept, true
		}
	}
	return best, bestSource, found
}

// keptMB returns how much of the catalog an endpoint's VM keeps in memory.
func (r *round) keptMB(name string) uint64 {
	if kept, known := r.kept[name]; known {
		return kept
	}
	sum := uint64(0)
	for _, model := range r.Catalog.Models {
		if r.Cached(name, model.Name, model.Version) == Memory {
			sum += checkpoint(model)
		}
	}
	r.kept[name] = sum
	return sum
}

// candidate tells whether an endpoint may take a replica of the model at all.
func (r *round) candidate(name string, model catalog.Model) (fleet.Endpoint, bool) {
	endpoint, _ := r.Fleet.Endpoint(name)
	if endpoint.Leaving || endpoint.Silent || endpoint.MemoryMB < model.MemoryMB || !r.orderable(name) {
		return endpoint, false
	}
	if _, blocked := r.blocked[placeKey{name, model.Name}]; blocked {
		return endpoint, false
	}
	return endpoint, !slices.ContainsFunc(r.Fleet.Replicas(name), func(replica fleet.Replica) bool {
		return replica.Model == model.Name && replica.Version == model.Version
	})
}

// nearest returns the fastest place from which any endpoint could load a model.
func (r *round) nearest(model catalog.Model) Source {
	best := Remote
	for _, name := range r.Fleet.EndpointsOf(model.Service) {
		switch r.Cached(name, model.Name, model.Version) {
		case Memory:
			return Memory
		case Disk:
			best = Disk
		}
	}
	return best
}
