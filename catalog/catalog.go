package catalog

import (
	"encoding/json"
)

// Catalog is the whole configuration at one version.
type Catalog struct {
	Version   uint64
	Services  []Service  `json:",omitempty"`
	Models    []Model    `json:",omitempty"`
	Adapters  []Adapter  `json:",omitempty"`
	Endpoints []Endpoint `json:",omitempty"`
	Presets   []Preset   `json:",omitempty"`
	// Preset names the preset in force.
	Preset string

	index *index
}

// WithVersion returns the catalog under another version.
func (c Catalog) WithVersion(version uint64) Catalog {
	c.Version = version
	return c
}

// UnmarshalJSON reads a catalog and builds its index; it doesn't validate.
func (c *Catalog) UnmarshalJSON(data []byte) error {
	type plain Catalog
	var read plain
	if err := json.Unmarshal(data, &read); err != nil {
		return err
	}
	*c = Catalog(read).indexed()
	return nil
}

// Equal reports whether both hold the same version and values, for go-cmp too.
func (c Catalog) Equal(other Catalog) bool {
	return c.Version == other.Version && len(Diff(c, other)) == 0
}

// Model returns the model of a name.
func (c Catalog) Model(name string) (Model, bool) {
	return find(c.Models, c.places().models, name, Model.key)
}

// Service returns the service of a name.
func (c Catalog) Service(name string) (Service, bool) {
	return find(c.Services, c.places().services, name, Service.key)
}

// Adapter returns the adapter of a name.
func (c Catalog) Adapter(name string) (Adapter, bool) {
	return find(c.Adapters, c.places().adapters, name, Adapter.key)
}

// Endpoint returns the operator's facts about an endpoint.
func (c Catalog) Endpoint(name string) (Endpoint, bool) {
	return find(c.Endpoints, c.places().endpoints, name, Endpoint.key)
}

// InForce returns the preset in force.
func (c Catalog) InForce() Preset {
	preset, _ := c.preset(c.Preset)
	return preset
}

func (c Catalog) preset(name string) (Preset, bool) {
	return find(c.Presets, c.places().presets, name, Preset.key)
}
