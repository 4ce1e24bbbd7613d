package placement

import (
	"cmp"
	"slices"

	"burdocksaddle/catalog"
	"burdocksaddle/fleet"
)

// Demand is what waits for one model at all entries together.
type Demand struct {
	Model      string
	Waiting    int
	Running    int
	EarliestMS int64
	LastUsedMS int64
}

// Decision loads one model on an endpoint, or unloads one replica.
type Decision struct {
	Endpoint    string
	Incarnation uint64
	Model       catalog.Model
	Unload      uint64
	Limit       int
	Reason      string
}

// Policy decides on replicas from values alone.
type Policy struct{}

// Decide returns the decisions that the demand calls for now.
func (Policy) Decide(c catalog.Catalog, f *fleet.Fleet, demands []Demand) []Decision {
	demands = slices.Clone(demands)
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.EarliestMS, b.EarliestMS), cmp.Compare(a.Model, b.Model))
	})
	lastUsed := map[string]int64{}
	for _, demand := range demands {
		lastUsed[demand.Model] = demand.LastUsedMS
		if demand.Waiting > 0 || demand.Running > 0 {
			lastUsed[demand.Model] = 1<<63 - 1
		}
	}
	var decisions []Decision
	taken := map[string]uint64{}
	for _, demand := range demands {
		model, ok := c.Model(demand.Model)
		if !ok || demand.Waiting == 0 || f.ReplicasOf(model.Name) > 0 {
			continue
		}
		decision, ok := place(f, model, taken, lastUsed)
		if ok {
			taken[decision.Endpoint] += model.MemoryMB
			decisions = append(decisions, decision)
		}
	}
	return decisions
}

// place takes the endpoint with most free memory, or frees room on one.
func place(f *fleet.Fleet, model catalog.Model, taken map[string]uint64, lastUsed map[string]int64) (Decision, bool) {
	var best fleet.Endpoint
	var bestFree uint64
	for _, endpoint := range f.Endpoints() {
		if endpoint.Service != model.Service || endpoint.Leaving || endpoint.Silent {
			continue
		}
		used := f.ReservedMB(endpoint.Name) + taken[endpoint.Name]
		if used+model.MemoryMB <= endpoint.MemoryMB && endpoint.MemoryMB-used > bestFree {
			best, bestFree = endpoint, endpoint.MemoryMB-used
		}
	}
	if bestFree > 0 {
		return Decision{Endpoint: best.Name, Incarnation: best.Incarnation, Model: model, Limit: 1, Reason: "Demand"}, true
	}
	return evict(f, model, lastUsed)
}

// evict unloads the replica that was used longest ago.
func evict(f *fleet.Fleet, model catalog.Model, lastUsed map[string]int64) (Decision, bool) {
	var best fleet.Replica
	bestUsed := int64(1<<63 - 1)
	for _, endpoint := range f.Endpoints() {
		if endpoint.Service != model.Service || endpoint.Leaving || endpoint.Silent {
			continue
		}
		for _, replica := range f.Replicas(endpoint.Name) {
			if replica.State == fleet.Unloading {
				return Decision{}, false
			}
			if replica.State == fleet.Loaded && lastUsed[replica.Model] < bestUsed {
				best, bestUsed = replica, lastUsed[replica.Model]
			}
		}
	}
	if best.ID == 0 {
		return Decision{}, false
	}
	return Decision{Endpoint: best.Endpoint, Incarnation: best.Incarnation, Unload: best.ID, Reason: "Evicted"}, true
}
