package catalog

import (
	"errors"
)

// Model is a model that the endpoints of a service can load.
type Model struct {
	Name     string
	Service  string
	Version  string
	MemoryMB uint64
	// CheckpointMB is the amount of data that a load fetches from the weight store.
	CheckpointMB uint64 `json:",omitempty"`
	// MinReplicas and MaxReplicas bound the number of loaded replicas.
	MinReplicas int `json:",omitempty"`
	MaxReplicas int `json:",omitempty"`
	// Priority is the load order; as in RFC 9218, lower values come first.
	Priority int `json:",omitempty"`
}

const (
	maxMemoryMB      = 100_000_000
	maxReplicas      = 4_096
	maxPriority      = 7
	maxVersionLength = 64
)

func (m Model) check(c Catalog, v *validation) {
	key := "Models[" + m.Name + "]"
	v.requireName(key, m.Name)
	service, known := c.Service(m.Service)
	if !known {
		v.addError(ErrServiceNotExist{Name: m.Service, By: key + ".Service"})
	}
	v.require(!known || service.Kind == KindModel, key+".Service", m.Service, "a service of Kind Model")
	v.require(m.Version != "" && len(m.Version) <= maxVersionLength && !invalidVersionChars.MatchString(m.Version),
		key+".Version", m.Version, "1 to 64 characters without space, / or @")
	v.require(m.MemoryMB >= 1 && m.MemoryMB <= maxMemoryMB, key+".MemoryMB", m.MemoryMB, "1 to 100000000")
	v.require(m.CheckpointMB <= maxMemoryMB, key+".CheckpointMB", m.CheckpointMB, "0 to 100000000")
	v.require(m.MaxReplicas >= 0 && m.MaxReplicas <= maxReplicas, key+".MaxReplicas", m.MaxReplicas,
		"0 (no bound) to 4096")
	limit := maxReplicas
	if m.MaxReplicas > 0 {
		limit = min(limit, m.MaxReplicas)
	}
	v.require(m.MinReplicas >= 0 && m.MinReplicas <= limit, key+".MinReplicas", m.MinReplicas,
		"0 to MaxReplicas, at most 4096")
	v.require(m.Priority >= 0 && m.Priority <= maxPriority, key+".Priority", m.Priority, "0 to 7")
}

// WithModel returns the catalog with a model added or replaced.
func (c Catalog) WithModel(model Model) Catalog {
	c.Models = upsert(c.Models, []Model{model}, Model.key)
	return c.indexed()
}

// WithoutModel returns the catalog without the named model, or ErrModelNotExist.
func (c Catalog) WithoutModel(name string) (Catalog, error) {
	kept, missing := removeByName(c.Models, []string{name}, Model.key)
	if len(missing) > 0 {
		return c, ErrModelNotExist{Name: name, By: byChange}
	}
	c.Models = kept
	return c.indexed(), nil
}

func (m Model) key() string { return m.Name }

// ErrModelNotExist is returned if By refers to a model that is not in the catalog.
type ErrModelNotExist struct {
	Name string
	By   string
}

// Error implements error.
func (err ErrModelNotExist) Error() string {
	return notExist("model", err.Name, err.By)
}

// IsErrModelNotExist reports whether err wraps an ErrModelNotExist.
func IsErrModelNotExist(err error) bool {
	var missing ErrModelNotExist
	return errors.As(err, &missing)
}
