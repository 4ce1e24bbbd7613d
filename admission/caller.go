package admission

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// callerIdle is how long a caller without requests is remembered.
	callerIdle = time.Minute
	// shortAgain is the first advice to a caller that is over a limit.
	shortAgain = time.Second
)

type callers map[string]*caller

// caller is what is known of one caller.
type caller struct {
	open  int
	rate  *rate.Limiter
	limit float64
	last  time.Time
}

// check counts a request of a caller against its limits; the reason is empty when it is within.
func (c callers) check(name string, limits Limits, now time.Time) (Reason, time.Duration) {
	one, ok := c[name]
	if !ok {
		if limits.Callers > 0 && len(c) >= limits.Callers {
			return ReasonQueueFull, shortAgain
		}
		one = &caller{}
		c[name] = one
	}
	one.last = now
	if limits.CallerConcurrency > 0 && one.open >= limits.CallerConcurrency {
		return ReasonCallerConcurrency, shortAgain
	}
	if limits.CallerRate <= 0 {
		one.rate = nil
		return "", 0
	}
	if one.rate == nil || one.limit != limits.CallerRate {
		one.limit = limits.CallerRate
		one.rate = rate.NewLimiter(rate.Limit(limits.CallerRate), max(1, int(limits.CallerRate)))
	}
	if !one.rate.AllowN(now, 1) {
		return ReasonCallerRate, time.Duration(float64(time.Second) / limits.CallerRate)
	}
	return "", 0
}

func (c callers) leave(name string, now time.Time) {
	if one, ok := c[name]; ok {
		one.open--
		one.last = now
	}
}

func (c callers) sweep(now time.Time) {
	for name, one := range c {
		if one.open == 0 && now.Sub(one.last) > callerIdle {
			delete(c, name)
		}
	}
}
