package fleet

import (
	"cmp"
	"slices"
)

// put stores a replica and keeps the indexes and the reservation in step.
func (f *Fleet) put(r Replica) {
	if old, known := f.replicas[r.ID]; known {
		f.drop(old)
	}
	f.replicas[r.ID] = r
	f.byEndpoint[r.Endpoint] = with(f.byEndpoint[r.Endpoint], r)
	f.byModel[r.Model] = with(f.byModel[r.Model], r)
	if len(f.byModel[r.Model]) == 1 {
		f.models = withName(f.models, r.Model)
	}
	f.reserved[r.Endpoint] += r.MemoryMB
	if r.Pending() {
		f.pending = with(f.pending, r)
	}
}

// drop takes a replica out of the store and the indexes.
func (f *Fleet) drop(r Replica) {
	delete(f.replicas, r.ID)
	f.pending = without(f.pending, r.ID)
	f.reserved[r.Endpoint] -= r.MemoryMB
	if f.byEndpoint[r.Endpoint] = without(f.byEndpoint[r.Endpoint], r.ID); len(f.byEndpoint[r.Endpoint]) == 0 {
		delete(f.byEndpoint, r.Endpoint)
	}
	if f.byModel[r.Model] = without(f.byModel[r.Model], r.ID); len(f.byModel[r.Model]) == 0 {
		delete(f.byModel, r.Model)
		f.models = withoutName(f.models, r.Model)
	}
}

// assert panics when a decision took an endpoint's replicas above its memory. An
// adoption or a restart with less memory may do that; both only block decisions.
func (f *Fleet) assert(endpoint string) {
	if f.reserved[endpoint] > f.endpoints[endpoint].MemoryMB {
		panic(ErrInvariant{Endpoint: endpoint, Rule: "reserved memory exceeds the endpoint's"})
	}
}

func (f *Fleet) list(e Endpoint) { f.byService[e.Service] = withName(f.byService[e.Service], e.Name) }

func (f *Fleet) unlist(e Endpoint) {
	f.byService[e.Service] = withoutName(f.byService[e.Service], e.Name)
}

// with returns a new list, sorted by number, that holds a replica; lists given out never change.
func with(list []Replica, r Replica) []Replica {
	at, _ := slices.BinarySearchFunc(list, r.ID, byID)
	next := make([]Replica, 0, len(list)+1)
	return append(append(append(next, list[:at]...), r), list[at:]...)
}

func without(list []Replica, id uint64) []Replica {
	at, found := slices.BinarySearchFunc(list, id, byID)
	if !found {
		return list
	}
	next := make([]Replica, 0, len(list)-1)
	return append(append(next, list[:at]...), list[at+1:]...)
}

func byID(r Replica, id uint64) int { return cmp.Compare(r.ID, id) }

func withName(names []string, name string) []string {
	at, found := slices.BinarySearch(names, name)
	if found {
		return names
	}
	return slices.Insert(slices.Clone(names), at, name)
}

func withoutName(names []string, name string) []string {
	at, found := slices.BinarySearch(names, name)
	if !found {
		return names
	}
	return slices.Delete(slices.Clone(names), at, at+1)
}
