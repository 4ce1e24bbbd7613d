package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocksaddle/endpoint"
	"burdocksaddle/logging"
	"burdocksaddle/route"
	"burdocksaddle/routing"
	"burdocksaddle/wirepb"
)

const (
	// absentFor is how long an endpoint's word that it lacks a model outweighs what the stewards show, which lags as long.
	absentFor = 500 * time.Millisecond
	// adapterWait is the time that an adapter takes from its order on, by the sheets, with a margin.
	adapterWait    = 12 * time.Millisecond
	adapterTimeout = 500 * time.Millisecond
)

// choice is the endpoint that was chosen for a request.
type choice struct {
	endpoint routing.Endpoint
	state    endpoint.State
	query    routing.Request
	// bring tells that the adapter must be brought first.
	bring bool
}

// chooseLocked picks an endpoint that can run a request now; held tells whether any endpoint holds its model.
func (g *Gateway) chooseLocked(q *Request, service string, avoid []string, now time.Time) (c choice, held, ok bool) {
	var having, others []routing.Endpoint
	for _, w := range g.endpoints {
		if w.Service != service || w.Draining {
			continue
		}
		if q.Model != "" && !w.Holds(q.Model) {
			continue
		}
		held = true
		if now.Before(g.absent[place{w.ID, q.Model, ""}]) {
			continue // it is worth a short wait
		}
		e := routing.Endpoint{Name: w.ID, DataCentre: w.DataCentre, Slots: w.Slots, Incarnation: uint64(w.Born)}
		wanted := endpoint.Adapter{Model: q.Model, Name: q.Adapter}
		if q.Adapter == "" || w.HoldsAdapter(wanted) && now.After(g.absent[place{w.ID, q.Model, q.Adapter}]) {
			having = append(having, e)
		} else if w.Holder != "" && w.Loading == "" && (w.Load == nil || !w.Load.Busy) {
			// An endpoint that loads or drops a model takes no orders about adapters, nor does one whose holder is away.
			others = append(others, e)
		}
	}
	query := routing.Request{Adapter: q.Adapter, Prefix: q.Prefix, Avoid: avoid}
	if e, found := g.router.Choose(query, having, now); found {
		return choice{endpoint: e, state: g.endpoints[e.Name], query: query}, held, true
	}
	if e, found := g.adapterHomeLocked(query, others, now); found {
		return choice{endpoint: e, state: g.endpoints[e.Name], query: query, bring: true}, held, true
	}
	return choice{}, held, false
}

// adapterHomeLocked picks the endpoint that an adapter is brought to: the same one for all gateways as long as it is free, so
// that endpoints don't drop adapters for each other's sake.
func (g *Gateway) adapterHomeLocked(query routing.Request, others []routing.Endpoint, now time.Time) (routing.Endpoint, bool) {
	slices.SortFunc(others, func(a, b routing.Endpoint) int {
		return cmp.Compare(xxhash.Sum64String(query.Adapter+a.Name), xxhash.Sum64String(query.Adapter+b.Name))
	})
	for len(others) > 0 {
		if e, ok := g.router.Choose(query, others[:1], now); ok {
			return e, true
		}
		others = others[1:]
	}
	return routing.Endpoint{}, false
}

// bringAdapter asks an endpoint's holder to have an adapter loaded and waits until it should be there.
func (g *Gateway) bringAdapter(ctx context.Context, w endpoint.State, q *Request) bool {
	frame := &wirepb.Frame{Body: &wirepb.Frame_AdapterCall{AdapterCall: &wirepb.AdapterCall{
		Endpoint: w.ID, Address: w.Address, Service: w.Service, Model: q.Model, Adapter: q.Adapter, Request: q.ID,
	}}}
	g.count(metricAdapters)
	reply, err := g.pool.Call(ctx, w.Holder, frame, adapterTimeout)
	if err != nil || !reply.GetAdapterReply().GetAccepted() {
		g.log.Info("adapter not brought", "id", q.ID, "endpoint", w.ID, "model", q.Model, "adapter", q.Adapter, "holder", w.Holder,
			"answer", reply.GetAdapterReply().GetError(), "error", logging.ErrorText(err))
		return false
	}
	if !reply.GetAdapterReply().GetHeld() {
		select {
		case <-time.After(adapterWait):
		case <-ctx.Done():
			return false
		}
	}
	id := w.ID
	g.mu.Lock()
	defer g.mu.Unlock()
	if w, ok := g.endpoints[id]; ok {
		w.Models = endpoint.WithAdapter(w.Models, endpoint.Adapter{Model: q.Model, Name: q.Adapter})
		g.endpoints[id] = w
		delete(g.absent, place{id, q.Model, q.Adapter})
	}
	return true
}

// loadTimeLocked returns how long until a model that no endpoint holds can serve, by the leader's word or else from the store;
// 0 while no leader is known.
func (g *Gateway) loadTimeLocked(table *route.Table, service, model string) time.Duration {
	if expected, ok := g.expecting.Expect(model, time.Now()); ok {
		return expected
	}
	// Without a leader's word nobody knows where copies are; most models have one, and a leader is about to tell.
	if g.leading == "" {
		return 0
	}
	if s, ok := table.Service(service); ok && s.Engine != nil {
		if m, known := s.Engine.Model(model); known {
			return m.FromStore
		}
	}
	return 0
}
