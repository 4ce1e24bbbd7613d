package catalog

import (
	"reflect"
)

// Difference is one value that two catalogs hold differently; an absent one is empty, all others are JSON.
type Difference struct {
	Path   string
	Before string `json:",omitempty"`
	After  string `json:",omitempty"`
}

// Diff lists what b holds differently from a, versions and order left out.
func Diff(a, b Catalog) []Difference {
	var all []Difference
	all = diff(all, "Services", a.Services, b.Services, Service.key)
	all = diff(all, "Models", a.Models, b.Models, Model.key)
	all = diff(all, "Adapters", a.Adapters, b.Adapters, Adapter.key)
	all = diff(all, "Endpoints", a.Endpoints, b.Endpoints, Endpoint.key)
	all = diff(all, "Presets", a.Presets, b.Presets, Preset.key)
	if a.Preset != b.Preset {
		all = append(all, Difference{Path: "Preset", Before: show(a.Preset), After: show(b.Preset)})
	}
	return all
}

func diff[T any](all []Difference, list string, before, after []T, key func(T) string) []Difference {
	then, now := places(before, key), places(after, key)
	for _, old := range before {
		path := list + "[" + key(old) + "]"
		i, kept := now[key(old)]
		if !kept {
			all = append(all, Difference{Path: path, Before: show(old)})
			continue
		}
		all = fields(all, path, reflect.ValueOf(old), reflect.ValueOf(after[i]))
	}
	for _, one := range after {
		if _, had := then[key(one)]; !had {
			all = append(all, Difference{Path: list + "[" + key(one) + "]", After: show(one)})
		}
	}
	return all
}

func fields(all []Difference, path string, before, after reflect.Value) []Difference {
	for i := range before.NumField() {
		was, is := before.Field(i), after.Field(i)
		if same(was, is) {
			continue
		}
		name := path + "." + before.Type().Field(i).Name
		all = append(all, Difference{Path: name, Before: show(was.Interface()), After: show(is.Interface())})
	}
	return all
}

// same takes a missing list for an empty one, as JSON does.
func same(a, b reflect.Value) bool {
	if a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a.Interface(), b.Interface())
}
