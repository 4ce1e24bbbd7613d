package admission

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// callerIdleTimeout is how long a caller without requests is remembered.
	callerIdleTimeout = time.Minute
	// callerRetryAfter is the Retry-After value, before jitter, for a caller that exceeds a concurrency or tracking
	// limit.
	callerRetryAfter = time.Second
)

type callerTable map[string]*callerState

// callerState is the state of one caller.
type callerState struct {
	open        int
	limiter     *rate.Limiter
	limiterRate float64
	lastSeen    time.Time
}

// check counts a request of a caller against its limits; the reason is empty if the request is within them.
func (c callerTable) check(name string, limits Limits, now time.Time) (Reason, time.Duration) {
	state, ok := c[name]
	if !ok {
		if limits.Callers > 0 && len(c) >= limits.Callers {
			return ReasonQueueFull, callerRetryAfter
		}
		state = &callerState{}
		c[name] = state
	}
	state.lastSeen = now
	if limits.CallerConcurrency > 0 && state.open >= limits.CallerConcurrency {
		return ReasonCallerConcurrency, callerRetryAfter
	}
	if limits.CallerRate <= 0 {
		state.limiter = nil
		return "", 0
	}
	if state.limiter == nil || state.limiterRate != limits.CallerRate {
		state.limiterRate = limits.CallerRate
		state.limiter = rate.NewLimiter(rate.Limit(limits.CallerRate), max(1, int(limits.CallerRate)))
	}
	if !state.limiter.AllowN(now, 1) {
		return ReasonCallerRate, time.Duration(float64(time.Second) / limits.CallerRate)
	}
	return "", 0
}

func (c callerTable) release(name string, now time.Time) {
	if state, ok := c[name]; ok {
		state.open--
		state.lastSeen = now
	}
}

func (c callerTable) prune(now time.Time) {
	for name, state := range c {
		if state.open == 0 && now.Sub(state.lastSeen) > callerIdleTimeout {
			delete(c, name)
		}
	}
}
