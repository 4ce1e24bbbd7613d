package route

import (
	"slices"
	"strings"
	"time"

	"burdocksaddle/team"
)

// Kind defines how requests are answered on a route and whether they may be retried.
type Kind int

// Route kinds.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota
	// KindAtMostOnce requests are not retried once an endpoint may have run them.
	KindAtMostOnce
	// KindStream requests are answered by a stream of events. They may be retried only if the route is resumable.
	KindStream
)

// Split sends a weighted share of a route's requests to a service.
type Split struct {
	Service string
	Weight  float64
}

// Route maps the requests for one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until the complete response.
	Timeout time.Duration
	// LatencyObjective is the latency objective for a response, or for the first event of a stream.
	LatencyObjective time.Duration
	// MaxEventGap is the longest pause between events that still meets the latency objective.
	MaxEventGap time.Duration
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	Splits   []Split
	// MaxAttempts is the maximum number of endpoints that one request may be sent to.
	MaxAttempts int
	Resumable   bool
	// Public routes need no API key.
	Public bool
}

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Model is a model that the engines of a service can load.
type Model struct {
	Name      string
	WeightsMB float64
	// Adapters is the number of the model's adapters, AdapterMB the memory that each of them uses.
	Adapters  int
	AdapterMB float64
	// StoreLoadTime, DiskLoadTime and MemoryLoadTime are the load times by the location of the weights.
	StoreLoadTime  time.Duration
	DiskLoadTime   time.Duration
	MemoryLoadTime time.Duration
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an endpoint runs concurrently.
	Slots    int
	MemoryMB float64
	// AdapterSlots is the maximum number of adapters loaded on an endpoint.
	AdapterSlots int
	// KVTokens is the KV cache capacity of an endpoint, in tokens.
	KVTokens int
	// LoadsPerSecond limits the rate of loads from the weight store across all endpoints.
	LoadsPerSecond float64
	Models         []Model
	byName         map[string]Model
}

// Model returns the model with the given name.
func (e *Engine) Model(name string) (Model, bool) {
	m, ok := e.byName[name]
	return m, ok
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for a service without models.
	Engine *Engine
}

// Limits are the limits on client requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Teams finds the team of an API key; it is nil if requests need none.
	Teams *team.Directory

	// hosts holds the routes by host name in lower case.
	hosts    map[string][]Route
	services map[string]Service
}

// Option sets one property of a Table.
type Option func(*Table)

// WithTeams sets the teams whose API keys requests need.
func WithTeams(teams *team.Directory) Option { return func(t *Table) { t.Teams = teams } }

// New validates and indexes a configuration. It returns ErrInvalid if a part is invalid.
func New(version uint64, routes []Route, services []Service, limits Limits, options ...Option) (*Table, error) {
	t := &Table{
		Version: version, Routes: routes, Services: services, Limits: limits,
		hosts: make(map[string][]Route, len(routes)), services: make(map[string]Service, len(services)),
	}
	for _, option := range options {
		option(t)
	}
	for _, s := range services {
		if _, duplicate := t.services[s.Name]; duplicate || s.Name == "" {
			return nil, ErrInvalid{PartType: "service", Name: s.Name, Reason: "its name is empty or used twice"}
		}
		if s.Engine != nil {
			s.Engine.byName = make(map[string]Model, len(s.Engine.Models))
			for _, m := range s.Engine.Models {
				s.Engine.byName[m.Name] = m
			}
		}
		t.services[s.Name] = s
	}
	hostPrefixes := make(map[[2]string]bool, len(routes))
	for _, r := range routes {
		if err := t.check(r); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		hostPrefix := [2]string{host, r.Prefix}
		if hostPrefixes[hostPrefix] {
			return nil, ErrInvalid{PartType: "route", Name: r.Name, Reason: "another route has its host and prefix"}
		}
		hostPrefixes[hostPrefix] = true
		t.hosts[host] = append(t.hosts[host], r)
	}
	return t, nil
}

func (t *Table) check(r Route) error {
	invalid := func(reason string) error { return ErrInvalid{PartType: "route", Name: r.Name, Reason: reason} }
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

// Match returns the route of the host with the longest prefix that matches the path.
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

// Service returns the service with the given name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Serves reports whether the route sends requests to a service.
func (r Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Splits, func(s Split) bool { return s.Service == service && s.Weight > 0 })
}

// PickService selects a service by weight. The point is a number from 0 to 1.
func (r Route) PickService(point float64) string {
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
