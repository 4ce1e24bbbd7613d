package placement

import (
	"cmp"
	"math"
	"slices"

	"burdocksaddle/catalog"
	"burdocksaddle/fleet"
)

const (
	msPerSecond = 1000.0
	// coldStartIdleRatio is how many idle accelerator seconds cost as much as one second
	// of a caller's cold start if the two weights of the preset are equal.
	coldStartIdleRatio = 10
	// loadDisturbanceSeconds is how many idle seconds cost as much as the disturbance of an engine by a load.
	loadDisturbanceSeconds = 5
	// surplusDelayMS is how long a surplus replica is kept.
	surplusDelayMS = 60_000
	// A load is abandoned when it takes overdueFactor times longer than expected, but not before minOverdueMS.
	overdueFactor = 4
	minOverdueMS  = 60_000
	maxAttempts   = 3
	// blockDurationMS is how long an endpoint isn't chosen again for a model that it failed to load.
	blockDurationMS = 120_000
)

// Reasons of decisions.
const (
	ReasonDemand       = "Demand"
	ReasonMinimum      = "MinReplicas"
	ReasonPreload      = "Ahead"
	ReasonStage        = "Stage"
	ReasonVersion      = "Version"
	ReasonIdle         = "Idle"
	ReasonEvicted      = "Evicted"
	ReasonHeadroom     = "Headroom"
	ReasonSurplus      = "Surplus"
	ReasonOverdue      = "Overdue"
	ReasonNotInCatalog = "NotInCatalog"
)

// Decision loads a model on an endpoint or unloads a replica.
type Decision struct {
	Endpoint    string
	Incarnation uint64
	Model       catalog.Model
	// Unload is the ID of the replica to unload; 0 means that the decision is a load.
	Unload uint64
	// Limit is the maximum number of replicas of the model after the decision.
	Limit  int
	Reason string
	// Source and ExpectedSeconds are the estimated source and duration of a load.
	Source          Source
	ExpectedSeconds float64
	// Loss is the expected cost of an unload, IdleSeconds how long the model has been idle.
	Loss        float64
	IdleSeconds float64
}

// Situation is the input of a decision round, apart from the policy's own state.
type Situation struct {
	NowMS   int64
	Catalog catalog.Catalog
	Fleet   *fleet.Fleet
	// Demands lists the models with waiting or running requests.
	Demands []Demand
	// CheckpointSource returns the source from which an endpoint would load a checkpoint.
	CheckpointSource func(endpoint, model, version string) Source
}

// Policy decides about replicas. Its state is kept in memory only: a new leader starts without it and learns it again.
type Policy struct {
	store      *Store
	models     map[string]*modelUsage
	commonGaps Gaps
	blocked    map[endpointModel]int64
	keepWarm   KeepWarm
	staging    bool
	nowMS      int64
}

// endpointModel identifies a model on an endpoint.
type endpointModel struct{ endpoint, model string }

// KeepWarm returns the plan for keeping an idle model loaded from its idle gaps and costs.
type KeepWarm func(gaps, common *Gaps, costs Costs) *Plan

// Option sets one property of a Policy.
type Option func(*Policy)

// WithStore sets the weight store's loads per second and concurrent loads at full speed.
func WithStore(rate float64, slots int) Option {
	return func(p *Policy) { p.store = NewStore(rate, slots) }
}

// WithKeepWarm replaces the plan for idle replicas, as the baseline policies do, and disables staging.
func WithKeepWarm(keep KeepWarm) Option {
	return func(p *Policy) { p.keepWarm, p.staging = keep, false }
}

const (
	defaultStoreRate  = 5
	defaultStoreSlots = 4
)

// New returns a Policy without history.
func New(options ...Option) *Policy {
	p := &Policy{models: map[string]*modelUsage{}, blocked: map[endpointModel]int64{}, store: NewStore(defaultStoreRate, defaultStoreSlots), staging: true}
	p.keepWarm = func(gaps, common *Gaps, costs Costs) *Plan { return computePlan(gaps.hazards(common), costs) }
	for _, option := range options {
		option(p)
	}
	return p
}

