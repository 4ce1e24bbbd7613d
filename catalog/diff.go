package catalog

import (
	"reflect"
)

// Difference is one value that differs between two catalogs. Before and After are JSON, or empty if the value is absent.
type Difference struct {
	Path   string
	Before string `json:",omitempty"`
	After  string `json:",omitempty"`
}

// Diff lists the values that differ between a and b, ignoring the versions and the order of items.
func Diff(a, b Catalog) []Difference {
	var diffs []Difference
	diffs = diffLists(diffs, "Services", a.Services, b.Services, Service.key)
	diffs = diffLists(diffs, "Models", a.Models, b.Models, Model.key)
	diffs = diffLists(diffs, "Adapters", a.Adapters, b.Adapters, Adapter.key)
	diffs = diffLists(diffs, "Endpoints", a.Endpoints, b.Endpoints, Endpoint.key)
	diffs = diffLists(diffs, "Presets", a.Presets, b.Presets, Preset.key)
	if a.Preset != b.Preset {
		diffs = append(diffs, Difference{Path: "Preset", Before: formatJSON(a.Preset), After: formatJSON(b.Preset)})
	}
	return diffs
}

func diffLists[T any](diffs []Difference, list string, before, after []T, key func(T) string) []Difference {
	oldPositions, newPositions := positionsByKey(before, key), positionsByKey(after, key)
	for _, oldItem := range before {
		path := list + "[" + key(oldItem) + "]"
		i, kept := newPositions[key(oldItem)]
		if !kept {
			diffs = append(diffs, Difference{Path: path, Before: formatJSON(oldItem)})
			continue
		}
		diffs = diffFields(diffs, path, reflect.ValueOf(oldItem), reflect.ValueOf(after[i]))
	}
	for _, newItem := range after {
		if _, existed := oldPositions[key(newItem)]; !existed {
			diffs = append(diffs, Difference{Path: list + "[" + key(newItem) + "]", After: formatJSON(newItem)})
		}
	}
	return diffs
}

func diffFields(diffs []Difference, path string, before, after reflect.Value) []Difference {
	for i := range before.NumField() {
		oldValue, newValue := before.Field(i), after.Field(i)
		if sameValue(oldValue, newValue) {
			continue
		}
		name := path + "." + before.Type().Field(i).Name
		diffs = append(diffs, Difference{Path: name, Before: formatJSON(oldValue.Interface()), After: formatJSON(newValue.Interface())})
	}
	return diffs
}

// sameValue reports whether two fields are equal. As in JSON, nil and empty slices are equal.
func sameValue(a, b reflect.Value) bool {
	if a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a.Interface(), b.Interface())
}
