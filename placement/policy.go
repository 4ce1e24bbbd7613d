package placement

import (
	"cmp"
	"math"
	"slices"

	"burdocksaddle/catalog"
	"burdocksaddle/fleet"
)

const (
	millisecond = 1000.0
	// waitWorth is how many idle accelerator seconds weigh as much as one second
	// of a caller's cold start where the preset's two weights are equal.
	waitWorth = 10
	// switchSeconds is how many seconds of idling weigh as much as disturbing an engine by a load.
	switchSeconds = 5
	// A replica beyond what is needed stays this long.
	surplusMS = 60_000
	// A load that takes so many times longer than expected is given up, but not before overdueLeastMS.
	overdueTimes   = 4
	overdueLeastMS = 60_000
	mostAttempts   = 3
	// An endpoint that failed a model's load is not asked again for so long.
	blockMS = 120_000
)

// Reasons of decisions.
const (
	ReasonDemand   = "Demand"
	ReasonMinimum  = "MinReplicas"
	ReasonAhead    = "Ahead"
	ReasonStage    = "Stage"
	ReasonVersion  = "Version"
	ReasonIdle     = "Idle"
	ReasonEvicted  = "Evicted"
	ReasonHeadroom = "Headroom"
	ReasonSurplus  = "Surplus"
	ReasonOverdue  = "Overdue"
	ReasonDropped  = "NotInCatalog"
)

// Decision loads one model on an endpoint, or unloads one replica.
type Decision struct {
	Endpoint    string
	Incarnation uint64
	Model       catalog.Model
	// Unload is the replica to unload; 0 loads.
	Unload uint64
	// Limit is the most replicas of the model that may exist after the decision.
	Limit  int
	Reason string
	// Source and ExpectedSeconds are the estimate of a load.
	Source          Source
	ExpectedSeconds float64
	// Loss is the expected cost of an unload, IdleSeconds how long the model has been idle.
	Loss        float64
	IdleSeconds float64
}

// Situation is everything that decisions follow from beside the policy's own memory.
type Situation struct {
	NowMS   int64
	Catalog catalog.Catalog
	Fleet   *fleet.Fleet
	// Demands holds the models that are waited for or running.
	Demands []Demand
	// Cached says where an endpoint finds a checkpoint.
	Cached func(endpoint, model, version string) Source
}

// Policy decides on replicas; what it remembers is lost with the leader and learned again.
type Policy struct {
	store   *Store
	models  map[string]*usage
	common  Gaps
	blocked map[placeKey]int64
	keep    KeepWarm
	staging bool
	nowMS   int64
}

// placeKey names a model on an endpoint.
type placeKey struct{ endpoint, model string }

// KeepWarm says from a model's gaps and costs when an idle replica is held; nil is the policy's own plan.
type KeepWarm func(gaps, common *Gaps, costs Costs) *Plan

// Option sets one property of a Policy.
type Option func(*Policy)

// WithStore sets the weight store's loads a second and loads at once at full speed.
func WithStore(rate float64, slots int) Option {
	return func(p *Policy) { p.store = NewStore(rate, slots) }
}

// WithKeepWarm replaces the plan for idle replicas, as the baselines do.
func WithKeepWarm(keep KeepWarm) Option {
	return func(p *Policy) { p.keep, p.staging = keep, false }
}

const (
	defaultRate  = 5
	defaultSlots = 4
)

// New makes a Policy that remembers nothing yet.
func New(options ...Option) *Policy {
	p := &Policy{models: map[string]*usage{}, blocked: map[placeKey]int64{}, store: NewStore(defaultRate, defaultSlots), staging: true}
	p.keep = func(gaps, common *Gaps, costs Costs) *Plan { return plan(gaps.hazards(common), costs) }
	for _, option := range options {
		option(p)
	}
	return p
}

// Store returns the policy's picture of the weight store.
func (p *Policy) Store() *Store { return p.store }

// Loaded notes how long a load took from its order to the engine's word.
func (p *Policy) Loaded(r fleet.Replica, checkpointMB uint64, atOnce int) {
	p.store.Measured(checkpointMB, Source(cmp.Or(r.Source, string(Remote))), float64(r.SinceMS-r.DecidedMS)/millisecond, atOnce)
}

// NextMS returns when an idle model's plan changes next, or false when none does.
func (p *Policy) NextMS() (int64, bool) {
	least, found := int64(math.MaxInt64), false
	for _, u := range p.models {
		if u.busy || u.plan == nil {
			continue
		}
		if age, ok := u.plan.Next(u.ageSeconds(p.nowMS)); ok {
			least, found = min(least, u.idleMS+int64(math.Ceil(age*millisecond))), true
		}
	}
	return least, found
}

// round is one pass of decisions over a situation.
type round struct {
	*Policy
	Situation
	preset    catalog.Preset
	demands   map[string]Demand
	inFlight  int
	claimed   map[string]uint64
	kept      map[string]uint64
	unloading map[uint64]bool
	decisions []Decision
}

// Decide returns the decisions that the situation calls for now.
func (p *Policy) Decide(s Situation) []Decision {
	p.nowMS = s.NowMS
	p.store.fill(s.NowMS)
	r := p.newRound(s)
	for _, demand := range s.Demands {
		if demand.busy() && !p.usage(demand.Model).busy {
			p.Arrive(demand.Model, max(1, demand.Waiting), s.NowMS)
		}
	}
	for model, u := range p.models {
		if u.busy && !r.demands[model].busy() {
			p.Rest(model, s.NowMS)
		}
	}
	r.clean()
	r.load()
	r.drop()
	r.headroom()
	return r.decisions
}

