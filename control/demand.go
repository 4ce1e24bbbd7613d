package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"burdocksaddle/placement"
	"burdocksaddle/wirepb"
)

const (
	demandLifetime = 2 * time.Second
	// Limits the number of entries whose demand is held; demand of an entry that stops reporting expires
	// demandLifetime after its last report.
	maxDemandEntries = 4096
)

// entryDemand is the latest demand report of one entry.
type entryDemand struct {
	receivedAt time.Time
	models     []*wirepb.ModelDemand
}

// HandleDemand records an entry's demand and replies with a forecast for each model.
func (m *Member) HandleDemand(_ context.Context, d *wirepb.Demand) *wirepb.Frame {
	now := time.Now()
	reply := &wirepb.DemandReply{}
	m.planner.mu.Lock()
	m.planner.recordDemand(d, now)
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
	m.wakePlanner()
	return &wirepb.Frame{Body: &wirepb.Frame_DemandReply{DemandReply: reply}}
}

// recordDemand stores an entry's demand and passes the arrivals since its previous report to the policy.
func (p *planner) recordDemand(d *wirepb.Demand, now time.Time) {
	if _, known := p.demands[d.GetEntry()]; !known && len(p.demands) >= maxDemandEntries {
		return
	}
	p.demands[d.GetEntry()] = entryDemand{receivedAt: now, models: d.GetModels()}
	for _, model := range d.GetModels() {
		if model.GetArrivals() > 0 {
			p.policy.RecordArrivals(model.GetModel(), int(model.GetArrivals()), now.UnixMilli())
		}
	}
}

// demandByModel sums the demand of all entries by model, so that a burst spread over many entries is planned
// as a whole. The models are sorted by name.
func (p *planner) demandByModel(now time.Time) []placement.Demand {
	indexByModel := map[string]int{}
	var totals []placement.Demand
	for entry, demand := range p.demands {
		if now.Sub(demand.receivedAt) > demandLifetime {
			delete(p.demands, entry)
			continue
		}
		for _, model := range demand.models {
			i, known := indexByModel[model.GetModel()]
			if !known {
				i = len(totals)
				indexByModel[model.GetModel()] = i
				totals = append(totals, placement.Demand{Model: model.GetModel(), EarliestDeadlineMS: 1<<63 - 1, Urgency: lowestUrgency})
			}
			total := &totals[i]
			total.Waiting += int(model.GetWaiting())
			total.Running += int(model.GetRunning())
			if model.GetWaiting() > 0 {
				total.EarliestDeadlineMS = min(total.EarliestDeadlineMS, demand.receivedAt.UnixMilli()+int64(model.GetEarliestRemainingMs()))
				total.Urgency = min(total.Urgency, int(model.GetUrgency()))
			}
		}
	}
	slices.SortFunc(totals, func(a, b placement.Demand) int { return cmp.Compare(a.Model, b.Model) })
	return totals
}

const lowestUrgency = 7

// HandleRegister registers an agent and replies with its incarnation.
func (m *Member) HandleRegister(ctx context.Context, r *wirepb.Register) *wirepb.Frame {
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
