package route

import (
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
type Kind int

// Kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota
	// KindOnce requests may run once at most.
	KindOnce
	// KindStream requests are answered by events; they may run again only where the route is resumable.
	KindStream
)

// Split is a share of a route's requests that goes to a service.
type Split struct {
	Service string
	Weight  float64
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may be kept waiting for its whole answer.
	Timeout time.Duration
	// Objective is the time within which an answer (the first event of a stream) is on time.
	Objective time.Duration
	// Gap is the longest pause between events that is still on time.
	Gap time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	Splits   []Split
	// MaxAttempts is the most endpoints that one request may be sent to.
	MaxAttempts int
	Resumable   bool
}

// Repeatable tells whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Model is one model that a service's engines can load.
type Model struct {
	Name      string
	WeightsMB float64
	Adapters  int
	AdapterMB float64
	// FromStore, FromDisk and FromMemory are how long a load takes, by where the weights are.
	FromStore  time.Duration
	FromDisk   time.Duration
	FromMemory time.Duration
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots        int
	MemoryMB     float64
	AdapterSlots int
	KVTokens     int
	// LoadsPerSecond bounds the loads from the weight store over all endpoints.
	LoadsPerSecond float64
	Models         []Model
	byName         map[string]Model
}

// Model returns a model by its name.
func (e *Engine) Model(name string) (Model, bool) {
	m, ok := e.byName[name]
	return m, ok
}

// Service is a set of endpoints that do the same work.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for a service without models.
	Engine *Engine
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one configuration; it is not changed once it is made.
type Table struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits

	hosts    map[string][]Route
	services map[string]Service
}

// New checks a configuration and indexes it; it fails with ErrInvalid.
func New(version uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{
		Version: version, Routes: routes, Services: services, Limits: limits,
		hosts: make(map[string][]Route, len(routes)), services: make(map[string]Service, len(services)),
	}
	for _, s := range services {
		if _, twice := t.services[s.Name]; twice || s.Name == "" {
			return nil, ErrInvalid{What: "service", Name: s.Name, Reason: "its name is empty or used twice"}
		}
		if s.Engine != nil {
			s.Engine.byName = make(map[string]Model, len(s.Engine.Models))
			for _, m := range s.Engine.Models {
				s.Engine.byName[m.Name] = m
			}
		}
		t.services[s.Name] = s
	}
	places := make(map[[2]string]bool, len(routes))
	for _, r := range routes {
		if err := t.check(r); err != nil {
			return nil, err
		}
		place := [2]string{r.Host, r.Prefix}
		if places[place] {
			return nil, ErrInvalid{What: "route", Name: r.Name, Reason: "another route has its host and prefix"}
		}
		places[place] = true
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	return t, nil
}

func (t *Table) check(r Route) error {
	invalid := func(reason string) error { return ErrInvalid{What: "route", Name: r.Name, Reason: reason} }
	switch {
	case r.Host == "":
		return invalid("it has no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid("its prefix does not begin and end with a slash")
	case r.Timeout <= 0:
		return invalid("its timeout is not above zero")
	}
	total := 0.0
	for _, s := range r.Splits {
		if _, ok := t.services[s.Service]; !ok {
			return invalid("it names the unknown service " + s.Service)
		}
		if s.Weight < 0 {
			return invalid("a weight is below zero")
		}
		total += s.Weight
	}
	if total <= 0 {
		return invalid("its weights add up to nothing")
	}
	return nil
}

// Match returns the route with the longest prefix of a path at a host.
func (t *Table) Match(host, path string) (Route, bool) {
	var best Route
	found := false
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (!found || len(r.Prefix) > len(best.Prefix)) {
			best, found = r, true
		}
	}
	return best, found
}

// Service returns a service by its name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Pick returns the service for a point between 0 and 1 of a route's weights.
func (r Route) Pick(point float64) string {
	total := 0.0
	for _, s := range r.Splits {
		total += s.Weight
	}
	point *= total
	last := ""
	for _, s := range r.Splits {
		if s.Weight <= 0 {
			continue
		}
		last = s.Service
		if point < s.Weight {
			return last
		}
		point -= s.Weight
	}
	return last
}
