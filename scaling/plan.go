package scaling

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
)

// Plan returns the orders to give now, at most one per endpoint.
func (p *Planner) Plan(now time.Time) []Order {
	clear(p.unmet)
	clear(p.resumedWaits)
	var orders []Order
	for _, service := range sortedKeys(p.engines) {
		orders = append(orders, p.planService(service, p.engines[service], now)...)
	}
	return orders
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// planState is the working state of one planning pass over a service.
type planState struct {
	engine    *route.Engine
	now       time.Time
	endpoints []*trackedEndpoint
	// replicas includes replicas that are being loaded; serving counts only those that can serve requests.
	replicas, serving map[string]int
	// replicasAt and servingAt count the same by software version.
	replicasAt, servingAt map[ModelVersion]int
	// capacity and servingCapacity are the sums of the speeds of these replicas' endpoints, where an unknown speed is 1.
	capacity, servingCapacity map[string]float64
	// assumedHeld contains models with replicas on endpoints whose current load is unknown.
	assumedHeld map[string]bool
	// storeLoads is the number of loads from the store in progress, storeLimit the number that run at full speed.
	storeLoads, storeLimit int
	storeLimiter           *rate.Limiter
}

func (p *Planner) planService(service string, engine *route.Engine, now time.Time) []Order {
	f := planState{engine: engine, now: now, replicas: map[string]int{}, serving: map[string]int{}, replicasAt: map[ModelVersion]int{}, servingAt: map[ModelVersion]int{}, capacity: map[string]float64{}, servingCapacity: map[string]float64{}, assumedHeld: map[string]bool{}, storeLimit: p.storeConcurrency, storeLimiter: p.storeLimiters[service]}
	for _, id := range sortedKeys(p.endpoints) {
		t := p.endpoints[id]
		if t.state.Service != service || t.state.Draining {
			continue
		}
		if f.now.After(t.reservationExpires) {
			t.reservedFor = ""
		}
		if t.reservedFor != "" {
			f.countReplica(t, t.reservedFor, 1)
		}
		if t.loading != "" {
			f.countReplica(t, t.loading, 1)
			if t.source == SourceStore {
				f.storeLoads++
			}
		}
		if t.firstPlanned.IsZero() {
			t.firstPlanned = now
		}
		silent := now.Sub(t.reportedAt) > maxReportAge
		if silent && !t.assumedCurrent(now) {
			continue // its replicas are assumed not to serve
		}
		for _, m := range t.state.Models {
			if m.Name != t.unloading && !p.overLimit(t, m.Name, now) {
				f.countReplica(t, m.Name, 1)
				f.countServing(t, m.Name, 1)
				f.assumedHeld[m.Name] = f.assumedHeld[m.Name] || silent
			}
		}
		if !silent {
			f.endpoints = append(f.endpoints, t)
		}
	}
	orders := p.loadReserved(&f)
	for range len(f.endpoints) {
		o, ok := p.nextOrder(&f)
		if !ok {
			break
		}
		orders = append(orders, o)
	}
	if o, ok := p.prefetchOrder(&f); ok {
		orders = append(orders, o)
	}
	p.updateResumedWaits(&f)
	return orders
}

// loadReserved returns the load orders for models whose reserved memory has become free.
func (p *Planner) loadReserved(f *planState) []Order {
	var orders []Order
	for _, t := range f.endpoints {
		if t.reservedFor == "" || t.busy(f.now) {
			continue
		}
		name := t.reservedFor
		m, ok := f.engine.Model(name)
		l := p.demandByModel[name]
		n := need{model: m, requestsPerReplica: l.concurrencyAt(f.now)}
		evict, _, fits := p.evictions(f, t, n)
		t.reservedFor = ""
		f.countReplica(t, name, -1)
		if !ok || !fits || t.state.Holds(name) {
			continue
		}
		orders = append(orders, p.createOrder(f, t, n, evict))
	}
	return orders
}

// prefetchOrder returns an order that loads a model without replicas into unneeded memory, so that rarely requested models can
// serve at once. It evicts only models that have surplus replicas.
func (p *Planner) prefetchOrder(f *planState) (Order, bool) {
	if f.now.Sub(p.lastPrefetch) < prefetchInterval {
		return Order{}, false
	}
	var wanted []route.Model
	for _, m := range f.engine.Models {
		if f.replicas[m.Name] == 0 {
			wanted = append(wanted, m)
		}
	}
	slices.SortStableFunc(wanted, func(a, b route.Model) int {
		return cmp.Compare(p.demandByModel[b.Name].arrivalRateAt(f.now), p.demandByModel[a.Name].arrivalRateAt(f.now))
	})
	for _, m := range wanted {
		if !f.copyAvailable(m.Name) {
			continue
		}
		if o, _, ok := p.place(f, need{model: m, prefetch: true}); ok {
			p.lastPrefetch = f.now
			return o, true
		}
	}
	return Order{}, false
}

// need is a model that needs another replica.
type need struct {
	model route.Model
	// replicas includes those being loaded; requestsPerReplica is the demand per replica, or the whole demand if there are none.
	replicas           int
	requestsPerReplica float64
	// prefetch reports whether no request is waiting for the model.
	prefetch bool
	// resuming reports whether resumed streams want the model at endpoints with the software version; they get it from a local copy unless
	// fromStore is set.
	resuming, fromStore bool
	software            string
}

// overloadedRequests is the number of requests per replica from which a model is as urgent as models without replicas, which have
// one or two waiting requests each. Its callers give up within seconds, about as long as a load from the store takes.
const overloadedRequests = 3 * targetConcurrency

// rank returns the priority of the need; lower ranks are served first.
func (n need) rank() int {
	if n.resuming && !n.fromStore {
		return -1
	}
	if n.replicas == 0 || n.requestsPerReplica >= overloadedRequests {
		return 0
	}
	return 1
}

// minWaitingForStore is the number of waiting requests that must be exceeded to load a model from the store although an endpoint has a
// local copy. That endpoint may first have to wait for running requests of the model it evicts.
const minWaitingForStore = 6.0

// fullEndpointCostSeconds is the cost of placing a replica on a fully utilized endpoint, in seconds of load time.
const fullEndpointCostSeconds = 2.0

// An endpoint is saturated when requests wait there or the share saturatedUtilization of its slots is in use. A model that has at
// least minSaturatedConcurrency requests and only saturated endpoints gets another replica.
const (
	saturatedUtilization    = 0.85
	minSaturatedConcurrency = 2.0
)

// saturated reports whether every endpoint that holds the model is saturated, including by requests for other models.
func (p *Planner) saturated(f *planState, model string) bool {
	if f.assumedHeld[model] {
		return false
	}
	for _, t := range f.endpoints {
		if t.state.Holds(model) && t.unloading != model && !p.overLimit(t, model, f.now) && !t.saturated() {
			return false
		}
	}
	return true
}

func (t *trackedEndpoint) saturated() bool {
	l := t.state.Load
	return l != nil && (l.Waiting > 0 || float64(l.Running) >= saturatedUtilization*float64(t.state.Slots))
}

// nextOrder returns the order for the most urgent need: overloaded models and those without replicas first, then by requests per
// replica.
func (p *Planner) nextOrder(f *planState) (Order, bool) {
	needs := p.resumingNeeds(f)
	for _, name := range sortedKeys(p.demandByModel) {
		m, ok := f.engine.Model(name)
		if !ok {
			continue
		}
		l, n := p.demandByModel[name], f.replicas[name]
		switch value := l.concurrencyAt(f.now); {
		case n == 0 && (l.waiting > 0 || l.missedAt(f.now) > minMissed):
			needs = append(needs, need{model: m, requestsPerReplica: value + l.missedAt(f.now)})
		case n > 0 && n < len(f.endpoints) && value > targetConcurrency*f.capacity[name]:
			needs = append(needs, need{model: m, replicas: n, requestsPerReplica: value / f.capacity[name]})
		case n > 0 && n == f.serving[name] && value >= minSaturatedConcurrency && p.saturated(f, name):
			needs = append(needs, need{model: m, replicas: n, requestsPerReplica: max(value/f.capacity[name], targetConcurrency)})
		}
	}
	slices.SortStableFunc(needs, func(a, b need) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(b.requestsPerReplica, a.requestsPerReplica))
	})
	for _, n := range needs {
		o, obstacles, ok := p.place(f, n)
		if ok {
			return o, true
		}
		if n.fromStore {
			p.unmet[ModelVersion{n.model.Name, n.software}] = obstacles
		}
	}
	return Order{}, false
}

