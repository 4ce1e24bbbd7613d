package admission

import (
	"slices"
	"time"
)

// queue holds the requests for one model or service.
type queue struct {
	live, draft fairQueue
	// turn counts the requests that have begun; every draftInterval-th goes to a draft.
	turn    uint64
	waiting int
	running int
	// capacity is the number of requests that run concurrently, as far as known.
	capacity int
	// meanServiceTime is the moving average of the duration of served requests.
	meanServiceTime time.Duration
	serviceSamples  uint64
	// readyAt is when the first replica is expected to serve.
	readyAt       time.Time
	forecastSetAt time.Time
	refusedReason string
}

// fairQueue holds one class of requests and serves its callers round-robin.
type fairQueue struct {
	callers []*callerQueue
}

type callerQueue struct {
	caller  string
	tickets []*ticket
}

func newQueue() *queue { return &queue{} }

func (q *queue) idle() bool { return q.waiting+q.running == 0 }

func (q *queue) classOf(t *ticket) *fairQueue {
	if t.draft() {
		return &q.draft
	}
	return &q.live
}

func (q *queue) push(t *ticket) {
	cq := q.classOf(t).caller(t.Caller)
	cq.tickets = append(cq.tickets, t)
	q.waiting++
}

func (q *queue) pushFront(t *ticket) {
	cq := q.classOf(t).caller(t.Caller)
	cq.tickets = slices.Insert(cq.tickets, 0, t)
	q.waiting++
}

// next returns the next request: live requests come first, but every draftInterval-th turn goes to a draft.
func (q *queue) next() *ticket {
	first, second := &q.live, &q.draft
	if q.turn%draftInterval == draftInterval-1 {
		first, second = second, first
	}
	if t := first.head(); t != nil {
		return t
	}
	return second.head()
}

// dequeue removes a request. If it was the first of its caller, the caller moves behind the others.
func (q *queue) dequeue(t *ticket) {
	if q.classOf(t).remove(t) {
		q.waiting--
	}
}

func (l *fairQueue) caller(name string) *callerQueue {
	for _, cq := range l.callers {
		if cq.caller == name {
			return cq
		}
	}
	cq := &callerQueue{caller: name}
	l.callers = append(l.callers, cq)
	return cq
}

func (l *fairQueue) head() *ticket {
	if len(l.callers) == 0 {
		return nil
	}
	return l.callers[0].tickets[0]
}

func (l *fairQueue) remove(t *ticket) bool {
	callerIndex := slices.IndexFunc(l.callers, func(cq *callerQueue) bool { return cq.caller == t.Caller })
	if callerIndex < 0 {
		return false
	}
	cq := l.callers[callerIndex]
	ticketIndex := slices.Index(cq.tickets, t)
	if ticketIndex < 0 {
		return false
	}
	cq.tickets = slices.Delete(cq.tickets, ticketIndex, ticketIndex+1)
	if len(cq.tickets) == 0 || ticketIndex == 0 {
		l.callers = slices.Delete(l.callers, callerIndex, callerIndex+1)
	}
	if len(cq.tickets) > 0 && ticketIndex == 0 {
		l.callers = append(l.callers, cq)
	}
	return true
}

// ahead counts the requests that are served before an additional request of a caller.
func (l *fairQueue) ahead(caller string) int {
	ownLength := 0
	for _, cq := range l.callers {
		if cq.caller == caller {
			ownLength = len(cq.tickets)
		}
	}
	ahead := ownLength
	for _, cq := range l.callers {
		if cq.caller != caller {
			ahead += min(len(cq.tickets), ownLength+1)
		}
	}
	return ahead
}

// estimate returns the time until a new request would be answered, and whether enough is known to refuse a request
// based on it.
func (q *queue) estimate(r Request, now time.Time) (time.Duration, bool) {
	wait := q.readyIn(now)
	known := wait > 0
	if q.serviceSamples >= minServiceSamples && q.capacity > 0 {
		ahead := q.live.ahead(r.Caller)
		if r.draft() {
			ahead = q.draft.ahead(r.Caller) + q.live.size()
		}
		// While requests wait, the running ones show this entry's actual share of the endpoints.
		capacity := q.capacity
		if q.waiting > 0 && q.running > 0 {
			capacity = min(capacity, q.running)
		}
		rounds := float64(ahead)/float64(capacity) + 1
		// On average, the running requests are half done.
		if q.running >= capacity {
			rounds += 0.5
		}
		return wait + time.Duration(rounds*float64(q.meanServiceTime)), true
	}
	return wait, known
}

func (l *fairQueue) size() int {
	sum := 0
	for _, cq := range l.callers {
		sum += len(cq.tickets)
	}
	return sum
}

func (q *queue) recordServiceTime(took time.Duration) {
	if q.serviceSamples++; q.serviceSamples == 1 {
		q.meanServiceTime = took
		return
	}
	q.meanServiceTime += time.Duration(serviceTimeWeight * float64(took-q.meanServiceTime))
}

// readyIn returns the forecast time until a replica serves.
func (q *queue) readyIn(now time.Time) time.Duration {
	if q.forecastSetAt.IsZero() || now.Sub(q.forecastSetAt) > forecastTTL {
		return 0
	}
	return max(q.readyAt.Sub(now), 0)
}
