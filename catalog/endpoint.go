package catalog

import (
	"errors"
)

// OrderGiver names who gives an endpoint its load orders.
type OrderGiver string

// Givers of load orders.
const (
	OrdersByAgent    OrderGiver = "Agent"
	OrdersByOperator OrderGiver = "Operator"
)

// Endpoint holds the operator's facts about one endpoint.
type Endpoint struct {
	Name          string
	Service       string
	ChecksFencing bool       `json:",omitempty"`
	OrdersBy      OrderGiver `json:",omitempty"`
}

func (one Endpoint) check(c Catalog, r *report) {
	key := "Endpoints[" + one.Name + "]"
	r.name(key, one.Name)
	if _, known := c.Service(one.Service); !known {
		r.add(ErrServiceNotExist{Name: one.Service, By: key + ".Service"})
	}
	r.need(one.OrdersBy == "" || one.OrdersBy == OrdersByAgent || one.OrdersBy == OrdersByOperator,
		key+".OrdersBy", one.OrdersBy, "one of Agent, Operator")
}

// WithEndpoint returns the catalog with an endpoint put in or replaced.
func (c Catalog) WithEndpoint(one Endpoint) Catalog {
	c.Endpoints = put(c.Endpoints, []Endpoint{one}, Endpoint.key)
	return c.indexed()
}

// WithoutEndpoint returns the catalog without an endpoint; the error is ErrEndpointNotExist.
func (c Catalog) WithoutEndpoint(name string) (Catalog, error) {
	kept, missing := without(c.Endpoints, []string{name}, Endpoint.key)
	if len(missing) > 0 {
		return c, ErrEndpointNotExist{Name: name, By: byChange}
	}
	c.Endpoints = kept
	return c.indexed(), nil
}

func (one Endpoint) key() string { return one.Name }

// ErrEndpointNotExist says that By refers to an endpoint that the catalog doesn't hold.
type ErrEndpointNotExist struct {
	Name string
	By   string
}

// Error names the endpoint and what refers to it.
func (err ErrEndpointNotExist) Error() string {
	return notExist("endpoint", err.Name, err.By)
}

// IsErrEndpointNotExist reports whether err holds an ErrEndpointNotExist.
func IsErrEndpointNotExist(err error) bool {
	var missing ErrEndpointNotExist
	return errors.As(err, &missing)
}
