package gateway

import (
	"context"
	"time"

	"burdocksaddle/routing"
)

// register adds the transaction to the active ones, or returns why the quarantine does not let it through and when its client may return.
// cancel ends the transaction.
func (t *transaction) register(cancel context.CancelFunc) (reason string, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if reason, after := t.quarantineRefusalLocked(); reason != "" {
		return reason, after
	}
	t.active++
	if !t.trial {
		t.crashes.cancels[t] = cancel
	}
	budget := t.budgetLocked()
	budget.SetMaxTokens(t.retryBurst)
	budget.AddRequest()
	if t.request.Model != "" {
		d := t.demands[t.request.Model]
		if d == nil {
			d = &demand{service: t.service, runningByEndpoint: map[string]int{}, runningByAdapter: map[modelLocation]int{}}
			t.demands[t.request.Model] = d
		}
		d.arrivals++
		d.waiting++
	}
	return "", 0
}

// budgetLocked returns the retry budget of the request's service.
func (t *transaction) budgetLocked() *routing.Budget {
	budget := t.budgets[t.service]
	if budget == nil {
		budget = routing.NewBudget(t.config.RetryRatio*retryRatioShare, routing.WithMaxTokens(t.retryBurst))
		t.budgets[t.service] = budget
	}
	return budget
}

func (t *transaction) unregister() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	delete(t.crashes.cancels, t)
	t.leaveTurnQueueLocked()
	t.setResumedWaitLocked(resumedWaitNone, time.Now())
	if d := t.demands[t.request.Model]; d != nil {
		d.waiting--
	}
}

// countRunningLocked counts a request as running at an endpoint, or as waiting again.
func (t *transaction) countRunningLocked(endpointID string, running bool) {
	d := t.demands[t.request.Model]
	if d == nil {
		return
	}
	step := 1
	if !running {
		step = -1
	}
	d.waiting -= step
	d.running += step
	if d.runningByEndpoint[endpointID] += step; d.runningByEndpoint[endpointID] == 0 {
		delete(d.runningByEndpoint, endpointID)
	}
	if t.request.Adapter == "" {
		return
	}
	used := modelLocation{endpointID, t.request.Model, t.request.Adapter}
	if d.runningByAdapter[used] += step; d.runningByAdapter[used] == 0 {
		delete(d.runningByAdapter, used)
	}
}

// countMissed counts a request that is refused with a retry time because its model is not loaded.
func (t *transaction) countMissed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d := t.demands[t.request.Model]; d != nil {
		d.missed++
	}
	if t.resumedWait == resumedWaitModel {
		t.resumption.missed[resumedNeed{*t.origin, t.request.Model}]++
	}
}

// requestDemandReportLocked triggers a demand report to the leader for a model that no endpoint holds.
func (t *transaction) requestDemandReportLocked() {
	if t.demandReportRequested {
		return
	}
	t.demandReportRequested = true
	t.wakeReport()
}

// release ends the request's use of an endpoint; fault is the endpoint's failure, nil for none.
func (t *transaction) release(c choice, fault error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.router.RecordEnd(c.endpoint.Name)
	t.recordPrefilledLocked()
	if fault != nil {
		t.router.RecordFailure(c.endpoint.Name, time.Now())
	}
	t.countRunningLocked(c.endpoint.Name, false)
}
