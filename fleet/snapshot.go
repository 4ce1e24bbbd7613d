package fleet

import (
	"maps"
	"slices"
)

// Snapshot is the whole state of a Fleet as plain values, in a fixed order.
type Snapshot struct {
	Version   uint64
	Fence     uint64
	ReplicaID uint64
	Endpoints []Endpoint
	Replicas  []Replica
	Gone      map[string]uint64
}

// Export returns the whole state.
func (f *Fleet) Export() Snapshot {
	replicas := slices.SortedFunc(maps.Values(f.replicas), func(a, b Replica) int { return compare(a.ID, b.ID) })
	return Snapshot{
		Version: f.version, Fence: f.fence, ReplicaID: f.replicaID,
		Endpoints: f.Endpoints(), Replicas: replicas, Gone: maps.Clone(f.gone),
	}
}

// Import makes a Fleet of a state that Export returned.
func Import(s Snapshot) *Fleet {
	f := New()
	f.version, f.fence, f.replicaID = s.Version, s.Fence, s.ReplicaID
	for _, endpoint := range s.Endpoints {
		f.endpoints[endpoint.Name] = endpoint
	}
	for _, replica := range s.Replicas {
		f.replicas[replica.ID] = replica
	}
	maps.Copy(f.gone, s.Gone)
	return f
}
