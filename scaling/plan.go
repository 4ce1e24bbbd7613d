package scaling

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
)

// Plan returns the orders to give now, at most one an endpoint.
func (p *Planner) Plan(now time.Time) []Order {
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

// fleet is what one planning of a service works with.
type fleet struct {
	engine    *route.Engine
	now       time.Time
	endpoints []*tracked
	// replicas counts those that are being loaded too, serving only those that are there.
	replicas, serving map[string]int
	// presumed are the models at endpoints whose load is not known.
	presumed map[string]bool
	// store counts the loads from the store under way, slots those that run at full speed.
	store, slots int
	rate         *rate.Limiter
}

func (p *Planner) planService(service string, engine *route.Engine, now time.Time) []Order {
	f := fleet{engine: engine, now: now, replicas: map[string]int{}, serving: map[string]int{}, presumed: map[string]bool{}, slots: p.slots, rate: p.rates[service]}
	for _, id := range sortedKeys(p.endpoints) {
		t := p.endpoints[id]
		if t.state.Service != service || t.state.Draining {
			continue
		}
		if f.now.After(t.expires) {
			t.incoming = ""
		}
		if t.incoming != "" {
			f.replicas[t.incoming]++
		}
		if t.loading != "" {
			f.replicas[t.loading]++
			if t.source == SourceStore {
				f.store++
			}
		}
		if t.seen.IsZero() {
			t.seen = now
		}
		silent := now.Sub(t.reported) > reportMost
		if silent && !t.presumed(now) {
			continue // its replicas serve nobody
		}
		for _, m := range t.state.Models {
			if m.Name != t.leaving {
				f.replicas[m.Name]++
				f.serving[m.Name]++
				f.presumed[m.Name] = f.presumed[m.Name] || silent
			}
		}
		if !silent {
			f.endpoints = append(f.endpoints, t)
		}
	}
	orders := p.follow(&f)
	for range len(f.endpoints) {
		o, ok := p.next(&f)
		if !ok {
			break
		}
		orders = append(orders, o)
	}
	if o, ok := p.spare(&f); ok {
		orders = append(orders, o)
	}
	return orders
}

// follow returns the loads of the models that others have made room for.
func (p *Planner) follow(f *fleet) []Order {
	var orders []Order
	for _, t := range f.endpoints {
		if t.incoming == "" || t.busy(f.now) {
			continue
		}
		name := t.incoming
		m, ok := f.engine.Model(name)
		l := p.levels[name]
		n := need{model: m, pressure: l.now(f.now)}
		evict, _, fits := p.evictions(f, t, n)
		t.incoming = ""
		f.replicas[name]--
		if !ok || !fits || t.state.Holds(name) {
			continue
		}
		orders = append(orders, p.orderFor(f, t, n, evict))
	}
	return orders
}

// spare returns the order that puts a model which nobody holds into room that nobody needs: what is asked for now and then is
// then there at once. A model gives way only if it has replicas to spare.
func (p *Planner) spare(f *fleet) (Order, bool) {
	if f.now.Sub(p.spared) < spareEvery {
		return Order{}, false
	}
	var wanted []route.Model
	for _, m := range f.engine.Models {
		if f.replicas[m.Name] == 0 {
			wanted = append(wanted, m)
		}
	}
	slices.SortStableFunc(wanted, func(a, b route.Model) int {
		return cmp.Compare(p.levels[b.Name].rateNow(f.now), p.levels[a.Name].rateNow(f.now))
	})
	for _, m := range wanted {
		if !f.copied(m.Name) {
			continue
		}
		if o, ok := p.place(f, need{model: m, spare: true}); ok {
			p.spared = f.now
			return o, true
		}
	}
	return Order{}, false
}

// need is a model that wants one more replica.
type need struct {
	model route.Model
	// replicas is how many it has, those that are being loaded included; pressure is its requests for each.
	replicas int
	pressure float64
	// spare tells that nobody waits for it.
	spare bool
}

// swamped is from how many requests for each replica a model comes before those that have none, of which one or two requests wait
// for each: its callers leave within seconds, about as long as a load from the store takes.
const swamped = 3 * replicaLoad

// rank is lower for what goes first.
func (n need) rank() int {
	if n.replicas == 0 || n.pressure >= swamped {
		return 0
	}
	return 1
}

// crowd is how many requests that wait for a model are worth a load from the store beside one from a copy, whose endpoint may
// have to wait for runs of what gives way.
const crowd = 6.0

// crowdCost is what a full endpoint costs a new replica, in seconds of a load.
const crowdCost = 2.0

// An endpoint is crowded when requests wait there or crowdedShare of its slots are taken; models with crowdedLeast requests
// that have no other place get one.
const (
	crowdedShare = 0.85
	crowdedLeast = 2.0
)

// crowded tells whether every endpoint that holds a model is crowded, be it by requests for other models.
func (f *fleet) crowded(model string) bool {
	if f.presumed[model] {
		return false
	}
	for _, t := range f.endpoints {
		if t.state.Holds(model) && t.leaving != model && !t.crowded() {
			return false
		}
	}
	return true
}

func (t *tracked) crowded() bool {
	l := t.state.Load
	return l != nil && (l.Waiting > 0 || float64(l.Running) >= crowdedShare*float64(t.state.Slots))
}

// rareRate is how many requests a second a model gets at most whose only place may go to another replica of a busy one.
const rareRate = 0.05

// next returns the order that relieves the model with the most requests for each replica; swamped ones and those without any
// replica go first.
func (p *Planner) next(f *fleet) (Order, bool) {
	var needs []need
	for _, name := range sortedKeys(p.levels) {
		m, ok := f.engine.Model(name)
		if !ok {
			continue
		}
		l, n := p.levels[name], f.replicas[name]
		switch value := l.now(f.now); {
		case n == 0 && (l.waiting > 0 || l.missedNow(f.now) > missedLeast):
			needs = append(needs, need{model: m, pressure: value + l.missedNow(f.now)})
		case n > 0 && n < len(f.endpoints) && value > replicaLoad*float64(n):
			needs = append(needs, need{model: m, replicas: n, pressure: value / float64(n)})
		case n > 0 && n == f.serving[name] && value >= crowdedLeast && f.crowded(name):
			needs = append(needs, need{model: m, replicas: n, pressure: max(value/float64(n), replicaLoad)})
		}
	}
	slices.SortStableFunc(needs, func(a, b need) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(b.pressure, a.pressure))
	})
	for _, n := range needs {
		if o, ok := p.place(f, n); ok {
			return o, true
		}
	}
	return Order{}, false
}

