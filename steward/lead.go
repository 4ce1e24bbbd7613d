package steward

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/logging"
	"burdocksaddle/pace"
	"burdocksaddle/quarantine"
	"burdocksaddle/scaling"
	"burdocksaddle/stream"
	"burdocksaddle/wirepb"
)

const (
	// leaderTick is how often the leader plans orders.
	leaderTick = 100 * time.Millisecond
	// listInterval is how often the leader reads the list of endpoints. All gateways must know of an endpoint's removal within 3 s.
	listInterval = 500 * time.Millisecond
	// maxEndpointReportAge and maxDemandAge are the ages at which an endpoint's and a gateway's last report are dropped.
	maxEndpointReportAge = 2 * time.Second
	maxDemandAge         = time.Second
	quorumCheckTimeout   = 250 * time.Millisecond
	// orderTimeout bounds a call to a holder.
	orderTimeout    = time.Second
	resultQueueSize = 256
)

// leader is the state of the leader's loop. Only the loop's goroutine may use the planner.
type leader struct {
	*Steward
	results  chan func()
	tasks    sync.WaitGroup
	nextList time.Time
	listing  bool
	// plannedReportAt is the arrival time of the last report of each endpoint that was passed to the planner.
	plannedReportAt map[string]time.Time
	publishedAt     time.Time
	// unpublished is set while orders have changed something that has not been published.
	unpublished    bool
	plannerVersion uint64
	// assigning is set while a change of the holders is being committed. rebalancedAt starts the wait for the next rebalance: it is
	// when an assignment that allowed rebalancing last changed, or when this steward began to lead.
	assigning    bool
	rebalancedAt time.Time
	// lastListed is when each address was last on the list of endpoints, listReadAt when the list was last read.
	lastListed map[string]time.Time
	listReadAt time.Time
	// notDrainingAt is when the last read of the list began that showed an endpoint as not draining, by its ID.
	notDrainingAt map[string]time.Time
	// evidence is what gateways reported on crashes, publishedSuspects are the parts that they were asked about last. quarantining is set
	// while a change of the quarantine is being committed.
	evidence             *quarantine.Evidence
	publishedSuspects    []uint64
	quarantining         bool
	nextQuarantineUpdate time.Time
	// softwareTracker decides on the committed software versions, committingSoftware is set while a change of them is being committed.
	softwareTracker    stream.SoftwareTracker
	committingSoftware bool
	// loggedUnmet are the waits of resumed streams that were logged last.
	loggedUnmet map[scaling.ModelVersion]scaling.Obstacles
	// speeds estimates the speeds of the endpoints.
	speeds *pace.Estimator
}

// runLeader plans and issues orders while this steward leads. The returned channel receives a value once the loop has stopped.
func (s *Steward) runLeader(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	l := &leader{Steward: s, results: make(chan func(), resultQueueSize), plannedReportAt: map[string]time.Time{}, lastListed: map[string]time.Time{}, notDrainingAt: map[string]time.Time{}, evidence: quarantine.New(), speeds: pace.New()}
	go func() {
		l.run(ctx)
		done <- nil
	}()
	return done
}

func (l *leader) run(ctx context.Context) {
	ticker := time.NewTicker(leaderTick)
	defer ticker.Stop()
	// A task that is still running either sends its result to the buffered channel or sees the end of the context.
	defer l.tasks.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case result := <-l.results:
			result()
		case <-l.leaderWake:
			if now := time.Now(); l.updateLeadership(now) {
				l.processReports(now)
				l.updateQuarantine(ctx, now)
				l.plan(ctx, now)
			}
		case <-ticker.C:
			l.tick(ctx, time.Now())
		}
	}
}

func (l *leader) tick(ctx context.Context, now time.Time) {
	if !l.updateLeadership(now) {
		return
	}
	l.refreshList(ctx, now)
	l.processReports(now)
	l.assignHolders(ctx, now)
	l.updateQuarantine(ctx, now)
	l.updateSoftware(ctx, now)
	l.collectAdapterUse()
	l.updateSpeeds(now)
	l.plan(ctx, now)
	l.publish(now, false)
}

// plan issues the orders that the demand requires.
func (l *leader) plan(ctx context.Context, now time.Time) {
	l.planner.RecordDemand(l.collectDemand(now), now)
	l.planner.RecordStarts(l.recentStarts(now))
	l.recordLeaving(now)
	l.recordLimits(now)
	if !l.ordersAllowed(ctx) {
		return
	}
	unloads := false
	for _, o := range l.planner.Plan(now) {
		l.dispatchOrder(ctx, o)
		unloads = unloads || o.Unload
	}
	l.logUnmet()
	if unloads {
		l.publish(now, true) // gateways stop sending requests to what is being unloaded
	}
}

