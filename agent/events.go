package agent

import (
	"context"
	"strconv"
	"time"

	"burdocksaddle/engineapi"
	"burdocksaddle/wirepb"
)

const (
	eventPollInterval = 250 * time.Millisecond
	// maxCacheEvents is the number of latest cache events attached to each load report.
	maxCacheEvents = 16
)

// pollCacheEvents polls the engine's cache events, which are attached to replies and used for routing. Missed events are not
// requested again.
func (a *Agent) pollCacheEvents(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick := time.NewTicker(eventPollInterval)
		defer tick.Stop()
		for last := uint64(0); ctx.Err() == nil; {
			select {
			case <-ctx.Done():
			case <-tick.C:
				if a.servesModels() && a.shouldPollEvents() {
					last = a.fetchCacheEvents(ctx, last)
				}
			}
		}
		ended <- nil
	}()
	return ended
}

// shouldPollEvents reports whether requests have run recently. An idle engine caches nothing new.
func (a *Agent) shouldPollEvents() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.dispatchedSincePoll && a.running == 0 {
		a.idlePolls++
		return a.idlePolls <= maxIdlePolls
	}
	a.dispatchedSincePoll, a.idlePolls = false, 0
	return true
}

// maxIdlePolls is the number of further polls after the engine became idle, since cache events arrive with a delay.
const maxIdlePolls = 20

func (a *Agent) fetchCacheEvents(ctx context.Context, last uint64) uint64 {
	var events []engineapi.CacheEvent
	if err := a.getEngine(ctx, engineapi.PathEvents+"?after="+strconv.FormatUint(last, 10), &events); err != nil {
		return last
	}
	if len(events) == 0 {
		return last
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, event := range events {
		a.cacheEvents = append(a.cacheEvents, &wirepb.CacheEvent{
			Sequence: event.Sequence, Model: event.Model, Prefix: event.Prefix, Dropped: event.Dropped,
		})
	}
	// Copy the slice, since replies being sent still reference the old one.
	a.cacheEvents = append([]*wirepb.CacheEvent(nil), a.cacheEvents[max(0, len(a.cacheEvents)-maxCacheEvents):]...)
	return events[len(events)-1].Sequence
}