func (p *Policy) newRound(s Situation) *round {
	r := &round{
		Policy: p, Situation: s, preset: s.Catalog.InForce(), demands: make(map[string]Demand, len(s.Demands)),
		inFlight: inFlight(s.Fleet), claimed: map[string]uint64{}, kept: map[string]uint64{}, unloading: map[uint64]bool{},
	}
	for _, demand := range s.Demands {
		r.demands[demand.Model] = demand
	}
	return r
}

// clean unloads what no longer belongs: loads that are overdue and models out of the catalog.
func (r *round) clean() {
	for key, until := range r.blocked {
		if until <= r.NowMS {
			delete(r.blocked, key)
		}
	}
	for _, replica := range r.Fleet.PendingReplicas() {
		limit := max(overdueLeastMS, overdueTimes*replica.ExpectedMS)
		if r.orderable(replica.Endpoint) && (replica.Attempts >= mostAttempts || r.NowMS-replica.DecidedMS > limit) {
			r.blocked[placeKey{replica.Endpoint, replica.Model}] = r.NowMS + blockMS
			r.unload(replica, ReasonOverdue)
		}
	}
	for _, name := range r.Fleet.Models() {
		if _, known := r.Catalog.Model(name); known {
			continue
		}
		for _, replica := range r.Fleet.OfModel(name) {
			if replica.State != fleet.Unloading && replica.State != fleet.Unknown && r.orderable(replica.Endpoint) {
				r.unload(replica, ReasonDropped)
			}
		}
	}
}

// orderable tells whether the system gives the endpoint's engine its orders.
func (r *round) orderable(endpoint string) bool {
	facts, _ := r.Catalog.Endpoint(endpoint)
	return facts.OrdersBy != catalog.OrdersByOperator
}

func (r *round) unload(replica fleet.Replica, reason string) {
	if r.unloading[replica.ID] {
		return
	}
	r.unloading[replica.ID] = true
	r.decisions = append(r.decisions, Decision{
		Endpoint: replica.Endpoint, Incarnation: replica.Incarnation, Unload: replica.ID, Reason: reason,
		Model: catalog.Model{Name: replica.Model, Version: replica.Version}, Loss: r.loss(replica), IdleSeconds: r.age(replica.Model),
	})
}

// age returns how many seconds a model has been idle; a model never asked has been for ever.
func (r *round) age(model string) float64 {
	u, known := r.models[model]
	switch {
	case !known || !u.seen:
		return math.Inf(1)
	case u.busy:
		return 0
	}
	return u.ageSeconds(r.NowMS)
}

// loss returns the expected cost of unloading a replica now.
func (r *round) loss(replica fleet.Replica) float64 {
	u, known := r.models[replica.Model]
	if !known || !u.seen {
		return 0
	}
	if u.busy {
		return math.Inf(1)
	}
	return r.planOf(replica.Model).Loss(r.age(replica.Model))
}

// planOf returns the plan for a model's present gap; a changed preset makes a new one.
func (r *round) planOf(name string) *Plan {
	u := r.usage(name)
	if u.plan == nil || u.preset != r.preset {
		u.plan, u.preset = r.keep(&u.gaps, &r.common, r.costs(name, u)), r.preset
	}
	return u.plan
}

// costs weighs one model's waiting and idling by the preset in force.
func (r *round) costs(name string, u *usage) Costs {
	model, _ := r.Catalog.Model(name)
	seconds := r.store.Seconds(checkpoint(model), r.nearest(model))
	return Costs{
		IdlePerSecond: r.preset.IdleWeight * r.share(model),
		Cold:          r.preset.ColdStartWeight * waitWorth * u.burst * seconds,
		LoadSeconds:   seconds,
		Switch:        r.preset.IdleWeight * switchSeconds * r.share(model),
		MostSeconds:   float64(r.preset.MaxKeepWarmSeconds),
	}
}

// share returns the part of an accelerator that a model takes.
func (r *round) share(model catalog.Model) float64 {
	names := r.Fleet.EndpointsOf(model.Service)
	if len(names) == 0 {
		return 1
	}
	endpoint, _ := r.Fleet.Endpoint(names[0])
	return float64(model.MemoryMB) / float64(max(endpoint.MemoryMB, 1))
}

func checkpoint(model catalog.Model) uint64 { return cmp.Or(model.CheckpointMB, model.MemoryMB) }

// waitingFirst orders the models that wait: those that can still make their
// deadline first, then by deadline, priority, expected time and name.
func (r *round) waitingFirst() []Demand {
	type ranked struct {
		Demand
		late     bool
		slice    int64
		priority int
		seconds  float64
	}
	const sliceMS = 5000
	var list []ranked
	for _, demand := range r.Demands {
		model, known := r.Catalog.Model(demand.Model)
		if !known || demand.Waiting == 0 {
			continue
		}
		seconds := r.store.Seconds(checkpoint(model), r.nearest(model))
		list = append(list, ranked{
			Demand: demand, late: demand.EarliestMS < r.NowMS+int64(seconds*millisecond), slice: demand.EarliestMS / sliceMS,
			priority: model.Priority + demand.Urgency, seconds: seconds,
		})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.late != b.late {
			if b.late {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.slice, b.slice), cmp.Compare(a.priority, b.priority), cmp.Compare(a.seconds, b.seconds), cmp.Compare(a.Model, b.Model))
	})
	demands := make([]Demand, 0, len(list))
	for _, one := range list {
		demands = append(demands, one.Demand)
	}
	return demands
}
