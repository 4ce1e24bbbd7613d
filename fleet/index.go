package fleet

import "slices"

// put stores a replica and keeps the indexes and the reservation in step.
func (f *Fleet) put(r Replica) {
	if old, known := f.replicas[r.ID]; known {
		f.drop(old)
	}
	f.replicas[r.ID] = r
	index(f.byEndpoint, r.Endpoint, r.ID)
	index(f.byModel, r.Model, r.ID)
	f.reserved[r.Endpoint] += r.MemoryMB
}

// drop takes a replica out of the store and the indexes.
func (f *Fleet) drop(r Replica) {
	delete(f.replicas, r.ID)
	unindex(f.byEndpoint, r.Endpoint, r.ID)
	unindex(f.byModel, r.Model, r.ID)
	f.reserved[r.Endpoint] -= r.MemoryMB
}

// assert panics when a decision took an endpoint's replicas above its memory. An
// adoption or a restart with less memory may do that; both only block decisions.
func (f *Fleet) assert(endpoint string) {
	if f.reserved[endpoint] > f.endpoints[endpoint].MemoryMB {
		panic(ErrInvariant{Endpoint: endpoint, Rule: "reserved memory exceeds the endpoint's"})
	}
}

func (f *Fleet) list(e Endpoint) {
	names := f.byService[e.Service]
	if at, found := slices.BinarySearch(names, e.Name); !found {
		f.byService[e.Service] = slices.Insert(slices.Clone(names), at, e.Name)
	}
}

func (f *Fleet) unlist(e Endpoint) {
	names := f.byService[e.Service]
	if at, found := slices.BinarySearch(names, e.Name); found {
		f.byService[e.Service] = slices.Delete(slices.Clone(names), at, at+1)
	}
}

func index(by map[string]map[uint64]struct{}, key string, id uint64) {
	if by[key] == nil {
		by[key] = map[uint64]struct{}{}
	}
	by[key][id] = struct{}{}
}

func unindex(by map[string]map[uint64]struct{}, key string, id uint64) {
	delete(by[key], id)
	if len(by[key]) == 0 {
		delete(by, key)
	}
}