// updateLeadership reports whether this steward leads, and resets the leader's state when that changes.
func (l *leader) updateLeadership(now time.Time) bool {
	_, self := l.quorumLog.Leader()
	l.mu.Lock()
	defer l.mu.Unlock()
	if self != l.leading {
		l.leading, l.leadershipSince = self, now
		l.planner = scaling.New()
		l.plannerVersion, l.rebalancedAt = 0, now
		clear(l.lastReportAt)
		clear(l.readyFences)
		clear(l.lastListed)
		clear(l.notDrainingAt)
		for address := range l.holders.Holders {
			l.lastListed[address] = now
		}
		l.endpointView, l.turns = &endpoint.View{}, endpoint.NewTurns()
		l.resetQuotaLocked(now)
		l.evidence, l.publishedSuspects = quarantine.New(), nil
		l.softwareTracker = stream.SoftwareTracker{}
		l.crashReports, l.suspects = crashReports{}, nil
		l.speeds, l.paces = pace.New(), nil
		l.notifySubscribersLocked()
		l.log.Info("leadership changed", "leads", self)
	}
	if self && l.table != nil && l.table.Version != l.plannerVersion {
		l.planner.Configure(l.table)
		l.plannerVersion = l.table.Version
	}
	return self
}

// ordersAllowed reports whether a table is active and no other steward can be the leader.
func (l *leader) ordersAllowed(ctx context.Context) bool {
	if l.plannerVersion == 0 || !l.verifyQuorum(ctx) {
		return false
	}
	_, self := l.quorumLog.Leader()
	return self
}

func (l *leader) collectDemand(now time.Time) []scaling.Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := map[string]scaling.Demand{}
	for node, d := range l.demands {
		if now.Sub(d.at) > maxDemandAge {
			delete(l.demands, node)
			continue
		}
		for _, m := range d.models {
			sum := sums[m.GetModel()]
			sum.Service, sum.Model = m.GetService(), m.GetModel()
			sum.Arrivals += d.newRequests[m.GetModel()].received
			sum.Missed += d.newRequests[m.GetModel()].missed
			for software, missed := range d.newRequests[m.GetModel()].missedAt {
				sum.Resuming = append(sum.Resuming, scaling.Resuming{Software: software, Missed: missed})
			}
			delete(d.newRequests, m.GetModel())
			sum.Running += int(m.GetRunning())
			sum.Waiting += int(m.GetWaiting())
			for _, r := range m.GetResuming() {
				sum.Resuming = append(sum.Resuming, scaling.Resuming{Software: r.GetSoftware(), Waiting: int(r.GetWaiting())})
			}
			sum.RunningOn = append(sum.RunningOn, m.GetRunningAt()...)
			sums[m.GetModel()] = sum
		}
	}
	return slices.Collect(maps.Values(sums))
}

// recordLeaving marks the endpoints that told a gateway that they are leaving, so that the other gateways avoid them before the
// platform's list shows it.
func (l *leader) recordLeaving(now time.Time) {
	var leaving []endpoint.Incarnation
	l.mu.Lock()
	for _, d := range l.demands {
		for _, e := range d.leaving {
			leaving = append(leaving, endpoint.Incarnation{ID: e.GetId(), StartMS: e.GetBornMs()})
		}
	}
	l.mu.Unlock()
	marked := false
	for _, i := range leaving {
		if l.planner.RecordLeaving(i) {
			l.log.Info("endpoint is leaving", "endpoint", i.ID, "startMs", i.StartMS)
			marked = true
		}
	}
	if marked {
		l.publish(now, true)
	}
}

func (l *leader) refreshList(ctx context.Context, now time.Time) {
	if l.listing || now.Before(l.nextList) {
		return
	}
	l.listing, l.nextList = true, now.Add(listInterval)
	l.tasks.Go(func() {
		asked := time.Now()
		listed, unread, err := l.listEndpoints(ctx)
		l.postResult(ctx, func() {
			l.listing = false
			if err != nil {
				l.log.Info("reading the list of endpoints failed", "error", err.Error())
				return
			}
			if unread > 0 {
				l.log.V(1).Info("skipped invalid entries in the list of endpoints", "count", unread)
			}
			l.listReadAt = time.Now()
			for _, w := range listed {
				l.lastListed[w.Address] = l.listReadAt
			}
			l.recordNotDraining(listed, asked)
			l.planner.UpdateEndpoints(listed)
			l.planner.InitDemand(time.Now())
			l.updateSoftware(ctx, time.Now())
		})
	})
}

