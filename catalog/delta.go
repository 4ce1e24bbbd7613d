package catalog

import (
	"errors"
	"fmt"
	"reflect"
)

// Delta is what a node at version Base lacks to be at Version.
type Delta struct {
	Base    uint64
	Version uint64
	Delete  Names `json:",omitzero"`
	Put     Items `json:",omitzero"`
	Preset  string
}

// DeltaOf returns what leads from a to b.
func DeltaOf(a, b Catalog) Delta {
	d := Delta{Base: a.Version, Version: b.Version, Preset: b.Preset}
	d.Delete.Services, d.Put.Services = changed(a.Services, b.Services, Service.key)
	d.Delete.Models, d.Put.Models = changed(a.Models, b.Models, Model.key)
	d.Delete.Adapters, d.Put.Adapters = changed(a.Adapters, b.Adapters, Adapter.key)
	d.Delete.Endpoints, d.Put.Endpoints = changed(a.Endpoints, b.Endpoints, Endpoint.key)
	d.Delete.Presets, d.Put.Presets = changed(a.Presets, b.Presets, Preset.key)
	return d
}

func changed[T any](before, after []T, key func(T) string) (gone []string, items []T) {
	then, now := places(before, key), places(after, key)
	for _, old := range before {
		if _, kept := now[key(old)]; !kept {
			gone = append(gone, key(old))
		}
	}
	for _, one := range after {
		i, had := then[key(one)]
		if !had || !reflect.DeepEqual(before[i], one) {
			items = append(items, one)
		}
	}
	return gone, items
}

// Apply returns the catalog at the delta's version; a base other than a's is refused with ErrVersionMismatch.
func (d Delta) Apply(a Catalog) (Catalog, error) {
	if a.Version != d.Base {
		return a, ErrVersionMismatch{Base: d.Base, Current: a.Version}
	}
	b, err := d.Delete.from(a)
	if err != nil {
		return a, err
	}
	b = d.Put.into(b)
	b.Preset, b.Version = d.Preset, d.Version
	return b.indexed(), nil
}

// ErrVersionMismatch says that something was based on a version other than the current one.
type ErrVersionMismatch struct {
	Base    uint64
	Current uint64
}

// Error names both versions.
func (err ErrVersionMismatch) Error() string {
	return fmt.Sprintf("based on version %d, but the current version is %d", err.Base, err.Current)
}

// IsErrVersionMismatch reports whether err holds an ErrVersionMismatch.
func IsErrVersionMismatch(err error) bool {
	var mismatch ErrVersionMismatch
	return errors.As(err, &mismatch)
}
