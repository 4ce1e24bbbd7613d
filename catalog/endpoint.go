package catalog

import (
	"errors"
)

// OrderSource identifies who sends load orders to an endpoint.
type OrderSource string

// Sources of load orders.
const (
	OrdersByAgent    OrderSource = "Agent"
	OrdersByOperator OrderSource = "Operator"
)

// Endpoint contains the configured properties of one endpoint.
type Endpoint struct {
	Name          string
	Service       string
	ChecksFencing bool        `json:",omitempty"`
	OrdersBy      OrderSource `json:",omitempty"`
}

func (e Endpoint) check(c Catalog, v *validation) {
	key := "Endpoints[" + e.Name + "]"
	v.requireName(key, e.Name)
	if _, known := c.Service(e.Service); !known {
		v.addError(ErrServiceNotExist{Name: e.Service, By: key + ".Service"})
	}
	v.require(e.OrdersBy == "" || e.OrdersBy == OrdersByAgent || e.OrdersBy == OrdersByOperator,
		key+".OrdersBy", e.OrdersBy, "one of Agent, Operator")
}

// WithEndpoint returns the catalog with an endpoint added or replaced.
func (c Catalog) WithEndpoint(endpoint Endpoint) Catalog {
	c.Endpoints = upsert(c.Endpoints, []Endpoint{endpoint}, Endpoint.key)
	return c.indexed()
}

// WithoutEndpoint returns the catalog without the named endpoint, or ErrEndpointNotExist.
func (c Catalog) WithoutEndpoint(name string) (Catalog, error) {
	kept, missing := removeByName(c.Endpoints, []string{name}, Endpoint.key)
	if len(missing) > 0 {
		return c, ErrEndpointNotExist{Name: name, By: byChange}
	}
	c.Endpoints = kept
	return c.indexed(), nil
}

func (e Endpoint) key() string { return e.Name }

// ErrEndpointNotExist is returned if By refers to an endpoint that is not in the catalog.
type ErrEndpointNotExist struct {
	Name string
	By   string
}

// Error implements error.
func (err ErrEndpointNotExist) Error() string {
	return notExist("endpoint", err.Name, err.By)
}

// IsErrEndpointNotExist reports whether err wraps an ErrEndpointNotExist.
func IsErrEndpointNotExist(err error) bool {
	var missing ErrEndpointNotExist
	return errors.As(err, &missing)
}
