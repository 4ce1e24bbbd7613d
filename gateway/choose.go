package gateway

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocksaddle/endpoint"
	"burdocksaddle/logging"
	"burdocksaddle/route"
	"burdocksaddle/routing"
	"burdocksaddle/stream"
	"burdocksaddle/wirepb"
)

const (
	// absentTTL is how long an endpoint's report that it does not hold a model overrides the stewards' view, which
	// lags by about as much.
	absentTTL = 500 * time.Millisecond
	// adapterLoadTime is the time an adapter takes to load once ordered, by the data sheets, plus a margin.
	adapterLoadTime    = 12 * time.Millisecond
	adapterCallTimeout = 500 * time.Millisecond
)

// choice is the endpoint selected for a request.
type choice struct {
	endpoint routing.Endpoint
	state    endpoint.State
	query    routing.Request
	// needsAdapter is set if the adapter must be loaded first.
	needsAdapter bool
	// limit is the endpoint's limit; if it named one, the request needs a turn.
	limit endpoint.Limit
	// byWork is set if the endpoints of the service were compared by work.
	byWork bool
	// held is set if there is none because the request must wait for other long prompts.
	held bool
}

// availability is what the endpoints of a request's service offer, whether or not one can execute it now.
type availability struct {
	// softwareServes is set if an endpoint runs the software version at which the request's stream began.
	softwareServes bool
	// modelHeld is set if an endpoint holds the request's model and may be used.
	modelHeld bool
	// pausedUntil is when the first endpoint with the request's model takes requests again, if all asked for a pause or are at their
	// limits; else the zero time.
	pausedUntil time.Time
	// limitedRate is the sum of the limits of the endpoints with the request's model that named one, in requests a second.
	limitedRate float64
	// held is set if the request must wait because of the long prompts that endpoints prefill.
	held bool
}

// Causes of a wait for an endpoint, in logs.
const (
	waitVersion = "Version"
	waitModel   = "Model"
	waitPause   = "Pause"
	waitTurn    = "Turn"
	waitPrompts = "Prompts"
	waitSlot    = "Slot"
)

// waitCause returns what a request waits for that no endpoint can execute now; behind is set if others are due first at an endpoint with a limit.
func (a *availability) waitCause(behind bool) string {
	switch {
	case !a.softwareServes:
		return waitVersion
	case behind:
		return waitTurn
	case a.held:
		return waitPrompts
	case !a.modelHeld && !a.pausedUntil.IsZero():
		return waitPause
	case !a.modelHeld:
		return waitModel
	}
	return waitSlot
}

// resumedWait returns what a resumed stream waits for; chosen is set if an endpoint was found.
func (a *availability) resumedWait(chosen bool, model string) resumedWait {
	switch {
	case chosen || !a.softwareServes:
		return resumedWaitNone
	case a.modelHeld:
		return resumedWaitSlot
	case model != "" && a.pausedUntil.IsZero():
		return resumedWaitModel
	}
	return resumedWaitNone
}

// chooseLocked selects an endpoint of a service that can execute a request now; origin is where its stream began, nil for a new one. Endpoints
// that are leaving are used only if no other can.
func (g *Gateway) chooseLocked(q *Request, service string, origin *stream.Origin, avoid []string, now time.Time) (c choice, found availability, ok bool) {
	several := g.severalVersionsLocked(service, now)
	if several && origin != nil && origin.Software == "" {
		// The stream began at an endpoint whose version was not known yet, which is no reason to take two such endpoints for the same.
		return choice{}, availability{}, false
	}
	byUse, found := g.candidatesLocked(q, service, origin, now)
	if several && origin == nil && len(g.resumption.waiting) > 0 {
		for use, among := range byUse {
			byUse[use] = among.without(func(e routing.Endpoint) bool { return g.resumption.neededLocked(g.endpoints[e.Name]) })
		}
	}
	for _, use := range []endpoint.Use{endpoint.UseNormal, endpoint.UseLimited, endpoint.UseLast} {
		if several && origin == nil {
			if c, ok = g.chooseAmongLocked(q, g.withFreeSlotsLocked(byUse[use], avoid, now), avoid, now); ok {
				return c, found, true
			}
		}
		if c, ok = g.chooseAmongLocked(q, byUse[use], avoid, now); ok {
			return c, found, true
		}
		if c.held {
			found.held = true
			break // it does not go to a leaving endpoint instead
		}
	}
	return choice{}, found, false
}

