package quarantine

import (
	"maps"
	"slices"
	"time"

	"burdocksaddle/endpoint"
)

const (
	// requestCrashes is the number of endpoints that must have crashed under a request since its last answer, as the platform's rules allow.
	requestCrashes = 3
	// A request that was answered within recentAnswer before the first of its crashes is probably asked for all the time and only happened to
	// run there. It is blamed only if its crashes are spread over minCrashSpan.
	recentAnswer = 5 * time.Second
	minCrashSpan = time.Second
	// requestDuration is how long a request is quarantined unless it is answered.
	requestDuration = 6 * time.Hour
)

// Request is a quarantined request.
type Request struct {
	// Key is the same for requests with the same path, caller and body.
	Key uint64
	// Trials counts how often it was let through to find out whether it still crashes endpoints.
	Trials int
}

// crashedSince returns when endpoints crashed under the request after its last answer, by endpoint.
func (e *Evidence) crashedSince(key uint64) map[endpoint.Incarnation]time.Time {
	crashed := map[endpoint.Incarnation]time.Time{}
	for _, c := range e.crashes {
		if c.Key == key && c.At.After(e.answeredAt[key]) {
			crashed[c.Endpoint] = c.At
		}
	}
	return crashed
}

// blamedRequests returns the keys of the requests that are to be quarantined.
func (e *Evidence) blamedRequests(t Table, now time.Time) []uint64 {
	keys := map[uint64]bool{}
	for _, c := range e.crashes {
		if c.Key != 0 && !t.BlocksRequest(c.Key) && now.Sub(e.suspectSince[c.Key]) >= settleTime {
			keys[c.Key] = true
		}
	}
	return slices.DeleteFunc(slices.Sorted(maps.Keys(keys)), func(key uint64) bool {
		crashed := e.crashedSince(key)
		if len(crashed) < requestCrashes {
			return true
		}
		times := slices.SortedFunc(maps.Values(crashed), time.Time.Compare)
		first, last := times[0], times[len(times)-1]
		return first.Sub(e.answeredAt[key]) < recentAnswer && last.Sub(first) < minCrashSpan
	})
}

// clearRequests removes the requests that have been answered, or were quarantined for long enough.
func (e *Evidence) clearRequests(t Table, now time.Time) Table {
	return t.WithoutRequests(func(r Request) bool {
		since, known := e.requestSince[r.Key]
		_, answered := e.answeredAt[r.Key]
		return known && now.Sub(since) > requestDuration || answered && len(e.crashedSince(r.Key)) < requestCrashes
	})
}

// sameRequest reports whether crashes say more about a single request than about a part of its prompt: it is in all of them and was not
// answered since, or they are all at endpoints that a quarantined request crashed.
func (e *Evidence) sameRequest(crashes []Crash, t Table) bool {
	key := crashes[0].Key
	if key != 0 && !slices.ContainsFunc(crashes, func(c Crash) bool { return c.Key != key || !c.At.After(e.answeredAt[key]) }) {
		return true
	}
	explained := map[endpoint.Incarnation]bool{}
	for _, c := range e.crashes {
		if t.BlocksRequest(c.Key) {
			explained[c.Endpoint] = true
		}
	}
	return !slices.ContainsFunc(crashes, func(c Crash) bool { return !explained[c.Endpoint] })
}
