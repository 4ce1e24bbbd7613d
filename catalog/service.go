package catalog

import (
	"errors"
	"net/http"
	"path"
	"regexp"
	"slices"
)

// ServiceKind is the type of endpoint that serves a service.
type ServiceKind string

// Service kinds.
const (
	KindModel ServiceKind = "Model"
	KindPlain ServiceKind = "Plain"
)

// Service is a named group of endpoints of one kind.
type Service struct {
	Name string
	Kind ServiceKind
	// NonIdempotent lists the "METHOD /path" calls that must run at most once.
	NonIdempotent []string `json:",omitempty"`
	// Idempotent lists the "POST /path" and "PATCH /path" calls that may be retried. Other POST and PATCH calls run at most once.
	Idempotent []string `json:",omitempty"`
}

var callPattern = regexp.MustCompile(`^(GET|HEAD|POST|PUT|PATCH|DELETE) /\S*$`)

func (s Service) check(v *validation) {
	key := "Services[" + s.Name + "]"
	v.requireName(key, s.Name)
	v.require(s.Kind == KindModel || s.Kind == KindPlain, key+".Kind", s.Kind, "one of Model, Plain")
	for _, call := range s.NonIdempotent {
		v.require(callPattern.MatchString(call), key+".NonIdempotent", call, "METHOD /path, such as POST /bookings")
	}
	for _, call := range s.Idempotent {
		v.require(callPattern.MatchString(call), key+".Idempotent", call, "METHOD /path, such as POST /search")
		v.require(!slices.Contains(s.NonIdempotent, call), key+".Idempotent", call, "calls that NonIdempotent doesn't list")
	}
	v.require(s.Kind != KindModel || len(s.NonIdempotent) == 0, key+".NonIdempotent", s.NonIdempotent,
		"calls only where Kind is Plain")
	v.require(s.Kind != KindModel || len(s.Idempotent) == 0, key+".Idempotent", s.Idempotent,
		"calls only where Kind is Plain")
}

// Repeatable reports whether a call may run more than once. Methods that RFC 9110 defines as
// idempotent may, unless NonIdempotent lists the call; POST and PATCH may only if Idempotent lists it.
func (s Service) Repeatable(method, requestPath string) bool {
	if slices.Contains(s.NonIdempotent, method+" "+path.Clean(requestPath)) || slices.Contains(s.NonIdempotent, method+" "+requestPath) {
		return false
	}
	switch method {
	case http.MethodPost, http.MethodPatch:
		return slices.Contains(s.Idempotent, method+" "+requestPath)
	}
	return true
}

// WithService returns the catalog with a service added or replaced.
func (c Catalog) WithService(service Service) Catalog {
	c.Services = upsert(c.Services, []Service{service}, Service.key)
	return c.indexed()
}

// WithoutService returns the catalog without the named service, or ErrServiceNotExist.
func (c Catalog) WithoutService(name string) (Catalog, error) {
	kept, missing := removeByName(c.Services, []string{name}, Service.key)
	if len(missing) > 0 {
		return c, ErrServiceNotExist{Name: name, By: byChange}
	}
	c.Services = kept
	return c.indexed(), nil
}

func (s Service) equal(other Service) bool {
	return s.Name == other.Name && s.Kind == other.Kind && slices.Equal(s.NonIdempotent, other.NonIdempotent) &&
		slices.Equal(s.Idempotent, other.Idempotent)
}

func (s Service) key() string { return s.Name }

// ErrServiceNotExist is returned if By refers to a service that is not in the catalog.
type ErrServiceNotExist struct {
	Name string
	By   string
}

// Error implements error.
func (err ErrServiceNotExist) Error() string {
	return notExist("service", err.Name, err.By)
}

// IsErrServiceNotExist reports whether err wraps an ErrServiceNotExist.
func IsErrServiceNotExist(err error) bool {
	var missing ErrServiceNotExist
	return errors.As(err, &missing)
}