// Store returns the policy's model of the weight store.
func (p *Policy) Store() *Store { return p.store }

// RecordLoad records the duration of a load, from its order to the engine's confirmation.
func (p *Policy) RecordLoad(r fleet.Replica, checkpointMB uint64, concurrentLoads int) {
	p.store.RecordLoad(checkpointMB, Source(cmp.Or(r.Source, string(Remote))), float64(r.SinceMS-r.DecidedMS)/msPerSecond, concurrentLoads)
}

// NextMS returns the time of the next change in an idle model's plan, or false if there is none.
func (p *Policy) NextMS() (int64, bool) {
	least, found := int64(math.MaxInt64), false
	for _, u := range p.models {
		if u.busy || u.plan == nil {
			continue
		}
		if age, ok := u.plan.Next(u.secondsIdle(p.nowMS)); ok {
			least, found = min(least, u.lastBusyMS+int64(math.Ceil(age*msPerSecond))), true
		}
	}
	return least, found
}

// decisionRound is the working state of one decision round.
type decisionRound struct {
	*Policy
	Situation
	preset     catalog.Preset
	demands    map[string]Demand
	inFlight   int
	reservedMB map[string]uint64
	cachedMB   map[string]uint64
	unloading  map[uint64]bool
	decisions  []Decision
}

// Decide returns the decisions for the current situation.
func (p *Policy) Decide(s Situation) []Decision {
	p.nowMS = s.NowMS
	p.store.refill(s.NowMS)
	r := p.newRound(s)
	for _, demand := range s.Demands {
		if demand.busy() && !p.usage(demand.Model).busy {
			p.RecordArrivals(demand.Model, max(1, demand.Waiting), s.NowMS)
		}
	}
	for model, u := range p.models {
		if u.busy && !r.demands[model].busy() {
			p.RecordIdle(model, s.NowMS)
		}
	}
	r.unloadInvalid()
	r.decideLoads()
	r.unloadUnneeded()
	r.keepHeadroom()
	return r.decisions
}

func (p *Policy) newRound(s Situation) *decisionRound {
	r := &decisionRound{
		Policy: p, Situation: s, preset: s.Catalog.ActivePreset(), demands: make(map[string]Demand, len(s.Demands)),
		inFlight: countStoreLoads(s.Fleet), reservedMB: map[string]uint64{}, cachedMB: map[string]uint64{}, unloading: map[uint64]bool{},
	}
	for _, demand := range s.Demands {
		r.demands[demand.Model] = demand
	}
	return r
}

// unloadInvalid unloads overdue loads and models that are no longer in the catalog.
func (r *decisionRound) unloadInvalid() {
	for key, until := range r.blocked {
		if until <= r.NowMS {
			delete(r.blocked, key)
		}
	}
	for _, replica := range r.Fleet.PendingReplicas() {
		limit := max(minOverdueMS, overdueFactor*replica.ExpectedMS)
		if r.acceptsOrders(replica.Endpoint) && (replica.Attempts >= maxAttempts || r.NowMS-replica.DecidedMS > limit) {
			r.blocked[endpointModel{replica.Endpoint, replica.Model}] = r.NowMS + blockDurationMS
			r.unload(replica, ReasonOverdue)
		}
	}
	for _, name := range r.Fleet.Models() {
		if _, known := r.Catalog.Model(name); known {
			continue
		}
		for _, replica := range r.Fleet.ReplicasOfModel(name) {
			if replica.State != fleet.Unloading && replica.State != fleet.Unknown && r.acceptsOrders(replica.Endpoint) {
				r.unload(replica, ReasonNotInCatalog)
			}
		}
	}
}

// acceptsOrders reports whether this system, rather than an operator, gives orders to the endpoint's engine.
func (r *decisionRound) acceptsOrders(endpoint string) bool {
	catalogEntry, _ := r.Catalog.Endpoint(endpoint)
	return catalogEntry.OrdersBy != catalog.OrdersByOperator
}

