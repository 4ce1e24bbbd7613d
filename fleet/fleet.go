package fleet

import (
	"cmp"
	"maps"
	"slices"
)

// Endpoint is an endpoint as registered by its agent.
type Endpoint struct {
	Name        string
	Service     string
	DataCentre  string
	Address     string
	Process     string
	Incarnation uint64
	MemoryMB    uint64
	Slots       uint32
	// Leaving is set once the agent has reported that the endpoint is leaving, Silent while the agent does not report.
	Leaving bool
	Silent  bool
	// Changed is the fleet version of the last change to the endpoint or its replicas.
	Changed uint64
	// Reported is the sequence number of the last report applied for this incarnation.
	Reported uint64
}

// acceptsReplicas reports whether new replicas may be placed on the endpoint.
func (e Endpoint) acceptsReplicas() bool { return !e.Leaving && !e.Silent }

// Fleet is the state of all endpoints and replicas. It is not safe for concurrent use.
type Fleet struct {
	version       uint64
	lastFence     uint64
	lastReplicaID uint64
	replicas      map[uint64]Replica
	removedAt     map[string]uint64
	portions      map[string]Portion
	grantCount    uint64

	// The fields below are indexes derived from endpoints and replicas.
	endpoints  map[string]Endpoint
	byEndpoint map[string][]Replica
	byModel    map[string][]Replica
	byService  map[string][]string
	reservedMB map[string]uint64
	pending    []Replica
	models     []string
}

// New returns an empty Fleet.
func New() *Fleet {
	return &Fleet{
		endpoints: map[string]Endpoint{}, replicas: map[uint64]Replica{}, removedAt: map[string]uint64{}, portions: map[string]Portion{},
		byEndpoint: map[string][]Replica{}, byModel: map[string][]Replica{},
		byService: map[string][]string{}, reservedMB: map[string]uint64{},
	}
}

// Version returns the number of the last change to endpoints or replicas.
func (f *Fleet) Version() uint64 { return f.version }

// Endpoint returns the endpoint with the given name.
func (f *Fleet) Endpoint(name string) (Endpoint, bool) {
	endpoint, ok := f.endpoints[name]
	return endpoint, ok
}

