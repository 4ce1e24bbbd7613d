package scaling

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
)

const (
	// demandHalfLife is the half-life of a model's observed demand. Demand shifts to other models within about 5 s.
	demandHalfLife = 4 * time.Second
	// rateHalfLife is the half-life of the request rate of rarely requested models.
	rateHalfLife = 10 * time.Second
	// targetConcurrency is the number of concurrent requests per replica that the planner aims for. A batch of 32 slows each token
	// by about 10%, and an endpoint serves two or three models.
	targetConcurrency = 12.0
	// minDisplacementRatio is how many times busier a model must be than the one it displaces, so that two models don't evict each
	// other in turns.
	minDisplacementRatio = 1.5
	// idleGracePeriod is how long a model without requests keeps its last replica while another model needs the memory.
	idleGracePeriod = 300 * time.Millisecond
	// initialStoreConcurrency is the assumed number of concurrent loads that the store serves at full speed. The platform doesn't
	// report it, so it is adjusted from measured load times, up to maxStoreConcurrency.
	initialStoreConcurrency = 4
	maxStoreConcurrency     = 8
	// storeBurst is how many loads from the store may start at once. The platform allows three above its rate.
	storeBurst = 3
	// A load from the store counts as slowed down by concurrent loads from slowLoadRatio times its nominal duration, and as running
	// at full speed up to fullSpeedRatio times.
	slowLoadRatio, fullSpeedRatio = 1.4, 1.15
	// concurrencyProbeDelay is how long after the last slowdown one more concurrent load is tried.
	concurrencyProbeDelay = time.Minute
	// missedHalfLife is the half-life of the demand from requests that were told to retry later.
	missedHalfLife = 5 * time.Second
	minMissed      = 0.4
	// prefetchInterval is the minimum time between two prefetches, which load models without replicas from a local copy into free
	// memory.
	prefetchInterval = 200 * time.Millisecond
	// orderTimeout is how long the planner waits for a report of an order's effect before the order is given again. Reports lag by
	// about 100 ms.
	orderTimeout = 600 * time.Millisecond
	// reportLag is how long it takes until an endpoint that didn't accept an order has sent a new report.
	reportLag = 150 * time.Millisecond
	// refusalBackoff is how long an endpoint gets no orders after it refused one. Usually it is a new endpoint at the address of a
	// former one, which the platform's list shows after 0.8 s.
	refusalBackoff = 800 * time.Millisecond
	// maxReportAge is the age from which an endpoint's report is considered stale.
	maxReportAge = 2 * time.Second
	// maxUnheldAge is the maximum age of the last report of an endpoint without a holder for its replicas still to be counted.
	// Replacing a holder takes 2 s of silence, a commit and the 3 s lease that the former holder may still have.
	maxUnheldAge = 8 * time.Second
	// maxCopyWait is how long a load from a local copy may wait for its endpoint and still be faster than the store.
	maxCopyWait = 1500 * time.Millisecond
	// reservationTimeout is how long memory stays reserved for a model while requests of the model it replaces are still running.
	reservationTimeout = 4 * time.Second
	// drainCostSeconds is the cost, in seconds, of an unload that has to wait for running requests.
	drainCostSeconds = 3.0
	// planningDelay is the time from a first request to the load order, plus the time from the end of the load until gateways see it.
	planningDelay = 300 * time.Millisecond
)

// Planner decides which models are loaded on which endpoints. It isn't safe for concurrent use.
type Planner struct {
	endpoints map[string]*trackedEndpoint
	// idsByAddress holds the IDs of the endpoints at each address.
	idsByAddress  map[string][]string
	demandByModel map[string]*modelDemand
	engines       map[string]*route.Engine
	// storeConcurrency is the estimated number of concurrent loads that the store serves at full speed.
	storeConcurrency int
	// lastSlowdown is when concurrent loads were last seen to slow each other down; lastPrefetch is when a prefetch was last ordered.
	lastSlowdown, lastPrefetch time.Time
	// demandSeen reports whether any demand has been reported yet.
	demandSeen bool
	// storeLimiters limit the rate at which loads from the store start, by service.
	storeLimiters map[string]*rate.Limiter
	// recentStarts counts the streams that models have begun lately, by software version.
	recentStarts map[ModelVersion]int
	// unmet are the models that resumed streams wait for without an order, by software version.
	unmet map[ModelVersion]Obstacles
	// resumedWaits are the models that resumed streams want at a software version without a serving replica, with the time until one serves.
	resumedWaits map[endpoint.Absent]endpoint.Expected
}

