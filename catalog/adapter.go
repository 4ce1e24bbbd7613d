package catalog

import (
	"errors"
)

// Adapter is a small addition to one model.
type Adapter struct {
	Name  string
	Model string
}

func (one Adapter) check(c Catalog, r *report) {
	if one.fits(c) {
		return
	}
	key := "Adapters[" + one.Name + "]"
	r.name(key, one.Name)
	if _, known := c.Model(one.Model); !known {
		r.add(ErrModelNotExist{Name: one.Model, By: key + ".Model"})
	}
	if _, taken := c.Model(one.Name); taken {
		r.add(ErrNameTaken{Name: one.Name, By: key})
	}
}

// fits says without building keys whether check finds nothing, since adapters are many.
func (one Adapter) fits(c Catalog) bool {
	_, known := c.Model(one.Model)
	_, taken := c.Model(one.Name)
	return known && !taken && validName(one.Name)
}

// WithAdapter returns the catalog with an adapter put in or replaced.
func (c Catalog) WithAdapter(one Adapter) Catalog {
	c.Adapters = put(c.Adapters, []Adapter{one}, Adapter.key)
	return c.indexed()
}

// WithoutAdapter returns the catalog without an adapter; the error is ErrAdapterNotExist.
func (c Catalog) WithoutAdapter(name string) (Catalog, error) {
	kept, missing := without(c.Adapters, []string{name}, Adapter.key)
	if len(missing) > 0 {
		return c, ErrAdapterNotExist{Name: name, By: byChange}
	}
	c.Adapters = kept
	return c.indexed(), nil
}

func (one Adapter) key() string { return one.Name }

// ErrAdapterNotExist says that By refers to an adapter that the catalog doesn't hold.
type ErrAdapterNotExist struct {
	Name string
	By   string
}

// Error names the adapter and what refers to it.
func (err ErrAdapterNotExist) Error() string {
	return notExist("adapter", err.Name, err.By)
}

// IsErrAdapterNotExist reports whether err holds an ErrAdapterNotExist.
func IsErrAdapterNotExist(err error) bool {
	var missing ErrAdapterNotExist
	return errors.As(err, &missing)
}
