package steward

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/logging"
	"burdocksaddle/scaling"
	"burdocksaddle/wirepb"
)

const (
	// leadTick is how often the leader looks for orders to give.
	leadTick = 100 * time.Millisecond
	// listEvery is how often the leader reads the list; an endpoint that leaves must be known everywhere within 3 s.
	listEvery = 500 * time.Millisecond
	// reportMost and demandMost are the ages at which a holder's or a gateway's word is dropped.
	reportMost = 2 * time.Second
	demandMost = time.Second
	// provenMost is how old the proof of leadership may be for an order; a machine that wakes from a freeze has 300 ms.
	provenMost   = 150 * time.Millisecond
	proveTimeout = 250 * time.Millisecond
	// orderTimeout bounds a call to a holder.
	orderTimeout  = time.Second
	queuedResults = 256
)

// leader is the state of the leading duty; its one goroutine owns the planner.
type leader struct {
	*Steward
	results  chan func()
	running  sync.WaitGroup
	nextList time.Time
	listing  bool
	// taken is when the planner took each endpoint's last report.
	taken     map[string]time.Time
	published time.Time
	// news tells that orders changed something that was not published yet.
	news    bool
	version uint64
	// assigning tells that a change of the holders is being committed; balanced is when an endpoint was last moved.
	assigning bool
	balanced  time.Time
	// listed is when each address was last on the list, lastList when that was last read.
	listed   map[string]time.Time
	lastList time.Time
}

// lead is the duty that plans and gives orders while this steward leads; the channel gives its end.
func (s *Steward) lead(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	l := &leader{Steward: s, results: make(chan func(), queuedResults), taken: map[string]time.Time{}, listed: map[string]time.Time{}}
	go func() {
		l.run(ctx)
		ended <- nil
	}()
	return ended
}

func (l *leader) run(ctx context.Context) {
	ticker := time.NewTicker(leadTick)
	defer ticker.Stop()
	// Whoever still runs hands its result to a channel with room or sees the context's end.
	defer l.running.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case result := <-l.results:
			result()
		case <-l.wake:
			if now := time.Now(); l.leadsNow(now) {
				l.takeReports(now)
				l.plan(ctx, now)
			}
		case <-ticker.C:
			l.tick(ctx, time.Now())
		}
	}
}

func (l *leader) tick(ctx context.Context, now time.Time) {
	if !l.leadsNow(now) {
		return
	}
	l.readList(ctx, now)
	l.takeReports(now)
	l.assignHolders(ctx, now)
	l.gatherUse()
	l.plan(ctx, now)
	l.publish(now, false)
}

// plan gives the orders that the demand asks for.
func (l *leader) plan(ctx context.Context, now time.Time) {
	l.planner.Demand(l.demand(now), now)
	if !l.mayOrder(ctx) {
		return
	}
	unloads := false
	for _, o := range l.planner.Plan(now) {
		l.order(ctx, o)
		unloads = unloads || o.Unload
	}
	if unloads {
		l.publish(now, true) // gateways send no more to what leaves
	}
}

// leadsNow notes when this steward begins and ceases to lead.
func (l *leader) leadsNow(now time.Time) bool {
	_, self := l.shared.Leader()
	l.mu.Lock()
	defer l.mu.Unlock()
	if self != l.leads {
		l.leads, l.since = self, now
		l.planner = scaling.New()
		l.version, l.balanced = 0, now
		clear(l.heard)
		clear(l.ready)
		clear(l.listed)
		for address := range l.holders.Holders {
			l.listed[address] = now
		}
		l.view = &endpoint.View{}
		l.wakeLocked()
		l.log.Info("leadership changed", "leads", self)
	}
	if self && l.table != nil && l.table.Version != l.version {
		l.planner.Configure(l.table)
		l.version = l.table.Version
	}
	return self
}

// mayOrder tells whether a table is there and no other steward can lead.
func (l *leader) mayOrder(ctx context.Context) bool {
	if l.version == 0 || !l.provesQuorum(ctx) {
		return false
	}
	_, self := l.shared.Leader()
	return self
}

func (l *leader) demand(now time.Time) []scaling.Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := map[string]scaling.Demand{}
	for node, d := range l.demands {
		if now.Sub(d.at) > demandMost {
			delete(l.demands, node)
			continue
		}
		for _, m := range d.models {
			sum := sums[m.GetModel()]
			sum.Service, sum.Model = m.GetService(), m.GetModel()
			sum.Came += d.news[m.GetModel()].came
			sum.Missed += d.news[m.GetModel()].missed
			delete(d.news, m.GetModel())
			sum.Running += int(m.GetRunning())
			sum.Waiting += int(m.GetWaiting())
			sum.At = append(sum.At, m.GetRunningAt()...)
			sums[m.GetModel()] = sum
		}
	}
	return slices.Collect(maps.Values(sums))
}

