package catalog

import (
	"errors"
)

// Model is one model that a service's endpoints can load.
type Model struct {
	Name     string
	Service  string
	Version  string
	MemoryMB uint64
	// CheckpointMB is what a load fetches from the weight store.
	CheckpointMB uint64 `json:",omitempty"`
	// MinReplicas and MaxReplicas bound the loaded replicas.
	MinReplicas int `json:",omitempty"`
	MaxReplicas int `json:",omitempty"`
	// Priority orders loads; lower loads first, as in RFC 9218.
	Priority int `json:",omitempty"`
}

const (
	maxMemoryMB  = 100_000_000
	maxReplicas  = 4_096
	lastPriority = 7
	maxVersion   = 64
)

func (one Model) check(c Catalog, r *report) {
	key := "Models[" + one.Name + "]"
	r.name(key, one.Name)
	service, known := c.Service(one.Service)
	if !known {
		r.add(ErrServiceNotExist{Name: one.Service, By: key + ".Service"})
	}
	r.need(!known || service.Kind == KindModel, key+".Service", one.Service, "a service of Kind Model")
	r.need(one.Version != "" && len(one.Version) <= maxVersion && !badVersion.MatchString(one.Version),
		key+".Version", one.Version, "1 to 64 characters without space, / or @")
	r.need(one.MemoryMB >= 1 && one.MemoryMB <= maxMemoryMB, key+".MemoryMB", one.MemoryMB, "1 to 100000000")
	r.need(one.CheckpointMB <= maxMemoryMB, key+".CheckpointMB", one.CheckpointMB, "0 to 100000000")
	r.need(one.MaxReplicas >= 0 && one.MaxReplicas <= maxReplicas, key+".MaxReplicas", one.MaxReplicas,
		"0 (no bound) to 4096")
	most := maxReplicas
	if one.MaxReplicas > 0 {
		most = min(most, one.MaxReplicas)
	}
	r.need(one.MinReplicas >= 0 && one.MinReplicas <= most, key+".MinReplicas", one.MinReplicas,
		"0 to MaxReplicas, at most 4096")
	r.need(one.Priority >= 0 && one.Priority <= lastPriority, key+".Priority", one.Priority, "0 to 7")
}

// WithModel returns the catalog with a model put in or replaced.
func (c Catalog) WithModel(one Model) Catalog {
	c.Models = put(c.Models, []Model{one}, Model.key)
	return c.indexed()
}

// WithoutModel returns the catalog without a model; the error is ErrModelNotExist.
func (c Catalog) WithoutModel(name string) (Catalog, error) {
	kept, missing := without(c.Models, []string{name}, Model.key)
	if len(missing) > 0 {
		return c, ErrModelNotExist{Name: name, By: byChange}
	}
	c.Models = kept
	return c.indexed(), nil
}

func (one Model) key() string { return one.Name }

// ErrModelNotExist says that By refers to a model that the catalog doesn't hold.
type ErrModelNotExist struct {
	Name string
	By   string
}

// Error names the model and what refers to it.
func (err ErrModelNotExist) Error() string {
	return notExist("model", err.Name, err.By)
}

// IsErrModelNotExist reports whether err holds an ErrModelNotExist.
func IsErrModelNotExist(err error) bool {
	var missing ErrModelNotExist
	return errors.As(err, &missing)
}