// place returns the order for the endpoint where the model can be loaded at the lowest cost in load time and evictions, or what keeps the
// endpoints from loading it.
func (p *Planner) place(f *planState, n need) (o Order, obstacles Obstacles, ok bool) {
	var best *trackedEndpoint
	var bestEvict []string
	bestCost := 0.0
	hasCopy := f.copyAvailable(n.model.Name)
	if n.fromStore {
		hasCopy = p.copyAvailableAt(f, n)
	}
	for _, t := range f.endpoints {
		if n.resuming && t.state.Software != n.software {
			continue
		}
		obstacles.Endpoints++
		if t.busy(f.now) || t.reservedFor != "" || t.state.Limit.Named || t.state.Holds(n.model.Name) {
			obstacles.Busy++
			continue
		}
		source := t.sourceOf(n.model.Name)
		if source == SourceStore && (n.resuming && !n.fromStore || n.prefetch || !f.mayLoadFromStore(n, hasCopy) || p.lastAdapterEndpoint(f, t)) {
			obstacles.WithoutCopy++
			continue
		}
		evict, evictCost, fits := p.evictions(f, t, n)
		if !fits {
			obstacles.Full++
			continue
		}
		utilizationCost := fullEndpointCostSeconds * float64(t.state.Load.Running+t.state.Load.Waiting) / float64(max(t.state.Slots, 1))
		cost := loadTime(n.model, source).Seconds() + evictCost + utilizationCost + speedCost(n, t)
		if best == nil || cost < bestCost {
			best, bestEvict, bestCost = t, evict, cost
		}
	}
	if best == nil {
		return Order{}, obstacles, false
	}
	return p.createOrder(f, best, n, bestEvict), obstacles, true
}

