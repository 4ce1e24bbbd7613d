package catalog

import (
	"errors"
	"fmt"
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
	was, now := a.indexed().index, b.indexed().index
	d.Delete.Services, d.Put.Services = changed(was.services, now.services, Service.key, Service.equal)
	d.Delete.Models, d.Put.Models = changed(was.models, now.models, Model.key, equal)
	d.Delete.Adapters, d.Put.Adapters = changed(was.adapters, now.adapters, Adapter.key, equal)
	d.Delete.Endpoints, d.Put.Endpoints = changed(was.endpoints, now.endpoints, Endpoint.key, equal)
	d.Delete.Presets, d.Put.Presets = changed(was.presets, now.presets, Preset.key, equal)
	return d
}

func changed[T any](was, now list[T], key func(T) string, same func(a, b T) bool) (gone []string, items []T) {
	if identical(was.all, now.all) {
		return nil, nil
	}
	for _, old := range was.all {
		if _, kept := now.at[key(old)]; !kept {
			gone = append(gone, key(old))
		}
	}
	for _, one := range now.all {
		i, had := was.at[key(one)]
		if !had || !same(was.all[i], one) {
			items = append(items, one)
		}
	}
	return gone, items
}

func equal[T comparable](a, b T) bool {
	return a == b
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
