package fleet

import (
	"maps"
	"slices"
)

// Portion is one endpoint's share of the adapters that may be in transit.
type Portion struct {
	Endpoint    string
	Incarnation uint64
	Permits     int
	// UntilMS is when the share can be given to another, on the leader's clock.
	UntilMS int64
	// Before is a larger share given earlier, which may be in use until BeforeMS.
	Before   int
	BeforeMS int64
}

// count returns the permits that may be in use at a time.
func (p Portion) count(atMS int64) int {
	sum := 0
	if p.UntilMS > atMS {
		sum = p.Permits
	}
	if p.BeforeMS > atMS {
		sum = max(sum, p.Before)
	}
	return sum
}

// Grantable returns the portion that a grant would leave, or false where it
// is of another incarnation or would take the sum above the budget.
func (f *Fleet) Grantable(portion Portion, budget int, untilMS, atMS int64) (Portion, bool) {
	endpoint, ok := f.endpoints[portion.Endpoint]
	if !ok || endpoint.Incarnation != portion.Incarnation || portion.Permits <= 0 {
		return portion, false
	}
	old := f.portions[portion.Endpoint]
	portion.UntilMS = max(untilMS, old.UntilMS)
	if before := old.count(atMS); before > portion.Permits {
		portion.Before, portion.BeforeMS = before, max(old.UntilMS, old.BeforeMS)
	}
	grown := portion.count(atMS) - old.count(atMS)
	return portion, grown <= 0 || f.Permits(atMS)+grown <= budget
}

// Grant gives endpoints portions until a time, but for those that would take
// the sum of what may be in use above the budget; it returns what it gave.
func (f *Fleet) Grant(portions []Portion, budget int, untilMS, atMS int64) []Portion {
	maps.DeleteFunc(f.portions, func(_ string, p Portion) bool { return p.count(atMS) == 0 })
	before := f.Permits(atMS)
	var given []Portion
	for _, portion := range portions {
		if next, ok := f.Grantable(portion, budget, untilMS, atMS); ok {
			f.portions[portion.Endpoint] = next
			given = append(given, next)
			f.grants++
		}
	}
	if sum := f.Permits(atMS); sum > budget && sum > before {
		panic(ErrInvariant{Endpoint: given[0].Endpoint, Rule: "adapter portions exceed the budget"})
	}
	return given
}

// Grants returns how many portions were given so far.
func (f *Fleet) Grants() uint64 { return f.grants }

// Permits returns the sum of the permits that may be in use at a time.
func (f *Fleet) Permits(atMS int64) int {
	sum := 0
	for _, portion := range f.portions {
		sum += portion.count(atMS)
	}
	return sum
}

// Portion returns an endpoint's portion.
func (f *Fleet) Portion(endpoint string) (Portion, bool) {
	portion, ok := f.portions[endpoint]
	return portion, ok
}

// Portions returns all portions by endpoint.
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
