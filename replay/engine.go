package replay

import (
	"slices"
	"strconv"

	"burdocksaddle/fleet"
	"burdocksaddle/placement"
)

// replaceWorker replaces a worker by an empty VM; its replicas and cached checkpoints are lost.
func (s *simulation) replaceWorker(worker int) {
	name := workerName(worker)
	old, _ := s.fleet.Endpoint(name)
	for _, replica := range s.fleet.Replicas(name) {
		s.endMemoryUse(replica.ID)
	}
	s.fleet.Remove(name, old.Incarnation)
	s.replacements++
	s.registerWorker(worker, uint64(s.replacements))
	s.scheduleDecision()
}

func (s *simulation) registerWorker(worker int, generation uint64) {
	name := workerName(worker)
	const maxGenerations = 1 << 20
	s.fleet.Register(fleet.Endpoint{Name: name, Service: service, Process: strconv.FormatUint(generation, 10), MemoryMB: workerMB, Slots: workerSlots}, uint64(worker)*maxGenerations+generation+1, s.nowMS)
	s.caches[name] = &cache{}
}

func workerName(worker int) string { return "worker-" + strconv.Itoa(100+worker) }

// applyDecision commits one decision and simulates its execution by the engine.
func (s *simulation) applyDecision(d placement.Decision) {
	if d.Unload > 0 {
		if replica, ok := s.fleet.Replica(d.Unload); ok && s.fleet.Unload(d.Unload, d.Reason, s.nowMS) == nil {
			s.schedule(s.nowMS+unloadMS, func() { s.finishUnload(replica) })
		}
		return
	}
	replica, err := s.fleet.Decide(fleet.Replica{
		Endpoint: d.Endpoint, Incarnation: d.Incarnation, Model: d.Model.Name, Version: d.Model.Version, MemoryMB: d.Model.MemoryMB,
		Source: string(d.Source), ExpectedMS: int64(d.ExpectedSeconds * 1000), Reason: d.Reason,
	}, d.Limit, s.nowMS)
	if err != nil {
		s.result.RefusedDecisions++
		return
	}
	if s.nowMS >= s.fromMS {
		s.result.Loads++
		if d.Reason == placement.ReasonPreload {
			s.result.Ahead++
		}
		if d.Source == placement.Remote {
			s.result.Fetches++
		}
	}
	s.memoryUses[replica.ID] = &memoryUse{memoryShare: float64(replica.MemoryMB) / workerMB, sinceMS: s.nowMS}
	remote := d.Source == placement.Remote
	if remote {
		s.downloads++
	}
	concurrentDownloads := s.downloads
	s.schedule(s.nowMS+s.loadDurationMS(d.Model.CheckpointMB, d.Source), func() {
		if remote {
			s.downloads--
		}
		s.finishLoad(replica, d.Model.CheckpointMB, concurrentDownloads)
	})
}

// loadDurationMS returns the duration of a load. Above the store's
// number of full-speed loads, downloads slow down proportionally.
func (s *simulation) loadDurationMS(checkpointMB uint64, source placement.Source) int64 {
	speed := memorySpeed
	switch source {
	case placement.Remote:
		speed = remoteSpeed / max(1, float64(s.downloads)/storeSlots)
	case placement.Disk:
		speed = diskSpeed
	}
	return startMS + int64(float64(checkpointMB)/speed*1000)
}

func (s *simulation) finishLoad(replica fleet.Replica, checkpointMB uint64, concurrentDownloads int) {
	if _, exists := s.fleet.Replica(replica.ID); !exists {
		return // the VM has been replaced in the meantime
	}
	s.caches[replica.Endpoint].put(replica.Model, checkpointMB)
	s.reportEndpoint(replica, fleet.ReportedReplica{Model: replica.Model, Version: replica.Version, MemoryMB: replica.MemoryMB, State: fleet.Loaded})
	current, ok := s.fleet.Replica(replica.ID)
	if !ok || current.State != fleet.Loaded {
		return
	}
	s.policy.RecordLoad(current, checkpointMB, concurrentDownloads)
	state := s.models[replica.Model]
	waiting := state.waiting
	state.waiting = nil
	for _, one := range waiting {
		s.recordRequest(one, max(1, s.nowMS-one.AtMS))
		s.startRequest(one)
	}
	s.scheduleDecision()
}

func (s *simulation) finishUnload(replica fleet.Replica) {
	current, ok := s.fleet.Replica(replica.ID)
	if !ok {
		return
	}
	s.reportEndpoint(replica, fleet.ReportedReplica{ID: replica.ID, Fence: current.Fence, State: fleet.Gone})
	s.endMemoryUse(replica.ID)
	s.scheduleDecision()
}

// reportEndpoint reports all replicas of an engine to the fleet, one of them with a changed state.
func (s *simulation) reportEndpoint(changed fleet.Replica, reported fleet.ReportedReplica) {
	inventory := fleet.Inventory{Endpoint: changed.Endpoint, Incarnation: changed.Incarnation, Held: []fleet.ReportedReplica{reported}}
	for _, replica := range s.fleet.Replicas(changed.Endpoint) {
		if replica.ID != changed.ID && replica.State != fleet.Decided {
			inventory.Held = append(inventory.Held, fleet.ReportedReplica{Model: replica.Model, Version: replica.Version, MemoryMB: replica.MemoryMB, State: replica.State})
		}
	}
	if err := s.fleet.Report(inventory, s.nowMS); err != nil {
		s.result.RefusedDecisions++
	}
}

// cache holds the checkpoints of one VM, most recently used first.
type cache struct {
	memory, disk []checkpoint
}

type checkpoint struct {
	model string
	mb    uint64
}

func (c *cache) source(model string) placement.Source {
	matches := func(one checkpoint) bool { return one.model == model }
	switch {
	case slices.ContainsFunc(c.memory, matches):
		return placement.Memory
	case slices.ContainsFunc(c.disk, matches):
		return placement.Disk
	default:
		return placement.Remote
	}
}

func (c *cache) put(model string, mb uint64) {
	one := checkpoint{model, mb}
	c.memory = insertWithinLimit(c.memory, one, memoryCache)
	c.disk = insertWithinLimit(c.disk, one, diskCache)
}

func insertWithinLimit(list []checkpoint, one checkpoint, limit uint64) []checkpoint {
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
