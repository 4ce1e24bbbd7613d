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
		var position eventPosition
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-tick.C:
				if a.servesModels() && a.shouldPollEvents() {
					position = a.fetchCacheEvents(ctx, position)
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

// eventPosition is how far an engine's cache events were read. An engine that is started again counts from 1 again; base is added to its
// sequence numbers, so that the agent's rise all the time.
type eventPosition struct{ last, base uint64 }

// fetchCacheEvents reads the events after a position and returns the next one. After the engine failed to answer, it reads all of them, since
// the engine may have been started again.
func (a *Agent) fetchCacheEvents(ctx context.Context, position eventPosition) eventPosition {
	a.mu.Lock()
	after, interrupted := position.last, a.engineInterrupted
	a.mu.Unlock()
	if interrupted {
		after = 0
	}
	var events []engineapi.CacheEvent
	if err := a.getEngine(ctx, engineapi.PathEvents+"?after="+strconv.FormatUint(after, 10), &events); err != nil {
		return position
	}
	if len(events) == 0 {
		return position
	}
	newest := events[len(events)-1].Sequence
	if newest < position.last {
		position.last, position.base = 0, position.base+position.last
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.engineInterrupted = false
	for _, event := range events {
		if event.Sequence > position.last {
			a.cacheEvents = append(a.cacheEvents, &wirepb.CacheEvent{
				Sequence: position.base + event.Sequence, Model: event.Model, Prefix: event.Prefix, Dropped: event.Dropped,
			})
		}
	}
	// Copy the slice, since replies being sent still reference the old one.
	a.cacheEvents = append([]*wirepb.CacheEvent(nil), a.cacheEvents[max(0, len(a.cacheEvents)-maxCacheEvents):]...)
	position.last = newest
	return position
}
