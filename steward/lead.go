package steward

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"burdocksaddle/scaling"
	"burdocksaddle/wirepb"
	"burdocksaddle/worker"
)

const (
	// leadTick is how often the leader looks for orders to give.
	leadTick = 100 * time.Millisecond
	// listEvery and reportEvery are how often the leader reads the list and each worker's report; a worker that leaves must
	// be known everywhere within 3 s, and a model moves within some seconds.
	listEvery   = 500 * time.Millisecond
	reportEvery = 400 * time.Millisecond
	// settleEvery is how often a worker's report is read while an order to it is under way; reports lag by 100 ms.
	settleEvery = 100 * time.Millisecond
	// adapterTries bounds the orders for one gateway's call.
	adapterTries = 4
	// demandMost is the age at which a gateway's word on its demand is dropped.
	demandMost = time.Second
	// provenMost is how old the proof of leadership may be for an order; a machine that wakes from a freeze has 300 ms.
	provenMost   = 150 * time.Millisecond
	proveTimeout = 250 * time.Millisecond
	// holderMargin is added to the lease of the holder before: its last order may have been under way.
	holderMargin   = 700 * time.Millisecond
	queuedAdapters = 256
	queuedResults  = 256
)

// adapterAsk is a gateway's call for an adapter.
type adapterAsk struct {
	call  *wirepb.AdapterCall
	reply chan string
	tries int
}

// leader is the state of the leading duty; its one goroutine owns the planner.
type leader struct {
	*Steward
	results   chan func()
	running   sync.WaitGroup
	nextList  time.Time
	nextAsk   map[string]time.Time
	asking    map[string]bool
	listing   bool
	primed    bool
	published time.Time
	version   uint64
	// asks wait for the order to their worker that is under way.
	asks map[string][]*adapterAsk
}