// resumeReserve is the share of an endpoint's slots that new requests leave to resumed streams while another endpoint can serve them: a
// resumed stream can only go to endpoints of its version, a new one to any.
const resumeReserve = 1.0 / 8

// withFreeSlotsLocked returns the candidates that have more than resumeReserve of their slots free, without those to avoid.
func (g *Gateway) withFreeSlotsLocked(all candidates, avoid []string, now time.Time) candidates {
	return all.without(func(e routing.Endpoint) bool {
		load := g.router.Load(e, now)
		if reported := g.endpoints[e.Name].Load; reported != nil {
			load = max(load, float64(reported.Running+reported.Waiting)) // the router ignores reports on endpoints that it has not considered before
		}
		return slices.Contains(avoid, e.Name) || load+1 > (1-resumeReserve)*float64(e.Slots)
	})
}

// candidates are endpoints that hold a request's model.
type candidates struct{ ready, withoutAdapter []routing.Endpoint }

// without returns the candidates that a function does not match.
func (c candidates) without(matches func(routing.Endpoint) bool) candidates {
	return candidates{slices.DeleteFunc(slices.Clone(c.ready), matches), slices.DeleteFunc(slices.Clone(c.withoutAdapter), matches)}
}

// candidatesLocked returns the endpoints that may be used for a request, by their Use.
func (g *Gateway) candidatesLocked(q *Request, service string, origin *stream.Origin, now time.Time) (byUse [endpoint.UseNever]candidates, found availability) {
	for _, state := range g.endpoints {
		if state.Service != service || origin != nil && state.Software != origin.Software {
			continue
		}
		if state.Draining && (origin == nil || !g.mayTakeUpLocked(state, now)) {
			continue
		}
		found.softwareServes = true
		if q.Model != "" && !state.Holds(q.Model) {
			continue
		}
		use := g.notices.UseOf(state, q.Arrived, now)
		if state.Draining {
			use = max(use, endpoint.UseLast)
		}
		if use == endpoint.UseNever {
			found.addPause(g.notices.PausedUntil(state.Address), now)
			continue
		}
		if limit := g.limitOfLocked(state, now); limit.Named {
			found.limitedRate += limit.PerSecond
			if until := g.notices.NoTurnUntil(state.Incarnation()); until.After(now) {
				found.addPause(until, now)
				continue
			}
			use = max(use, endpoint.UseLimited)
		}
		found.modelHeld = true
		if now.Before(g.absentUntil[modelLocation{state.ID, q.Model, ""}]) {
			continue // wait briefly: the model may be loaded soon
		}
		e := routing.Endpoint{Name: state.ID, DataCentre: state.DataCentre, Slots: state.Slots, Incarnation: uint64(state.StartMS), Speed: state.Speed}
		wanted := endpoint.Adapter{Model: q.Model, Name: q.Adapter}
		if q.Adapter == "" || state.HoldsAdapter(wanted) && now.After(g.absentUntil[modelLocation{state.ID, q.Model, q.Adapter}]) {
			byUse[use].ready = append(byUse[use].ready, e)
		} else if use != endpoint.UseLast && state.Holder != "" && state.Loading == "" && (state.Load == nil || !state.Load.Busy) {
			// No adapter can be loaded while the endpoint loads or unloads a model, while its holder is unavailable, or
			// once the endpoint is leaving.
			byUse[use].withoutAdapter = append(byUse[use].withoutAdapter, e)
		}
	}
	return byUse, found
}

// addPause takes the end of a paused endpoint's pause into account.
func (a *availability) addPause(until, now time.Time) {
	if until.After(now) && (a.pausedUntil.IsZero() || until.Before(a.pausedUntil)) {
		a.pausedUntil = until
	}
}

