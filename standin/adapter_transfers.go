package standin

import (
	"slices"
	"sync"
	"time"

	"burdocksaddle/engineapi"
)

// AdapterTransfers simulates the bandwidth that the adapter transfers to all engines share: beyond a limit of
// concurrent transfers, each takes proportionally longer.
type AdapterTransfers struct {
	baseTime time.Duration
	limit    int
	mu       sync.Mutex
	endTimes []time.Time
	peak     int
}

// NewAdapterTransfers returns AdapterTransfers in which each of up to limit concurrent transfers takes baseTime.
func NewAdapterTransfers(baseTime time.Duration, limit int) *AdapterTransfers {
	return &AdapterTransfers{baseTime: baseTime, limit: limit}
}

// TransferTime starts a transfer and returns its duration. It can be passed to AdapterTime.
func (t *AdapterTransfers) TransferTime(engineapi.Order) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.endTimes = slices.DeleteFunc(t.endTimes, func(end time.Time) bool { return !end.After(now) })
	active := len(t.endTimes) + 1
	t.peak = max(t.peak, active)
	d := t.baseTime * time.Duration(max(active, t.limit)) / time.Duration(t.limit)
	t.endTimes = append(t.endTimes, now.Add(d))
	return d
}

// Peak returns the maximum number of concurrent transfers so far.
func (t *AdapterTransfers) Peak() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peak
}
