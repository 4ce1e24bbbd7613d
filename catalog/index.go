package catalog

import (
	"cmp"
	"slices"
)

// index maps names to places in the lists; it is built once and never changed.
type index struct {
	service, model, adapter, endpoint map[string]int
}

func (i *index) services() map[string]int {
	if i == nil {
		return nil
	}
	return i.service
}

func (i *index) models() map[string]int {
	if i == nil {
		return nil
	}
	return i.model
}

func (i *index) adapters() map[string]int {
	if i == nil {
		return nil
	}
	return i.adapter
}

func (i *index) endpoints() map[string]int {
	if i == nil {
		return nil
	}
	return i.endpoint
}

// indexed returns the catalog with sorted lists and an index.
func (c Catalog) indexed() Catalog {
	c.Services = sorted(c.Services, Service.key)
	c.Models = sorted(c.Models, Model.key)
	c.Adapters = sorted(c.Adapters, Adapter.key)
	c.Endpoints = sorted(c.Endpoints, Endpoint.key)
	c.Presets = sorted(c.Presets, Preset.key)
	c.index = &index{
		service:  places(c.Services, Service.key),
		model:    places(c.Models, Model.key),
		adapter:  places(c.Adapters, Adapter.key),
		endpoint: places(c.Endpoints, Endpoint.key),
	}
	return c
}

func sorted[T any](all []T, key func(T) string) []T {
	byKey := func(a, b T) int { return cmp.Compare(key(a), key(b)) }
	if slices.IsSortedFunc(all, byKey) {
		return all
	}
	copied := slices.Clone(all)
	slices.SortStableFunc(copied, byKey)
	return copied
}

func places[T any](all []T, key func(T) string) map[string]int {
	at := make(map[string]int, len(all))
	for i, one := range all {
		at[key(one)] = i
	}
	return at
}

// find trusts an index only where it fits the list, since a literal has none.
func find[T any](all []T, at map[string]int, name string, key func(T) string) (T, bool) {
	var none T
	if at != nil && len(at) == len(all) {
		i, known := at[name]
		if !known {
			return none, false
		}
		if key(all[i]) == name {
			return all[i], true
		}
	}
	i := slices.IndexFunc(all, func(one T) bool { return key(one) == name })
	if i < 0 {
		return none, false
	}
	return all[i], true
}

// put returns a new list with items put in or replaced by their key.
func put[T any](all, items []T, key func(T) string) []T {
	at := places(all, key)
	list := slices.Clone(all)
	for _, one := range items {
		if i, known := at[key(one)]; known {
			list[i] = one
			continue
		}
		at[key(one)] = len(list)
		list = append(list, one)
	}
	return list
}

// without returns a new list without the named items, and the names that it didn't hold.
func without[T any](all []T, names []string, key func(T) string) ([]T, []string) {
	gone := make(map[string]bool, len(names))
	for _, name := range names {
		gone[name] = true
	}
	kept := make([]T, 0, len(all))
	for _, one := range all {
		if gone[key(one)] {
			delete(gone, key(one))
			continue
		}
		kept = append(kept, one)
	}
	var missing []string
	for _, name := range names {
		if gone[name] {
			missing = append(missing, name)
		}
	}
	if len(kept) == 0 {
		kept = nil
	}
	return kept, missing
}