// Endpoints returns all endpoints, sorted by name.
func (f *Fleet) Endpoints() []Endpoint {
	return slices.SortedFunc(maps.Values(f.endpoints), func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
}

// EndpointsOf returns the sorted names of a service's endpoints; callers must not modify the slice.
func (f *Fleet) EndpointsOf(service string) []string { return f.byService[service] }

// Replica returns the replica with the given ID.
func (f *Fleet) Replica(id uint64) (Replica, bool) {
	replica, ok := f.replicas[id]
	return replica, ok
}

// Replicas returns the replicas on an endpoint, sorted by ID; callers must not modify the slice.
func (f *Fleet) Replicas(endpoint string) []Replica { return f.byEndpoint[endpoint] }

// ReplicasOfModel returns the replicas of a model that are not confirmed gone, sorted by ID; callers must not modify the
// slice.
func (f *Fleet) ReplicasOfModel(model string) []Replica { return f.byModel[model] }

// ReplicaCountOfModel returns the number of replicas of a model that are not confirmed gone.
func (f *Fleet) ReplicaCountOfModel(model string) int { return len(f.byModel[model]) }

// Models returns the sorted names of the models that have replicas; callers must not modify the slice.
func (f *Fleet) Models() []string { return f.models }

// ReplicaCount returns the number of replicas that are not confirmed gone.
func (f *Fleet) ReplicaCount() int { return len(f.replicas) }

// ReservedMB returns the memory reserved by an endpoint's replicas.
func (f *Fleet) ReservedMB(endpoint string) uint64 { return f.reservedMB[endpoint] }

// FreeMB returns the memory of an endpoint that is not reserved.
func (f *Fleet) FreeMB(endpoint string) uint64 {
	current := f.endpoints[endpoint]
	if f.reservedMB[endpoint] >= current.MemoryMB {
		return 0
	}
	return current.MemoryMB - f.reservedMB[endpoint]
}

// Register adds or updates an endpoint and returns its incarnation; a retry by the same process gets the same one.
func (f *Fleet) Register(e Endpoint, index uint64, atMS int64) uint64 {
	old, known := f.endpoints[e.Name]
	if known && old.Process == e.Process {
		return old.Incarnation
	}
	if known && old.Service != e.Service {
		f.removeFromService(old)
	}
	e.Incarnation = index
	f.addToService(e)
	f.recordChange(e)
	delete(f.removedAt, e.Name)
	for _, replica := range f.Replicas(e.Name) {
		// The new process has not queried the engine yet, so the replica's state is unknown.
		f.lastFence++
		replica.Fence, replica.Incarnation = f.lastFence, index
		if next, err := replica.WithState(Unknown, atMS); err == nil {
			replica = next
		}
		f.putReplica(replica)
	}
	return index
}

// Decide adds a replica in state Decided and reserves its memory, or returns an error that names the violated rule.
func (f *Fleet) Decide(r Replica, limit int, atMS int64) (Replica, error) {
	endpoint, ok := f.endpoints[r.Endpoint]
	if !ok || endpoint.Incarnation != r.Incarnation || !endpoint.acceptsReplicas() {
		return r, ErrEndpointUnavailable{Endpoint: r.Endpoint}
	}
	if f.ReplicaCountOfModel(r.Model) >= limit {
		return r, ErrReplicaLimit{Model: r.Model, Limit: limit}
	}
	for _, other := range f.byEndpoint[r.Endpoint] {
		if other.Model == r.Model && other.Version == r.Version {
			return r, ErrReplicaExists{Endpoint: r.Endpoint, Model: r.Model, Version: r.Version}
		}
	}
	if r.MemoryMB > f.FreeMB(r.Endpoint) {
		return r, ErrMemoryExceeded{Endpoint: r.Endpoint, WantMB: r.MemoryMB}
	}
	f.lastReplicaID++
	f.lastFence++
	r.ID, r.Fence, r.State, r.DecidedMS, r.SinceMS, r.Adopted = f.lastReplicaID, f.lastFence, Decided, atMS, atMS, false
	f.putReplica(r)
	if f.ReplicaCountOfModel(r.Model) > limit {
		panic(ErrInvariant{Endpoint: r.Endpoint, Rule: "more replicas of " + r.Model + " than its limit"})
	}
	f.checkReserved(r.Endpoint)
	f.recordChange(endpoint)
	return r, nil
}

// Unload moves a replica to Unloading with a new fencing token; it does nothing if the replica is gone or already
// unloading.
func (f *Fleet) Unload(id uint64, reason string, atMS int64) error {
	replica, ok := f.replicas[id]
	if !ok || replica.State == Unloading {
		return nil
	}
	next, err := replica.WithState(Unloading, atMS)
	if err != nil {
		return err
	}
	f.lastFence++
	next.Fence, next.Reason = f.lastFence, reason
	f.putReplica(next)
	f.recordChange(f.endpoints[next.Endpoint])
	return nil
}

// SetEndpointStatus records whether an endpoint is leaving or silent; leaving cannot be reverted within an incarnation.
func (f *Fleet) SetEndpointStatus(endpoint string, incarnation uint64, leaving, silent bool) {
	current, ok := f.endpoints[endpoint]
	if !ok || current.Incarnation != incarnation {
		return
	}
	next := current
	next.Leaving, next.Silent = current.Leaving || leaving, silent
	if next != current {
		f.recordChange(next)
	}
}

// Remove deletes an endpoint whose VM no longer exists, together with its replicas.
func (f *Fleet) Remove(endpoint string, incarnation uint64) {
	current, ok := f.endpoints[endpoint]
	if !ok || current.Incarnation != incarnation {
		return
	}
	for _, replica := range f.Replicas(endpoint) {
		f.removeReplica(replica)
	}
	f.removeFromService(current)
	delete(f.endpoints, endpoint)
	delete(f.reservedMB, endpoint)
	f.version++
	f.removedAt[endpoint] = f.version
}

// RemovedSince returns the sorted names of the endpoints removed after the given version.
func (f *Fleet) RemovedSince(since uint64) []string {
	var names []string
	for name, version := range f.removedAt {
		if version > since {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (f *Fleet) recordChange(e Endpoint) {
	f.version++
	e.Changed = f.version
	f.endpoints[e.Name] = e
}

// PendingReplicas returns the replicas that are decided or loading, sorted by ID.
func (f *Fleet) PendingReplicas() []Replica { return f.pending }
