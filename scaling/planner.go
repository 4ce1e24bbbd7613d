package scaling

import (
	"math"
	"slices"
	"time"

	"burdocksaddle/route"
	"burdocksaddle/worker"
)

const (
	// levelHalfLife is how fast a model's demand is forgotten; a busy model falls silent within about 5 s on the days of
	// the sheets, and a load from the store takes 6 s.
	levelHalfLife = 4 * time.Second
	// replicaLoad is the number of concurrent requests that one more replica is worth a load for; a batch of 32 slows each
	// token by about a tenth, and a worker serves two or three models.
	replicaLoad = 5.0
	// gain is how much busier a model must be than the one it displaces, so that two models don't displace each other in turns.
	gain = 1.5
	// storeSlots is the number of loads from the store at a time that run at full speed, by the sheets.
	storeSlots = 4
	// orderTimeout is when an order without a report of its effect is given again; reports lag by some 100 ms.
	orderTimeout = 600 * time.Millisecond
	// reportMost is the age at which a worker's report says nothing any more.
	reportMost = 2 * time.Second
)

// Planner is the aggregate; one owner changes it.
type Planner struct {
	workers map[string]*tracked
	levels  map[string]*level
	engines map[string]*route.Engine
}

// tracked is one worker with the orders that are under way.
type tracked struct {
	state    worker.State
	reported time.Time
	// sequence is the count of accepted orders as known by reports and answers.
	sequence int
	// loading is the model that was ordered and is not yet reported as held.
	loading  string
	source   Source
	until    time.Time
	ordered  time.Time
	leaving  string
	quiet    time.Time
	adapters map[worker.Adapter]time.Time
}

// level is a model's demand, in concurrent requests.
type level struct {
	service string
	value   float64
	waiting int
	at      time.Time
	used    time.Time
}

// New makes a Planner that knows nothing yet.
func New() *Planner {
	return &Planner{workers: map[string]*tracked{}, levels: map[string]*level{}, engines: map[string]*route.Engine{}}
}

// Configure takes the engines of the configuration in force.
func (p *Planner) Configure(t *route.Table) {
	clear(p.engines)
	for _, s := range t.Services {
		if service, ok := t.Service(s.Name); ok && service.Engine != nil {
			p.engines[s.Name] = service.Engine
		}
	}
}

// Engine tells whether a service's workers load models.
func (p *Planner) Engine(service string) bool { return p.engines[service] != nil }

// List takes the platform's list; workers that are not on it are forgotten.
func (p *Planner) List(listed []worker.State) {
	known := make(map[string]bool, len(listed))
	for _, w := range listed {
		known[w.ID] = true
		t, ok := p.workers[w.ID]
		if !ok || t.state.Address != w.Address || w.Born != 0 && t.state.Born != 0 && w.Born > t.state.Born {
			t = &tracked{state: w, adapters: map[worker.Adapter]time.Time{}}
			p.workers[w.ID] = t
			continue
		}
		t.state.Draining = t.state.Draining || w.Draining
		t.state.Remaining = w.Remaining
		if t.reported.IsZero() {
			t.state.Models = w.Models
		}
	}
	for id := range p.workers {
		if !known[id] {
			delete(p.workers, id)
		}
	}
}

// Report takes a worker's own report.
func (p *Planner) Report(id string, r worker.Report, now time.Time) {
	t, ok := p.workers[id]
	if !ok {
		return
	}
	if r.Born != 0 && t.state.Born != 0 && r.Born != t.state.Born {
		t.loading, t.leaving, t.sequence, t.adapters = "", "", 0, map[worker.Adapter]time.Time{}
	}
	if r.Born != 0 {
		t.state.Born = r.Born
	}
	load := r.Load
	t.state.Load, t.state.Models, t.reported = &load, r.Models, now
	t.state.Draining = t.state.Draining || r.Draining
	// A report may be older than the answer to the last order.
	if load.Sequence > t.sequence || now.Sub(t.ordered) > orderTimeout {
		t.sequence = load.Sequence
	}
	settled := !load.Busy && now.Sub(t.ordered) > orderTimeout
	if t.loading != "" && (t.state.Holds(t.loading) || settled) {
		t.loading = ""
	}
	if t.leaving != "" && (!t.state.Holds(t.leaving) || settled) {
		t.leaving = ""
	}
	for a, at := range t.adapters {
		if adapterState(t.state, a) == AdapterHeld || now.Sub(at) > orderTimeout && adapterState(t.state, a) == AdapterAbsent {
			delete(t.adapters, a)
		}
	}
}

// Demand takes what all gateways are asked for now; models that are not named have no requests.
func (p *Planner) Demand(all []Demand, now time.Time) {
	seen := make(map[string]bool, len(all))
	for _, d := range all {
		seen[d.Model] = true
		l, ok := p.levels[d.Model]
		if !ok {
			l = &level{service: d.Service}
			p.levels[d.Model] = l
		}
		l.value = max(l.now(now), float64(d.Running+d.Waiting))
		l.at, l.waiting = now, d.Waiting
		if d.Came > 0 || d.Running+d.Waiting > 0 {
			l.used = now
		}
	}
	for model, l := range p.levels {
		if !seen[model] {
			l.waiting = 0
			l.value, l.at = l.now(now), now
		}
	}
}

func (l *level) now(now time.Time) float64 {
	if l == nil || l.at.IsZero() {
		return 0
	}
	value := l.value * math.Exp2(-float64(now.Sub(l.at))/float64(levelHalfLife))
	if value < 0.05 {
		return 0
	}
	return value
}

// Answered notes what a worker said of an order.
func (p *Planner) Answered(o Order, outcome Outcome, now time.Time) {
	t, ok := p.workers[o.Worker]
	if !ok {
		return
	}
	switch outcome {
	case OutcomeAccepted:
		t.sequence = max(t.sequence, o.Sequence+1)
		t.ordered = now
		return
	case OutcomeHolds:
		if o.Adapter != "" && o.Unload {
			t.sequence = max(t.sequence, o.Sequence+1)
			p.dropAdapter(t, worker.Adapter{Model: o.Model, Name: o.Adapter})
		}
	case OutcomeUnknown, OutcomeConflict, OutcomeFenced, OutcomeRefused:
		// What the worker holds and has accepted is known by its next report only.
		t.quiet = now.Add(orderTimeout / 2)
	}
	if o.Adapter != "" {
		delete(t.adapters, worker.Adapter{Model: o.Model, Name: o.Adapter})
		return
	}
	t.loading, t.leaving = "", ""
}

func (p *Planner) dropAdapter(t *tracked, a worker.Adapter) {
	models := slices.Clone(t.state.Models)
	for i, m := range models {
		if m.Name == a.Model {
			models[i].Adapters = slices.DeleteFunc(slices.Clone(m.Adapters), func(name string) bool { return name == a.Name })
		}
	}
	t.state.Models = models
}

// Workers returns what is known of each worker, without models that are about to leave it.
func (p *Planner) Workers(now time.Time) []worker.State {
	all := make([]worker.State, 0, len(p.workers))
	for _, t := range p.workers {
		w := t.state
		if t.leaving != "" {
			w.Models = slices.DeleteFunc(slices.Clone(w.Models), func(m worker.Model) bool { return m.Name == t.leaving })
		}
		if now.Sub(t.reported) > reportMost {
			w.Load = nil
		}
		w.Loading, w.LoadingLeft = t.loading, max(0, t.until.Sub(now))
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b worker.State) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}
