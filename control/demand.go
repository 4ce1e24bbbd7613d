package control

import (
	"context"
	"time"

	"burdocksaddle/placement"
	"burdocksaddle/wirepb"
)

const (
	demandLifetime = 2 * time.Second
	planInterval   = 250 * time.Millisecond
)

// entryDemand is the last word of one entry.
type entryDemand struct {
	at     time.Time
	models []*wirepb.ModelDemand
}

// Demand takes one entry's demand and answers with forecasts.
func (m *Member) Demand(_ context.Context, d *wirepb.Demand) *wirepb.Frame {
	now := time.Now()
	m.mu.Lock()
	m.demands[d.GetEntry()] = entryDemand{at: now, models: d.GetModels()}
	for _, model := range d.GetModels() {
		m.lastUsed[model.GetModel()] = now.UnixMilli()
	}
	reply := &wirepb.DemandReply{}
	for _, model := range d.GetModels() {
		reply.Models = append(reply.Models, &wirepb.ModelForecast{Model: model.GetModel()})
	}
	m.mu.Unlock()
	m.nudge()
	return &wirepb.Frame{Body: &wirepb.Frame_DemandReply{DemandReply: reply}}
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
		if !m.leader() {
			continue
		}
		decide := m.decisions(time.Now())
		if len(decide.GetDecisions()) == 0 {
			continue
		}
		result, err := m.Propose(ctx, &wirepb.Command{Kind: &wirepb.Command_Decide{Decide: decide}})
		if err != nil {
			m.log.Error(err, "decisions not committed")
			continue
		}
		m.logDecisions(decide, result)
	}
}

func (m *Member) decisions(now time.Time) *wirepb.Decide {
	m.mu.RLock()
	defer m.mu.RUnlock()
	decide := &wirepb.Decide{}
	for _, d := range m.policy.Decide(m.machine.catalog, m.machine.fleet, m.merged(now)) {
		decide.Decisions = append(decide.Decisions, &wirepb.ReplicaDecision{
			Endpoint: d.Endpoint, Incarnation: d.Incarnation, Model: d.Model.Name, Version: d.Model.Version,
			MemoryMb: d.Model.MemoryMB, Unload: d.Unload, Limit: uint32(d.Limit), Reason: d.Reason,
		})
	}
	return decide
}

// merged adds the entries' demands up per model.
func (m *Member) merged(now time.Time) []placement.Demand {
	byModel := map[string]placement.Demand{}
	for model, used := range m.lastUsed {
		byModel[model] = placement.Demand{Model: model, LastUsedMS: used, EarliestMS: 1<<63 - 1}
	}
	for _, demand := range m.demands {
		if now.Sub(demand.at) > demandLifetime {
			continue
		}
		for _, model := range demand.models {
			sum := byModel[model.GetModel()]
			sum.Waiting += int(model.GetWaiting())
			sum.Running += int(model.GetRunning())
			sum.EarliestMS = min(sum.EarliestMS, demand.at.UnixMilli()+int64(model.GetEarliestRemainingMs()))
			byModel[model.GetModel()] = sum
		}
	}
	merged := make([]placement.Demand, 0, len(byModel))
	for _, demand := range byModel {
		merged = append(merged, demand)
	}
	return merged
}

func (m *Member) logDecisions(decide *wirepb.Decide, result *wirepb.CommandResult) {
	for _, d := range decide.GetDecisions() {
		step := "load decided"
		if d.GetUnload() > 0 {
			step = "unload decided"
		}
		m.log.Info(step, "model", d.GetModel(), "endpoint", d.GetEndpoint(), "replica", d.GetUnload(),
			"reason", d.GetReason(), "index", result.GetIndex(), "refusal", result.GetErrorDetail())
	}
}

// Report takes an agent's word and puts what is new into the log.
func (m *Member) Report(ctx context.Context, r *wirepb.Report) *wirepb.Frame {
	if !m.reportChanges(r) {
		return proposeReply(&wirepb.CommandResult{}, nil)
	}
	return proposeReply(m.Propose(ctx, &wirepb.Command{Kind: &wirepb.Command_Report{Report: r}}))
}

func (m *Member) reportChanges(r *wirepb.Report) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.machine.fleet.Changes(inventory(r), 0)) > 0
}

// Register gives an agent its incarnation.
func (m *Member) Register(ctx context.Context, r *wirepb.Register) *wirepb.Frame {
	registered := &wirepb.Registered{}
	result, err := m.Propose(ctx, &wirepb.Command{Kind: &wirepb.Command_Register{Register: r}})
	if err != nil {
		registered.Error = err.Error()
	} else {
		registered.Incarnation = result.GetIncarnation()
		m.log.Info("agent registered", "endpoint", r.GetEndpoint(), "incarnation", registered.GetIncarnation())
	}
	return &wirepb.Frame{Body: &wirepb.Frame_Registered{Registered: registered}}
}
