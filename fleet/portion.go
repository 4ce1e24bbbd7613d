package fleet

import "slices"

// Portion is one endpoint's share of the adapters that may be in transit.
type Portion struct {
	Endpoint    string
	Incarnation uint64
	Permits     int
	// UntilMS is when the share can be given to another, on the leader's clock.
	UntilMS int64
}

// Grant gives endpoints portions until a time and drops those that would take
// the sum of unexpired portions above the budget; it returns what it gave.
func (f *Fleet) Grant(portions []Portion, budget int, untilMS, atMS int64) []Portion {
	for name, portion := range f.portions {
		if portion.UntilMS <= atMS {
			delete(f.portions, name)
		}
	}
	var given []Portion
	for _, portion := range portions {
		endpoint, ok := f.endpoints[portion.Endpoint]
		if !ok || endpoint.Incarnation != portion.Incarnation || portion.Permits <= 0 {
			continue
		}
		old := f.portions[portion.Endpoint]
		// A share of an older incarnation or of more permits counts until it ends.
		others := f.Permits() - old.Permits
		if old.Permits > portion.Permits || (old.Permits > 0 && old.Incarnation != portion.Incarnation) {
			continue
		}
		if others+portion.Permits > budget {
			continue
		}
		portion.UntilMS = max(untilMS, old.UntilMS)
		f.portions[portion.Endpoint] = portion
		given = append(given, portion)
		f.grants++
	}
	if f.Permits() > budget && len(given) > 0 {
		panic(ErrInvariant{Endpoint: given[0].Endpoint, Rule: "adapter portions exceed the budget"})
	}
	return given
}

// Grants returns how many portions were given so far.
func (f *Fleet) Grants() uint64 { return f.grants }

// Permits returns the sum of the portions that may still be in use.
func (f *Fleet) Permits() int {
	sum := 0
	for _, portion := range f.portions {
		sum += portion.Permits
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
