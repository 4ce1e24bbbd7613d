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
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-e.wake:
			case <-tick.C:
			}
			if demand := e.demand(time.Now()); len(demand.GetModels()) > 0 {
				e.tell(ctx, demand)
			}
		}
		ended <- nil
	}()
	return ended
}

func (e *Entry) tell(ctx context.Context, demand *wirepb.Demand) {
	for _, address := range e.settings.Controls {
		reply, err := e.pool.Call(ctx, address, &wirepb.Frame{Body: &wirepb.Frame_Demand{Demand: demand}}, demandTimeout)
		if err == nil && reply.GetDemandReply() != nil {
			e.sched.forecast(reply.GetDemandReply())
			return
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
	for _, d := range demands {
		if model, ok := strings.CutPrefix(d.Queue, modelQueue); ok {
			demand.Models = append(demand.Models, modelDemand(model, d, e.arrivals[model], now))
			delete(e.arrivals, model)
		}
	}
	// What was answered between two reports still counts as an arrival.
	for model, arrivals := range e.arrivals {
		demand.Models = append(demand.Models, modelDemand(model, admission.Demand{Earliest: now.Add(time.Hour)}, arrivals, now))
	}
	clear(e.arrivals)
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
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
