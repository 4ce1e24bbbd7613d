package catalog

import (
	"errors"
)

// Adapter is a small set of additional weights for one model.
type Adapter struct {
	Name  string
	Model string
}

func (a Adapter) check(c Catalog, v *validation) {
	if a.valid(c) {
		return
	}
	key := "Adapters[" + a.Name + "]"
	v.requireName(key, a.Name)
	if _, known := c.Model(a.Model); !known {
		v.addError(ErrModelNotExist{Name: a.Model, By: key + ".Model"})
	}
	if _, taken := c.Model(a.Name); taken {
		v.addError(ErrNameTaken{Name: a.Name, By: key})
	}
}

// valid reports whether check would find no error. It allocates no error keys, since a catalog can have many adapters.
func (a Adapter) valid(c Catalog) bool {
	_, known := c.Model(a.Model)
	_, taken := c.Model(a.Name)
	return known && !taken && validName(a.Name)
}

// WithAdapter returns the catalog with an adapter added or replaced.
func (c Catalog) WithAdapter(adapter Adapter) Catalog {
	c.Adapters = upsert(c.Adapters, []Adapter{adapter}, Adapter.key)
	return c.indexed()
}

// WithoutAdapter returns the catalog without the named adapter, or ErrAdapterNotExist.
func (c Catalog) WithoutAdapter(name string) (Catalog, error) {
	kept, missing := removeByName(c.Adapters, []string{name}, Adapter.key)
	if len(missing) > 0 {
		return c, ErrAdapterNotExist{Name: name, By: byChange}
	}
	c.Adapters = kept
	return c.indexed(), nil
}

func (a Adapter) key() string { return a.Name }

// ErrAdapterNotExist is returned if By refers to an adapter that is not in the catalog.
type ErrAdapterNotExist struct {
	Name string
	By   string
}

// Error implements error.
func (err ErrAdapterNotExist) Error() string {
	return notExist("adapter", err.Name, err.By)
}

// IsErrAdapterNotExist reports whether err wraps an ErrAdapterNotExist.
func IsErrAdapterNotExist(err error) bool {
	var missing ErrAdapterNotExist
	return errors.As(err, &missing)
}
