package catalog

import (
	"cmp"
	"slices"
)

// index maps names to positions in the catalog's lists. It is immutable once built.
type index struct {
	services  sortedList[Service]
	models    sortedList[Model]
	adapters  sortedList[Adapter]
	endpoints sortedList[Endpoint]
	presets   sortedList[Preset]
}

// sortedList is a list sorted by name, with the position of each name.
type sortedList[T any] struct {
	items     []T
	positions map[string]int
}

var emptyIndex = &index{}

// indexOrEmpty returns the catalog's index, or an empty one if the catalog was built as a struct literal.
func (c Catalog) indexOrEmpty() *index {
	if c.index == nil {
		return emptyIndex
	}
	return c.index
}

// indexed returns the catalog with sorted lists and an index. The index of unchanged lists is reused.
func (c Catalog) indexed() Catalog {
	previous := c.indexOrEmpty()
	current := &index{
		services:  previous.services.update(c.Services, Service.key),
		models:    previous.models.update(c.Models, Model.key),
		adapters:  previous.adapters.update(c.Adapters, Adapter.key),
		endpoints: previous.endpoints.update(c.Endpoints, Endpoint.key),
		presets:   previous.presets.update(c.Presets, Preset.key),
	}
	c.Services, c.Models, c.Adapters = current.services.items, current.models.items, current.adapters.items
	c.Endpoints, c.Presets = current.endpoints.items, current.presets.items
	c.index = current
	return c
}

// update returns the sorted and indexed items, or list itself if items is the slice that it already indexes.
func (list sortedList[T]) update(items []T, key func(T) string) sortedList[T] {
	if list.positions != nil && sameSlice(list.items, items) {
		return list
	}
	items = sortByKey(items, key)
	return sortedList[T]{items: items, positions: positionsByKey(items, key)}
}

// sameSlice reports whether both slices share the same memory.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func sortByKey[T any](items []T, key func(T) string) []T {
	byKey := func(a, b T) int { return cmp.Compare(key(a), key(b)) }
	if slices.IsSortedFunc(items, byKey) {
		return items
	}
	clone := slices.Clone(items)
	slices.SortStableFunc(clone, byKey)
	return clone
}

func positionsByKey[T any](items []T, key func(T) string) map[string]int {
	positions := make(map[string]int, len(items))
	for i, item := range items {
		positions[key(item)] = i
	}
	return positions
}

// find looks up an item by name. It uses the index only if it was built from the same slice, and searches the slice
// otherwise: a catalog built as a struct literal has no index, and one with a replaced list has an outdated one.
func find[T any](items []T, list sortedList[T], name string, key func(T) string) (T, bool) {
	var zero T
	if list.positions != nil && sameSlice(list.items, items) {
		i, known := list.positions[name]
		if !known {
			return zero, false
		}
		return items[i], true
	}
	i := slices.IndexFunc(items, func(item T) bool { return key(item) == name })
	if i < 0 {
		return zero, false
	}
	return items[i], true
}

// upsert returns a new list in which items are added, or replace those with the same key.
func upsert[T any](existing, items []T, key func(T) string) []T {
	if len(items) == 0 {
		return existing
	}
	positions := positionsByKey(items, key)
	result := slices.Clone(existing)
	for i, item := range result {
		if position, known := positions[key(item)]; known {
			result[i] = items[position]
			delete(positions, key(item))
		}
	}
	for i, item := range items {
		if position, known := positions[key(item)]; known && position == i {
			result = append(result, item)
		}
	}
	return result
}

// removeByName returns a new list without the named items, and the names that were not found.
func removeByName[T any](items []T, names []string, key func(T) string) ([]T, []string) {
	if len(names) == 0 {
		return items, nil
	}
	remaining := make(map[string]bool, len(names))
	for _, name := range names {
		remaining[name] = true
	}
	kept := make([]T, 0, len(items))
	for _, item := range items {
		if remaining[key(item)] {
			delete(remaining, key(item))
			continue
		}
		kept = append(kept, item)
	}
	var missing []string
	for _, name := range names {
		if remaining[name] {
			missing = append(missing, name)
		}
	}
	if len(kept) == 0 {
		kept = nil
	}
	return kept, missing
}
