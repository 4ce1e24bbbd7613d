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
	// levelHalfLife is how fast a model's demand is forgotten; demand moves to other models within about 5 s.
	levelHalfLife = 4 * time.Second
	// rateHalfLife is the memory of how often an idle model is asked for.
	rateHalfLife = 10 * time.Second
	// replicaLoad is the number of concurrent requests that one replica serves well: a batch of 32 slows each token by about
	// a tenth, and an endpoint serves two or three models.
	replicaLoad = 12.0
	// gain is how much busier a model must be than the one it displaces, so that two models don't displace each other in turns.
	gain = 1.5
	// restFor is how long a model that nobody asks for any more stays where another one wants its only place.
	restFor = time.Second
	// storeSlots is the first guess at how many loads from the store run at full speed at a time, which the platform does not
	// tell; the loads themselves do. storeSlotsMost bounds it.
	storeSlots     = 4
	storeSlotsMost = 8
	// storeBurst is how many loads from the store may begin at once; the platform allows three above its rate.
	storeBurst = 3
	// A load from the store is slowed by others if it takes slowed times as long as it should, and not if it takes full times.
	slowed, full = 1.4, 1.15
	// triedAgain is how long after that one more load at a time is tried.
	triedAgain = time.Minute
	// missedHalfLife is how long a request that was told to come back speaks for its model.
	missedHalfLife = 5 * time.Second
	missedLeast    = 0.4
	// Spare room takes models that nobody holds at most this often, where a copy is at hand.
	spareEvery = 200 * time.Millisecond
	// orderTimeout is when an order without a report of its effect is given again; reports lag by some 100 ms.
	orderTimeout = 600 * time.Millisecond
	// reportLag is when an endpoint that did not take an order has reported anew.
	reportLag = 150 * time.Millisecond
	// refusedFor is for how long an endpoint gets no order after it refused one: it mostly is a new one at a former one's address,
	// which the platform's list shows after 0.8 s.
	refusedFor = 800 * time.Millisecond
	// reportMost is the age at which an endpoint's report says nothing any more.
	reportMost = 2 * time.Second
	// unheldMost is for how long an endpoint without a holder counts as it last reported: replacing a holder takes 2 s of silence,
	// a commit and the lease of 3 s that the former one may still have.
	unheldMost = 8 * time.Second
	// soon is how long a load from a copy may have to wait for its endpoint and still beat the store.
	soon = 1500 * time.Millisecond
	// incomingMost is how long room is kept for a model whose predecessor's runs still go on.
	incomingMost = 4 * time.Second
	// drainCost is what an unload takes that has to wait for runs to end, in seconds.
	drainCost = 3.0
	// planLag is the time from a first request to the order that its model needs, and from the load to what gateways see.
	planLag = 300 * time.Millisecond
)

// Planner is the aggregate; one owner changes it.
type Planner struct {
	endpoints map[string]*tracked
	// addresses are the endpoints' IDs by address.
	addresses map[string][]string
	levels    map[string]*level
	engines   map[string]*route.Engine
	// slots is how many loads from the store run at full speed at a time, as far as they have shown.
	slots int
	// slowedAt is when loads were last seen to slow each other; spared is when spare room was last used.
	slowedAt, spared time.Time
	// started tells that requests have come.
	started bool
	// rates bound how many loads from the store begin, by service.
	rates map[string]*rate.Limiter
}

// tracked is one endpoint with the orders that are under way.
type tracked struct {
	state    endpoint.State
	reported time.Time
	// loading is the model that was ordered and is not yet reported as held.
	loading string
	source  Source
	until   time.Time
	ordered time.Time
	leaving string
	// incoming is the model that the leaving one makes room for, until expires.
	incoming string
	expires  time.Time
	// asked tells that an order waits for its answer.
	asked bool
	quiet time.Time
	// beside is how many loads from the store were under way with this one.
	beside int
	// unheld tells that no steward may give it orders now.
	unheld bool
	// seen is when it was first planned with.
	seen time.Time
}

// level is a model's demand, in concurrent requests.
type level struct {
	service string
	value   float64
	rate    float64
	waiting int
	running int
	// missed counts the requests that were told to come back, falling.
	missed float64
	// places are the endpoints that run requests for it.
	places map[string]bool
	at     time.Time
	used   time.Time
}

