package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"burdocksaddle/fleet"
	"burdocksaddle/placement"
	"burdocksaddle/wirepb"
)

const planInterval = 250 * time.Millisecond

// planner holds the leader's planning state that is not in the log; a new leader starts with an empty one.
type planner struct {
	storeRate     float64
	storeSlots    int
	adapterBudget int

	mu      sync.Mutex
	policy  *placement.Policy
	leading bool
	demands map[string]entryDemand
	// reports holds the latest report of each agent, pendingLoads the loads in progress in the previous round.
	reports      map[string]agentReport
	pendingLoads map[uint64]fleet.Replica
	leaderSince  time.Time
}

// WithStoreBudget sets how many loads per second and how many concurrent loads the weight store can serve at full
// speed.
func WithStoreBudget(rate float64, slots int) MemberOption {
	return func(m *Member) {
		m.planner.storeRate, m.planner.storeSlots = rate, slots
		m.planner.reset(time.Now())
	}
}

// WithAdapterBudget sets the adapter transit budget: how many adapters may be in transit at the same time
// over all endpoints.
func WithAdapterBudget(budget int) MemberOption {
	return func(m *Member) { m.planner.adapterBudget = budget }
}

const (
	defaultStoreRate     = 5
	defaultStoreSlots    = 4
	defaultAdapterBudget = 30
)

func newPlanner() *planner {
	p := &planner{storeRate: defaultStoreRate, storeSlots: defaultStoreSlots, adapterBudget: defaultAdapterBudget}
	p.reset(time.Now())
	return p
}

// reset clears the planning state; the token bucket starts empty.
func (p *planner) reset(now time.Time) {
	p.policy = placement.New(placement.WithStore(p.storeRate, p.storeSlots))
	p.demands, p.reports, p.pendingLoads = map[string]entryDemand{}, map[string]agentReport{}, map[uint64]fleet.Replica{}
	p.leaderSince = now
}

// setLeading records and reports whether this member is the leader, since only the leader may plan.
// A new leader starts with an empty planner.
func (p *planner) setLeading(leading bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if leading && !p.leading {
		p.reset(now)
	}
	p.leading = leading
	return leading
}

// RunPlanner plans replicas whenever demand or state changes. The returned channel receives a value when it ends.
func (m *Member) RunPlanner(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- m.planLoop(ctx) }()
	return ended
}

func (m *Member) planLoop(ctx context.Context) error {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.plannerWake:
		case <-tick.C:
		}
		if now := time.Now(); m.planner.setLeading(m.leader(), now) {
			m.commitEndpointChanges(ctx, now)
			m.renewPermits(ctx, now)
			m.commitDecisions(ctx, now)
		}
	}
}

// commitDecisions commits one round of decisions; no other code makes decisions at the same time.
func (m *Member) commitDecisions(ctx context.Context, now time.Time) {
	decisions := m.decisions(now)
	if len(decisions) == 0 {
		return
	}
	decide := &wirepb.Decide{}
	for _, d := range decisions {
		decide.Decisions = append(decide.Decisions, &wirepb.ReplicaDecision{
			Endpoint: d.Endpoint, Incarnation: d.Incarnation, Model: d.Model.Name, Version: d.Model.Version,
			MemoryMb: d.Model.MemoryMB, Unload: d.Unload, Limit: uint32(d.Limit), Reason: d.Reason,
			Source: string(d.Source), ExpectedMs: uint64(d.ExpectedSeconds * 1000),
		})
	}
	result, err := m.Propose(ctx, &wirepb.Command{Kind: &wirepb.Command_Decide{Decide: decide}})
	if err != nil {
		m.log.Error(err, "failed to commit replica decisions")
		return
	}
	m.logDecisions(decisions, result)
}

func (m *Member) decisions(now time.Time) []placement.Decision {
	m.planner.mu.Lock()
	defer m.planner.mu.Unlock()
	m.mu.RLock()
	defer m.mu.RUnlock()
	m.planner.recordLoadTimes(m.machine)
	return m.planner.policy.Decide(m.planner.situation(m.machine, now))
}

// situation returns the policy's input. The caller must hold both locks.
func (p *planner) situation(machine *StateMachine, now time.Time) placement.Situation {
	return placement.Situation{
		NowMS: now.UnixMilli(), Catalog: machine.catalog, Fleet: machine.fleet, Demands: p.demandByModel(now), CheckpointSource: p.checkpointSource,
	}
}

// checkpointSource returns where a checkpoint can be loaded from on an endpoint's VM, according to the latest report
// of its agent.
func (p *planner) checkpointSource(endpoint, model, version string) placement.Source {
	if source, ok := p.reports[endpoint].checkpoints[checkpointKey{model, version}]; ok {
		return source
	}
	return placement.Remote
}

// recordLoadTimes passes the durations of loads that finished since the previous round to the policy.
func (p *planner) recordLoadTimes(machine *StateMachine) {
	concurrentLoads := 0
	for _, replica := range p.pendingLoads {
		if replica.Source == string(placement.Remote) {
			concurrentLoads++
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.pendingLoads)) {
		replica, ok := machine.fleet.Replica(id)
		if !ok || replica.State != fleet.Loaded || replica.Attempts > 0 {
			continue
		}
		if model, known := machine.catalog.Model(replica.Model); known {
			p.policy.RecordLoad(replica, max(model.CheckpointMB, 1), concurrentLoads)
		}
	}
	clear(p.pendingLoads)
	for _, replica := range machine.fleet.PendingReplicas() {
		p.pendingLoads[replica.ID] = replica
	}
}

// explain returns the leader's plans and the number of weight store slots.
func (p *planner) explain(now time.Time) ([]placement.Explanation, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.leading {
		return nil, 0
	}
	return p.policy.Explain(now.UnixMilli()), p.policy.Store().Slots()
}

// logDecisions logs each decision with the estimate that it is based on.
func (m *Member) logDecisions(decisions []placement.Decision, result *wirepb.CommandResult) {
	for _, d := range decisions {
		if d.Unload > 0 {
			m.log.Info("unload decided", "model", d.Model.Name, "endpoint", d.Endpoint, "replica", d.Unload, "reason", d.Reason,
				"idleSeconds", d.IdleSeconds, "expectedLoss", d.Loss, "index", result.GetIndex(), "refusal", result.GetErrorDetail())
			continue
		}
		m.log.Info("load decided", "model", d.Model.Name, "version", d.Model.Version, "endpoint", d.Endpoint, "reason", d.Reason,
			"source", string(d.Source), "expectedSeconds", d.ExpectedSeconds, "index", result.GetIndex(), "refusal", result.GetErrorDetail())
	}
}
