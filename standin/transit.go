package standin

import (
	"slices"
	"sync"
	"time"

	"burdocksaddle/engineapi"
)

// Transit is what the adapters on their way to all engines share: beyond a
// limit at once each takes proportionally longer.
type Transit struct {
	alone time.Duration
	limit int
	mu    sync.Mutex
	ends  []time.Time
	peak  int
}

// NewTransit returns a transit in which up to limit adapters at once take alone each.
func NewTransit(alone time.Duration, limit int) *Transit {
	return &Transit{alone: alone, limit: limit}
}

// Time begins the transit of one more adapter and returns how long it takes; it fits AdapterTime.
func (t *Transit) Time(engineapi.Order) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.ends = slices.DeleteFunc(t.ends, func(end time.Time) bool { return !end.After(now) })
	crowd := len(t.ends) + 1
	t.peak = max(t.peak, crowd)
	d := t.alone * time.Duration(max(crowd, t.limit)) / time.Duration(t.limit)
	t.ends = append(t.ends, now.Add(d))
	return d
}

// Peak returns the most adapters in transit at once so far.
func (t *Transit) Peak() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peak
}
