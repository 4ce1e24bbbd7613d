package admission

import (
	"slices"
	"time"
)

// queue holds what waits for one model or service.
type queue struct {
	live, draft line
	turn        uint64
	waiting     int
	running     int
	// capacity is how many requests run at once, as far as known.
	capacity int
	// service is the average time of a request, from served ones.
	service time.Duration
	served  uint64
	// ready is when the first replica is expected to serve.
	ready      time.Time
	forecastAt time.Time
	refused    string
}

// line holds one class of requests in turn by caller.
type line struct {
	callers []*callerLine
}

type callerLine struct {
	caller  string
	tickets []*ticket
}

func newQueue() *queue { return &queue{} }

func (q *queue) idle() bool { return q.waiting+q.running == 0 }

func (q *queue) of(t *ticket) *line {
	if t.draft() {
		return &q.draft
	}
	return &q.live
}

func (q *queue) push(t *ticket) {
	own := q.of(t).caller(t.Caller)
	own.tickets = append(own.tickets, t)
	q.waiting++
}

func (q *queue) pushFront(t *ticket) {
	own := q.of(t).caller(t.Caller)
	own.tickets = slices.Insert(own.tickets, 0, t)
	q.waiting++
}

// next returns the request whose turn it is: live ones first, but every draftShare-th turn is a draft's.
func (q *queue) next() *ticket {
	first, second := &q.live, &q.draft
	if q.turn%draftShare == draftShare-1 {
		first, second = second, first
	}
	if t := first.head(); t != nil {
		return t
	}
	return second.head()
}

// take removes a request and moves its caller behind the others.
func (q *queue) take(t *ticket) {
	if q.of(t).remove(t) {
		q.waiting--
	}
}

func (l *line) caller(name string) *callerLine {
	for _, one := range l.callers {
		if one.caller == name {
			return one
		}
	}
	own := &callerLine{caller: name}
	l.callers = append(l.callers, own)
	return own
}

func (l *line) head() *ticket {
	if len(l.callers) == 0 {
		return nil
	}
	return l.callers[0].tickets[0]
}

func (l *line) remove(t *ticket) bool {
	at := slices.IndexFunc(l.callers, func(one *callerLine) bool { return one.caller == t.Caller })
	if at < 0 {
		return false
	}
	own := l.callers[at]
	place := slices.Index(own.tickets, t)
	if place < 0 {
		return false
	}
	own.tickets = slices.Delete(own.tickets, place, place+1)
	if len(own.tickets) == 0 || place == 0 {
		l.callers = slices.Delete(l.callers, at, at+1)
	}
	if len(own.tickets) > 0 && place == 0 {
		l.callers = append(l.callers, own)
	}
	return true
}

// ahead counts the requests whose turn comes before one more of a caller.
func (l *line) ahead(caller string) int {
	mine := 0
	for _, one := range l.callers {
		if one.caller == caller {
			mine = len(one.tickets)
		}
	}
	ahead := mine
	for _, one := range l.callers {
		if one.caller != caller {
			ahead += min(len(one.tickets), mine+1)
		}
	}
	return ahead
}

// estimate returns when a new request would be answered, and whether enough is known to refuse by it.
func (q *queue) estimate(r Request, now time.Time) (time.Duration, bool) {
	wait := q.readyIn(now)
	known := wait > 0
	if q.served >= evidence && q.capacity > 0 {
		ahead := q.live.ahead(r.Caller)
		if r.draft() {
			ahead = q.draft.ahead(r.Caller) + q.live.size()
		}
		// Where requests wait, what runs now is what this entry gets of the endpoints.
		capacity := q.capacity
		if q.waiting > 0 && q.running > 0 {
			capacity = min(capacity, q.running)
		}
		rounds := float64(ahead)/float64(capacity) + 1
		// What runs now is half done on average.
		if q.running >= capacity {
			rounds += 0.5
		}
		return wait + time.Duration(rounds*float64(q.service)), true
	}
	return wait, known
}

func (l *line) size() int {
	sum := 0
	for _, one := range l.callers {
		sum += len(one.tickets)
	}
	return sum
}

func (q *queue) learn(took time.Duration) {
	if q.served++; q.served == 1 {
		q.service = took
		return
	}
	q.service += time.Duration(serviceWeight * float64(took-q.service))
}

// readyIn returns the time until a replica serves, as forecast.
func (q *queue) readyIn(now time.Time) time.Duration {
	if q.forecastAt.IsZero() || now.Sub(q.forecastAt) > forecastLifetime {
		return 0
	}
	return max(q.ready.Sub(now), 0)
}
