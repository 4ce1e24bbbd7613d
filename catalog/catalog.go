package catalog

import "time"

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
}

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

// Adapter is a small addition to one model.
type Adapter struct {
	Name  string
	Model string
}

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

// Preset is a named set of policy values; the one in force steers the system.
type Preset struct {
	Name string
	// ColdStartWeight and IdleWeight weigh tail cold starts against idle hours.
	ColdStartWeight float64
	IdleWeight      float64
	// MaxKeepWarmSeconds bounds how long an idle replica stays.
	MaxKeepWarmSeconds int `json:",omitempty"`
	// FreeShare is the share of memory kept for the next cold start.
	FreeShare float64 `json:",omitempty"`
	// QueueLimit bounds the requests waiting per model at one entry.
	QueueLimit int `json:",omitempty"`
	// CallerRate is requests a second for one caller, CallerConcurrency at once.
	CallerRate        float64 `json:",omitempty"`
	CallerConcurrency int     `json:",omitempty"`
	// RefuseDrafts refuses requests of low urgency.
	RefuseDrafts bool `json:",omitempty"`
}

// Catalog is the whole configuration at one version.
type Catalog struct {
	Version   uint64
	Services  []Service
	Models    []Model
	Adapters  []Adapter  `json:",omitempty"`
	Endpoints []Endpoint `json:",omitempty"`
	Presets   []Preset
	// Preset names the preset in force.
	Preset string
}

// Model returns the model of a name.
func (c Catalog) Model(name string) (Model, bool) {
	return find(c.Models, func(m Model) bool { return m.Name == name })
}

// Service returns the service of a name.
func (c Catalog) Service(name string) (Service, bool) {
	return find(c.Services, func(s Service) bool { return s.Name == name })
}

// Adapter returns the adapter of a name.
func (c Catalog) Adapter(name string) (Adapter, bool) {
	return find(c.Adapters, func(a Adapter) bool { return a.Name == name })
}

// Endpoint returns the operator's facts about an endpoint.
func (c Catalog) Endpoint(name string) (Endpoint, bool) {
	return find(c.Endpoints, func(e Endpoint) bool { return e.Name == name })
}

// InForce returns the preset in force.
func (c Catalog) InForce() Preset {
	preset, _ := find(c.Presets, func(p Preset) bool { return p.Name == c.Preset })
	return preset
}

// KeepWarm returns how long an idle replica may stay under the preset.
func (p Preset) KeepWarm() time.Duration {
	return time.Duration(p.MaxKeepWarmSeconds) * time.Second
}

func find[T any](all []T, match func(T) bool) (T, bool) {
	for _, one := range all {
		if match(one) {
			return one, true
		}
	}
	var none T
	return none, false
}