// trackedEndpoint is an endpoint with its orders in progress.
type trackedEndpoint struct {
	state      endpoint.State
	reportedAt time.Time
	// loading is the model that was ordered and isn't reported as loaded yet.
	loading   string
	source    Source
	loadDueAt time.Time
	orderedAt time.Time
	unloading string
	// reservedFor is the model that is loaded once the model in unloading is gone, until reservationExpires.
	reservedFor        string
	reservationExpires time.Time
	// awaitingReply is set while the reply to an order is outstanding.
	awaitingReply bool
	backoffUntil  time.Time
	// concurrentStoreLoads is the number of loads from the store in progress when this one started, itself included.
	concurrentStoreLoads int
	// unheld reports whether no steward may give the endpoint orders now.
	unheld bool
	// limitHeardAt is when the endpoint last said something about its limit.
	limitHeardAt time.Time
	// firstPlanned is when the endpoint was first included in planning.
	firstPlanned time.Time
}

// modelDemand is the demand for a model, in concurrent requests.
type modelDemand struct {
	service     string
	concurrency float64
	arrivalRate float64
	waiting     int
	running     int
	// missed is the decaying number of requests that were told to retry later.
	missed float64
	// runningOn holds the IDs of the endpoints that run requests for the model.
	runningOn map[string]bool
	// resuming are the resumed streams by software version.
	resuming  map[string]resumingDemand
	updatedAt time.Time
	lastUsed  time.Time
}

// New returns an empty Planner.
func New() *Planner {
	return &Planner{endpoints: map[string]*trackedEndpoint{}, idsByAddress: map[string][]string{}, demandByModel: map[string]*modelDemand{}, engines: map[string]*route.Engine{}, storeConcurrency: initialStoreConcurrency, storeLimiters: map[string]*rate.Limiter{}, unmet: map[ModelVersion]Obstacles{}, resumedWaits: map[endpoint.Absent]endpoint.Expected{}}
}

// Configure sets the engines from the active configuration.
func (p *Planner) Configure(t *route.Table) {
	clear(p.engines)
	for _, s := range t.Services {
		if service, ok := t.Service(s.Name); ok && service.Engine != nil {
			p.engines[s.Name] = service.Engine
			p.setStoreRate(s.Name, service.Engine.LoadsPerSecond)
		}
	}
}

// setStoreRate limits how many loads from the store a service may start per second; 0 means no limit.
func (p *Planner) setStoreRate(service string, perSecond float64) {
	allowed := rate.Limit(perSecond)
	if perSecond <= 0 {
		allowed = rate.Inf
	}
	if known := p.storeLimiters[service]; known != nil {
		if known.Limit() != allowed {
			known.SetLimit(allowed)
		}
		return
	}
	p.storeLimiters[service] = rate.NewLimiter(allowed, storeBurst)
}

// UpdateEndpoints updates the endpoints from the platform's list and removes those that are no longer listed.
func (p *Planner) UpdateEndpoints(listed []endpoint.State) {
	known := make(map[string]bool, len(listed))
	for _, platformState := range listed {
		known[platformState.ID] = true
		t, ok := p.endpoints[platformState.ID]
		if !ok || t.state.Address != platformState.Address || platformState.StartMS != 0 && t.state.StartMS != 0 && platformState.StartMS > t.state.StartMS {
			t = &trackedEndpoint{state: platformState}
			p.endpoints[platformState.ID] = t
			continue
		}
		t.state.Draining = t.state.Draining || platformState.Draining
		t.state.Remaining = platformState.Remaining
		if platformState.StartMS == t.state.StartMS || platformState.StartMS == 0 {
			t.state.Software = platformState.Software
		}
		if t.reportedAt.IsZero() {
			t.state.Models = platformState.Models
		}
	}
	clear(p.idsByAddress)
	for id, t := range p.endpoints {
		if !known[id] {
			delete(p.endpoints, id)
			continue
		}
		p.idsByAddress[t.state.Address] = append(p.idsByAddress[t.state.Address], id)
	}
}

// SetHolders sets the holder of each endpoint. The function returns "" while no steward may give the endpoint orders.
func (p *Planner) SetHolders(holder func(address string) string) {
	for _, t := range p.endpoints {
		t.state.Holder = holder(t.state.Address)
		t.unheld = t.state.Holder == ""
	}
}

// SetSpeeds sets the speed of each endpoint; the function returns 0 for an endpoint of unknown speed.
func (p *Planner) SetSpeeds(speed func(endpoint.Incarnation) float64) {
	for _, t := range p.endpoints {
		t.state.Speed = speed(t.state.Incarnation())
	}
}

// Incarnations returns the service of each run of an endpoint.
func (p *Planner) Incarnations() map[endpoint.Incarnation]string {
	all := make(map[endpoint.Incarnation]string, len(p.endpoints))
	for _, t := range p.endpoints {
		all[t.state.Incarnation()] = t.state.Service
	}
	return all
}

