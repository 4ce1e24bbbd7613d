package endpoint

import (
	"slices"
	"time"
)

// Model is a model that an endpoint holds, with its loaded adapters.
type Model struct {
	Name     string
	Version  int
	Adapters []string
}

// State is one endpoint as last seen.
type State struct {
	// ID names one start of an endpoint, mostly; Born tells two starts under one ID apart.
	ID         string
	Born       int64
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
	// Remaining is the time until the endpoint is taken away; 0 if unknown.
	Remaining time.Duration
	Models    []Model
	// Load is what the endpoint reported of itself; nil before its first report.
	Load *Load
	// Loading is the model that is being loaded, with the time that is left.
	Loading     string
	LoadingLeft time.Duration
	// Holder is the address of the steward that gives the endpoint its orders, empty while none may.
	Holder string
}

// Load is an endpoint's report of its work and orders.
type Load struct {
	Running int
	Waiting int
	KVUsed  int
	KVTotal int
	// Busy tells that an order is being carried out.
	Busy bool
	// Sequence counts the orders that the endpoint has accepted.
	Sequence int
	// Pending are adapters on their way, as model and name.
	Pending []Adapter
	// InMemory and OnDisk are models whose weights the endpoint's machine keeps copies of.
	InMemory []string
	OnDisk   []string
}

// Adapter names an adapter of a model.
type Adapter struct {
	Model string
	Name  string
}

// Holds tells whether an endpoint holds a model.
func (s State) Holds(model string) bool {
	_, ok := s.Model(model)
	return ok
}

// Model returns what an endpoint holds of a model.
func (s State) Model(name string) (Model, bool) {
	for _, m := range s.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// HoldsAdapter tells whether an endpoint holds an adapter.
func (s State) HoldsAdapter(a Adapter) bool {
	m, ok := s.Model(a.Model)
	return ok && slices.Contains(m.Adapters, a.Name)
}

// SameOrders tells whether two states of an endpoint show the same orders carried out and under way.
func (s State) SameOrders(other State) bool {
	if (s.Load == nil) != (other.Load == nil) || s.Born != other.Born || s.Draining != other.Draining || len(s.Models) != len(other.Models) {
		return false
	}
	return s.Load == nil || s.Load.Sequence == other.Load.Sequence && s.Load.Busy == other.Load.Busy &&
		len(s.Load.Pending) == len(other.Load.Pending)
}

// Report is an endpoint's own report: its load, what it holds, and whether it leaves.
type Report struct {
	Born      int64
	Draining  bool
	Remaining time.Duration
	Models    []Model
	Load      Load
}

// WithAdapter returns models with an adapter at its model.
func WithAdapter(models []Model, a Adapter) []Model {
	models = slices.Clone(models)
	for i, m := range models {
		if m.Name == a.Model && !slices.Contains(m.Adapters, a.Name) {
			models[i].Adapters = append(slices.Clone(m.Adapters), a.Name)
		}
	}
	return models
}

// WithoutAdapter returns models without an adapter.
func WithoutAdapter(models []Model, a Adapter) []Model {
	models = slices.Clone(models)
	for i, m := range models {
		if m.Name == a.Model {
			models[i].Adapters = slices.DeleteFunc(slices.Clone(m.Adapters), func(name string) bool { return name == a.Name })
		}
	}
	return models
}
