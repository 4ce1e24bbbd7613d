package control

import (
	"context"
	"time"

	"burdocksaddle/fleet"
	"burdocksaddle/placement"
	"burdocksaddle/wirepb"
)

const (
	// An agent that hasn't reported for this long gets no new replicas; agents send a heartbeat every 5 s.
	silentTimeout = 16 * time.Second
	// Limits the number of cached checkpoints taken from one report.
	maxCachedCheckpoints = 1024
)

type checkpointKey struct{ model, version string }

// agentReport is the latest report of an agent as received by the leader.
type agentReport struct {
	receivedAt       time.Time
	incarnation      uint64
	leaving          bool
	checkpoints      map[checkpointKey]placement.Source
	waitingAdapters  int
	missingEndpoints []string
}

// HandleReport records an agent's report and commits the parts that change the fleet.
func (m *Member) HandleReport(ctx context.Context, r *wirepb.Report) *wirepb.Frame {
	wakeNow := m.recordReport(r, time.Now())
	if r.GetFresh() && m.changesFleet(r) {
		return proposeReply(m.Propose(ctx, &wirepb.Command{Kind: &wirepb.Command_Report{Report: reportForLog(r)}}))
	}
	if wakeNow {
		m.wakePlanner()
	}
	return proposeReply(&wirepb.CommandResult{}, nil)
}

// reportForLog returns the parts of a report that belong in the log.
func reportForLog(r *wirepb.Report) *wirepb.Report {
	return &wirepb.Report{Endpoint: r.GetEndpoint(), Incarnation: r.GetIncarnation(), Sequence: r.GetSequence(), Replicas: r.GetReplicas(), Fresh: true}
}

// recordReport stores the parts of a report that are not in the log and reports whether the planner should run at
// once.
func (m *Member) recordReport(r *wirepb.Report, now time.Time) bool {
	checkpoints := make(map[checkpointKey]placement.Source, len(r.GetCached()))
	for _, checkpoint := range r.GetCached()[:min(len(r.GetCached()), maxCachedCheckpoints)] {
		source := placement.Disk
		if checkpoint.GetMemory() {
			source = placement.Memory
		}
		checkpoints[checkpointKey{checkpoint.GetModel(), checkpoint.GetVersion()}] = source
	}
	m.planner.mu.Lock()
	defer m.planner.mu.Unlock()
	previous := m.planner.reports[r.GetEndpoint()]
	if previous.incarnation > r.GetIncarnation() {
		return false
	}
	m.planner.reports[r.GetEndpoint()] = agentReport{
		receivedAt: now, incarnation: r.GetIncarnation(), leaving: r.GetLeaving(), checkpoints: checkpoints,
		waitingAdapters: int(r.GetAdaptersWaiting()), missingEndpoints: r.GetMissing(),
	}
	return r.GetLeaving() != previous.leaving || r.GetAdaptersWaiting() > 0
}

func (m *Member) changesFleet(r *wirepb.Report) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.machine.fleet.Changes(inventoryFromReport(r), 0)) > 0
}

// commitEndpointChanges commits which endpoints are leaving, silent or gone.
func (m *Member) commitEndpointChanges(ctx context.Context, now time.Time) {
	for _, change := range m.endpointChanges(now) {
		if _, err := m.Propose(ctx, &wirepb.Command{Kind: &wirepb.Command_EndpointChange{EndpointChange: change}}); err != nil {
			m.log.Error(err, "failed to commit endpoint change", "endpoint", change.GetEndpoint())
			return
		}
		m.log.Info("endpoint changed", "endpoint", change.GetEndpoint(), "leaving", change.GetLeaving(), "silent", change.GetSilent(), "gone", change.GetGone())
	}
}