// lead is the duty that plans and gives orders while this steward leads; the channel gives its end.
func (s *Steward) lead(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	l := &leader{
		Steward: s, results: make(chan func(), queuedResults), nextAsk: map[string]time.Time{}, asking: map[string]bool{},
		asks: map[string][]*adapterAsk{},
	}
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
		case ask := <-l.adapter:
			l.bringAdapter(ctx, ask)
		case <-l.wake:
			if now := time.Now(); l.leadsNow(now) {
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
	l.readReports(ctx, now)
	l.plan(ctx, now)
	l.publish(now, false)
}

// plan gives the orders that the demand asks for.
func (l *leader) plan(ctx context.Context, now time.Time) {
	l.planner.Demand(l.demand(now), now)
	if !l.mayOrder(ctx, now) {
		return
	}
	unloads := false
	for _, o := range l.planner.Plan(now) {
		l.order(ctx, o, nil)
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
		l.version, l.primed = 0, false
		l.workers = nil
		l.wakeLocked()
		l.log.Info("leadership changed", "leads", self)
	}
	if self && l.table != nil && l.table.Version != l.version {
		l.planner.Configure(l.table)
		l.version = l.table.Version
	}
	return self
}

// mayOrder tells whether no other holder's order can be recent and no other steward can lead.
func (l *leader) mayOrder(ctx context.Context, now time.Time) bool {
	if now.Sub(l.since) < l.config.HolderLease+holderMargin || l.version == 0 {
		return false
	}
	if now.Sub(l.proven) < provenMost {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, proveTimeout)
	defer cancel()
	start := time.Now()
	if _, err := l.shared.ReadBarrier(ctx); err != nil {
		l.log.Info("no orders without a quorum", "error", err.Error())
		return false
	}
	if _, self := l.shared.Leader(); !self || time.Since(start) > provenMost {
		return false
	}
	l.proven = start
	return true
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
			sum.Came += d.came[m.GetModel()]
			delete(d.came, m.GetModel())
			sum.Running += int(m.GetRunning())
			sum.Waiting += int(m.GetWaiting())
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
				l.log.Info("list of workers not read", "error", err.Error())
				return
			}
			if unread > 0 {
				l.log.V(1).Info("entries of the list not read", "count", unread)
			}
			l.planner.List(listed)
			if !l.primed && len(listed) > 0 {
				l.primed = true
				l.planner.Prior(time.Now())
			}
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

func (l *leader) readReports(ctx context.Context, now time.Time) {
	for _, w := range l.planner.Workers(now) {
		if !l.planner.Engine(w.Service) || l.asking[w.ID] || now.Before(l.nextAsk[w.ID]) {
			continue
		}
		every := reportEvery
		if l.planner.Unsettled(w.ID) {
			every = settleEvery
		}
		l.asking[w.ID], l.nextAsk[w.ID] = true, now.Add(every)
		l.running.Go(func() {
			report, err := l.report(ctx, w.Address)
			l.finish(ctx, func() {
				delete(l.asking, w.ID)
				if err != nil {
					l.log.V(1).Info("worker's report not read", "worker", w.ID, "error", err.Error())
					return
				}
				l.takeReport(ctx, w.ID, report)
			})
		})
	}
	for id, at := range l.nextAsk {
		if now.Sub(at) > demandMost && !l.asking[id] {
			delete(l.nextAsk, id)
		}
	}
}

// takeReport takes a worker's report and, where it shows that an order is done, plans and shows it at once.
func (l *leader) takeReport(ctx context.Context, id string, report worker.Report) {
	now := time.Now()
	before := l.planner.Unsettled(id)
	l.planner.Report(id, report, now)
	if before && !l.planner.Unsettled(id) && l.leadsNow(now) {
		l.publish(now, true)
		l.plan(ctx, now)
	}
	l.askAgain(ctx, id)
}

// order gives one order; then is called with what became of it.
func (l *leader) order(ctx context.Context, o scaling.Order, then func(scaling.Outcome)) {
	var target worker.State
	for _, w := range l.planner.Workers(time.Now()) {
		if w.ID == o.Worker {
			target = w
		}
	}
	fence := l.shared.Term()
	l.log.Info("order given", "worker", o.Worker, "model", o.Model, "adapter", o.Adapter, "unload", o.Unload,
		"sequence", o.Sequence, "fence", fence, "source", o.Source.String(), "reason", o.Reason)
	l.running.Go(func() {
		outcome, err := l.give(ctx, target, o, fence)
		l.finish(ctx, func() {
			if err != nil || outcome != scaling.OutcomeAccepted {
				l.log.Info("order not accepted", "worker", o.Worker, "model", o.Model, "adapter", o.Adapter,
					"outcome", outcome.String(), "error", errorText(err))
			}
			l.planner.Answered(o, outcome, time.Now())
			l.nextAsk[o.Worker] = time.Now().Add(settleEvery / 2)
			if then != nil {
				then(outcome)
			}
			l.askAgain(ctx, o.Worker)
		})
	})
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// bringAdapter gives the orders that bring an adapter to a worker and answers the gateway once the last one is accepted.
func (l *leader) bringAdapter(ctx context.Context, ask *adapterAsk) {
	now := time.Now()
	if !l.leadsNow(now) || !l.mayOrder(ctx, now) {
		ask.reply <- "this steward gives no orders"
		return
	}
	id, a := ask.call.GetWorker(), worker.Adapter{Model: ask.call.GetModel(), Name: ask.call.GetAdapter()}
	o, verdict := l.planner.Adapter(id, a, now)
	switch verdict {
	case scaling.VerdictNo:
		ask.reply <- "the worker takes no adapter now"
	case scaling.VerdictHeld, scaling.VerdictComing:
		ask.reply <- ""
	case scaling.VerdictWait:
		l.asks[id] = append(l.asks[id], ask)
	case scaling.VerdictOrder:
		if ask.tries++; ask.tries > adapterTries {
			l.planner.Answered(o, scaling.OutcomeRefused, now)
			ask.reply <- "the worker did not accept the orders"
			return
		}
		l.order(ctx, o, func(outcome scaling.Outcome) {
			if !o.Unload && (outcome == scaling.OutcomeAccepted || outcome == scaling.OutcomeHolds) {
				ask.reply <- ""
				return
			}
			l.bringAdapter(ctx, ask)
		})
	}
}

// askAgain goes on with the adapters that wait for an order to a worker.
func (l *leader) askAgain(ctx context.Context, id string) {
	waiting := l.asks[id]
	delete(l.asks, id)
	for _, ask := range waiting {
		l.bringAdapter(ctx, ask)
	}
}

// adapterFor takes a gateway's call for an adapter.
func (s *Steward) adapterFor(ctx context.Context, call *wirepb.AdapterCall) *wirepb.Frame {
	ask := &adapterAsk{call: call, reply: make(chan string, 1)}
	reply := &wirepb.AdapterReply{Error: "too many adapters are asked for"}
	select {
	case s.adapter <- ask:
		select {
		case reply.Error = <-ask.reply:
			reply.Accepted = reply.Error == ""
		case <-ctx.Done():
		}
	default:
	}
	return &wirepb.Frame{Body: &wirepb.Frame_AdapterReply{AdapterReply: reply}}
}

// publish shows the workers to the gateways, at once or when it is time.
func (l *leader) publish(now time.Time, atOnce bool) {
	workers, absent := l.planner.Workers(now), l.planner.Wanted(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workers, l.absent = workers, absent
	if atOnce || now.Sub(l.published) >= publishEvery {
		l.published = now
		l.wakeLocked()
	}
}

// publishEvery is how often gateways see the workers' loads anew.
const publishEvery = 200 * time.Millisecond
