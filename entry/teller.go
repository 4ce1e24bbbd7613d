package entry

import (
	"time"

	"burdocksaddle/wirepb"
)

const (
	// waitingInterval is between two reports while requests wait, steadyInterval while none does.
	waitingInterval = 250 * time.Millisecond
	steadyInterval  = time.Second
)

// teller decides when demand is worth a message: at once for a model that begins to wait, else at intervals.
type teller struct {
	at      time.Time
	waiting map[string]bool
}

// due tells whether the demand should be told now.
func (t *teller) due(demand *wirepb.Demand, now time.Time) bool {
	if len(demand.GetModels()) == 0 {
		return false
	}
	interval := steadyInterval
	for _, model := range demand.GetModels() {
		if model.GetWaiting() == 0 {
			continue
		}
		if !t.waiting[model.GetModel()] {
			return true
		}
		interval = waitingInterval
	}
	return now.Sub(t.at) >= interval
}

// told takes over what control has heard.
func (t *teller) told(demand *wirepb.Demand, now time.Time) {
	t.at, t.waiting = now, map[string]bool{}
	for _, model := range demand.GetModels() {
		if model.GetWaiting() > 0 {
			t.waiting[model.GetModel()] = true
		}
	}
}
