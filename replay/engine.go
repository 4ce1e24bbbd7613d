package replay

import (
	"slices"
	"strconv"

	"burdocksaddle/fleet"
	"burdocksaddle/placement"
)

// replace puts an empty VM in a worker's place; what it held is gone.
func (w *world) replace(worker int) {
	name := workerName(worker)
	old, _ := w.fleet.Endpoint(name)
	for _, replica := range w.fleet.Replicas(name) {
		w.release(replica.ID)
	}
	w.fleet.Remove(name, old.Incarnation)
	w.replaced++
	w.register(worker, uint64(w.replaced))
	w.decideSoon()
}

func (w *world) register(worker int, life uint64) {
	name := workerName(worker)
	const lives = 1 << 20
	w.fleet.Register(fleet.Endpoint{Name: name, Service: service, Process: strconv.FormatUint(life, 10), MemoryMB: workerMB, Slots: workerSlots}, uint64(worker)*lives+life+1, w.now)
	w.caches[name] = &cache{}
}

func workerName(worker int) string { return "worker-" + strconv.Itoa(100+worker) }

// carryOut commits one decision and lets the engine do what it says.
func (w *world) carryOut(d placement.Decision) {
	if d.Unload > 0 {
		if replica, ok := w.fleet.Replica(d.Unload); ok && w.fleet.Unload(d.Unload, d.Reason, w.now) == nil {
			w.at(w.now+unloadMS, func() { w.unloaded(replica) })
		}
		return
	}
	replica, err := w.fleet.Decide(fleet.Replica{
		Endpoint: d.Endpoint, Incarnation: d.Incarnation, Model: d.Model.Name, Version: d.Model.Version, MemoryMB: d.Model.MemoryMB,
		Source: string(d.Source), ExpectedMS: int64(d.ExpectedSeconds * 1000), Reason: d.Reason,
	}, d.Limit, w.now)
	if err != nil {
		w.result.RefusedDecisions++
		return
	}
	if w.now >= w.fromMS {
		w.result.Loads++
		if d.Reason == placement.ReasonAhead {
			w.result.Ahead++
		}
		if d.Source == placement.Remote {
			w.result.Fetches++
		}
	}
	w.holders[replica.ID] = &holder{share: float64(replica.MemoryMB) / workerMB, sinceMS: w.now}
	remote := d.Source == placement.Remote
	if remote {
		w.fetching++
	}
	atOnce := w.fetching
	w.at(w.now+w.loadMS(d.Model.CheckpointMB, d.Source), func() {
		if remote {
			w.fetching--
		}
		w.loaded(replica, d.Model.CheckpointMB, atOnce)
	})
}

// loadMS is how long a load takes: beyond the store's slots each is slower in proportion.
func (w *world) loadMS(checkpointMB uint64, source placement.Source) int64 {
	speed := memorySpeed
	switch source {
	case placement.Remote:
		speed = remoteSpeed / max(1, float64(w.fetching)/storeSlots)
	case placement.Disk:
		speed = diskSpeed
	}
	return startMS + int64(float64(checkpointMB)/speed*1000)
}

func (w *world) loaded(replica fleet.Replica, checkpointMB uint64, atOnce int) {
	if _, there := w.fleet.Replica(replica.ID); !there {
		return // its VM was replaced meanwhile
	}
	w.caches[replica.Endpoint].put(replica.Model, checkpointMB)
	w.report(replica, fleet.Held{Model: replica.Model, Version: replica.Version, MemoryMB: replica.MemoryMB, State: fleet.Loaded})
	now, ok := w.fleet.Replica(replica.ID)
	if !ok || now.State != fleet.Loaded {
		return
	}
	w.policy.Loaded(now, checkpointMB, atOnce)
	state := w.models[replica.Model]
	waiting := state.waiting
	state.waiting = nil
	for _, one := range waiting {
		w.cold(one, max(1, w.now-one.AtMS))
		w.start(one)
	}
	w.decideSoon()
}

func (w *world) unloaded(replica fleet.Replica) {
	now, ok := w.fleet.Replica(replica.ID)
	if !ok {
		return
	}
	w.report(replica, fleet.Held{ID: replica.ID, Fence: now.Fence, State: fleet.Gone})
	w.release(replica.ID)
	w.decideSoon()
}

// report tells the fleet everything that an engine holds, with one line changed.
func (w *world) report(changed fleet.Replica, line fleet.Held) {
	inventory := fleet.Inventory{Endpoint: changed.Endpoint, Incarnation: changed.Incarnation, Held: []fleet.Held{line}}
	for _, replica := range w.fleet.Replicas(changed.Endpoint) {
		if replica.ID != changed.ID && replica.State != fleet.Decided {
			inventory.Held = append(inventory.Held, fleet.Held{Model: replica.Model, Version: replica.Version, MemoryMB: replica.MemoryMB, State: replica.State})
		}
	}
	if err := w.fleet.Report(inventory, w.now); err != nil {
		w.result.RefusedDecisions++
	}
}

// cache holds the checkpoints of one VM, the last used first.
type cache struct {
	memory, disk []checkpoint
}

type checkpoint struct {
	model string
	mb    uint64
}

func (c *cache) find(model string) placement.Source {
	is := func(one checkpoint) bool { return one.model == model }
	switch {
	case slices.ContainsFunc(c.memory, is):
		return placement.Memory
	case slices.ContainsFunc(c.disk, is):
		return placement.Disk
	default:
		return placement.Remote
	}
}

func (c *cache) put(model string, mb uint64) {
	one := checkpoint{model, mb}
	c.memory = keepNewest(c.memory, one, memoryCache)
	c.disk = keepNewest(c.disk, one, diskCache)
}

func keepNewest(list []checkpoint, one checkpoint, limit uint64) []checkpoint {
	list = slices.DeleteFunc(list, func(other checkpoint) bool { return other.model == one.model })
	list = slices.Insert(list, 0, one)
	var sum uint64
	for i, other := range list {
		if sum += other.mb; sum > limit {
			return list[:i]
		}
	}
	return list
}