// lastAdapterEndpoint reports whether the endpoint is the last one that accepts adapter orders for a model in demand. During a load
// from the store, which takes seconds, it accepts none.
func (p *Planner) lastAdapterEndpoint(f *planState, t *trackedEndpoint) bool {
	for _, m := range t.state.Models {
		known, ok := f.engine.Model(m.Name)
		if !ok || known.Adapters == 0 || p.demandByModel[m.Name].concurrencyAt(f.now) == 0 {
			continue
		}
		others := slices.ContainsFunc(f.endpoints, func(o *trackedEndpoint) bool {
			return o != t && !o.busy(f.now) && o.state.Holds(m.Name)
		})
		if !others {
			return true
		}
	}
	return false
}

// copyAvailable reports whether an endpoint without the model has a local copy of its weights and can load it soon.
func (f *planState) copyAvailable(model string) bool {
	return slices.ContainsFunc(f.endpoints, func(t *trackedEndpoint) bool {
		busyTooLong := t.loading != "" && t.loadDueAt.Sub(f.now) > maxCopyWait
		return !busyTooLong && !t.state.Holds(model) && t.sourceOf(model) != SourceStore
	})
}

// mayLoadFromStore reports whether a load from the store may start for the need. A first replica waits for an endpoint with a local
// copy, which loads in a fraction of the time. Further replicas leave the last store slot to models without any local copy.
func (f *planState) mayLoadFromStore(n need, hasCopy bool) bool {
	if f.storeLimiter.TokensAt(f.now) < 1 {
		return false
	}
	if n.replicas == 0 {
		return (!hasCopy || n.requestsPerReplica > minWaitingForStore && !n.resuming) && f.storeLoads < f.storeLimit
	}
	if n.requestsPerReplica >= overloadedRequests {
		return f.storeLoads < f.storeLimit
	}
	return f.storeLoads < max(1, f.storeLimit-1)
}

func (p *Planner) createOrder(f *planState, t *trackedEndpoint, n need, evict []string) Order {
	t.orderedAt, t.awaitingReply = f.now, true
	f.countReplica(t, n.model.Name, 1)
	order := Order{Endpoint: t.state.ID}
	if len(evict) > 0 {
		t.unloading, t.reservedFor, t.reservationExpires = evict[0], n.model.Name, f.now.Add(reservationTimeout)
		f.countReplica(t, t.unloading, -1)
		f.countServing(t, t.unloading, -1)
		order.Model, order.Unload = t.unloading, true
		order.Reason = fmt.Sprintf("room for %s: %s", n.model.Name, n.reason())
		return order
	}
	source := t.sourceOf(n.model.Name)
	t.loading, t.source, t.loadDueAt = n.model.Name, source, f.now.Add(loadTime(n.model, source))
	if source == SourceStore {
		f.storeLoads++
		f.storeLimiter.AllowN(f.now, 1)
		t.concurrentStoreLoads = f.storeLoads
	}
	order.Model, order.Source, order.ExpectedDuration = n.model.Name, source, loadTime(n.model, source)
	order.Reason = n.reason()
	return order
}

