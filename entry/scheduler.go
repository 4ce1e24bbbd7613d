package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"burdocksaddle/admission"
	"burdocksaddle/catalog"
	"burdocksaddle/routing"
	"burdocksaddle/view"
	"burdocksaddle/wirepb"
)

const (
	matchInterval = 20 * time.Millisecond
	sweepInterval = time.Second
	defaultQueue  = 1024
	// maxOpen bounds all requests of an entry, maxCallers the callers it tells apart.
	maxOpen    = 1 << 14
	maxCallers = 1 << 16
	// warmingTime is how long a replica that has just loaded counts as warming.
	warmingTime = time.Second
)

// scheduler owns the queues and the choice of endpoints: it alone matches the two.
type scheduler struct {
	watch     *view.Client
	node      string
	violation func(error)

	mu        sync.Mutex
	admission *admission.Admission
	router    *routing.Router
	budget    *routing.Budget
	waiters   map[string]*waiter
	// targets holds the endpoints of each queue; it is made anew when the view changes.
	targets map[string]*target
	known   map[string]*wirepb.EndpointView
	loaded  map[string]time.Time
}

// waiter is one request between its admission and its end.
type waiter struct {
	request Request
	avoid   []string
	grants  chan grant
}

// grant gives a waiting request its endpoint, or the reason why it gets none.
type grant struct {
	endpoint *wirepb.EndpointView
	refused  error
}

// target is what can serve one queue: near is this entry's subset.
type target struct {
	near, all []routing.Endpoint
	slots     int
}

func newScheduler(node, dataCentre string, ratio float64, watch *view.Client, violation func(error)) *scheduler {
	return &scheduler{
		watch: watch, node: node, violation: violation,
		admission: admission.New(limitsOf(catalog.Preset{}), rand.Float64),
		router:    routing.New(dataCentre, rand.IntN), budget: routing.NewBudget(ratio),
		waiters: map[string]*waiter{}, targets: map[string]*target{}, loaded: map[string]time.Time{},
	}
}

func limitsOf(p catalog.Preset) admission.Limits {
	limits := admission.Limits{
		Queue: p.QueueLimit, CallerRate: p.CallerRate, CallerConcurrency: p.CallerConcurrency,
		Total: maxOpen, Callers: maxCallers, RefuseDrafts: p.RefuseDrafts,
	}
	if limits.Queue == 0 {
		limits.Queue = defaultQueue
	}
	return limits
}

// offer queues a request, or refuses it.
func (s *scheduler) offer(r Request) (*waiter, error) {
	preset := s.watch.Catalog().InForce()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.admission.SetLimits(limitsOf(preset))
	s.admission.SetCapacity(r.queue(), s.target(r.queue()).slots)
	if err := s.admission.Offer(admission.Request{
		ID: r.ID, Queue: r.queue(), Caller: r.Caller, Urgency: r.Urgency, Arrived: now, Deadline: r.Deadline,
	}, now); err != nil {
		return nil, refusedBy(err)
	}
	s.budget.Request()
	w := &waiter{request: r, grants: make(chan grant, 1)}
	s.waiters[r.ID] = w
	s.match(r.queue(), now)
	return w, nil
}

// again queues a request that was granted an endpoint once more.
func (s *scheduler) again(w *waiter, avoid string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if avoid != "" {
		w.avoid = append(w.avoid, avoid)
	}
	s.admission.Return(w.request.ID)
	s.match(w.request.queue(), time.Now())
}

// free gives an endpoint's slot back.
func (s *scheduler) free(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.End(endpoint)
	s.matchAll(time.Now())
}

// end takes a request out.
func (s *scheduler) end(w *waiter, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.End(w.request.ID, served, time.Now())
	delete(s.waiters, w.request.ID)
	select {
	case g := <-w.grants:
		// A grant that nobody took any more.
		if g.endpoint != nil {
			s.router.End(g.endpoint.GetName())
		}
	default:
	}
}

// tell hands what an attempt saw of its endpoint to the router.
func (s *scheduler) tell(see func(*routing.Router, time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	see(s.router, time.Now())
}

func (s *scheduler) mayRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Retry()
}

func (s *scheduler) matchAll(now time.Time) {
	for _, name := range s.admission.Waiting() {
		s.match(name, now)
	}
}

// match grants endpoints to the requests of a queue in turn while any is free.
func (s *scheduler) match(name string, now time.Time) {
	target := s.target(name)
	for {
		next, ok := s.admission.Peek(name)
		if !ok {
			return
		}
		w := s.waiters[next.ID]
		q := routing.Request{Adapter: w.request.Adapter, Prefix: w.request.Prefix, Avoid: w.avoid}
		chosen, ok := s.router.Choose(q, target.near, now)
		if !ok && len(target.all) > len(target.near) {
			chosen, ok = s.router.Choose(q, target.all, now)
		}
		if !ok {
			return
		}
		s.router.Begin(chosen, q, now)
		s.admission.Begin(next.ID, now)
		w.grants <- grant{endpoint: s.known[chosen.Name]}
	}
}

// attend is the duty that matches whenever the view changes or a pause may have ended.
func (s *scheduler) attend(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick := time.NewTicker(matchInterval)
		defer tick.Stop()
		swept := time.Now()
		for ctx.Err() == nil {
			changed := s.watch.Changed()
			s.refresh(time.Now())
			for stale := false; !stale && ctx.Err() == nil; {
				select {
				case <-ctx.Done():
				case <-changed:
					stale = true
				case now := <-tick.C:
					swept = s.tick(now, swept)
				}
			}
		}
		ended <- nil
	}()
	return ended
}

func (s *scheduler) tick(now, swept time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.matchAll(now)
	if now.Sub(swept) < sweepInterval {
		return swept
	}
	if err := s.admission.Check(); err != nil {
		s.violation(err)
	}
	s.admission.Sweep(now)
	s.router.Sweep(func(name string) bool { return s.known[name] != nil })
	return now
}

// handOver gives up every waiting request.
func (s *scheduler) handOver(refused error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, w := range s.waiters {
		if s.admission.IsWaiting(id) {
			s.give(id, w, refused, now)
		}
	}
}

// give refuses a waiting request; it leaves its queue first, so that no endpoint is granted besides.
func (s *scheduler) give(id string, w *waiter, refused error, now time.Time) {
	s.admission.End(id, false, now)
	delete(s.waiters, id)
	w.grants <- grant{refused: refused}
}

// forecast takes control's word on when models serve and gives up what can't be in time.
func (s *scheduler) forecast(reply *wirepb.DemandReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, f := range reply.GetModels() {
		name := modelQueue + f.GetModel()
		reason := ""
		if f.GetRefused() {
			reason = f.GetReason() + " "
		}
		s.admission.SetForecast(admission.Forecast{Queue: name, ReadyIn: time.Duration(f.GetReadyInMs()) * time.Millisecond, Refused: reason}, now)
		s.admission.SetCapacity(name, s.target(name).slots)
	}
	for id, w := range s.waiters {
		if err := s.admission.Refusal(id, now); err != nil {
			s.give(id, w, refusedBy(err), now)
		}
	}
}
