package traffic

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"burdocksaddle/engineapi"
)

const (
	// Deadline is the deadline of a request unless the target sets another one.
	Deadline = 6 * time.Second
	// Slack is the tolerance after the deadline. A later answer counts as missing.
	Slack       = 2 * time.Second
	maxRequests = 20_000
	// The load balancer checks the health of an entry at this interval and stops using it after one failure.
	healthInterval = 100 * time.Millisecond
	healthTimeout  = 500 * time.Millisecond
	// maxBookingAttempts is the maximum number of requests with the same key for one booking.
	maxBookingAttempts = 3
)

// Kind is the kind of a request.
type Kind string

// Kinds of requests. Stream and Completion ask an engine for the same completion, as a stream or as one response; Booking and
// Lookup go to the plain service.
const (
	Booking    Kind = "booking"
	Stream     Kind = "stream"
	Completion Kind = "whole"
	Lookup     Kind = "lookup"
)

// Attempt is one request and its outcome.
type Attempt struct {
	Kind     Kind
	Key      string
	Entry    int
	Begin    time.Time
	Duration time.Duration
	Status   int
	// Incomplete is set if the connection broke or the answer is incomplete.
	Incomplete bool
	Problem    Problem
	Detail     string
	// WrongAnswer is set if the answer does not belong to this request.
	WrongAnswer bool
}

// Problem is the body of a refusal.
type Problem struct {
	Code, Run, RequestID string
}

// Target describes the requests to send and the entries to send them to.
type Target struct {
	// EntryURLs are the base URLs of the entries.
	EntryURLs []string
	// Models are the requested models. Service is the service that receives bookings and lookups.
	Models  []string
	Service string
	// Deadline is the deadline of each request; the constant Deadline if 0.
	Deadline time.Duration
	// Interval is the time between two requests of one caller.
	Interval time.Duration
	// Transport returns a new transport for the connections of one caller.
	Transport func() *http.Transport
}

// Load sends requests of every kind through the entries until it is stopped.
type Load struct {
	target Target
	// healthy is the load balancer's view of each entry.
	healthy  []atomic.Bool
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	sent     atomic.Int64
	mu       sync.Mutex
	attempts []Attempt
}

// Start starts callers of every kind at each entry. They stop when ctx ends or Stop is called.
func Start(ctx context.Context, target Target) *Load {
	l := &Load{target: target, healthy: make([]atomic.Bool, len(target.EntryURLs))}
	ctx, l.cancel = context.WithCancel(ctx)
	for i := range target.EntryURLs {
		l.healthy[i].Store(true)
		l.wg.Go(func() { l.checkHealth(ctx, i) })
	}
	for i := range target.EntryURLs {
		for _, k := range []Kind{Booking, Booking, Stream, Stream, Completion, Lookup} {
			l.wg.Go(func() { l.sendRequests(ctx, k, i) })
		}
	}
	return l
}

// Stop stops the callers, waits for their open requests and returns all attempts.
func (l *Load) Stop() []Attempt {
	l.cancel()
	l.wg.Wait()
	return l.attempts
}

// Since returns the completed attempts that began at or after a moment.
func (l *Load) Since(moment time.Time) []Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []Attempt
	for _, a := range l.attempts {
		if !a.Begin.Before(moment) {
			found = append(found, a)
		}
	}
	return found
}

// checkHealth polls the health of an entry, as the load balancer in front of it does.
func (l *Load) checkHealth(ctx context.Context, i int) {
	transport := l.target.Transport()
	transport.DisableKeepAlives = true
	client := &http.Client{Transport: transport, Timeout: healthTimeout}
	for ctx.Err() == nil {
		l.healthy[i].Store(isHealthy(ctx, client, l.target.EntryURLs[i]))
		time.Sleep(healthInterval)
	}
}

func isHealthy(ctx context.Context, client *http.Client, base string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+engineapi.PathHealth, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pickEntry returns the preferred entry or, if it is unhealthy, the next healthy one.
func (l *Load) pickEntry(preferred int) int {
	for i := range l.target.EntryURLs {
		if next := (preferred + i) % len(l.target.EntryURLs); l.healthy[next].Load() {
			return next
		}
	}
	return preferred % len(l.target.EntryURLs)
}

func (l *Load) sendRequests(ctx context.Context, k Kind, entry int) {
	// Each caller has a client of its own, so that callers do not share connections.
	client := &http.Client{Transport: l.target.Transport()}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		n := l.sent.Add(1)
		if n > maxRequests {
			return
		}
		key := string(k) + "-" + strconv.FormatInt(n, 10)
		for i := range maxBookingAttempts {
			picked := l.pickEntry(entry + i)
			a := l.target.Send(client, picked, k, key)
			l.mu.Lock()
			l.attempts = append(l.attempts, a)
			l.mu.Unlock()
			if k != Booking || a.Status == http.StatusOK && !a.Incomplete {
				break
			}
		}
		time.Sleep(l.target.Interval)
	}
}
