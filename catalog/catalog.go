package catalog

import (
	"encoding/json"
)

// Catalog is the complete configuration at one version.
type Catalog struct {
	Version   uint64
	Services  []Service  `json:",omitempty"`
	Models    []Model    `json:",omitempty"`
	Adapters  []Adapter  `json:",omitempty"`
	Endpoints []Endpoint `json:",omitempty"`
	Presets   []Preset   `json:",omitempty"`
	// Preset is the name of the active preset.
	Preset string

	index *index
}

// WithVersion returns a copy of the catalog with the given version.
func (c Catalog) WithVersion(version uint64) Catalog {
	c.Version = version
	return c
}

// UnmarshalJSON decodes a catalog and builds its index. It does not validate the catalog.
func (c *Catalog) UnmarshalJSON(data []byte) error {
	type plain Catalog
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return err
	}
	*c = Catalog(decoded).indexed()
	return nil
}

// Equal reports whether both catalogs have the same version and values. go-cmp uses it as well.
func (c Catalog) Equal(other Catalog) bool {
	return c.Version == other.Version && len(Diff(c, other)) == 0
}

// Model returns the model with the given name.
func (c Catalog) Model(name string) (Model, bool) {
	return find(c.Models, c.indexOrEmpty().models, name, Model.key)
}

// Service returns the service with the given name.
func (c Catalog) Service(name string) (Service, bool) {
	return find(c.Services, c.indexOrEmpty().services, name, Service.key)
}

// Adapter returns the adapter with the given name.
func (c Catalog) Adapter(name string) (Adapter, bool) {
	return find(c.Adapters, c.indexOrEmpty().adapters, name, Adapter.key)
}

// Endpoint returns the configured properties of the endpoint with the given name.
func (c Catalog) Endpoint(name string) (Endpoint, bool) {
	return find(c.Endpoints, c.indexOrEmpty().endpoints, name, Endpoint.key)
}

// ActivePreset returns the active preset.
func (c Catalog) ActivePreset() Preset {
	preset, _ := c.preset(c.Preset)
	return preset
}

func (c Catalog) preset(name string) (Preset, bool) {
	return find(c.Presets, c.indexOrEmpty().presets, name, Preset.key)
}
