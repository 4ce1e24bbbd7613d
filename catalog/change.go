package catalog

import (
	"errors"
)

// Change is a change requested by an operator: a complete catalog, or individual items and the active preset.
type Change struct {
	// Set replaces the complete catalog. Its version is ignored.
	Set *Catalog `json:",omitempty"`
	// Delete is applied before Put, and Put before Preset.
	Delete Names `json:",omitzero"`
	Put    Items `json:",omitzero"`
	// Preset is the name of the preset to activate.
	Preset string `json:",omitempty"`
}

// Items are the catalog items to add, or to replace by name.
type Items struct {
	Services  []Service  `json:",omitempty"`
	Models    []Model    `json:",omitempty"`
	Adapters  []Adapter  `json:",omitempty"`
	Endpoints []Endpoint `json:",omitempty"`
	Presets   []Preset   `json:",omitempty"`
}

// Names are the names of the catalog items to delete.
type Names struct {
	Services  []string `json:",omitempty"`
	Models    []string `json:",omitempty"`
	Adapters  []string `json:",omitempty"`
	Endpoints []string `json:",omitempty"`
	Presets   []string `json:",omitempty"`
}

// Apply returns the validated catalog after the change, with the version incremented. It does not modify c.
func (change Change) Apply(c Catalog) (Catalog, error) {
	if err := change.check(); err != nil {
		return c, err
	}
	next := c
	if change.Set != nil {
		next = *change.Set
	}
	next, err := change.Delete.removeFrom(next)
	if err != nil {
		return c, err
	}
	next = change.Put.upsertInto(next)
	if change.Preset != "" {
		next.Preset = change.Preset
	}
	next.Version = c.Version + 1
	next = next.indexed()
	if err := next.Validate(); err != nil {
		return c, err
	}
	return next, nil
}

func (change Change) check() error {
	incremental := change.Put.notEmpty() || change.Delete.notEmpty() || change.Preset != ""
	switch {
	case change.Set == nil && !incremental:
		return ErrChangeInvalid{Reason: "holds none of Set, Put, Delete and Preset"}
	case change.Set != nil && incremental:
		return ErrChangeInvalid{Reason: "holds Set together with Put, Delete or Preset"}
	default:
		return nil
	}
}

func (items Items) notEmpty() bool {
	return len(items.Services)+len(items.Models)+len(items.Adapters)+len(items.Endpoints)+len(items.Presets) > 0
}

func (items Items) upsertInto(c Catalog) Catalog {
	c.Services = upsert(c.Services, items.Services, Service.key)
	c.Models = upsert(c.Models, items.Models, Model.key)
	c.Adapters = upsert(c.Adapters, items.Adapters, Adapter.key)
	c.Endpoints = upsert(c.Endpoints, items.Endpoints, Endpoint.key)
	c.Presets = upsert(c.Presets, items.Presets, Preset.key)
	return c
}

func (names Names) notEmpty() bool {
	return len(names.Services)+len(names.Models)+len(names.Adapters)+len(names.Endpoints)+len(names.Presets) > 0
}

func (names Names) removeFrom(c Catalog) (Catalog, error) {
	var missing []string
	var errs []error
	c.Services, missing = removeByName(c.Services, names.Services, Service.key)
	for _, name := range missing {
		errs = append(errs, ErrServiceNotExist{Name: name, By: "Delete.Services"})
	}
	c.Models, missing = removeByName(c.Models, names.Models, Model.key)
	for _, name := range missing {
		errs = append(errs, ErrModelNotExist{Name: name, By: "Delete.Models"})
	}
	c.Adapters, missing = removeByName(c.Adapters, names.Adapters, Adapter.key)
	for _, name := range missing {
		errs = append(errs, ErrAdapterNotExist{Name: name, By: "Delete.Adapters"})
	}
	c.Endpoints, missing = removeByName(c.Endpoints, names.Endpoints, Endpoint.key)
	for _, name := range missing {
		errs = append(errs, ErrEndpointNotExist{Name: name, By: "Delete.Endpoints"})
	}
	c.Presets, missing = removeByName(c.Presets, names.Presets, Preset.key)
	for _, name := range missing {
		errs = append(errs, ErrPresetNotExist{Name: name, By: "Delete.Presets"})
	}
	return c, errors.Join(errs...)
}

// ErrChangeInvalid is returned for an empty change, or one with incompatible fields.
type ErrChangeInvalid struct {
	Reason string
}

// Error implements error.
func (err ErrChangeInvalid) Error() string {
	return "the change " + err.Reason
}

// IsErrChangeInvalid reports whether err wraps an ErrChangeInvalid.
func IsErrChangeInvalid(err error) bool {
	var invalid ErrChangeInvalid
	return errors.As(err, &invalid)
}
