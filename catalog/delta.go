package catalog

import (
	"errors"
	"fmt"
)

// Delta contains the changes that take a catalog from version Base to Version.
type Delta struct {
	Base    uint64
	Version uint64
	Delete  Names `json:",omitzero"`
	Put     Items `json:",omitzero"`
	Preset  string
}

// DeltaOf returns the changes that turn a into b.
func DeltaOf(a, b Catalog) Delta {
	d := Delta{Base: a.Version, Version: b.Version, Preset: b.Preset}
	before, after := a.indexed().index, b.indexed().index
	d.Delete.Services, d.Put.Services = diffItems(before.services, after.services, Service.key, Service.equal)
	d.Delete.Models, d.Put.Models = diffItems(before.models, after.models, Model.key, equal)
	d.Delete.Adapters, d.Put.Adapters = diffItems(before.adapters, after.adapters, Adapter.key, equal)
	d.Delete.Endpoints, d.Put.Endpoints = diffItems(before.endpoints, after.endpoints, Endpoint.key, equal)
	d.Delete.Presets, d.Put.Presets = diffItems(before.presets, after.presets, Preset.key, equal)
	return d
}

func diffItems[T any](before, after sortedList[T], key func(T) string, sameItem func(a, b T) bool) (deleted []string, upserts []T) {
	if sameSlice(before.items, after.items) {
		return nil, nil
	}
	for _, oldItem := range before.items {
		if _, kept := after.positions[key(oldItem)]; !kept {
			deleted = append(deleted, key(oldItem))
		}
	}
	for _, newItem := range after.items {
		i, existed := before.positions[key(newItem)]
		if !existed || !sameItem(before.items[i], newItem) {
			upserts = append(upserts, newItem)
		}
	}
	return deleted, upserts
}

func equal[T comparable](a, b T) bool {
	return a == b
}

// Apply returns the catalog at the delta's version. It returns ErrVersionMismatch if a is not at the delta's base version.
func (d Delta) Apply(a Catalog) (Catalog, error) {
	if a.Version != d.Base {
		return a, ErrVersionMismatch{Base: d.Base, Current: a.Version}
	}
	b, err := d.Delete.removeFrom(a)
	if err != nil {
		return a, err
	}
	b = d.Put.upsertInto(b)
	b.Preset, b.Version = d.Preset, d.Version
	return b.indexed(), nil
}

// ErrVersionMismatch is returned for a delta or change that is based on a version other than the current one.
type ErrVersionMismatch struct {
	Base    uint64
	Current uint64
}

// Error implements error.
func (err ErrVersionMismatch) Error() string {
	return fmt.Sprintf("based on version %d, but the current version is %d", err.Base, err.Current)
}

// IsErrVersionMismatch reports whether err wraps an ErrVersionMismatch.
func IsErrVersionMismatch(err error) bool {
	var mismatch ErrVersionMismatch
	return errors.As(err, &mismatch)
}
