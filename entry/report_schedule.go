package entry

import (
	"time"

	"burdocksaddle/wirepb"
)

const (
	// waitingReportInterval is the report interval while requests are queued, steadyReportInterval while none is.
	waitingReportInterval = 250 * time.Millisecond
	steadyReportInterval  = time.Second
)

// reportSchedule decides when to report demand: immediately if requests start to queue for a model, otherwise at
// intervals.
type reportSchedule struct {
	lastReport    time.Time
	waitingModels map[string]bool
}

// due reports whether the demand should be reported now.
func (t *reportSchedule) due(demand *wirepb.Demand, now time.Time) bool {
	if len(demand.GetModels()) == 0 {
		return false
	}
	interval := steadyReportInterval
	for _, model := range demand.GetModels() {
		if model.GetWaiting() == 0 {
			continue
		}
		if !t.waitingModels[model.GetModel()] {
			return true
		}
		interval = waitingReportInterval
	}
	return now.Sub(t.lastReport) >= interval
}

// reported records that control has accepted the demand.
func (t *reportSchedule) reported(demand *wirepb.Demand, now time.Time) {
	t.lastReport, t.waitingModels = now, map[string]bool{}
	for _, model := range demand.GetModels() {
		if model.GetWaiting() > 0 {
			t.waitingModels[model.GetModel()] = true
		}
	}
}
