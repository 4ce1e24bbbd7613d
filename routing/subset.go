package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Subset returns the endpoints that an entry uses in a large fleet. It selects them by rendezvous hashing with the
// entry's name, so that changes of the fleet affect few selections.
func Subset(entry string, all []Endpoint) []Endpoint {
	if len(all) <= subsetSize {
		return all
	}
	weight := func(e Endpoint) uint64 { return xxhash.Sum64String(entry + "\x00" + e.Name) }
	chosen := slices.SortedFunc(slices.Values(all), func(a, b Endpoint) int { return cmp.Compare(weight(b), weight(a)) })
	return chosen[:subsetSize]
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}

// boundedSet is a set of bounded size that evicts the oldest key.
type boundedSet struct {
	members map[uint64]struct{}
	order   []uint64
}

func (r *boundedSet) has(key uint64) bool {
	_, ok := r.members[key]
	return ok
}

func (r *boundedSet) add(key uint64) {
	if r.has(key) {
		return
	}
	if r.members == nil {
		r.members = map[uint64]struct{}{}
	}
	r.members[key] = struct{}{}
	r.order = append(r.order, key)
	if len(r.order) > maxBoundedSetSize {
		delete(r.members, r.order[0])
		r.order = r.order[1:]
	}
}

func (r *boundedSet) remove(key uint64) {
	if !r.has(key) {
		return
	}
	delete(r.members, key)
	r.order = slices.DeleteFunc(r.order, func(held uint64) bool { return held == key })
}
