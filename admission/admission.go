package admission

import (
	"time"
)

const (
	// FirstDraftUrgency is the lowest urgency value, as in RFC 9218, of a draft; smaller values are live requests.
	FirstDraftUrgency = 4
	// draftInterval gives every n-th turn to a waiting draft, so that live requests do not starve drafts.
	draftInterval = 8
	// serviceTimeWeight is the weight of one request in the moving average of the service time.
	serviceTimeWeight = 0.1
	// minServiceSamples is the number of requests that the average needs before a request is refused based on it.
	minServiceSamples = 8
)

// Limits are the limits of admission; 0 means no limit, except for Queue.
type Limits struct {
	// Queue is the maximum number of requests that wait for one model or service.
	Queue int
	// CallerRate is the maximum number of requests per second of one caller, CallerConcurrency that of concurrent
	// ones.
	CallerRate        float64
	CallerConcurrency int
	// Total is the maximum number of requests in all queues, waiting and running.
	Total int
	// Callers is the maximum number of callers that are tracked individually.
	Callers int
	// RefuseDrafts causes requests of low urgency to be refused.
	RefuseDrafts bool
}

// Request holds the properties of a request that affect admission.
type Request struct {
	ID       string
	Queue    string
	Caller   string
	Urgency  int
	Arrived  time.Time
	Deadline time.Time
}

func (r Request) draft() bool { return r.Urgency >= FirstDraftUrgency }

// Admission holds all queues and limits. It is not safe for concurrent use.
type Admission struct {
	limits  Limits
	jitter  func() float64
	queues  map[string]*queue
	callers callerTable
	tickets map[string]*ticket
	counts  Counts
}

// ticket is an admitted request that has not ended.
type ticket struct {
	Request
	queue   *queue
	running bool
	begunAt time.Time
}

// Counts are the numbers of requests by state; Admitted always equals Ended + Waiting + Running.
type Counts struct {
	Admitted uint64
	Ended    uint64
	Refused  uint64
	Waiting  int
	Running  int
}

// New returns an empty Admission; jitter returns numbers from 0 to 1 that spread the callers' retries.
func New(limits Limits, jitter func() float64) *Admission {
	return &Admission{limits: limits, jitter: jitter, queues: map[string]*queue{}, callers: callerTable{}, tickets: map[string]*ticket{}}
}

// SetLimits replaces the limits for future requests.
func (a *Admission) SetLimits(limits Limits) { a.limits = limits }

// Enqueue admits a request to its queue, or fails with ErrRefused.
func (a *Admission) Enqueue(r Request, now time.Time) error {
	if err := a.check(r, now); err != nil {
		a.counts.Refused++
		return err
	}
	q := a.queue(r.Queue)
	t := &ticket{Request: r, queue: q}
	q.push(t)
	a.tickets[r.ID] = t
	a.callers[r.Caller].open++
	a.counts.Admitted++
	a.counts.Waiting++
	return nil
}

func (a *Admission) check(r Request, now time.Time) error {
	q := a.queue(r.Queue)
	wait, known := q.estimate(r, now)
	switch {
	case !now.Before(r.Deadline):
		return a.refuse(ReasonDeadlinePassed, 0)
	case a.limits.RefuseDrafts && r.draft():
		return a.refuse(ReasonDrafts, draftRetryAfter)
	case a.limits.Total > 0 && len(a.tickets) >= a.limits.Total:
		return a.refuse(ReasonQueueFull, wait)
	}
	if reason, retryAfter := a.callers.check(r.Caller, a.limits, now); reason != "" {
		return a.refuse(reason, retryAfter)
	}
	switch {
	case q.waiting >= a.limits.Queue:
		return a.refuse(ReasonQueueFull, wait)
	case q.refusedReason != "":
		return a.refuse(ReasonNoReplica, q.readyIn(now))
	case known && now.Add(wait).After(r.Deadline):
		return a.refuse(ReasonDeadlineTooShort, wait-r.Deadline.Sub(now))
	}
	return nil
}

// Peek returns the next request of a queue without removing it.
func (a *Admission) Peek(name string) (Request, bool) {
	q, ok := a.queues[name]
	if !ok {
		return Request{}, false
	}
	t := q.next()
	if t == nil {
		return Request{}, false
	}
	return t.Request, true
}

// Begin removes the request that Peek returned from its queue and marks it as running.
func (a *Admission) Begin(id string, now time.Time) {
	t, ok := a.tickets[id]
	if !ok || t.running {
		return
	}
	t.queue.dequeue(t)
	t.queue.turn++
	t.running, t.begunAt = true, now
	t.queue.running++
	a.counts.Waiting--
	a.counts.Running++
}

// Requeue puts a running request back at the front of its caller's queue.
func (a *Admission) Requeue(id string) {
	t, ok := a.tickets[id]
	if !ok || !t.running {
		return
	}
	t.running = false
	t.queue.running--
	t.queue.pushFront(t)
	a.counts.Running--
	a.counts.Waiting++
}

// End removes a request; served is set if its duration counts for estimates.
func (a *Admission) End(id string, served bool, now time.Time) {
	t, ok := a.tickets[id]
	if !ok {
		return
	}
	delete(a.tickets, id)
	if t.running {
		t.queue.running--
		a.counts.Running--
		if served {
			t.queue.recordServiceTime(now.Sub(t.begunAt))
		}
	} else {
		t.queue.dequeue(t)
		a.counts.Waiting--
	}
	a.callers.release(t.Caller, now)
	a.counts.Ended++
	if t.queue.idle() {
		t.queue.forecastSetAt = time.Time{}
	}
}

// CheckWaiting returns an error if a waiting request can no longer be served by its deadline, nil otherwise.
func (a *Admission) CheckWaiting(id string, now time.Time) error {
	t, ok := a.tickets[id]
	if !ok || t.running {
		return nil
	}
	if t.queue.refusedReason != "" {
		return a.refuse(ReasonNoReplica, t.queue.readyIn(now))
	}
	if ready := t.queue.readyIn(now); now.Add(ready).After(t.Deadline) {
		return a.refuse(ReasonDeadlineTooShort, ready)
	}
	return nil
}

// IsWaiting reports whether a request waits in its queue.
func (a *Admission) IsWaiting(id string) bool {
	t, ok := a.tickets[id]
	return ok && !t.running
}

// Counts returns the current counts.
func (a *Admission) Counts() Counts { return a.counts }

// CheckCounts fails with ErrCountsDiffer if a request was lost or counted twice.
func (a *Admission) CheckCounts() error {
	c := a.counts
	if c.Admitted == c.Ended+uint64(c.Waiting)+uint64(c.Running) && c.Waiting+c.Running == len(a.tickets) {
		return nil
	}
	return ErrCountsDiffer{Counts: c, Open: len(a.tickets)}
}

func (a *Admission) queue(name string) *queue {
	q, ok := a.queues[name]
	if !ok {
		q = newQueue()
		a.queues[name] = q
	}
	return q
}

// Prune removes idle queues that have not served any request, and idle callers.
func (a *Admission) Prune(now time.Time) {
	for name, q := range a.queues {
		if q.idle() && q.serviceSamples == 0 {
			delete(a.queues, name)
		}
	}
	a.callers.prune(now)
}
