package catalog

import (
	"cmp"
	"slices"
)

// index maps names to places in the lists; it is built once and never changed.
type index struct {
	services  list[Service]
	models    list[Model]
	adapters  list[Adapter]
	endpoints list[Endpoint]
	presets   list[Preset]
}

// list is one sorted list with the places of its names.
type list[T any] struct {
	all []T
	at  map[string]int
}

var noIndex = &index{}

// places returns the catalog's index, an empty one for a literal.
func (c Catalog) places() *index {
	if c.index == nil {
		return noIndex
	}
	return c.index
}

// indexed returns the catalog with sorted lists and an index; lists that didn't change keep theirs.
func (c Catalog) indexed() Catalog {
	was := c.places()
	now := &index{
		services:  was.services.of(c.Services, Service.key),
		models:    was.models.of(c.Models, Model.key),
		adapters:  was.adapters.of(c.Adapters, Adapter.key),
		endpoints: was.endpoints.of(c.Endpoints, Endpoint.key),
		presets:   was.presets.of(c.Presets, Preset.key),
	}
	c.Services, c.Models, c.Adapters = now.services.all, now.models.all, now.adapters.all
	c.Endpoints, c.Presets = now.endpoints.all, now.presets.all
	c.index = now
	return c
}

// of returns the sorted list of all; it is l itself where all is l's own.
func (l list[T]) of(all []T, key func(T) string) list[T] {
	if l.at != nil && identical(l.all, all) {
		return l
	}
	all = sorted(all, key)
	return list[T]{all: all, at: places(all, key)}
}

// identical reports whether both are one list in memory.
func identical[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
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

// find trusts an index only where it is the list's own, since a literal has none.
func find[T any](all []T, l list[T], name string, key func(T) string) (T, bool) {
	var none T
	if l.at != nil && identical(l.all, all) {
		i, known := l.at[name]
		if !known {
			return none, false
		}
		return all[i], true
	}
	i := slices.IndexFunc(all, func(one T) bool { return key(one) == name })
	if i < 0 {
		return none, false
	}
	return all[i], true
}

// put returns a new list with items put in or replaced by their key.
func put[T any](all, items []T, key func(T) string) []T {
	if len(items) == 0 {
		return all
	}
	at := places(items, key)
	list := slices.Clone(all)
	for i, one := range list {
		if from, known := at[key(one)]; known {
			list[i] = items[from]
			delete(at, key(one))
		}
	}
	for i, one := range items {
		if from, known := at[key(one)]; known && from == i {
			list = append(list, one)
		}
	}
	return list
}

// without returns a new list without the named items, and the names that it didn't hold.
func without[T any](all []T, names []string, key func(T) string) ([]T, []string) {
	if len(names) == 0 {
		return all, nil
	}
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
