package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/routing"
	"burdocksaddle/stream"
	"burdocksaddle/uplink"
	"burdocksaddle/wirepb"
)

const (
	// demandInterval is the interval of demand reports to the leader.
	demandInterval = 200 * time.Millisecond
	// maxEndpointsAge is the age of the leader's last endpoint state above which the platform's list is read
	// instead.
	maxEndpointsAge = 1200 * time.Millisecond
	listInterval    = time.Second
	watchInterval   = 100 * time.Millisecond
)

// Run maintains the streams to the stewards until the context ends; the returned channel then yields the result.
func (g *Gateway) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	uplinkEnded, checksEnded, quotaEnded := g.stewardLinks.Run(ctx), g.runCrashChecks(ctx), g.runQuota(ctx)
	go func() {
		g.runPeriodic(ctx)
		<-checksEnded
		<-quotaEnded
		ended <- <-uplinkEnded
	}()
	return ended
}

func (g *Gateway) runPeriodic(ctx context.Context) {
	var fetches sync.WaitGroup
	defer fetches.Wait()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	nextList, nextDemand := time.Time{}, time.Time{}
	listing, listed := false, make(chan struct{}, 1)
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.reportDemandNow:
			g.reportDemand()
		case <-listed:
			listing = false
		case now := <-ticker.C:
			g.reportStarts()
			if now.After(nextDemand) {
				nextDemand = now.Add(demandInterval)
				g.reportDemand()
			}
			if g.endpointsStale(now) && !listing && now.After(nextList) {
				nextList, listing = now.Add(listInterval), true
				fetches.Go(func() {
					g.fetchEndpointList(ctx)
					listed <- struct{}{}
				})
			}
		}
	}
}

// endpointsStale reports whether no leader has sent endpoint state for maxEndpointsAge.
func (g *Gateway) endpointsStale(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.endpointsUpdatedAt) > maxEndpointsAge
}

func (g *Gateway) fetchEndpointList(ctx context.Context) {
	listed, unparsed, err := g.listEndpoints(ctx)
	if err != nil {
		g.log.Info("failed to read the endpoint list", "error", err.Error())
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.endpointsUpdatedAt) <= maxEndpointsAge {
		return
	}
	all := len(listed)
	listed = g.withoutNewVersionsLocked(listed, time.Now())
	g.log.Info("using endpoints from the platform's list", "count", len(listed), "ofNewVersions", all-len(listed), "unread", unparsed)
	for i, state := range listed {
		known := g.endpoints[state.ID]
		listed[i].Holder, listed[i].Limit = known.Holder, known.Limit // the list does not contain them
		if known.Incarnation() == state.Incarnation() {
			listed[i].Speed = known.Speed
		}
	}
	g.setEndpointsLocked(listed, time.Now())
}

func (g *Gateway) onStewardLost(steward string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.stewardViews, steward)
	delete(g.resumption.receivers, steward)
	delete(g.resumption.committed, steward)
	if g.currentLeader == steward {
		g.currentLeader = ""
		g.crashes.forgetLeader()
	}
}

// reportDemand reports this gateway's demand by model to the leader.
func (g *Gateway) reportDemand() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.currentLeader == "" {
		return
	}
	report := &wirepb.DemandReport{}
	for _, model := range slices.Sorted(maps.Keys(g.demands)) {
		d := g.demands[model]
		var adapters []*wirepb.AdapterUse
		for used := range d.runningByAdapter {
			adapters = append(adapters, &wirepb.AdapterUse{Endpoint: used.endpoint, Adapter: used.adapter})
		}
		report.Models = append(report.Models, &wirepb.GatewayDemand{
			Service: d.service, Model: model, Came: uint32(d.arrivals), Running: uint32(d.running), Waiting: uint32(d.waiting), Missed: uint32(d.missed),
			RunningAt: slices.Sorted(maps.Keys(d.runningByEndpoint)), Adapters: adapters,
			Resuming: g.resumption.resumingLocked(d.service, model),
		})
	}
	report.Leaving = g.leavingLocked()
	now := time.Now()
	for _, heard := range g.notices.HeardLimits(g.endpoints) {
		report.Limits = append(report.Limits, &wirepb.EndpointLimit{
			Id: heard.ID, BornMs: heard.StartMS, Limited: heard.Named, PerSecond: heard.PerSecond, AgeMs: milliseconds(now.Sub(heard.HeardAt)),
		})
	}
	var reportedPaces []paceKey
	report.Paces, reportedPaces = g.pacesLocked(now)
	g.crashes.prune(now)
	told := g.crashes.fillReport(report, now)
	if !g.stewardLinks.Send(g.currentLeader, &wirepb.Frame{Body: &wirepb.Frame_DemandReport{DemandReport: report}}) {
		return // the previous report is still queued; keep the counts for the next one
	}
	told()
	if len(reportedPaces) > 0 {
		g.nextPaceReport = now.Add(paceInterval)
		g.metrics.GetOrCreateCounter(metricPaces).Add(len(reportedPaces))
	}
	for _, key := range reportedPaces {
		delete(g.paces, key)
	}
	clear(g.resumption.missed)
	for model, d := range g.demands {
		if d.arrivals, d.missed = 0, 0; d.running == 0 && d.waiting == 0 {
			delete(g.demands, model)
		}
	}
}