func (r *decisionRound) unload(replica fleet.Replica, reason string) {
	if r.unloading[replica.ID] {
		return
	}
	r.unloading[replica.ID] = true
	r.decisions = append(r.decisions, Decision{
		Endpoint: replica.Endpoint, Incarnation: replica.Incarnation, Unload: replica.ID, Reason: reason,
		Model: catalog.Model{Name: replica.Model, Version: replica.Version}, Loss: r.unloadLoss(replica), IdleSeconds: r.idleFor(replica.Model),
	})
}

// idleFor returns how many seconds a model has been idle, or infinity if it was never requested.
func (r *decisionRound) idleFor(model string) float64 {
	u, known := r.models[model]
	switch {
	case !known || !u.seen:
		return math.Inf(1)
	case u.busy:
		return 0
	}
	return u.secondsIdle(r.NowMS)
}

// unloadLoss returns the expected cost of unloading a replica now.
func (r *decisionRound) unloadLoss(replica fleet.Replica) float64 {
	u, known := r.models[replica.Model]
	if !known || !u.seen {
		return 0
	}
	if u.busy {
		return math.Inf(1)
	}
	return r.planOf(replica.Model).Loss(r.idleFor(replica.Model))
}

// planOf returns the plan for a model's current gap. It computes a new one if the preset has changed.
func (r *decisionRound) planOf(name string) *Plan {
	u := r.usage(name)
	if u.plan == nil || u.preset != r.preset {
		u.plan, u.preset = r.keepWarm(&u.gaps, &r.commonGaps, r.costs(name, u)), r.preset
	}
	return u.plan
}

// costs returns a model's costs, weighted by the active preset.
func (r *decisionRound) costs(name string, u *modelUsage) Costs {
	model, _ := r.Catalog.Model(name)
	seconds := r.store.Seconds(checkpointSize(model), r.fastestSource(model))
	return Costs{
		IdlePerSecond:   r.preset.IdleWeight * r.acceleratorShare(model),
		ColdStart:       r.preset.ColdStartWeight * coldStartIdleRatio * u.meanBurst * seconds,
		LoadSeconds:     seconds,
		LoadDisturbance: r.preset.IdleWeight * loadDisturbanceSeconds * r.acceleratorShare(model),
		MaxIdleSeconds:  float64(r.preset.MaxKeepWarmSeconds),
	}
}

// acceleratorShare returns the share of an endpoint's accelerator memory that a model uses.
func (r *decisionRound) acceleratorShare(model catalog.Model) float64 {
	names := r.Fleet.EndpointsOf(model.Service)
	if len(names) == 0 {
		return 1
	}
	endpoint, _ := r.Fleet.Endpoint(names[0])
	return float64(model.MemoryMB) / float64(max(endpoint.MemoryMB, 1))
}

func checkpointSize(model catalog.Model) uint64 { return cmp.Or(model.CheckpointMB, model.MemoryMB) }

// sortedWaiting returns the models with waiting requests: those that can still meet
// their deadline first, then by deadline, priority, expected load time and name.
func (r *decisionRound) sortedWaiting() []Demand {
	type ranked struct {
		Demand
		late         bool
		deadlineSlot int64
		priority     int
		seconds      float64
	}
	const deadlineSlotMS = 5000
	var list []ranked
	for _, demand := range r.Demands {
		model, known := r.Catalog.Model(demand.Model)
		if !known || demand.Waiting == 0 {
			continue
		}
		seconds := r.store.Seconds(checkpointSize(model), r.fastestSource(model))
		list = append(list, ranked{
			Demand: demand, late: demand.EarliestDeadlineMS < r.NowMS+int64(seconds*msPerSecond), deadlineSlot: demand.EarliestDeadlineMS / deadlineSlotMS,
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
		return cmp.Or(cmp.Compare(a.deadlineSlot, b.deadlineSlot), cmp.Compare(a.priority, b.priority), cmp.Compare(a.seconds, b.seconds), cmp.Compare(a.Model, b.Model))
	})
	demands := make([]Demand, 0, len(list))
	for _, one := range list {
		demands = append(demands, one.Demand)
	}
	return demands
}
