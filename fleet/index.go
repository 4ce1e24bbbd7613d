package fleet

import (
	"cmp"
	"slices"
)

// putReplica stores a replica and updates the indexes and the reserved memory.
func (f *Fleet) putReplica(r Replica) {
	if old, known := f.replicas[r.ID]; known {
		f.removeReplica(old)
	}
	f.replicas[r.ID] = r
	f.byEndpoint[r.Endpoint] = insertReplica(f.byEndpoint[r.Endpoint], r)
	f.byModel[r.Model] = insertReplica(f.byModel[r.Model], r)
	if len(f.byModel[r.Model]) == 1 {
		f.models = insertName(f.models, r.Model)
	}
	f.reservedMB[r.Endpoint] += r.MemoryMB
	if r.Pending() {
		f.pending = insertReplica(f.pending, r)
	}
}

// removeReplica removes a replica from the store and the indexes and releases its memory.
func (f *Fleet) removeReplica(r Replica) {
	delete(f.replicas, r.ID)
	f.pending = deleteReplica(f.pending, r.ID)
	f.reservedMB[r.Endpoint] -= r.MemoryMB
	if f.byEndpoint[r.Endpoint] = deleteReplica(f.byEndpoint[r.Endpoint], r.ID); len(f.byEndpoint[r.Endpoint]) == 0 {
		delete(f.byEndpoint, r.Endpoint)
	}
	if f.byModel[r.Model] = deleteReplica(f.byModel[r.Model], r.ID); len(f.byModel[r.Model]) == 0 {
		delete(f.byModel, r.Model)
		f.models = deleteName(f.models, r.Model)
	}
}

// checkReserved panics if a decision reserved more memory than the endpoint has. Adopted replicas or a restart with less
// memory can also exceed the limit; they only block further decisions.
func (f *Fleet) checkReserved(endpoint string) {
	if f.reservedMB[endpoint] > f.endpoints[endpoint].MemoryMB {
		panic(ErrInvariant{Endpoint: endpoint, Rule: "reserved memory exceeds the endpoint's memory"})
	}
}

func (f *Fleet) addToService(e Endpoint) {
	f.byService[e.Service] = insertName(f.byService[e.Service], e.Name)
}

func (f *Fleet) removeFromService(e Endpoint) {
	f.byService[e.Service] = deleteName(f.byService[e.Service], e.Name)
}

// insertReplica returns a copy of a list sorted by ID with the replica added; slices returned to callers are never
// modified.
func insertReplica(list []Replica, r Replica) []Replica {
	at, _ := slices.BinarySearchFunc(list, r.ID, compareID)
	next := make([]Replica, 0, len(list)+1)
	return append(append(append(next, list[:at]...), r), list[at:]...)
}

func deleteReplica(list []Replica, id uint64) []Replica {
	at, found := slices.BinarySearchFunc(list, id, compareID)
	if !found {
		return list
	}
	next := make([]Replica, 0, len(list)-1)
	return append(append(next, list[:at]...), list[at+1:]...)
}

func compareID(r Replica, id uint64) int { return cmp.Compare(r.ID, id) }

func insertName(names []string, name string) []string {
	at, found := slices.BinarySearch(names, name)
	if found {
		return names
	}
	return slices.Insert(slices.Clone(names), at, name)
}

func deleteName(names []string, name string) []string {
	at, found := slices.BinarySearch(names, name)
	if !found {
		return names
	}
	return slices.Delete(slices.Clone(names), at, at+1)
}
