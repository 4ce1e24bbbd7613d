package control

import (
	"context"
	"time"

	"burdocksaddle/fleet"
	"burdocksaddle/placement"
	"burdocksaddle/wirepb"
)

const (
	// An agent that says nothing for this long gets no new replicas; its heartbeat comes every 5 s.
	silentAfter = 16 * time.Second
	// A missing VM counts as gone only when its agent has been silent too.
	mostCached = 1024
)

type checkpointKey struct{ model, version string }

// heard is an agent's last word, as the leader got it.
type heard struct {
	at          time.Time
	incarnation uint64
	leaving     bool
	cached      map[checkpointKey]placement.Source
	adapters    int
	missing     []string
}

// Report takes an agent's word and puts what is new into the log.
func (m *Member) Report(ctx context.Context, r *wirepb.Report) *wirepb.Frame {
	news := m.hear(r, time.Now())
	if r.GetFresh() && m.reportChanges(r) {
		return proposeReply(m.Propose(ctx, &wirepb.Command{Kind: &wirepb.Command_Report{Report: inLog(r)}}))
	}
	if news {
		m.nudge()
	}
	return proposeReply(&wirepb.CommandResult{}, nil)
}

// inLog leaves out of a report what the log need not keep.
func inLog(r *wirepb.Report) *wirepb.Report {
	return &wirepb.Report{Endpoint: r.GetEndpoint(), Incarnation: r.GetIncarnation(), Sequence: r.GetSequence(), Replicas: r.GetReplicas(), Fresh: true}
}

// hear takes over what an agent says beside its inventory and tells whether the planner should look at once.
func (m *Member) hear(r *wirepb.Report, now time.Time) bool {
	cached := make(map[checkpointKey]placement.Source, len(r.GetCached()))
	for _, one := range r.GetCached()[:min(len(r.GetCached()), mostCached)] {
		source := placement.Disk
		if one.GetMemory() {
			source = placement.Memory
		}
		cached[checkpointKey{one.GetModel(), one.GetVersion()}] = source
	}
	m.planner.mu.Lock()
	defer m.planner.mu.Unlock()
	old := m.planner.heard[r.GetEndpoint()]
	if old.incarnation > r.GetIncarnation() {
		return false
	}
	m.planner.heard[r.GetEndpoint()] = heard{
		at: now, incarnation: r.GetIncarnation(), leaving: r.GetLeaving(), cached: cached,
		adapters: int(r.GetAdaptersWaiting()), missing: r.GetMissing(),
	}
	return r.GetLeaving() != old.leaving || r.GetAdaptersWaiting() > 0
}

func (m *Member) reportChanges(r *wirepb.Report) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.machine.fleet.Changes(inventory(r), 0)) > 0
}

// watchEndpoints commits which endpoints leave, fell silent or are gone for good.
func (m *Member) watchEndpoints(ctx context.Context, now time.Time) {
	for _, change := range m.endpointChanges(now) {
		if _, err := m.Propose(ctx, &wirepb.Command{Kind: &wirepb.Command_EndpointChange{EndpointChange: change}}); err != nil {
			m.log.Error(err, "endpoint change not committed", "endpoint", change.GetEndpoint())
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
	missing := m.planner.missing(now)
	var changes []*wirepb.EndpointChange
	for _, endpoint := range m.machine.fleet.Endpoints() {
		last, known := m.planner.heard[endpoint.Name]
		if !known || last.incarnation != endpoint.Incarnation {
			last = heard{at: m.planner.ledAt}
		}
		silent := now.Sub(last.at) > silentAfter && now.Sub(m.planner.ledAt) > silentAfter
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

// missing returns the endpoints that an agent heard of lately finds on the platform's list no more.
func (p *planner) missing(now time.Time) map[string]bool {
	gone := map[string]bool{}
	for _, one := range p.heard {
		if now.Sub(one.at) > silentAfter {
			continue
		}
		for _, name := range one.missing {
			gone[name] = true
		}
	}
	return gone
}

// sharePermits renews the portions of the adapter transit budget.
func (m *Member) sharePermits(ctx context.Context, now time.Time) {
	portions := m.portions(now)
	if len(portions) == 0 {
		return
	}
	grant := &wirepb.PortionGrant{Budget: uint32(m.planner.budget), ExpiresMs: uint64(now.Add(portionLength).UnixMilli())}
	for _, portion := range portions {
		grant.Portions = append(grant.Portions, &wirepb.Portion{Endpoint: portion.Endpoint, Incarnation: portion.Incarnation, Permits: uint32(portion.Permits)})
	}
	if _, err := m.Propose(ctx, &wirepb.Command{Kind: &wirepb.Command_PortionGrant{PortionGrant: grant}}); err != nil {
		m.log.Error(err, "adapter permits not granted")
	}
}

// portions gives each model endpoint an equal standing share where the budget
// goes round, and what is left to those that wait.
func (m *Member) portions(now time.Time) []fleet.Portion {
	m.planner.mu.Lock()
	defer m.planner.mu.Unlock()
	m.mu.RLock()
	defer m.mu.RUnlock()
	var endpoints []fleet.Endpoint
	for _, endpoint := range m.machine.fleet.Endpoints() {
		if endpoint.MemoryMB > 0 && !endpoint.Silent {
			endpoints = append(endpoints, endpoint)
		}
	}
	if len(endpoints) == 0 {
		return nil
	}
	share := m.planner.budget / len(endpoints)
	left := m.planner.budget - share*len(endpoints)
	var portions []fleet.Portion
	for _, endpoint := range endpoints {
		old, held := m.machine.fleet.Portion(endpoint.Name)
		held = held && old.Incarnation == endpoint.Incarnation && now.Before(time.UnixMilli(old.UntilMS))
		want := share
		if extra := m.planner.heard[endpoint.Name].adapters; extra > share && left > 0 {
			more := min(left, extra-share)
			want, left = share+more, left-more
		}
		due := !held || now.Sub(time.UnixMilli(old.UntilMS).Add(-portionLength)) > portionLength-portionRenew
		portion := fleet.Portion{Endpoint: endpoint.Name, Incarnation: endpoint.Incarnation, Permits: want}
		_, ok := m.machine.fleet.Grantable(portion, m.planner.budget, now.Add(portionLength).UnixMilli(), now.UnixMilli())
		if ok && (due || want != old.Permits) {
			portions = append(portions, portion)
		}
	}
	return portions
}