func (l *leader) readList(ctx context.Context, now time.Time) {
	if l.listing || now.Before(l.nextList) {
		return
	}
	l.listing, l.nextList = true, now.Add(listEvery)
	l.running.Go(func() {
		listed, unread, err := l.list(ctx)
		l.finish(ctx, func() {
			l.listing = false
			if err != nil {
				l.log.Info("list of endpoints not read", "error", err.Error())
				return
			}
			if unread > 0 {
				l.log.V(1).Info("entries of the list not read", "count", unread)
			}
			l.lastList = time.Now()
			for _, w := range listed {
				l.listed[w.Address] = l.lastList
			}
			l.planner.List(listed)
			l.planner.Prior(time.Now())
		})
	})
}

// finish hands a result to the duty's own goroutine.
func (l *leader) finish(ctx context.Context, result func()) {
	select {
	case l.results <- result:
	case <-ctx.Done():
	}
}

// takeReports hands the holders' new words to the planner; what shows that an order is done is shown to the gateways at once.
func (l *leader) takeReports(now time.Time) {
	type arrival struct {
		address string
		endpointReport
	}
	var fresh []arrival
	l.mu.Lock()
	for address, r := range l.reports {
		switch {
		case now.Sub(r.at) > reportMost:
			delete(l.reports, address)
			delete(l.taken, address)
		case r.at.After(l.taken[address]):
			fresh = append(fresh, arrival{address, r})
		}
	}
	l.mu.Unlock()
	for _, r := range fresh {
		l.taken[r.address] = r.at
		for _, id := range l.planner.At(r.address) {
			before, _ := l.planner.Endpoint(id)
			l.planner.Report(id, endpoint.Report{
				Born: r.state.Born, Draining: r.state.Draining, Remaining: r.state.Remaining, Models: r.state.Models, Load: *r.state.Load,
			}, r.at)
			l.news = l.news || !r.state.SameOrders(before)
		}
	}
	if l.news {
		l.publish(now, true)
	}
}

// order gives one order through the endpoint's holder.
func (l *leader) order(ctx context.Context, o scaling.Order) {
	target, _ := l.planner.Endpoint(o.Endpoint)
	term := l.shared.Term()
	l.log.Info("order decided", "endpoint", o.Endpoint, "model", o.Model, "unload", o.Unload, "term", term,
		"source", o.Source.String(), "reason", o.Reason, "holder", target.Holder)
	frame := &wirepb.Frame{Body: &wirepb.Frame_EndpointOrder{EndpointOrder: &wirepb.EndpointOrder{
		Endpoint: o.Endpoint, Address: target.Address, Service: target.Service, Model: o.Model, Unload: o.Unload, Term: term,
		Reason: o.Reason, TakesMs: uint32(o.Takes.Milliseconds()), FromCopy: !o.Unload && o.Source != scaling.SourceStore,
	}}}
	l.running.Go(func() {
		reply, err := l.pool.Call(ctx, target.Holder, frame, orderTimeout)
		outcome := scaling.OutcomeUnknown
		if err == nil {
			outcome = scaling.Outcome(reply.GetEndpointOrderReply().GetOutcome())
		}
		l.countOrder(o, outcome)
		l.finish(ctx, func() {
			if outcome != scaling.OutcomeAccepted {
				l.log.Info("order not accepted", "endpoint", o.Endpoint, "model", o.Model, "unload", o.Unload,
					"outcome", outcome.String(), "answer", reply.GetEndpointOrderReply().GetError(), "error", logging.ErrorText(err))
			}
			l.planner.Answered(o, outcome, time.Now())
		})
	})
}

// publish shows the endpoints to the gateways, at once or when it is time.
func (l *leader) publish(now time.Time, atOnce bool) {
	since := now.Sub(l.published)
	if !atOnce && since < publishEvery || since < time.Duration(l.planner.Len())*publishCost {
		return
	}
	l.published, l.news = now, false
	endpoints, wanted := l.planner.Endpoints(now), l.planner.Wanted(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.view.Show(endpoints, wanted, now)
	l.wakeLocked()
}

// publishEvery is how often gateways see the endpoints' loads anew.
const publishEvery = 200 * time.Millisecond

// publishCost is the pause between two publications for each endpoint, so that thousands of them, of which some change all the
// time, take a part of the leader's processor only.
const publishCost = 10 * time.Microsecond