// InitDemand derives an initial demand from the existing replicas, since the platform places busy models on many endpoints. It
// does nothing once real demand has been reported.
func (p *Planner) InitDemand(now time.Time) {
	if p.demandSeen {
		return
	}
	replicas, services := map[string]int{}, map[string]string{}
	for _, t := range p.endpoints {
		for _, m := range t.state.Models {
			replicas[m.Name]++
			services[m.Name] = t.state.Service
		}
	}
	for model, n := range replicas {
		if n > 1 {
			p.demandByModel[model] = &modelDemand{service: services[model], concurrency: float64(n) * targetConcurrency / minDisplacementRatio, updatedAt: now, lastUsed: now}
		}
	}
}

// RecordReport updates an endpoint from its own report.
func (p *Planner) RecordReport(id string, r endpoint.Report, now time.Time) {
	t, ok := p.endpoints[id]
	if !ok {
		return
	}
	if r.StartMS != 0 && t.state.StartMS != 0 && r.StartMS != t.state.StartMS {
		*t = trackedEndpoint{state: t.state, unheld: t.unheld}
		t.state.Limit, t.state.Speed = endpoint.Limit{}, 0
		t.state.Software = "" // the list may still show the version before the restart
	}
	if r.StartMS != 0 {
		t.state.StartMS = r.StartMS
	}
	load := r.Load
	t.state.Load, t.state.Models, t.reportedAt = &load, r.Models, now
	t.state.Draining = t.state.Draining || r.Draining
	settled := !load.Busy && now.Sub(t.orderedAt) > orderTimeout
	if t.loading != "" && (t.state.Holds(t.loading) || settled) {
		p.updateStoreConcurrency(t, now)
		t.loading = ""
	}
	if t.unloading != "" && (!t.state.Holds(t.unloading) || settled) {
		t.unloading = ""
	}
}

// RecordLeaving records that an endpoint told a gateway that it is leaving, and reports whether that is new.
func (p *Planner) RecordLeaving(i endpoint.Incarnation) bool {
	t, ok := p.endpoints[i.ID]
	if !ok || t.state.Draining || i.StartMS != 0 && t.state.StartMS != 0 && i.StartMS != t.state.StartMS {
		return false
	}
	t.state.Draining = true
	return true
}

// RecordLimit records what an endpoint said to a gateway about its limit at the given time, unless something newer is known. It reports
// whether that changes the limit.
func (p *Planner) RecordLimit(i endpoint.Incarnation, limit endpoint.Limit, at time.Time) bool {
	t, ok := p.endpoints[i.ID]
	if !ok || !at.After(t.limitHeardAt) || i.StartMS != 0 && t.state.StartMS != 0 && i.StartMS != t.state.StartMS {
		return false
	}
	t.limitHeardAt = at
	if t.state.Limit == limit {
		return false
	}
	t.state.Limit = limit
	return true
}

// overLimit reports whether a model has more requests than its endpoint takes. The models there share the limit.
func (p *Planner) overLimit(t *trackedEndpoint, model string, now time.Time) bool {
	if !t.state.Limit.Named {
		return false
	}
	return p.demandByModel[model].arrivalRateAt(now)*float64(len(t.state.Models)) > t.state.Limit.PerSecond
}

// updateStoreConcurrency adjusts the estimated store concurrency from the duration of a finished load.
func (p *Planner) updateStoreConcurrency(t *trackedEndpoint, now time.Time) {
	engine := p.engines[t.state.Service]
	if t.source != SourceStore || !t.state.Holds(t.loading) || engine == nil {
		return
	}
	m, ok := engine.Model(t.loading)
	if !ok || m.StoreLoadTime <= 0 {
		return
	}
	switch ratio := float64(now.Sub(t.orderedAt)) / float64(m.StoreLoadTime); {
	case ratio > slowLoadRatio:
		p.storeConcurrency, p.lastSlowdown = min(p.storeConcurrency, max(1, int(math.Round(float64(t.concurrentStoreLoads)/ratio)))), now
	case ratio < fullSpeedRatio && t.concurrentStoreLoads >= p.storeConcurrency && now.Sub(p.lastSlowdown) > concurrencyProbeDelay:
		p.storeConcurrency = min(p.storeConcurrency+1, maxStoreConcurrency)
	}
}