// place finds the endpoint that can have a model soonest at the least loss.
func (p *Planner) place(f *fleet, n need) (Order, bool) {
	var best *tracked
	var bestEvict []string
	bestCost := 0.0
	copied := f.copied(n.model.Name)
	for _, t := range f.endpoints {
		if t.busy(f.now) || t.incoming != "" || t.state.Holds(n.model.Name) {
			continue
		}
		source := t.sourceOf(n.model.Name)
		if source == SourceStore && (n.spare || !f.storeFor(n, copied) || p.lastForAdapters(f, t)) {
			continue
		}
		evict, lost, ok := p.evictions(f, t, n)
		if !ok {
			continue
		}
		load := crowdCost * float64(t.state.Load.Running+t.state.Load.Waiting) / float64(max(t.state.Slots, 1))
		cost := loadTime(n.model, source).Seconds() + lost + load
		if best == nil || cost < bestCost {
			best, bestEvict, bestCost = t, evict, cost
		}
	}
	if best == nil {
		return Order{}, false
	}
	return p.orderFor(f, best, n, bestEvict), true
}

// lastForAdapters tells whether an endpoint is the last one that takes orders about the adapters of a model that is asked for:
// while it loads from the store, for seconds, it takes none.
func (p *Planner) lastForAdapters(f *fleet, t *tracked) bool {
	for _, m := range t.state.Models {
		known, ok := f.engine.Model(m.Name)
		if !ok || known.Adapters == 0 || p.levels[m.Name].now(f.now) == 0 {
			continue
		}
		others := slices.ContainsFunc(f.endpoints, func(o *tracked) bool {
			return o != t && !o.busy(f.now) && o.state.Holds(m.Name)
		})
		if !others {
			return true
		}
	}
	return false
}

