package agent

import (
	"context"
	"strconv"
	"time"

	"burdocksaddle/engineapi"
	"burdocksaddle/wirepb"
)

const (
	eventInterval = 250 * time.Millisecond
	// maxEvents is how many of the newest cache events ride on each reply.
	maxEvents = 16
)

// followEvents is the duty that reads the engine's cache events, which routing
// takes from the replies; those that were missed are not asked for again.
func (a *Agent) followEvents(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick := time.NewTicker(eventInterval)
		defer tick.Stop()
		for last := uint64(0); ctx.Err() == nil; {
			select {
			case <-ctx.Done():
			case <-tick.C:
				if a.isModel() && a.serves() {
					last = a.readEvents(ctx, last)
				}
			}
		}
		ended <- nil
	}()
	return ended
}

// serves tells whether requests came since the last look, as a quiet engine caches nothing new.
func (a *Agent) serves() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.served && a.running == 0 {
		a.quiet++
		return a.quiet <= quietLooks
	}
	a.served, a.quiet = false, 0
	return true
}

// quietLooks is how often a quiet engine is still asked, since events come late.
const quietLooks = 20

func (a *Agent) readEvents(ctx context.Context, last uint64) uint64 {
	var events []engineapi.CacheEvent
	if err := a.get(ctx, engineapi.PathEvents+"?after="+strconv.FormatUint(last, 10), &events); err != nil {
		return last
	}
	if len(events) == 0 {
		return last
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, event := range events {
		a.events = append(a.events, &wirepb.CacheEvent{
			Sequence: event.Sequence, Model: event.Model, Prefix: event.Prefix, Dropped: event.Dropped,
		})
	}
	// The slice is made anew, as replies under way hold the old one.
	a.events = append([]*wirepb.CacheEvent(nil), a.events[max(0, len(a.events)-maxEvents):]...)
	return events[len(events)-1].Sequence
}
