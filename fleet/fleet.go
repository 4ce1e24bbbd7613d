package fleet

import (
	"cmp"
	"maps"
	"slices"
)

// Endpoint is one endpoint as its agent registered it.
type Endpoint struct {
	Name        string
	Service     string
	DataCentre  string
	Address     string
	Process     string
	Incarnation uint64
	MemoryMB    uint64
	Slots       uint32
	Leaving     bool
	Silent      bool
	// Changed is the fleet version at which the endpoint or its replicas changed last.
	Changed uint64
	// Reported is the sequence of the last report taken from this incarnation.
	Reported uint64
}

// usable tells whether new replicas may be decided for the endpoint.
func (e Endpoint) usable() bool { return !e.Leaving && !e.Silent }

// Fleet is the aggregate; one owner changes it.
type Fleet struct {
	version   uint64
	fence     uint64
	replicaID uint64
	replicas  map[uint64]Replica
	gone      map[string]uint64
	portions  map[string]Portion
	grants    uint64

	// The indexes below follow from endpoints and replicas.
	endpoints  map[string]Endpoint
	byEndpoint map[string][]Replica
	byModel    map[string][]Replica
	byService  map[string][]string
	reserved   map[string]uint64
	pending    []Replica
	models     []string
}

// New makes an empty Fleet.
func New() *Fleet {
	return &Fleet{
		endpoints: map[string]Endpoint{}, replicas: map[uint64]Replica{}, gone: map[string]uint64{}, portions: map[string]Portion{},
		byEndpoint: map[string][]Replica{}, byModel: map[string][]Replica{},
		byService: map[string][]string{}, reserved: map[string]uint64{},
	}
}

// Version returns the number of the last change.
func (f *Fleet) Version() uint64 { return f.version }

// Endpoint returns the endpoint of a name.
func (f *Fleet) Endpoint(name string) (Endpoint, bool) {
	endpoint, ok := f.endpoints[name]
	return endpoint, ok
}

// Endpoints returns all endpoints by name.
func (f *Fleet) Endpoints() []Endpoint {
	return slices.SortedFunc(maps.Values(f.endpoints), func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
}

// EndpointsOf returns the names of a service's endpoints in order; the list is not to be changed.
func (f *Fleet) EndpointsOf(service string) []string { return f.byService[service] }

// Replica returns the replica of a number.
func (f *Fleet) Replica(id uint64) (Replica, bool) {
	replica, ok := f.replicas[id]
	return replica, ok
}

// Replicas returns the replicas on an endpoint by number; the list is not to be changed.
func (f *Fleet) Replicas(endpoint string) []Replica { return f.byEndpoint[endpoint] }

// OfModel returns the replicas of a model that are not confirmed gone, by number; the list is not to be changed.
func (f *Fleet) OfModel(model string) []Replica { return f.byModel[model] }

// ReplicasOf returns how many replicas of a model are not confirmed gone.
func (f *Fleet) ReplicasOf(model string) int { return len(f.byModel[model]) }

// Models returns the names of the models that have replicas, in order; the list is not to be changed.
func (f *Fleet) Models() []string { return f.models }

// Len returns how many replicas are not confirmed gone.
func (f *Fleet) Len() int { return len(f.replicas) }

// ReservedMB returns the memory that an endpoint's replicas hold.
func (f *Fleet) ReservedMB(endpoint string) uint64 { return f.reserved[endpoint] }

// FreeMB returns the memory of an endpoint that no replica holds.
func (f *Fleet) FreeMB(endpoint string) uint64 {
	known := f.endpoints[endpoint]
	if f.reserved[endpoint] >= known.MemoryMB {
		return 0
	}
	return known.MemoryMB - f.reserved[endpoint]
}

// Register takes an agent in and returns its incarnation; a resend of the same process gets the same one.
func (f *Fleet) Register(e Endpoint, index uint64, atMS int64) uint64 {
	old, known := f.endpoints[e.Name]
	if known && old.Process == e.Process {
		return old.Incarnation
	}
	if known && old.Service != e.Service {
		f.unlist(old)
	}
	e.Incarnation = index
	f.list(e)
	f.touch(e)
	delete(f.gone, e.Name)
	for _, replica := range f.Replicas(e.Name) {
		// The new process has not seen the engine yet, so nothing is certain.
		f.fence++
		replica.Fence, replica.Incarnation = f.fence, index
		if next, err := replica.With(Unknown, atMS); err == nil {
			replica = next
		}
		f.put(replica)
	}
	return index
}

// Decide reserves a new replica, or names the rule against it.
func (f *Fleet) Decide(r Replica, limit int, atMS int64) (Replica, error) {
	endpoint, ok := f.endpoints[r.Endpoint]
	if !ok || endpoint.Incarnation != r.Incarnation || !endpoint.usable() {
		return r, ErrEndpointNotUsable{Endpoint: r.Endpoint}
	}
	if f.ReplicasOf(r.Model) >= limit {
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
	f.replicaID++
	f.fence++
	r.ID, r.Fence, r.State, r.DecidedMS, r.SinceMS, r.Adopted = f.replicaID, f.fence, Decided, atMS, atMS, false
	f.put(r)
	if f.ReplicasOf(r.Model) > limit {
		panic(ErrInvariant{Endpoint: r.Endpoint, Rule: "more replicas of " + r.Model + " than decided"})
	}
	f.assert(r.Endpoint)
	f.touch(endpoint)
	return r, nil
}

// Unload turns a replica to Unloading with a new fencing number; a replica already gone is no error.
func (f *Fleet) Unload(id uint64, reason string, atMS int64) error {
	replica, ok := f.replicas[id]
	if !ok || replica.State == Unloading {
		return nil
	}
	next, err := replica.With(Unloading, atMS)
	if err != nil {
		return err
	}
	f.fence++
	next.Fence, next.Reason = f.fence, reason
	f.put(next)
	f.touch(f.endpoints[next.Endpoint])
	return nil
}

// Mark records that an endpoint is leaving, for good in this incarnation, or silent.
func (f *Fleet) Mark(endpoint string, incarnation uint64, leaving, silent bool) {
	known, ok := f.endpoints[endpoint]
	if !ok || known.Incarnation != incarnation {
		return
	}
	next := known
	next.Leaving, next.Silent = known.Leaving || leaving, silent
	if next != known {
		f.touch(next)
	}
}

// Remove forgets an endpoint whose VM is gone for good, with its replicas.
func (f *Fleet) Remove(endpoint string, incarnation uint64) {
	known, ok := f.endpoints[endpoint]
	if !ok || known.Incarnation != incarnation {
		return
	}
	for _, replica := range f.Replicas(endpoint) {
		f.drop(replica)
	}
	f.unlist(known)
	delete(f.endpoints, endpoint)
	delete(f.reserved, endpoint)
	f.version++
	f.gone[endpoint] = f.version
}

// Gone returns the endpoints removed since a version.
func (f *Fleet) Gone(since uint64) []string {
	var names []string
	for name, version := range f.gone {
		if version > since {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (f *Fleet) touch(e Endpoint) {
	f.version++
	e.Changed = f.version
	f.endpoints[e.Name] = e
}

// PendingReplicas returns the replicas on their way to being loaded, by number.
func (f *Fleet) PendingReplicas() []Replica { return f.pending }