// copied tells whether an endpoint without the model has a copy of its weights at hand and can use it soon.
func (f *fleet) copied(model string) bool {
	return slices.ContainsFunc(f.endpoints, func(t *tracked) bool {
		late := t.loading != "" && t.until.Sub(f.now) > soon
		return !late && !t.state.Holds(model) && t.sourceOf(model) != SourceStore
	})
}

// storeFor tells whether a load from the store may begin for a need. A first replica waits for an endpoint with a copy, which is
// there in a fraction of the time; further ones leave the store's last place to models that no endpoint has a copy of.
func (f *fleet) storeFor(n need, copied bool) bool {
	if f.rate.TokensAt(f.now) < 1 {
		return false
	}
	if n.replicas == 0 {
		return (!copied || n.pressure > crowd) && f.store < f.slots
	}
	if n.pressure >= swamped {
		return f.store < f.slots
	}
	return f.store < max(1, f.slots-1)
}

func (p *Planner) orderFor(f *fleet, t *tracked, n need, evict []string) Order {
	t.ordered, t.asked = f.now, true
	f.replicas[n.model.Name]++
	order := Order{Endpoint: t.state.ID}
	if len(evict) > 0 {
		t.leaving, t.incoming, t.expires = evict[0], n.model.Name, f.now.Add(incomingMost)
		f.replicas[t.leaving]--
		f.serving[t.leaving]--
		order.Model, order.Unload = t.leaving, true
		order.Reason = fmt.Sprintf("room for %s: %d replicas, %.1f requests each", n.model.Name, n.replicas, n.pressure)
		return order
	}
	source := t.sourceOf(n.model.Name)
	t.loading, t.source, t.until = n.model.Name, source, f.now.Add(loadTime(n.model, source))
	if source == SourceStore {
		f.store++
		f.rate.AllowN(f.now, 1)
		t.beside = f.store
	}
	order.Model, order.Source, order.Takes = n.model.Name, source, loadTime(n.model, source)
	order.Reason = fmt.Sprintf("%d replicas, %.1f requests each", n.replicas, n.pressure)
	return order
}

// evictions returns what must leave an endpoint for a model, the least needed first, and what is lost by it.
func (p *Planner) evictions(f *fleet, t *tracked, n need) (evict []string, lost float64, ok bool) {
	free := f.engine.MemoryMB - t.used(f.engine) - f.adapterRoom(t, n.model)
	type victim struct {
		model endpoint.Model
		loss  float64
	}
	var victims []victim
	for _, m := range t.state.Models {
		if loss, allowed := p.loss(f, m.Name, n); allowed {
			if l := p.levels[m.Name]; l != nil && l.places[t.state.ID] {
				loss += drainCost
			}
			victims = append(victims, victim{m, loss})
		}
	}
	slices.SortStableFunc(victims, func(a, b victim) int { return cmp.Compare(a.loss, b.loss) })
	for _, v := range victims {
		if free >= n.model.WeightsMB {
			break
		}
		evict = append(evict, v.model.Name)
		lost += v.loss
		if m, known := f.engine.Model(v.model.Name); known {
			free += m.WeightsMB
		}
		free += float64(len(v.model.Adapters)) * adapterMB(f.engine, v.model.Name)
	}
	return evict, lost, free >= n.model.WeightsMB
}

// adapterRoom is the memory that must stay free beside the weights, so that requests for adapters can be served.
func (f *fleet) adapterRoom(t *tracked, incoming route.Model) float64 {
	largest, held := 0.0, 0.0
	if incoming.Adapters > 0 {
		largest = incoming.AdapterMB
	}
	for _, m := range t.state.Models {
		if known, ok := f.engine.Model(m.Name); ok && known.Adapters > 0 {
			largest = max(largest, known.AdapterMB)
			held += float64(len(m.Adapters)) * known.AdapterMB
		}
	}
	return max(0, largest*float64(f.engine.AdapterSlots)-held)
}

