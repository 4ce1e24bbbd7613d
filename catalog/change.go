package catalog

import (
	"errors"
)

// Change is what an operator asks for: a whole catalog, or single things, or another preset in force.
type Change struct {
	// Set replaces the whole catalog; its version doesn't matter.
	Set *Catalog `json:",omitempty"`
	// Delete comes before Put, and Put before Preset.
	Delete Names `json:",omitzero"`
	Put    Items `json:",omitzero"`
	// Preset names the preset to put in force.
	Preset string `json:",omitempty"`
}

// Items are things to put in or replace, each by its name.
type Items struct {
	Services  []Service  `json:",omitempty"`
	Models    []Model    `json:",omitempty"`
	Adapters  []Adapter  `json:",omitempty"`
	Endpoints []Endpoint `json:",omitempty"`
	Presets   []Preset   `json:",omitempty"`
}

// Names are the names of things to delete.
type Names struct {
	Services  []string `json:",omitempty"`
	Models    []string `json:",omitempty"`
	Adapters  []string `json:",omitempty"`
	Endpoints []string `json:",omitempty"`
	Presets   []string `json:",omitempty"`
}

// Apply returns the catalog after the change, validated and one version further; c stays as it is.
func (change Change) Apply(c Catalog) (Catalog, error) {
	if err := change.check(); err != nil {
		return c, err
	}
	next := c
	if change.Set != nil {
		next = *change.Set
	}
	next, err := change.Delete.from(next)
	if err != nil {
		return c, err
	}
	next = change.Put.into(next)
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
	single := change.Put.any() || change.Delete.any() || change.Preset != ""
	switch {
	case change.Set == nil && !single:
		return ErrChangeInvalid{Reason: "holds none of Set, Put, Delete and Preset"}
	case change.Set != nil && single:
		return ErrChangeInvalid{Reason: "holds Set together with Put, Delete or Preset"}
	default:
		return nil
	}
}

func (items Items) any() bool {
	return len(items.Services)+len(items.Models)+len(items.Adapters)+len(items.Endpoints)+len(items.Presets) > 0
}

func (items Items) into(c Catalog) Catalog {
	c.Services = put(c.Services, items.Services, Service.key)
	c.Models = put(c.Models, items.Models, Model.key)
	c.Adapters = put(c.Adapters, items.Adapters, Adapter.key)
	c.Endpoints = put(c.Endpoints, items.Endpoints, Endpoint.key)
	c.Presets = put(c.Presets, items.Presets, Preset.key)
	return c
}

func (names Names) any() bool {
	return len(names.Services)+len(names.Models)+len(names.Adapters)+len(names.Endpoints)+len(names.Presets) > 0
}

func (names Names) from(c Catalog) (Catalog, error) {
	var missing []string
	var faults []error
	c.Services, missing = without(c.Services, names.Services, Service.key)
	for _, name := range missing {
		faults = append(faults, ErrServiceNotExist{Name: name, By: "Delete.Services"})
	}
	c.Models, missing = without(c.Models, names.Models, Model.key)
	for _, name := range missing {
		faults = append(faults, ErrModelNotExist{Name: name, By: "Delete.Models"})
	}
	c.Adapters, missing = without(c.Adapters, names.Adapters, Adapter.key)
	for _, name := range missing {
		faults = append(faults, ErrAdapterNotExist{Name: name, By: "Delete.Adapters"})
	}
	c.Endpoints, missing = without(c.Endpoints, names.Endpoints, Endpoint.key)
	for _, name := range missing {
		faults = append(faults, ErrEndpointNotExist{Name: name, By: "Delete.Endpoints"})
	}
	c.Presets, missing = without(c.Presets, names.Presets, Preset.key)
	for _, name := range missing {
		faults = append(faults, ErrPresetNotExist{Name: name, By: "Delete.Presets"})
	}
	return c, errors.Join(faults...)
}

// ErrChangeInvalid says that the parts of a change don't go together.
type ErrChangeInvalid struct {
	Reason string
}

// Error says what the change holds.
func (err ErrChangeInvalid) Error() string {
	return "the change " + err.Reason
}

// IsErrChangeInvalid reports whether err holds an ErrChangeInvalid.
func IsErrChangeInvalid(err error) bool {
	var invalid ErrChangeInvalid
	return errors.As(err, &invalid)
}
