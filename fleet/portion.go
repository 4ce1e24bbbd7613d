package fleet

import (
	"maps"
	"slices"
)

// Portion is one endpoint's share of the adapter transit budget. Each permit allows one adapter to be in transit.
type Portion struct {
	Endpoint    string
	Incarnation uint64
	Permits     int
	// UntilMS is the time on the leader's clock from which the share can be granted to another endpoint.
	UntilMS int64
	// Before is a larger share granted earlier, which may be in use until BeforeMS.
	Before   int
	BeforeMS int64
}

// activePermits returns the permits that may be in use at the given time.
func (p Portion) activePermits(atMS int64) int {
	sum := 0
	if p.UntilMS > atMS {
		sum = p.Permits
	}
	if p.BeforeMS > atMS {
		sum = max(sum, p.Before)
	}
	return sum
}

// Grantable returns the portion that would result from a grant. It returns false if the incarnation does not match, if
// no permits are requested or if the total would exceed the budget.
func (f *Fleet) Grantable(portion Portion, budget int, untilMS, atMS int64) (Portion, bool) {
	endpoint, ok := f.endpoints[portion.Endpoint]
	if !ok || endpoint.Incarnation != portion.Incarnation || portion.Permits <= 0 {
		return portion, false
	}
	old := f.portions[portion.Endpoint]
	portion.UntilMS = max(untilMS, old.UntilMS)
	if before := old.activePermits(atMS); before > portion.Permits {
		portion.Before, portion.BeforeMS = before, max(old.UntilMS, old.BeforeMS)
	}
	increase := portion.activePermits(atMS) - old.activePermits(atMS)
	return portion, increase <= 0 || f.Permits(atMS)+increase <= budget
}

// Grant grants portions until the given time and returns the granted ones. It skips portions that would raise the number
// of permits that may be in use above the budget.
func (f *Fleet) Grant(portions []Portion, budget int, untilMS, atMS int64) []Portion {
	maps.DeleteFunc(f.portions, func(_ string, p Portion) bool { return p.activePermits(atMS) == 0 })
	before := f.Permits(atMS)
	var granted []Portion
	for _, portion := range portions {
		if next, ok := f.Grantable(portion, budget, untilMS, atMS); ok {
			f.portions[portion.Endpoint] = next
			granted = append(granted, next)
			f.grantCount++
		}
	}
	if sum := f.Permits(atMS); sum > budget && sum > before {
		panic(ErrInvariant{Endpoint: granted[0].Endpoint, Rule: "adapter permits exceed the budget"})
	}
	return granted
}

// Grants returns the number of portions granted so far.
func (f *Fleet) Grants() uint64 { return f.grantCount }

// Permits returns the sum of the permits that may be in use at the given time.
func (f *Fleet) Permits(atMS int64) int {
	sum := 0
	for _, portion := range f.portions {
		sum += portion.activePermits(atMS)
	}
	return sum
}

// Portion returns an endpoint's portion.
func (f *Fleet) Portion(endpoint string) (Portion, bool) {
	portion, ok := f.portions[endpoint]
	return portion, ok
}

// Portions returns all portions, sorted by endpoint.
func (f *Fleet) Portions() []Portion {
	all := make([]Portion, 0, len(f.portions))
	for _, portion := range f.portions {
		all = append(all, portion)
	}
	slices.SortFunc(all, func(a, b Portion) int {
		if a.Endpoint < b.Endpoint {
			return -1
		}
		return 1
	})
	return all
}
