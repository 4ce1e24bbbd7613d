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

// reportDemand reports the demand per model to control until the context ends.
func (e *Entry) reportDemand(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick := time.NewTicker(demandInterval)
		defer tick.Stop()
		var schedule reportSchedule
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-e.demandWake:
			case <-tick.C:
			}
			now := time.Now()
			if demand := e.currentDemand(now); schedule.due(demand, now) && e.sendDemand(ctx, demand) {
				schedule.reported(demand, now)
			}
		}
		ended <- nil
	}()
	return ended
}

// sendDemand sends the demand to the control members in turn and reports whether one accepted it.
func (e *Entry) sendDemand(ctx context.Context, demand *wirepb.Demand) bool {
	for _, address := range e.settings.Controls {
		reply, err := e.pool.Call(ctx, address, &wirepb.Frame{Body: &wirepb.Frame_Demand{Demand: demand}}, demandTimeout)
		if err == nil && reply.GetDemandReply() != nil {
			e.scheduler.applyForecasts(reply.GetDemandReply())
			e.subtractArrivals(demand)
			e.metrics.demands.Inc()
			return true
		}
	}
	return false
}

// subtractArrivals subtracts the reported arrivals from those still to report.
func (e *Entry) subtractArrivals(demand *wirepb.Demand) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, model := range demand.GetModels() {
		if e.arrivals[model.GetModel()] -= model.GetArrivals(); e.arrivals[model.GetModel()] == 0 {
			delete(e.arrivals, model.GetModel())
		}
	}
}

// currentDemand returns the demand of all models with queued or running requests or unreported arrivals.
func (e *Entry) currentDemand(now time.Time) *wirepb.Demand {
	e.scheduler.mu.Lock()
	demands := e.scheduler.admission.Demands(now)
	e.scheduler.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	demand := &wirepb.Demand{Entry: e.settings.Node}
	queued := map[string]bool{}
	for _, d := range demands {
		if model, ok := strings.CutPrefix(d.Queue, modelQueue); ok {
			demand.Models = append(demand.Models, modelDemand(model, d, e.arrivals[model], now))
			queued[model] = true
		}
	}
	// Requests that arrived and ended between two reports are reported as arrivals too.
	for model, arrivals := range e.arrivals {
		if !queued[model] {
			demand.Models = append(demand.Models, modelDemand(model, admission.Demand{EarliestDeadline: now.Add(time.Hour)}, arrivals, now))
		}
	}
	return demand
}

func modelDemand(model string, d admission.Demand, arrivals uint32, now time.Time) *wirepb.ModelDemand {
	return &wirepb.ModelDemand{
		Model: model, Waiting: uint32(d.Waiting), Running: uint32(d.Running), Arrivals: arrivals,
		Urgency: uint32(d.Urgency), EarliestRemainingMs: uint64(max(d.EarliestDeadline.Sub(now), 0).Milliseconds()),
	}
}

// countArrival counts a request for a model for the next report.
func (e *Entry) countArrival(model string) {
	if model == "" {
		return
	}
	e.mu.Lock()
	e.arrivals[model]++
	e.mu.Unlock()
}

// wakeReporter makes reportDemand check the demand before the next tick.
func (e *Entry) wakeReporter() {
	select {
	case e.demandWake <- struct{}{}:
	default:
	}
}