// Expect returns how long it takes until a model without replicas can serve, based on where copies of its weights are.
func (p *Planner) Expect(service, model string, now time.Time) (endpoint.Expected, bool) {
	engine := p.engines[service]
	if engine == nil {
		return endpoint.Expected{}, false
	}
	m, ok := engine.Model(model)
	if !ok {
		return endpoint.Expected{}, false
	}
	expected := endpoint.Expected{Wait: m.StoreLoadTime}
	for _, t := range p.endpoints {
		if t.state.Service != service || t.state.Draining || now.Sub(t.reportedAt) > maxReportAge {
			continue
		}
		in := loadTime(m, t.sourceOf(model))
		if t.loading == model {
			in = max(0, t.loadDueAt.Sub(now))
		}
		if in <= expected.Wait {
			expected = endpoint.Expected{Wait: in, Loading: t.loading == model || expected.Loading && in == expected.Wait}
		}
	}
	expected.Wait += planningDelay
	return expected, true
}

// MissingModels returns the models that no endpoint holds, and those that resumed streams want and no endpoint of their version holds, with
// the time until each could serve there.
func (p *Planner) MissingModels(now time.Time) map[endpoint.Absent]endpoint.Expected {
	held := map[string]bool{}
	for _, t := range p.endpoints {
		for _, m := range t.state.Models {
			held[m.Name] = held[m.Name] || m.Name != t.unloading
		}
	}
	missing := maps.Clone(p.resumedWaits)
	for service, engine := range p.engines {
		for _, m := range engine.Models {
			if held[m.Name] {
				continue
			}
			if expected, ok := p.Expect(service, m.Name, now); ok {
				missing[endpoint.Absent{Model: m.Name}] = expected
			}
		}
	}
	return missing
}

// usedMB returns the memory in use on the endpoint, including the model that is being loaded.
func (t *trackedEndpoint) usedMB(engine *route.Engine) float64 {
	used := MemoryUsedMB(engine, t.state.Models, t.state.Load)
	if m, ok := engine.Model(t.loading); ok && !t.state.Holds(t.loading) {
		used += m.WeightsMB
	}
	return used
}

// MemoryUsedMB returns the memory in MB that models and adapters use, including adapters that are being loaded.
func MemoryUsedMB(engine *route.Engine, models []endpoint.Model, load *endpoint.Load) float64 {
	used := 0.0
	for _, m := range models {
		if model, ok := engine.Model(m.Name); ok {
			used += model.WeightsMB + float64(len(m.Adapters))*model.AdapterMB
		}
	}
	if load != nil {
		for _, a := range load.Pending {
			used += adapterMB(engine, a.Model)
		}
	}
	return used
}

func adapterMB(engine *route.Engine, model string) float64 {
	m, _ := engine.Model(model)
	return m.AdapterMB
}

// assumedCurrent reports whether the last known models of an endpoint without a recent report still count: its first report is
// outstanding, or it isn't polled because its holder is being replaced.
func (t *trackedEndpoint) assumedCurrent(now time.Time) bool {
	if t.reportedAt.IsZero() {
		return now.Sub(t.firstPlanned) <= maxReportAge
	}
	return t.unheld && now.Sub(t.reportedAt) <= maxUnheldAge
}

// busy reports whether no order can be given now: no steward may, one is in progress, or the effect of the last one is unknown.
func (t *trackedEndpoint) busy(now time.Time) bool {
	return t.unheld || t.state.Load == nil || t.state.Load.Busy || t.loading != "" || t.unloading != "" || t.awaitingReply || now.Before(t.backoffUntil)
}

func (t *trackedEndpoint) sourceOf(model string) Source {
	switch {
	case t.state.Load == nil:
		return SourceStore
	case slices.Contains(t.state.Load.InMemory, model):
		return SourceMemory
	case slices.Contains(t.state.Load.OnDisk, model):
		return SourceDisk
	}
	return SourceStore
}

func loadTime(m route.Model, source Source) time.Duration {
	return map[Source]time.Duration{SourceMemory: m.MemoryLoadTime, SourceDisk: m.DiskLoadTime, SourceStore: m.StoreLoadTime}[source]
}
