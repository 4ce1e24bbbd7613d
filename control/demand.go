package control

import (
	"context"
	"time"

	"burdocksaddle/placement"
	"burdocksaddle/wirepb"
)

const (
	demandLifetime = 2 * time.Second
	// A report's own time stands for an entry that reports no more.
	mostEntries = 4096
)

// entryDemand is the last word of one entry.
type entryDemand struct {
	at     time.Time
	models []*wirepb.ModelDemand
}

// Demand takes one entry's demand and answers with forecasts.
func (m *Member) Demand(_ context.Context, d *wirepb.Demand) *wirepb.Frame {
	now := time.Now()
	reply := &wirepb.DemandReply{}
	m.planner.mu.Lock()
	m.planner.note(d, now)
	m.mu.RLock()
	situation := m.planner.situation(m.machine, now)
	for _, model := range d.GetModels() {
		forecast := m.planner.policy.Forecast(situation, model.GetModel())
		reply.Models = append(reply.Models, &wirepb.ModelForecast{
			Model: model.GetModel(), ReadyInMs: uint64(forecast.ReadySeconds * 1000),
			Refused: forecast.Reason != "", Reason: forecast.Reason,
		})
	}
	m.mu.RUnlock()
	m.planner.mu.Unlock()
	m.nudge()
	return &wirepb.Frame{Body: &wirepb.Frame_DemandReply{DemandReply: reply}}
}

// note takes over an entry's demand and the arrivals since its last one.
func (p *planner) note(d *wirepb.Demand, now time.Time) {
	if _, known := p.demands[d.GetEntry()]; !known && len(p.demands) >= mostEntries {
		return
	}
	p.demands[d.GetEntry()] = entryDemand{at: now, models: d.GetModels()}
	for _, model := range d.GetModels() {
		if model.GetArrivals() > 0 {
			p.policy.Arrive(model.GetModel(), int(model.GetArrivals()), now.UnixMilli())
		}
	}
}

// merged adds the entries' demands up per model, so that a burst at many entries is one demand.
func (p *planner) merged(now time.Time) []placement.Demand {
	at := map[string]int{}
	var merged []placement.Demand
	for entry, demand := range p.demands {
		if now.Sub(demand.at) > demandLifetime {
			delete(p.demands, entry)
			continue
		}
		for _, model := range demand.models {
			i, known := at[model.GetModel()]
			if !known {
				i = len(merged)
				at[model.GetModel()] = i
				merged = append(merged, placement.Demand{Model: model.GetModel(), EarliestMS: 1<<63 - 1, Urgency: lastUrgency})
			}
			sum := &merged[i]
			sum.Waiting += int(model.GetWaiting())
			sum.Running += int(model.GetRunning())
			if model.GetWaiting() > 0 {
				sum.EarliestMS = min(sum.EarliestMS, demand.at.UnixMilli()+int64(model.GetEarliestRemainingMs()))
				sum.Urgency = min(sum.Urgency, int(model.GetUrgency()))
			}
		}
	}
	return merged
}

const lastUrgency = 7

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