// loss weighs what one replica less of a model costs: little while those that stay serve its requests well, more for the last
// one of a model that is asked for now and then; false where it must stay.
func (p *Planner) loss(f *fleet, model string, n need) (loss float64, allowed bool) {
	l, after := p.levels[model], f.serving[model]-1
	value := l.now(f.now)
	each := value / float64(max(after, 1))
	switch {
	case n.spare:
		return each, after >= 1 && each < replicaLoad/2
	case after <= 0:
		return 1 + 10*l.rateNow(f.now), l.idle(f.now) && (n.replicas == 0 || l.rateNow(f.now) < rareRate)
	}
	if n.replicas == 0 {
		return max(0, each-replicaLoad) + each/100, each <= 2*replicaLoad
	}
	return each / 10, each*gain <= n.pressure
}

// Expect returns how long until a model that no endpoint holds can serve, by the copies of its weights.
func (p *Planner) Expect(service, model string, now time.Time) (endpoint.Expected, bool) {
	engine := p.engines[service]
	if engine == nil {
		return endpoint.Expected{}, false
	}
	m, ok := engine.Model(model)
	if !ok {
		return endpoint.Expected{}, false
	}
	expected := endpoint.Expected{In: m.FromStore}
	for _, t := range p.endpoints {
		if t.state.Service != service || t.state.Draining || now.Sub(t.reported) > reportMost {
			continue
		}
		in := loadTime(m, t.sourceOf(model))
		if t.loading == model {
			in = max(0, t.until.Sub(now))
		}
		if in <= expected.In {
			expected = endpoint.Expected{In: in, Coming: t.loading == model || expected.Coming && in == expected.In}
		}
	}
	expected.In += planLag
	return expected, true
}

// Wanted returns the models that no endpoint holds, and when one could.
func (p *Planner) Wanted(now time.Time) map[string]endpoint.Expected {
	held := map[string]bool{}
	for _, t := range p.endpoints {
		for _, m := range t.state.Models {
			held[m.Name] = held[m.Name] || m.Name != t.leaving
		}
	}
	wanted := map[string]endpoint.Expected{}
	for service, engine := range p.engines {
		for _, m := range engine.Models {
			if held[m.Name] {
				continue
			}
			if expected, ok := p.Expect(service, m.Name, now); ok {
				wanted[m.Name] = expected
			}
		}
	}
	return wanted
}

// used is the memory that is taken at an endpoint, what is being loaded included.
func (t *tracked) used(engine *route.Engine) float64 {
	used := Used(engine, t.state.Models, t.state.Load)
	if m, ok := engine.Model(t.loading); ok && !t.state.Holds(t.loading) {
		used += m.WeightsMB
	}
	return used
}

// Used returns the memory in MB that models and adapters take, with those on their way.
func Used(engine *route.Engine, models []endpoint.Model, load *endpoint.Load) float64 {
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

// presumed tells whether an endpoint without a fresh report should hold what was last known of it: its first report is still to
// come, or nobody asks it for one since its holder is being replaced.
func (t *tracked) presumed(now time.Time) bool {
	if t.reported.IsZero() {
		return now.Sub(t.seen) <= reportMost
	}
	return t.unheld && now.Sub(t.reported) <= unheldMost
}

// busy tells that no order can be given now: nobody may give one, one is under way, or what the last one did is not known.
func (t *tracked) busy(now time.Time) bool {
	return t.unheld || t.state.Load == nil || t.state.Load.Busy || t.loading != "" || t.leaving != "" || t.asked || now.Before(t.quiet)
}

func (t *tracked) sourceOf(model string) Source {
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
	return map[Source]time.Duration{SourceMemory: m.FromMemory, SourceDisk: m.FromDisk, SourceStore: m.FromStore}[source]
}
