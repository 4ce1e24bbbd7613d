package fleet

import (
	"cmp"
	"maps"
	"slices"
)

// Snapshot is the complete state of a Fleet in a form that can be stored.
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

// Export returns the complete state; equal states give the same order.
func (f *Fleet) Export() Snapshot {
	replicas := slices.SortedFunc(maps.Values(f.replicas), func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	return Snapshot{
		Version: f.version, Fence: f.lastFence, ReplicaID: f.lastReplicaID,
		Endpoints: f.Endpoints(), Replicas: replicas, Gone: maps.Clone(f.removedAt), Portions: f.Portions(), Grants: f.grantCount,
	}
}

// Import returns a Fleet with the state that Export returned.
func Import(s Snapshot) *Fleet {
	f := New()
	f.version, f.lastFence, f.lastReplicaID, f.grantCount = s.Version, s.Fence, s.ReplicaID, s.Grants
	maps.Copy(f.removedAt, s.Gone)
	for _, endpoint := range s.Endpoints {
		f.endpoints[endpoint.Name] = endpoint
		f.addToService(endpoint)
	}
	for _, replica := range s.Replicas {
		f.putReplica(replica)
	}
	for _, portion := range s.Portions {
		f.portions[portion.Endpoint] = portion
	}
	return f
}