// New makes a Planner that knows nothing yet.
func New() *Planner {
	return &Planner{endpoints: map[string]*tracked{}, addresses: map[string][]string{}, levels: map[string]*level{}, engines: map[string]*route.Engine{}, slots: storeSlots, rates: map[string]*rate.Limiter{}}
}

// Configure takes the engines of the configuration in force.
func (p *Planner) Configure(t *route.Table) {
	clear(p.engines)
	for _, s := range t.Services {
		if service, ok := t.Service(s.Name); ok && service.Engine != nil {
			p.engines[s.Name] = service.Engine
			p.limit(s.Name, service.Engine.LoadsPerSecond)
		}
	}
}

// limit sets how many loads from the store a service may begin in a second; 0 is no limit.
func (p *Planner) limit(service string, perSecond float64) {
	allowed := rate.Limit(perSecond)
	if perSecond <= 0 {
		allowed = rate.Inf
	}
	if known := p.rates[service]; known != nil {
		if known.Limit() != allowed {
			known.SetLimit(allowed)
		}
		return
	}
	p.rates[service] = rate.NewLimiter(allowed, storeBurst)
}

// List takes the platform's list; endpoints that are not on it are forgotten.
func (p *Planner) List(listed []endpoint.State) {
	known := make(map[string]bool, len(listed))
	for _, w := range listed {
		known[w.ID] = true
		t, ok := p.endpoints[w.ID]
		if !ok || t.state.Address != w.Address || w.Born != 0 && t.state.Born != 0 && w.Born > t.state.Born {
			t = &tracked{state: w}
			p.endpoints[w.ID] = t
			continue
		}
		t.state.Draining = t.state.Draining || w.Draining
		t.state.Remaining = w.Remaining
		if t.reported.IsZero() {
			t.state.Models = w.Models
		}
	}
	clear(p.addresses)
	for id, t := range p.endpoints {
		if !known[id] {
			delete(p.endpoints, id)
			continue
		}
		p.addresses[t.state.Address] = append(p.addresses[t.state.Address], id)
	}
}

// Hold sets the holder of each endpoint's orders, "" while no steward may give it any.
func (p *Planner) Hold(holder func(address string) string) {
	for _, t := range p.endpoints {
		t.state.Holder = holder(t.state.Address)
		t.unheld = t.state.Holder == ""
	}
}

// Prior takes the replicas that are there before any demand is seen for a sign of demand: the platform places busy models on
// many endpoints. It does nothing once there was demand.
func (p *Planner) Prior(now time.Time) {
	if p.started {
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
			p.levels[model] = &level{service: services[model], value: float64(n) * replicaLoad / gain, at: now, used: now}
		}
	}
}

// Report takes an endpoint's own report.
func (p *Planner) Report(id string, r endpoint.Report, now time.Time) {
	t, ok := p.endpoints[id]
	if !ok {
		return
	}
	if r.Born != 0 && t.state.Born != 0 && r.Born != t.state.Born {
		*t = tracked{state: t.state, unheld: t.unheld}
	}
	if r.Born != 0 {
		t.state.Born = r.Born
	}
	load := r.Load
	t.state.Load, t.state.Models, t.reported = &load, r.Models, now
	t.state.Draining = t.state.Draining || r.Draining
	settled := !load.Busy && now.Sub(t.ordered) > orderTimeout
	if t.loading != "" && (t.state.Holds(t.loading) || settled) {
		p.learn(t, now)
		t.loading = ""
	}
	if t.leaving != "" && (!t.state.Holds(t.leaving) || settled) {
		t.leaving = ""
	}
}

// learn takes from a load's time how many loads from the store run at full speed at a time.
func (p *Planner) learn(t *tracked, now time.Time) {
	engine := p.engines[t.state.Service]
	if t.source != SourceStore || !t.state.Holds(t.loading) || engine == nil {
		return
	}
	m, ok := engine.Model(t.loading)
	if !ok || m.FromStore <= 0 {
		return
	}
	switch ratio := float64(now.Sub(t.ordered)) / float64(m.FromStore); {
	case ratio > slowed:
		p.slots, p.slowedAt = min(p.slots, max(1, int(math.Round(float64(t.beside)/ratio)))), now
	case ratio < full && t.beside >= p.slots && now.Sub(p.slowedAt) > triedAgain:
		p.slots = min(p.slots+1, storeSlotsMost)
	}
}

