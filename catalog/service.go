package catalog

import (
	"errors"
	"net/http"
	"path"
	"regexp"
	"slices"
)

// ServiceKind says what stands behind a service.
type ServiceKind string

// Kinds of services.
const (
	KindModel ServiceKind = "Model"
	KindPlain ServiceKind = "Plain"
)

// Service is a named group of endpoints of one kind.
type Service struct {
	Name string
	Kind ServiceKind
	// NonIdempotent lists the "METHOD /path" calls that run at most once.
	NonIdempotent []string `json:",omitempty"`
	// Idempotent lists the "POST /path" and "PATCH /path" calls that may be repeated; others of these methods run at most once.
	Idempotent []string `json:",omitempty"`
}

var callPattern = regexp.MustCompile(`^(GET|HEAD|POST|PUT|PATCH|DELETE) /\S*$`)

func (one Service) check(r *report) {
	key := "Services[" + one.Name + "]"
	r.name(key, one.Name)
	r.need(one.Kind == KindModel || one.Kind == KindPlain, key+".Kind", one.Kind, "one of Model, Plain")
	for _, call := range one.NonIdempotent {
		r.need(callPattern.MatchString(call), key+".NonIdempotent", call, "METHOD /path, such as POST /bookings")
	}
	for _, call := range one.Idempotent {
		r.need(callPattern.MatchString(call), key+".Idempotent", call, "METHOD /path, such as POST /search")
		r.need(!slices.Contains(one.NonIdempotent, call), key+".Idempotent", call, "calls that NonIdempotent doesn't list")
	}
	r.need(one.Kind != KindModel || len(one.NonIdempotent) == 0, key+".NonIdempotent", one.NonIdempotent,
		"calls only where Kind is Plain")
	r.need(one.Kind != KindModel || len(one.Idempotent) == 0, key+".Idempotent", one.Idempotent,
		"calls only where Kind is Plain")
}

// Repeatable tells whether a call may run twice: the methods that RFC 9110 calls
// idempotent unless listed, and other methods only where they are listed.
func (one Service) Repeatable(method, calledPath string) bool {
	if slices.Contains(one.NonIdempotent, method+" "+path.Clean(calledPath)) || slices.Contains(one.NonIdempotent, method+" "+calledPath) {
		return false
	}
	switch method {
	case http.MethodPost, http.MethodPatch:
		return slices.Contains(one.Idempotent, method+" "+calledPath)
	}
	return true
}

// WithService returns the catalog with a service put in or replaced.
func (c Catalog) WithService(one Service) Catalog {
	c.Services = put(c.Services, []Service{one}, Service.key)
	return c.indexed()
}

// WithoutService returns the catalog without a service; the error is ErrServiceNotExist.
func (c Catalog) WithoutService(name string) (Catalog, error) {
	kept, missing := without(c.Services, []string{name}, Service.key)
	if len(missing) > 0 {
		return c, ErrServiceNotExist{Name: name, By: byChange}
	}
	c.Services = kept
	return c.indexed(), nil
}

func (one Service) equal(other Service) bool {
	return one.Name == other.Name && one.Kind == other.Kind && slices.Equal(one.NonIdempotent, other.NonIdempotent)
}

func (one Service) key() string { return one.Name }

// ErrServiceNotExist says that By refers to a service that the catalog doesn't hold.
type ErrServiceNotExist struct {
	Name string
	By   string
}

// Error names the service and what refers to it.
func (err ErrServiceNotExist) Error() string {
	return notExist("service", err.Name, err.By)
}

// IsErrServiceNotExist reports whether err holds an ErrServiceNotExist.
func IsErrServiceNotExist(err error) bool {
	var missing ErrServiceNotExist
	return errors.As(err, &missing)
}