// RecordDemand updates the demand of all models from the sum over all gateways. Models that aren't listed have no requests.
func (p *Planner) RecordDemand(all []Demand, now time.Time) {
	seen := make(map[string]bool, len(all))
	for _, d := range all {
		p.demandSeen = true
		seen[d.Model] = true
		l, ok := p.demandByModel[d.Model]
		if !ok {
			l = &modelDemand{service: d.Service}
			p.demandByModel[d.Model] = l
		}
		l.update(d, now)
	}
	for model, l := range p.demandByModel {
		if !seen[model] {
			l.update(Demand{}, now)
		}
	}
}

func (l *modelDemand) update(d Demand, now time.Time) {
	l.concurrency = max(l.concurrencyAt(now), float64(d.Running+d.Waiting))
	l.arrivalRate = l.arrivalRateAt(now) + float64(d.Arrivals)*math.Ln2/rateHalfLife.Seconds()
	l.missed = l.missedAt(now) + float64(d.Missed)
	l.resuming = l.resumingAfter(d.Resuming, now)
	l.updatedAt, l.waiting, l.running = now, d.Waiting, d.Running
	l.runningOn = make(map[string]bool, len(d.RunningOn))
	for _, id := range d.RunningOn {
		l.runningOn[id] = true
	}
	if d.Arrivals > 0 || d.Running+d.Waiting > 0 {
		l.lastUsed = now
	}
}

// concurrencyAt returns the model's concurrent requests, which decay slowly after a peak.
func (l *modelDemand) concurrencyAt(now time.Time) float64 {
	if l == nil || l.updatedAt.IsZero() {
		return 0
	}
	value := l.concurrency * math.Exp2(-float64(now.Sub(l.updatedAt))/float64(demandHalfLife))
	if value < 0.05 {
		return 0
	}
	return value
}

// missedAt returns the decayed number of requests that were told to retry later.
func (l *modelDemand) missedAt(now time.Time) float64 {
	if l == nil || l.updatedAt.IsZero() {
		return 0
	}
	return l.missed * math.Exp2(-float64(now.Sub(l.updatedAt))/float64(missedHalfLife))
}

// arrivalRateAt returns the model's requests per second, averaged over about ten seconds.
func (l *modelDemand) arrivalRateAt(now time.Time) float64 {
	if l == nil || l.updatedAt.IsZero() {
		return 0
	}
	return l.arrivalRate * math.Exp2(-float64(now.Sub(l.updatedAt))/float64(rateHalfLife))
}

// idle reports whether the model has no requests and had none within idleGracePeriod.
func (l *modelDemand) idle(now time.Time) bool {
	return l == nil || l.waiting+l.running == 0 && now.Sub(l.lastUsed) > idleGracePeriod
}

// RecordOutcome records the outcome of an order.
func (p *Planner) RecordOutcome(o Order, outcome Outcome, now time.Time) {
	t, ok := p.endpoints[o.Endpoint]
	if !ok {
		return
	}
	t.awaitingReply = false
	if outcome == OutcomeAccepted {
		t.orderedAt = now
		return
	}
	// What the endpoint holds is only known from its next report.
	t.loading, t.unloading, t.reservedFor, t.backoffUntil = "", "", "", now.Add(reportLag)
	if outcome == OutcomeRefused {
		t.backoffUntil = now.Add(refusalBackoff)
	}
}

// IDsAt returns the IDs of the endpoints at an address. There is more than one while the platform still lists a former endpoint.
func (p *Planner) IDsAt(address string) []string { return p.idsByAddress[address] }

// Len returns the number of endpoints.
func (p *Planner) Len() int { return len(p.endpoints) }

// Endpoint returns the last known state of an endpoint.
func (p *Planner) Endpoint(id string) (endpoint.State, bool) {
	t, ok := p.endpoints[id]
	if !ok {
		return endpoint.State{}, false
	}
	return t.state, true
}

// Addresses returns the addresses of the endpoints whose service has an engine.
func (p *Planner) Addresses() []string {
	var all []string
	for _, t := range p.endpoints {
		if p.engines[t.state.Service] != nil {
			all = append(all, t.state.Address)
		}
	}
	return all
}

// Endpoints returns the state of each endpoint, without models that are being unloaded.
func (p *Planner) Endpoints(now time.Time) []endpoint.State {
	all := make([]endpoint.State, 0, len(p.endpoints))
	for _, t := range p.endpoints {
		state := t.state
		if t.unloading != "" {
			state.Models = slices.DeleteFunc(slices.Clone(state.Models), func(m endpoint.Model) bool { return m.Name == t.unloading })
		}
		if now.Sub(t.reportedAt) > maxReportAge {
			state.Load = nil
		}
		state.Loading, state.LoadingLeft = t.loading, max(0, t.loadDueAt.Sub(now))
		all = append(all, state)
	}
	slices.SortFunc(all, func(a, b endpoint.State) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}
