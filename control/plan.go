package control

import (
	"context"
	"sync"
	"time"

	"burdocksaddle/fleet"
	"burdocksaddle/placement"
	"burdocksaddle/wirepb"
)

const planInterval = 250 * time.Millisecond

// planner is what the leader knows beside the log; a new leader starts without it.
type planner struct {
	rate   float64
	slots  int
	budget int

	mu      sync.Mutex
	policy  *placement.Policy
	leading bool
	demands map[string]entryDemand
	// heard holds each agent's last word, pending the loads that were under way at the last round.
	heard   map[string]heard
	pending map[uint64]fleet.Replica
	ledAt   time.Time
	granted time.Time
}

// WithStoreBudget sets the weight store's loads a second and loads at once at full speed.
func WithStoreBudget(rate float64, slots int) MemberOption {
	return func(m *Member) {
		m.planner.rate, m.planner.slots = rate, slots
		m.planner.reset(time.Now())
	}
}

// WithAdapterBudget sets how many adapters may be in transit over all workers.
func WithAdapterBudget(budget int) MemberOption {
	return func(m *Member) { m.planner.budget = budget }
}

const (
	defaultStoreRate     = 5
	defaultStoreSlots    = 4
	defaultAdapterBudget = 30
)

func newPlanner() *planner {
	p := &planner{rate: defaultStoreRate, slots: defaultStoreSlots, budget: defaultAdapterBudget}
	p.reset(time.Now())
	return p
}

// reset forgets everything; the token bucket starts empty.
func (p *planner) reset(now time.Time) {
	p.policy = placement.New(placement.WithStore(p.rate, p.slots))
	p.demands, p.heard, p.pending = map[string]entryDemand{}, map[string]heard{}, map[uint64]fleet.Replica{}
	p.ledAt, p.granted = now, time.Time{}
}

// lead notes whether this member leads now and tells whether it may decide.
func (p *planner) lead(leading bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if leading && !p.leading {
		p.reset(now)
	}
	p.leading = leading
	return leading
}

// Plan decides on replicas whenever demand or state changes; the channel gives its end.
func (m *Member) Plan(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- m.plan(ctx) }()
	return ended
}

func (m *Member) plan(ctx context.Context) error {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.wake:
		case <-tick.C:
		}
		if now := time.Now(); m.planner.lead(m.leader(), now) {
			m.watchEndpoints(ctx, now)
			m.sharePermits(ctx, now)
			m.decideOnce(ctx, now)
		}
	}
}

// decideOnce commits one round of decisions; nothing else decides meanwhile.
func (m *Member) decideOnce(ctx context.Context, now time.Time) {
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
		m.log.Error(err, "decisions not committed")
		return
	}
	m.logDecisions(decisions, result)
}

func (m *Member) decisions(now time.Time) []placement.Decision {
	m.planner.mu.Lock()
	defer m.planner.mu.Unlock()
	m.mu.RLock()
	defer m.mu.RUnlock()
	m.planner.measure(m.machine)
	return m.planner.policy.Decide(m.planner.situation(m.machine, now))
}

// situation is what the policy decides from; the caller holds both locks.
func (p *planner) situation(machine *Machine, now time.Time) placement.Situation {
	return placement.Situation{
		NowMS: now.UnixMilli(), Catalog: machine.catalog, Fleet: machine.fleet, Demands: p.merged(now), Cached: p.source,
	}
}

// source says where an endpoint's VM has a checkpoint, as its agent said last.
func (p *planner) source(endpoint, model, version string) placement.Source {
	if source, ok := p.heard[endpoint].cached[checkpointKey{model, version}]; ok {
		return source
	}
	return placement.Remote
}

// measure tells the policy how long the loads took that ended since the last round.
func (p *planner) measure(machine *Machine) {
	atOnce := 0
	for _, replica := range p.pending {
		if replica.Source == string(placement.Remote) {
			atOnce++
		}
	}
	for id := range p.pending {
		replica, ok := machine.fleet.Replica(id)
		if !ok || replica.State != fleet.Loaded || replica.Attempts > 0 {
			continue
		}
		if model, known := machine.catalog.Model(replica.Model); known {
			p.policy.Loaded(replica, max(model.CheckpointMB, 1), atOnce)
		}
	}
	clear(p.pending)
	for _, replica := range machine.fleet.PendingReplicas() {
		p.pending[replica.ID] = replica
	}
}

// explain returns the leader's plans and the store's slots.
func (p *planner) explain(now time.Time) ([]placement.Explanation, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.leading {
		return nil, 0
	}
	return p.policy.Explain(now.UnixMilli()), p.policy.Store().Slots()
}

// logDecisions writes one line for each decision with the estimate that it rests on.
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