// Demand takes what all gateways are asked for now; models that are not named have no requests.
func (p *Planner) Demand(all []Demand, now time.Time) {
	seen := make(map[string]bool, len(all))
	for _, d := range all {
		p.started = true
		seen[d.Model] = true
		l, ok := p.levels[d.Model]
		if !ok {
			l = &level{service: d.Service}
			p.levels[d.Model] = l
		}
		l.take(d, now)
	}
	for model, l := range p.levels {
		if !seen[model] {
			l.take(Demand{}, now)
		}
	}
}

func (l *level) take(d Demand, now time.Time) {
	l.value = max(l.now(now), float64(d.Running+d.Waiting))
	l.rate = l.rateNow(now) + float64(d.Came)*math.Ln2/rateHalfLife.Seconds()
	l.missed = l.missedNow(now) + float64(d.Missed)
	l.at, l.waiting, l.running = now, d.Waiting, d.Running
	l.places = make(map[string]bool, len(d.At))
	for _, id := range d.At {
		l.places[id] = true
	}
	if d.Came > 0 || d.Running+d.Waiting > 0 {
		l.used = now
	}
}

// now returns a model's concurrent requests, falling slowly after a peak.
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

// missedNow returns how many requests were told to come back of late.
func (l *level) missedNow(now time.Time) float64 {
	if l == nil || l.at.IsZero() {
		return 0
	}
	return l.missed * math.Exp2(-float64(now.Sub(l.at))/float64(missedHalfLife))
}

// rateNow returns how many requests a second a model gets, over some ten seconds.
func (l *level) rateNow(now time.Time) float64 {
	if l == nil || l.at.IsZero() {
		return 0
	}
	return l.rate * math.Exp2(-float64(now.Sub(l.at))/float64(rateHalfLife))
}

// idle tells that nobody asks for a model now, nor did a moment ago.
func (l *level) idle(now time.Time) bool {
	return l == nil || l.waiting+l.running == 0 && now.Sub(l.used) > restFor
}

// Answered notes what an endpoint said of an order.
func (p *Planner) Answered(o Order, outcome Outcome, now time.Time) {
	t, ok := p.endpoints[o.Endpoint]
	if !ok {
		return
	}
	t.asked = false
	if outcome == OutcomeAccepted {
		t.ordered = now
		return
	}
	// What the endpoint holds is known by its next report only.
	t.loading, t.leaving, t.incoming, t.quiet = "", "", "", now.Add(reportLag)
	if outcome == OutcomeRefused {
		t.quiet = now.Add(refusedFor)
	}
}

// At returns the endpoints that are listed at an address: more than one while the list still shows a former one.
func (p *Planner) At(address string) []string { return p.addresses[address] }

// Len returns the number of endpoints.
func (p *Planner) Len() int { return len(p.endpoints) }

// Endpoint returns what was last reported of an endpoint.
func (p *Planner) Endpoint(id string) (endpoint.State, bool) {
	t, ok := p.endpoints[id]
	if !ok {
		return endpoint.State{}, false
	}
	return t.state, true
}

// Addresses returns the addresses of the endpoints that hold models.
func (p *Planner) Addresses() []string {
	var all []string
	for _, t := range p.endpoints {
		if p.engines[t.state.Service] != nil {
			all = append(all, t.state.Address)
		}
	}
	return all
}

// Endpoints returns what is known of each endpoint, without models that are about to leave it.
func (p *Planner) Endpoints(now time.Time) []endpoint.State {
	all := make([]endpoint.State, 0, len(p.endpoints))
	for _, t := range p.endpoints {
		w := t.state
		if t.leaving != "" {
			w.Models = slices.DeleteFunc(slices.Clone(w.Models), func(m endpoint.Model) bool { return m.Name == t.leaving })
		}
		if now.Sub(t.reported) > reportMost {
			w.Load = nil
		}
		w.Loading, w.LoadingLeft = t.loading, max(0, t.until.Sub(now))
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b endpoint.State) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}