func (m *Member) endpointChanges(now time.Time) []*wirepb.EndpointChange {
	m.planner.mu.Lock()
	defer m.planner.mu.Unlock()
	m.mu.RLock()
	defer m.mu.RUnlock()
	missing := m.planner.missingEndpoints(now)
	var changes []*wirepb.EndpointChange
	for _, endpoint := range m.machine.fleet.Endpoints() {
		last, known := m.planner.reports[endpoint.Name]
		if !known || last.incarnation != endpoint.Incarnation {
			last = agentReport{receivedAt: m.planner.leaderSince}
		}
		silent := now.Sub(last.receivedAt) > silentTimeout && now.Sub(m.planner.leaderSince) > silentTimeout
		change := &wirepb.EndpointChange{
			Endpoint: endpoint.Name, Incarnation: endpoint.Incarnation, Leaving: endpoint.Leaving || last.leaving,
			Silent: silent, Gone: silent && missing[endpoint.Name],
		}
		if change.Gone || change.Leaving != endpoint.Leaving || silent != endpoint.Silent {
			changes = append(changes, change)
		}
	}
	return changes
}

// missingEndpoints returns the endpoints that agents with recent reports no longer find in the platform's list. A
// missing VM counts as gone only if its own agent has been silent, too.
func (p *planner) missingEndpoints(now time.Time) map[string]bool {
	missingNames := map[string]bool{}
	for _, agent := range p.reports {
		if now.Sub(agent.receivedAt) > silentTimeout {
			continue
		}
		for _, name := range agent.missingEndpoints {
			missingNames[name] = true
		}
	}
	return missingNames
}

// renewPermits renews the portions of the adapter transit budget.
func (m *Member) renewPermits(ctx context.Context, now time.Time) {
	grant := m.permitGrant(now)
	if len(grant.GetPortions()) == 0 {
		return
	}
	if _, err := m.Propose(ctx, &wirepb.Command{Kind: &wirepb.Command_PortionGrant{PortionGrant: grant}}); err != nil {
		m.log.Error(err, "failed to grant adapter permits")
	}
}

// permitGrant returns the grant of the portions that are due. Its times follow the log: on the clock of a leader that is
// behind, the portions would have expired for the next leader while agents still use them.
func (m *Member) permitGrant(now time.Time) *wirepb.PortionGrant {
	m.planner.mu.Lock()
	defer m.planner.mu.Unlock()
	m.mu.RLock()
	defer m.mu.RUnlock()
	now = m.machine.notBefore(now)
	grant := &wirepb.PortionGrant{Budget: uint32(m.planner.adapterBudget), ExpiresMs: uint64(now.Add(portionLifetime).UnixMilli())}
	for _, portion := range m.portions(now) {
		grant.Portions = append(grant.Portions, &wirepb.Portion{Endpoint: portion.Endpoint, Incarnation: portion.Incarnation, Permits: uint32(portion.Permits)})
	}
	return grant
}

// portions assigns each model endpoint an equal share of the budget, rounded down, and the remainder to endpoints
// with waiting adapters. The caller must hold both mutexes.
func (m *Member) portions(now time.Time) []fleet.Portion {
	var endpoints []fleet.Endpoint
	for _, endpoint := range m.machine.fleet.Endpoints() {
		if endpoint.MemoryMB > 0 && !endpoint.Silent {
			endpoints = append(endpoints, endpoint)
		}
	}
	if len(endpoints) == 0 {
		return nil
	}
	share := m.planner.adapterBudget / len(endpoints)
	left := m.planner.adapterBudget - share*len(endpoints)
	var portions []fleet.Portion
	for _, endpoint := range endpoints {
		previous, valid := m.machine.fleet.Portion(endpoint.Name)
		valid = valid && previous.Incarnation == endpoint.Incarnation && now.Before(time.UnixMilli(previous.UntilMS))
		want := share
		if extra := m.planner.reports[endpoint.Name].waitingAdapters; extra > share && left > 0 {
			more := min(left, extra-share)
			want, left = share+more, left-more
		}
		due := !valid || now.Sub(time.UnixMilli(previous.UntilMS).Add(-portionLifetime)) > portionLifetime-portionRenewBefore
		portion := fleet.Portion{Endpoint: endpoint.Name, Incarnation: endpoint.Incarnation, Permits: want}
		_, ok := m.machine.fleet.Grantable(portion, m.planner.adapterBudget, now.Add(portionLifetime).UnixMilli(), now.UnixMilli())
		if ok && (due || want != previous.Permits) {
			portions = append(portions, portion)
		}
	}
	return portions
}
