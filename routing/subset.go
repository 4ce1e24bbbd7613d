package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Subset returns the endpoints that an entry uses where there are many: those
// of the highest hash with its name, so that changes of the fleet move few.
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

// recent is a bounded set that forgets the oldest.
type recent struct {
	held  map[uint64]struct{}
	order []uint64
}

func (r *recent) has(one uint64) bool {
	_, ok := r.held[one]
	return ok
}

func (r *recent) add(one uint64) {
	if r.has(one) {
		return
	}
	if r.held == nil {
		r.held = map[uint64]struct{}{}
	}
	r.held[one] = struct{}{}
	r.order = append(r.order, one)
	if len(r.order) > maxPrefixes {
		delete(r.held, r.order[0])
		r.order = r.order[1:]
	}
}

func (r *recent) drop(one uint64) {
	if !r.has(one) {
		return
	}
	delete(r.held, one)
	r.order = slices.DeleteFunc(r.order, func(held uint64) bool { return held == one })
}
