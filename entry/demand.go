package entry

import (
	"context"
	"strings"
	"time"

	"burdocksaddle/admission"
	"burdocksaddle/wirepb"
)

const (
	demandInterval = 100 * time.Millisecond
	demandTimeout  = time.Second
)

// tellDemand is the duty that tells control what waits here.
func (e *Entry) tellDemand(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick := time.NewTicker(demandInterval)
		defer tick.Stop()
		var teller teller
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-e.wake:
			case <-tick.C:
			}
			now := time.Now()
			if demand := e.demand(now); teller.due(demand, now) && e.tell(ctx, demand) {
				teller.told(demand, now)
			}
		}
		ended <- nil
	}()
	return ended
}

// tell tells whether a control member took the demand.
func (e *Entry) tell(ctx context.Context, demand *wirepb.Demand) bool {
	for _, address := range e.settings.Controls {
		reply, err := e.pool.Call(ctx, address, &wirepb.Frame{Body: &wirepb.Frame_Demand{Demand: demand}}, demandTimeout)
		if err == nil && reply.GetDemandReply() != nil {
			e.sched.forecast(reply.GetDemandReply())
			e.counted(demand)
			e.count.demands.Inc()
			return true
		}
	}
	return false
}

// counted takes the arrivals that control has heard off what is still to be told.
func (e *Entry) counted(demand *wirepb.Demand) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, model := range demand.GetModels() {
		if e.arrivals[model.GetModel()] -= model.GetArrivals(); e.arrivals[model.GetModel()] == 0 {
			delete(e.arrivals, model.GetModel())
		}
	}
}

func (e *Entry) demand(now time.Time) *wirepb.Demand {
	e.sched.mu.Lock()
	demands := e.sched.admission.Demands(now)
	e.sched.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	demand := &wirepb.Demand{Entry: e.settings.Node}
	held := map[string]bool{}
	for _, d := range demands {
		if model, ok := strings.CutPrefix(d.Queue, modelQueue); ok {
			demand.Models = append(demand.Models, modelDemand(model, d, e.arrivals[model], now))
			held[model] = true
		}
	}
	// What was answered between two reports still counts as an arrival.
	for model, arrivals := range e.arrivals {
		if !held[model] {
			demand.Models = append(demand.Models, modelDemand(model, admission.Demand{Earliest: now.Add(time.Hour)}, arrivals, now))
		}
	}
	return demand
}

func modelDemand(model string, d admission.Demand, arrivals uint32, now time.Time) *wirepb.ModelDemand {
	return &wirepb.ModelDemand{
		Model: model, Waiting: uint32(d.Waiting), Running: uint32(d.Running), Arrivals: arrivals,
		Urgency: uint32(d.Urgency), EarliestRemainingMs: uint64(max(d.Earliest.Sub(now), 0).Milliseconds()),
	}
}

// arrived counts a model's request for the next report.
func (e *Entry) arrived(model string) {
	if model == "" {
		return
	}
	e.mu.Lock()
	e.arrivals[model]++
	e.mu.Unlock()
}

// nudge lets the demand be looked at before its interval.
func (e *Entry) nudge() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