// leavingLocked returns the endpoints that told this gateway that they are leaving and that the leader does not show as draining.
func (g *Gateway) leavingLocked() []*wirepb.LeavingEndpoint {
	var leaving []*wirepb.LeavingEndpoint
	for _, i := range g.notices.Leaving() {
		if state, ok := g.endpoints[i.ID]; ok && !state.Draining {
			leaving = append(leaving, &wirepb.LeavingEndpoint{Id: i.ID, BornMs: i.StartMS})
		}
	}
	return leaving
}

// applySnapshot applies a steward's snapshot.
func (g *Gateway) applySnapshot(steward string, s *wirepb.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announcedVersion = max(g.announcedVersion, s.GetVersion())
	if g.resumption.receivers[steward] == nil {
		g.resumption.receivers[steward] = newStartReceiver()
	}
	g.resumption.heardAt = time.Now()
	if s.GetSoftware() != nil {
		g.resumption.committed[steward] = stream.SoftwareFromWire(s.GetSoftware())
	}
	if s.GetProven() && s.GetGateways() > 0 {
		g.setRetryBurst(int(s.GetGateways()))
		g.quotas.gateways = int(s.GetGateways())
	}
	if s.GetLeads() && g.currentLeader != steward {
		g.log.Info("leader changed", "leader", steward)
		g.currentLeader, g.leaderSince = steward, time.Now()
		g.crashes.forgetLeader()
	} else if !s.GetLeads() && g.currentLeader == steward {
		g.currentLeader = ""
		g.crashes.forgetLeader()
	}
	g.applyQuarantineLocked(s)
	if !s.GetLeads() || !s.GetHasEndpoints() {
		return
	}
	now, view := time.Now(), g.stewardViews[steward]
	if view == nil {
		view = &endpoint.SubscriberView{}
		g.stewardViews[steward] = view
	}
	if !view.Apply(s, now) || !s.GetProven() || len(view.States) == 0 {
		return
	}
	g.endpointsUpdatedAt, g.leaderView, g.resumption.listedSince = now, view, nil
	g.setEndpointsLocked(slices.Collect(maps.Values(view.States)), now)
}

// applyTable puts a table into force; a table is never replaced by an older one.
func (g *Gateway) applyTable(received uplink.Table) error {
	g.countTable(received)
	table, err := g.decodeTable(received.Raw)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if current := g.table.Load(); current != nil && current.Version >= table.Version {
		return nil
	}
	g.table.Store(table)
	g.tableUpdatedAt = time.Now()
	g.keepAnswerTimesLocked(table)
	fields := []any{
		"version", table.Version, "steward", received.Steward, "routes", len(table.Routes), "bytes", len(received.Raw),
		"transferredBytes", received.TransferredBytes, "ms", received.Took.Milliseconds(),
	}
	if table.Teams != nil {
		fields = append(fields, "teams", len(table.Teams.Teams()))
	}
	g.log.Info("table in force", fields...)
	g.notifyWaitersLocked()
	return nil
}

// setEndpointsLocked replaces the known endpoints.
func (g *Gateway) setEndpointsLocked(endpoints []endpoint.State, now time.Time) {
	known := make(map[string]endpoint.State, len(endpoints))
	for _, state := range endpoints {
		known[state.ID] = state
		g.resumption.versions.Record(stream.Origin{Service: state.Service, Software: state.Software}, now)
		if state.Load != nil {
			g.router.RecordReport(state.ID, routing.Report{Running: state.Load.Running, Waiting: state.Load.Waiting, Slots: state.Slots}, now)
		}
	}
	g.endpoints = known
	g.speedsChangedLocked()
	g.notices.Update(known, now)
	g.router.Prune(func(name string) bool { _, ok := known[name]; return ok })
	for location, until := range g.absentUntil {
		if now.After(until) {
			delete(g.absentUntil, location)
		}
	}
	g.notifyWaitersLocked()
}