// postResult passes a result to the loop's goroutine.
func (l *leader) postResult(ctx context.Context, result func()) {
	select {
	case l.results <- result:
	case <-ctx.Done():
	}
}

// processReports passes new endpoint reports to the planner, and publishes at once if they show that an order is complete.
func (l *leader) processReports(now time.Time) {
	type arrival struct {
		address string
		endpointReport
	}
	var newReports []arrival
	l.mu.Lock()
	for address, r := range l.reports {
		switch {
		case now.Sub(r.at) > maxEndpointReportAge:
			delete(l.reports, address)
			delete(l.plannedReportAt, address)
		case r.at.After(l.plannedReportAt[address]):
			newReports = append(newReports, arrival{address, r})
		}
	}
	l.mu.Unlock()
	for _, r := range newReports {
		l.plannedReportAt[r.address] = r.at
		for _, id := range l.planner.IDsAt(r.address) {
			before, _ := l.planner.Endpoint(id)
			l.planner.RecordReport(id, endpoint.Report{
				StartMS: r.state.StartMS, Draining: r.state.Draining, Remaining: r.state.Remaining, Models: r.state.Models, Load: *r.state.Load,
			}, r.at)
			l.unpublished = l.unpublished || !r.state.SameOrders(before)
		}
	}
	if l.unpublished {
		l.publish(now, true)
	}
}

// dispatchOrder sends an order to the endpoint's holder.
func (l *leader) dispatchOrder(ctx context.Context, o scaling.Order) {
	target, _ := l.planner.Endpoint(o.Endpoint)
	term := l.quorumLog.Term()
	l.log.Info("order decided", "endpoint", o.Endpoint, "model", o.Model, "unload", o.Unload, "term", term,
		"source", o.Source.String(), "reason", o.Reason, "holder", target.Holder)
	frame := &wirepb.Frame{Body: &wirepb.Frame_EndpointOrder{EndpointOrder: &wirepb.EndpointOrder{
		Endpoint: o.Endpoint, Address: target.Address, Service: target.Service, Model: o.Model, Unload: o.Unload, Term: term,
		Reason: o.Reason, TakesMs: uint32(o.ExpectedDuration.Milliseconds()), FromCopy: !o.Unload && o.Source != scaling.SourceStore,
	}}}
	l.tasks.Go(func() {
		reply, err := l.pool.Call(ctx, target.Holder, frame, orderTimeout)
		outcome := scaling.OutcomeUnknown
		if err == nil {
			outcome = scaling.Outcome(reply.GetEndpointOrderReply().GetOutcome())
		}
		l.countOrder(o, outcome)
		l.postResult(ctx, func() {
			if outcome != scaling.OutcomeAccepted {
				l.log.Info("order not accepted", "endpoint", o.Endpoint, "model", o.Model, "unload", o.Unload,
					"outcome", outcome.String(), "answer", reply.GetEndpointOrderReply().GetError(), "error", logging.ErrorText(err))
			}
			l.planner.RecordOutcome(o, outcome, time.Now())
		})
	})
}

// publish updates the gateways' view of the endpoints, immediately or if publishInterval has passed, but never more often than
// publishIntervalPerEndpoint allows.
func (l *leader) publish(now time.Time, immediate bool) {
	since := now.Sub(l.publishedAt)
	if !immediate && since < publishInterval || since < time.Duration(l.planner.Len())*publishIntervalPerEndpoint {
		return
	}
	l.publishedAt, l.unpublished = now, false
	endpoints, missing := l.withDrainingSince(l.planner.Endpoints(now)), l.planner.MissingModels(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endpointView.Update(l.publishable(endpoints), missing, now)
	l.notifySubscribersLocked()
}

// publishInterval is how often gateways receive the endpoints' loads.
const publishInterval = 200 * time.Millisecond

// publishIntervalPerEndpoint is the minimum time between two publications for each endpoint. It limits the leader's processor time
// when there are thousands of endpoints, some of which change all the time.
const publishIntervalPerEndpoint = 10 * time.Microsecond