func (g *Gateway) chooseAmongLocked(q *Request, among candidates, avoid []string, now time.Time) (choice, bool) {
	query := routing.Request{
		Adapter: q.Adapter, PromptPrefix: q.PromptPrefix, Avoid: avoid, PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens, Prefixes: q.Prefixes, MaxGap: q.maxGap, MayWait: q.mayWait(now),
	}
	e, ok := g.router.Choose(query, among.ready, now)
	switch {
	case ok:
		return g.newChoiceLocked(e, query, now), true
	case e.Name != "":
		return choice{held: true}, false
	}
	query.MayWait = 0
	if e, found := g.chooseAdapterEndpointLocked(query, among.withoutAdapter, now); found {
		c := g.newChoiceLocked(e, query, now)
		c.needsAdapter = true
		return c, true
	}
	return choice{}, false
}

func (g *Gateway) newChoiceLocked(e routing.Endpoint, query routing.Request, now time.Time) choice {
	state := g.endpoints[e.Name]
	return choice{endpoint: e, state: state, query: query, limit: g.limitOfLocked(state, now), byWork: g.speedServices[state.Service]}
}

// chooseAdapterEndpointLocked selects the endpoint that loads an adapter. All gateways prefer the same one while it
// has capacity, so that endpoints do not evict adapters on each other's behalf.
func (g *Gateway) chooseAdapterEndpointLocked(query routing.Request, candidates []routing.Endpoint, now time.Time) (routing.Endpoint, bool) {
	slices.SortFunc(candidates, func(a, b routing.Endpoint) int {
		return cmp.Compare(xxhash.Sum64String(query.Adapter+a.Name), xxhash.Sum64String(query.Adapter+b.Name))
	})
	for len(candidates) > 0 {
		if e, ok := g.router.Choose(query, candidates[:1], now); ok {
			return e, true
		}
		candidates = candidates[1:]
	}
	return routing.Endpoint{}, false
}

// loadAdapter asks the endpoint's holder to load an adapter and waits until it should be available.
func (g *Gateway) loadAdapter(ctx context.Context, target endpoint.State, q *Request) bool {
	frame := &wirepb.Frame{Body: &wirepb.Frame_AdapterCall{AdapterCall: &wirepb.AdapterCall{
		Endpoint: target.ID, Address: target.Address, Service: target.Service, Model: q.Model, Adapter: q.Adapter,
		Request: strings.ToValidUTF8(q.ID, "\uFFFD"),
	}}}
	g.count(metricAdapters)
	reply, err := g.pool.Call(ctx, target.Holder, frame, adapterCallTimeout)
	if err != nil || !reply.GetAdapterReply().GetAccepted() {
		g.log.Info("adapter not loaded", "id", q.ID, "endpoint", target.ID, "model", q.Model, "adapter", q.Adapter, "holder", target.Holder,
			"answer", reply.GetAdapterReply().GetError(), "error", logging.ErrorText(err))
		return false
	}
	if !reply.GetAdapterReply().GetHeld() {
		select {
		case <-time.After(adapterLoadTime):
		case <-ctx.Done():
			return false
		}
	}
	id := target.ID
	g.mu.Lock()
	defer g.mu.Unlock()
	if state, ok := g.endpoints[id]; ok {
		state.Models = endpoint.WithAdapter(state.Models, endpoint.Adapter{Model: q.Model, Name: q.Adapter})
		g.endpoints[id] = state
		delete(g.absentUntil, modelLocation{id, q.Model, q.Adapter})
	}
	return true
}

// modelLoadTimeLocked returns the time until a model that no endpoint holds can serve, as estimated by the leader or
// else for a load from the store; 0 while no leader is known.
func (g *Gateway) modelLoadTimeLocked(table *route.Table, service, model string) time.Duration {
	if expected, ok := g.leaderView.ExpectedTime(endpoint.Absent{Model: model}, time.Now()); ok {
		return expected
	}
	// Only the leader knows where cached copies are. Most models have one, and a new leader is about to report it,
	// so the store's load time would be too pessimistic.
	if g.currentLeader == "" {
		return 0
	}
	if s, ok := table.Service(service); ok && s.Engine != nil {
		if m, known := s.Engine.Model(model); known {
			return m.StoreLoadTime
		}
	}
	return 0
}

// mayWait returns how long the request may still wait because of other long prompts; what its own prompt takes is not available for that.
func (q *Request) mayWait(now time.Time) time.Duration {
	if q.maxHold == 0 {
		return 0
	}
	return q.maxHold - now.Sub(q.Arrived) - routing.PrefillTime(q.PromptTokens)
}
