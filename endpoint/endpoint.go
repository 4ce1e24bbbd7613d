package endpoint

import (
	"slices"
	"time"
)

// Model is a model loaded on an endpoint, with its loaded adapters.
type Model struct {
	Name     string
	Version  int
	Adapters []string
}

// State is the last known state of an endpoint.
type State struct {
	// ID usually identifies one run of an endpoint. StartMS, its start time, distinguishes runs that have the same ID.
	ID      string
	StartMS int64
	Service string
	// Software is the version of the endpoint's software, empty if unknown. Versions have no order.
	Software   string
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
	// DrainingSince is when the platform's list last showed that a draining endpoint was not draining; the zero time if unknown.
	DrainingSince time.Time
	// Remaining is the time until the endpoint is removed, or 0 if unknown.
	Remaining time.Duration
	Models    []Model
	// Load is the endpoint's last load report, or nil before the first one.
	Load *Load
	// Loading is the model being loaded, and LoadingLeft the remaining load time.
	Loading     string
	LoadingLeft time.Duration
	// Limit is the rate of requests that the endpoint takes from all processes together.
	Limit Limit
	// Speed is the endpoint's speed relative to the mean of its service, 0 if unknown or if the endpoints are about equally fast.
	Speed float64
	// Holder is the address of the steward that sends orders to the endpoint, empty while no steward may.
	Holder string
}

// Load is an endpoint's report of its requests, caches and orders.
type Load struct {
	Running int
	Waiting int
	KVUsed  int
	KVTotal int
	// Busy is set while the endpoint executes an order.
	Busy bool
	// Sequence is the number of orders that the endpoint has accepted.
	Sequence int
	// Pending are the adapters being transferred to the endpoint.
	Pending []Adapter
	// InMemory and OnDisk are the models whose weights are cached on the endpoint's machine.
	InMemory []string
	OnDisk   []string
}

// Adapter names an adapter of a model.
type Adapter struct {
	Model string
	Name  string
}

// Holds reports whether a model is loaded on the endpoint.
func (s State) Holds(model string) bool {
	_, ok := s.Model(model)
	return ok
}

// Model returns the loaded model with the given name.
func (s State) Model(name string) (Model, bool) {
	for _, m := range s.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// HoldsAdapter reports whether an adapter is loaded on the endpoint.
func (s State) HoldsAdapter(a Adapter) bool {
	m, ok := s.Model(a.Model)
	return ok && slices.Contains(m.Adapters, a.Name)
}

// SameOrders reports whether two states of an endpoint show the same completed and running orders.
func (s State) SameOrders(other State) bool {
	if (s.Load == nil) != (other.Load == nil) || s.StartMS != other.StartMS || s.Draining != other.Draining || len(s.Models) != len(other.Models) {
		return false
	}
	return s.Load == nil || s.Load.Sequence == other.Load.Sequence && s.Load.Busy == other.Load.Busy &&
		len(s.Load.Pending) == len(other.Load.Pending)
}

// Report is an endpoint's report of its load, its loaded models, and whether it is draining.
type Report struct {
	StartMS   int64
	Draining  bool
	Remaining time.Duration
	Models    []Model
	Load      Load
}

// WithAdapter returns a copy of models with an adapter added to its model.
func WithAdapter(models []Model, a Adapter) []Model {
	models = slices.Clone(models)
	for i, m := range models {
		if m.Name == a.Model && !slices.Contains(m.Adapters, a.Name) {
			models[i].Adapters = append(slices.Clone(m.Adapters), a.Name)
		}
	}
	return models
}

// WithoutAdapter returns a copy of models with an adapter removed from its model.
func WithoutAdapter(models []Model, a Adapter) []Model {
	models = slices.Clone(models)
	for i, m := range models {
		if m.Name == a.Model {
			models[i].Adapters = slices.DeleteFunc(slices.Clone(m.Adapters), func(name string) bool { return name == a.Name })
		}
	}
	return models
}

// Incarnation returns the run of the endpoint that the state describes.
func (s State) Incarnation() Incarnation { return Incarnation{ID: s.ID, StartMS: s.StartMS} }
