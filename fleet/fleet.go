package fleet

import (
	"slices"
	"strconv"
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
}

// Fleet is the aggregate; one owner changes it.
type Fleet struct {
	version   uint64
	fence     uint64
	replicaID uint64
	endpoints map[string]Endpoint
	replicas  map[uint64]Replica
	gone      map[string]uint64
}

// New makes an empty Fleet.
func New() *Fleet {
	return &Fleet{endpoints: map[string]Endpoint{}, replicas: map[uint64]Replica{}, gone: map[string]uint64{}}
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
	all := make([]Endpoint, 0, len(f.endpoints))
	for _, endpoint := range f.endpoints {
		all = append(all, endpoint)
	}
	slices.SortFunc(all, func(a, b Endpoint) int { return compare(a.Name, b.Name) })
	return all
}

// Replicas returns the replicas on an endpoint by number.
func (f *Fleet) Replicas(endpoint string) []Replica {
	var all []Replica
	for _, replica := range f.replicas {
		if replica.Endpoint == endpoint {
			all = append(all, replica)
		}
	}
	slices.SortFunc(all, func(a, b Replica) int { return compare(a.ID, b.ID) })
	return all
}

// ReplicasOf returns how many replicas of a model are not confirmed gone.
func (f *Fleet) ReplicasOf(model string) int {
	count := 0
	for _, replica := range f.replicas {
		if replica.Model == model {
			count++
		}
	}
	return count
}

// ReservedMB returns the memory that an endpoint's replicas hold.
func (f *Fleet) ReservedMB(endpoint string) uint64 {
	var sum uint64
	for _, replica := range f.replicas {
		if replica.Endpoint == endpoint {
			sum += replica.MemoryMB
		}
	}
	return sum
}

// Register takes an agent in and returns its incarnation; a resend of the same process gets the same one.
func (f *Fleet) Register(e Endpoint, index uint64, atMS int64) uint64 {
	old, known := f.endpoints[e.Name]
	if known && old.Process == e.Process {
		return old.Incarnation
	}
	e.Incarnation = index
	f.touch(e)
	delete(f.gone, e.Name)
	for _, replica := range f.Replicas(e.Name) {
		// The new process has not seen the engine yet, so nothing is certain.
		if next, err := replica.With(Unknown, atMS); err == nil {
			f.replicas[replica.ID] = next
		}
	}
	return index
}

// Decide reserves a new replica, or names the rule against it.
func (f *Fleet) Decide(r Replica, limit int, atMS int64) (Replica, error) {
	endpoint, ok := f.endpoints[r.Endpoint]
	if !ok || endpoint.Incarnation != r.Incarnation || endpoint.Leaving {
		return r, ErrEndpointNotUsable{Endpoint: r.Endpoint}
	}
	if f.ReplicasOf(r.Model) >= limit {
		return r, ErrReplicaLimit{Model: r.Model, Limit: limit}
	}
	if f.ReservedMB(r.Endpoint)+r.MemoryMB > endpoint.MemoryMB {
		return r, ErrMemoryExceeded{Endpoint: r.Endpoint, WantMB: r.MemoryMB}
	}
	f.replicaID++
	f.fence++
	r.ID, r.Fence, r.State, r.DecidedMS, r.SinceMS = f.replicaID, f.fence, Decided, atMS, atMS
	f.replicas[r.ID] = r
	f.touch(endpoint)
	return r, nil
}

// Unload turns a replica to Unloading with a new fencing number.
func (f *Fleet) Unload(id uint64, reason string, atMS int64) error {
	replica, ok := f.replicas[id]
	if !ok {
		return nil
	}
	next, err := replica.With(Unloading, atMS)
	if err != nil {
		return err
	}
	f.fence++
	next.Fence, next.Reason = f.fence, reason
	f.replicas[id] = next
	f.touch(f.endpoints[next.Endpoint])
	return nil
}

// Report takes over what an agent's engine really holds.
func (f *Fleet) Report(endpoint string, incarnation uint64, held []Replica, atMS int64) error {
	known, ok := f.endpoints[endpoint]
	if !ok || known.Incarnation != incarnation {
		return ErrEndpointNotUsable{Endpoint: endpoint}
	}
	changed := false
	for _, seen := range held {
		replica, ok := f.replicas[seen.ID]
		if !ok || replica.Endpoint != endpoint || replica.State == seen.State {
			continue
		}
		next, err := replica.With(seen.State, atMS)
		if err != nil {
			continue // late word on a state already left
		}
		changed = true
		if next.State == Gone {
			delete(f.replicas, seen.ID)
			continue
		}
		f.replicas[seen.ID] = next
	}
	if changed {
		f.touch(known)
	}
	return nil
}

// Mark records that an endpoint is leaving or silent.
func (f *Fleet) Mark(endpoint string, incarnation uint64, leaving, silent bool) {
	known, ok := f.endpoints[endpoint]
	if !ok || known.Incarnation != incarnation || (known.Leaving == leaving && known.Silent == silent) {
		return
	}
	known.Leaving, known.Silent = known.Leaving || leaving, silent
	f.touch(known)
}

// Remove forgets an endpoint whose VM is gone for good, with its replicas.
func (f *Fleet) Remove(endpoint string, incarnation uint64) {
	known, ok := f.endpoints[endpoint]
	if !ok || known.Incarnation != incarnation {
		return
	}
	for _, replica := range f.Replicas(endpoint) {
		delete(f.replicas, replica.ID)
	}
	delete(f.endpoints, endpoint)
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

func compare[T string | uint64](a, b T) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// ErrEndpointNotUsable tells that an endpoint is unknown, leaving or of another incarnation.
type ErrEndpointNotUsable struct{ Endpoint string }

// Error implements error.
func (e ErrEndpointNotUsable) Error() string {
	return "endpoint " + e.Endpoint + " is unknown, leaving or of another incarnation"
}

// ErrReplicaLimit tells that a model has all replicas that were allowed.
type ErrReplicaLimit struct {
	Model string
	Limit int
}

// Error implements error.
func (e ErrReplicaLimit) Error() string {
	return "model " + e.Model + " already has " + strconv.Itoa(e.Limit) + " replicas"
}

// ErrMemoryExceeded tells that an endpoint lacks the memory for a replica.
type ErrMemoryExceeded struct {
	Endpoint string
	WantMB   uint64
}

// Error implements error.
func (e ErrMemoryExceeded) Error() string {
	return "endpoint " + e.Endpoint + " has no " + strconv.FormatUint(e.WantMB, 10) + " MB left"
}
