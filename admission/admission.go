package admission

import (
	"time"
)

const (
	// FirstDraftUrgency divides live requests from drafts, in the urgency of RFC 9218.
	FirstDraftUrgency = 4
	// draftShare gives a waiting draft every n-th turn, so that live requests don't starve it.
	draftShare = 8
	// serviceWeight is the weight of one request in the moving average of the time that a request takes.
	serviceWeight = 0.1
	// evidence is how many requests the average needs before a request is refused by it.
	evidence = 8
)

// Limits bound what is admitted; 0 sets no limit but for Queue.
type Limits struct {
	// Queue bounds the requests that wait for one model or service.
	Queue int
	// CallerRate is requests a second of one caller, CallerConcurrency how many at once.
	CallerRate        float64
	CallerConcurrency int
	// Total bounds the requests of all queues, waiting and running.
	Total int
	// Callers bounds the callers that are told apart.
	Callers int
	// RefuseDrafts refuses requests of low urgency.
	RefuseDrafts bool
}

// Request is what admission needs to know of a request.
type Request struct {
	ID       string
	Queue    string
	Caller   string
	Urgency  int
	Arrived  time.Time
	Deadline time.Time
}

func (r Request) draft() bool { return r.Urgency >= FirstDraftUrgency }

// Admission is the aggregate; one owner changes it.
type Admission struct {
	limits  Limits
	spread  func() float64
	queues  map[string]*queue
	callers callers
	open    map[string]*ticket
	counts  Counts
}

// ticket is one request between its admission and its end.
type ticket struct {
	Request
	queue   *queue
	running bool
	begun   time.Time
}

// Counts tell what became of requests; Admitted is always Ended + Waiting + Running.
type Counts struct {
	Admitted uint64
	Ended    uint64
	Refused  uint64
	Waiting  int
	Running  int
}

// New makes an empty Admission; spread gives numbers from 0 to 1 that part callers' returns.
func New(limits Limits, spread func() float64) *Admission {
	return &Admission{limits: limits, spread: spread, queues: map[string]*queue{}, callers: callers{}, open: map[string]*ticket{}}
}

// SetLimits puts other limits in force for requests that come from now on.
func (a *Admission) SetLimits(limits Limits) { a.limits = limits }

// Offer admits a request to its queue; the error is ErrRefused.
func (a *Admission) Offer(r Request, now time.Time) error {
	if err := a.check(r, now); err != nil {
		a.counts.Refused++
		return err
	}
	q := a.queue(r.Queue)
	t := &ticket{Request: r, queue: q}
	q.push(t)
	a.open[r.ID] = t
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
		return a.refuse(ReasonDrafts, draftsAgain)
	case a.limits.Total > 0 && len(a.open) >= a.limits.Total:
		return a.refuse(ReasonQueueFull, wait)
	}
	if reason, again := a.callers.check(r.Caller, a.limits, now); reason != "" {
		return a.refuse(reason, again)
	}
	switch {
	case q.waiting >= a.limits.Queue:
		return a.refuse(ReasonQueueFull, wait)
	case q.refused != "":
		return a.refuse(ReasonForecast, q.readyIn(now))
	case known && now.Add(wait).After(r.Deadline):
		return a.refuse(ReasonDeadlineTooShort, wait-r.Deadline.Sub(now))
	}
	return nil
}

// Peek returns the request of a queue that is next in turn.
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

// Begin takes the request that Peek named out of its queue.
func (a *Admission) Begin(id string, now time.Time) {
	t, ok := a.open[id]
	if !ok || t.running {
		return
	}
	t.queue.take(t)
	t.queue.turn++
	t.running, t.begun = true, now
	t.queue.running++
	a.counts.Waiting--
	a.counts.Running++
}

// Return puts a request that began back to the front of its caller's turn.
func (a *Admission) Return(id string) {
	t, ok := a.open[id]
	if !ok || !t.running {
		return
	}
	t.running = false
	t.queue.running--
	t.queue.pushFront(t)
	a.counts.Running--
	a.counts.Waiting++
}

// End takes a request out; served tells that its time counts for estimates.
func (a *Admission) End(id string, served bool, now time.Time) {
	t, ok := a.open[id]
	if !ok {
		return
	}
	delete(a.open, id)
	if t.running {
		t.queue.running--
		a.counts.Running--
		if served {
			t.queue.learn(now.Sub(t.begun))
		}
	} else {
		t.queue.take(t)
		a.counts.Waiting--
	}
	a.callers.leave(t.Caller, now)
	a.counts.Ended++
	if t.queue.idle() {
		t.queue.forecastAt = time.Time{}
	}
}

// Refusal returns why a waiting request should be given up now, since it can't be served in time any more.
func (a *Admission) Refusal(id string, now time.Time) error {
	t, ok := a.open[id]
	if !ok || t.running {
		return nil
	}
	if t.queue.refused != "" {
		return a.refuse(ReasonForecast, t.queue.readyIn(now))
	}
	if ready := t.queue.readyIn(now); now.Add(ready).After(t.Deadline) {
		return a.refuse(ReasonDeadlineTooShort, ready)
	}
	return nil
}

// IsWaiting tells whether a request waits in its queue.
func (a *Admission) IsWaiting(id string) bool {
	t, ok := a.open[id]
	return ok && !t.running
}

// Counts returns the counts as they stand.
func (a *Admission) Counts() Counts { return a.counts }

// Check fails with ErrCountsDiffer where a request was lost or counted twice.
func (a *Admission) Check() error {
	c := a.counts
	if c.Admitted == c.Ended+uint64(c.Waiting)+uint64(c.Running) && c.Waiting+c.Running == len(a.open) {
		return nil
	}
	return ErrCountsDiffer{Counts: c, Open: len(a.open)}
}

func (a *Admission) queue(name string) *queue {
	q, ok := a.queues[name]
	if !ok {
		q = newQueue()
		a.queues[name] = q
	}
	return q
}

// Sweep forgets queues and callers that have been idle.
func (a *Admission) Sweep(now time.Time) {
	for name, q := range a.queues {
		if q.idle() && q.served == 0 {
			delete(a.queues, name)
		}
	}
	a.callers.sweep(now)
}
