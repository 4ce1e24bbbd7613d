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
	matchInterval     = 20 * time.Millisecond
	sweepInterval     = time.Second
	defaultQueueLimit = 1024
	// maxOpenRequests limits the open requests of an entry, maxCallers the callers that it tracks.
	maxOpenRequests = 1 << 14
	maxCallers      = 1 << 16
	// warmingPeriod is how long a newly loaded replica counts as warming up.
	warmingPeriod = time.Second
)

// scheduler owns the queues and the endpoint selection, and assigns queued requests to endpoints.
type scheduler struct {
	view        *view.Client
	node        string
	onViolation func(error)

	mu        sync.Mutex
	admission *admission.Admission
	router    *routing.Router
	budget    *routing.Budget
	waiters   map[string]*waiter
	// endpointSets holds the endpoints of each queue by queue name; it is rebuilt when the view changes.
	endpointSets map[string]*endpointSet
	endpoints    map[string]*wirepb.EndpointView
	loadedSince  map[string]time.Time
}

// waiter is an admitted request that has not ended.
type waiter struct {
	request Request
	avoid   []string
	grants  chan grant
}

// grant assigns an endpoint to a queued request, or refuses the request.
type grant struct {
	endpoint *wirepb.EndpointView
	refusal  error
}

// endpointSet holds the endpoints that can serve one queue. subset contains those that this entry prefers; all is the
// fallback.
type endpointSet struct {
	subset, all []routing.Endpoint
	slots       int
}

func newScheduler(node, dataCentre string, ratio float64, viewClient *view.Client, onViolation func(error)) *scheduler {
	return &scheduler{
		view: viewClient, node: node, onViolation: onViolation,
		admission: admission.New(admissionLimits(catalog.Preset{}), rand.Float64),
		router:    routing.New(dataCentre, rand.IntN), budget: routing.NewBudget(ratio),
		waiters: map[string]*waiter{}, endpointSets: map[string]*endpointSet{}, loadedSince: map[string]time.Time{},
	}
}

// admissionLimits returns the admission limits of a preset.
func admissionLimits(p catalog.Preset) admission.Limits {
	limits := admission.Limits{
		Queue: p.QueueLimit, CallerRate: p.CallerRate, CallerConcurrency: p.CallerConcurrency,
		Total: maxOpenRequests, Callers: maxCallers, RefuseDrafts: p.RefuseDrafts,
	}
	if limits.Queue == 0 {
		limits.Queue = defaultQueueLimit
	}
	return limits
}

// enqueue adds a request to its queue, or returns the refusal.
func (s *scheduler) enqueue(r Request) (*waiter, error) {
	preset := s.view.Catalog().ActivePreset()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.admission.SetLimits(admissionLimits(preset))
	s.admission.SetCapacity(r.queueName(), s.endpointSet(r.queueName()).slots)
	if err := s.admission.Enqueue(admission.Request{
		ID: r.ID, Queue: r.queueName(), Caller: r.Caller, Urgency: r.Urgency, Arrived: now, Deadline: r.Deadline,
	}, now); err != nil {
		return nil, admissionRefusal(err)
	}
	s.budget.AddRequest()
	w := &waiter{request: r, grants: make(chan grant, 1)}
	s.waiters[r.ID] = w
	s.match(r.queueName(), now)
	return w, nil
}

// requeue returns a request to its queue for another attempt; avoid names an endpoint to avoid, if any.
func (s *scheduler) requeue(w *waiter, avoid string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if avoid != "" {
		w.avoid = append(w.avoid, avoid)
	}
	s.admission.Requeue(w.request.ID)
	s.match(w.request.queueName(), time.Now())
}

// release frees a slot of an endpoint and matches waiting requests.
func (s *scheduler) release(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.RecordEnd(endpoint)
	s.matchAll(time.Now())
}

// finish removes a request.
func (s *scheduler) finish(w *waiter, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.End(w.request.ID, served, time.Now())
	delete(s.waiters, w.request.ID)
	select {
	case g := <-w.grants:
		// The request ended before it received this grant.
		if g.endpoint != nil {
			s.router.RecordEnd(g.endpoint.GetName())
		}
	default:
	}
}

// updateRouter calls update with the router under the lock.
func (s *scheduler) updateRouter(update func(*routing.Router, time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(s.router, time.Now())
}

// spendRetry takes one retry from the retry budget and reports whether there was one.
func (s *scheduler) spendRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.TakeRetry()
}

func (s *scheduler) matchAll(now time.Time) {
	for _, name := range s.admission.Waiting() {
		s.match(name, now)
	}
}

// match assigns endpoints to the requests of a queue in order while an endpoint is free.
func (s *scheduler) match(queue string, now time.Time) {
	candidates := s.endpointSet(queue)
	for {
		next, ok := s.admission.Peek(queue)
		if !ok {
			return
		}
		w := s.waiters[next.ID]
		q := routing.Request{Adapter: w.request.Adapter, PromptPrefix: w.request.PromptPrefix, Avoid: w.avoid}
		chosen, ok := s.router.Choose(q, candidates.subset, now)
		if !ok && len(candidates.all) > len(candidates.subset) {
			chosen, ok = s.router.Choose(q, candidates.all, now)
		}
		if !ok {
			return
		}
		s.router.RecordStart(chosen, q, now)
		s.admission.Begin(next.ID, now)
		w.grants <- grant{endpoint: s.endpoints[chosen.Name]}
	}
}

// matchLoop matches requests whenever the view changes, and periodically, since an endpoint may become available again
// without a change of the view.
func (s *scheduler) matchLoop(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick := time.NewTicker(matchInterval)
		defer tick.Stop()
		lastSweep := time.Now()
		for ctx.Err() == nil {
			changed := s.view.Changed()
			s.refresh(time.Now())
			for viewChanged := false; !viewChanged && ctx.Err() == nil; {
				select {
				case <-ctx.Done():
				case <-changed:
					viewChanged = true
				case now := <-tick.C:
					lastSweep = s.tick(now, lastSweep)
				}
			}
		}
		ended <- nil
	}()
	return ended
}

func (s *scheduler) tick(now, lastSweep time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.matchAll(now)
	if now.Sub(lastSweep) < sweepInterval {
		return lastSweep
	}
	if err := s.admission.CheckCounts(); err != nil {
		s.onViolation(err)
	}
	s.admission.Prune(now)
	s.router.Prune(func(name string) bool { return s.endpoints[name] != nil })
	return now
}

// refuseWaiting refuses all queued requests.
func (s *scheduler) refuseWaiting(refusal error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, w := range s.waiters {
		if s.admission.IsWaiting(id) {
			s.refuseWaiter(id, w, refusal, now)
		}
	}
}

// refuseWaiter refuses a queued request. It removes the request from its queue first, so that no endpoint is granted as
// well.
func (s *scheduler) refuseWaiter(id string, w *waiter, refusal error, now time.Time) {
	s.admission.End(id, false, now)
	delete(s.waiters, id)
	w.grants <- grant{refusal: refusal}
}

// applyForecasts applies control's forecasts of when models become ready, and refuses requests that can't meet their
// deadline.
func (s *scheduler) applyForecasts(reply *wirepb.DemandReply) {
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
		s.admission.SetCapacity(name, s.endpointSet(name).slots)
	}
	for id, w := range s.waiters {
		if err := s.admission.CheckWaiting(id, now); err != nil {
			s.refuseWaiter(id, w, admissionRefusal(err), now)
		}
	}
}
