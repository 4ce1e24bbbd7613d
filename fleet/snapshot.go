package fleet

import (
	"cmp"
	"maps"
	"slices"
)

// Snapshot is the whole state of a Fleet as plain values for storage.
type Snapshot struct {
	Version   uint64
	Fence     uint64
	ReplicaID uint64
	Endpoints []Endpoint
	Replicas  []Replica
	Gone      map[string]uint64
	Portions  []Portion
	Grants    uint64
}

// Export returns the state, in an order that depends on the state alone.
func (f *Fleet) Export() Snapshot {
	replicas := slices.SortedFunc(maps.Values(f.replicas), func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	return Snapshot{
		Version: f.version, Fence: f.fence, ReplicaID: f.replicaID,
		Endpoints: f.Endpoints(), Replicas: replicas, Gone: maps.Clone(f.gone), Portions: f.Portions(), Grants: f.grants,
	}
}

// Import makes the Fleet of a state that Export returned.
func Import(s Snapshot) *Fleet {
	f := New()
	f.version, f.fence, f.replicaID, f.grants = s.Version, s.Fence, s.ReplicaID, s.Grants
	maps.Copy(f.gone, s.Gone)
	for _, endpoint := range s.Endpoints {
		f.endpoints[endpoint.Name] = endpoint
		f.list(endpoint)
	}
	for _, replica := range s.Replicas {
		f.put(replica)
	}
	for _, portion := range s.Portions {
		f.portions[portion.Endpoint] = portion
	}
	return f
}
