package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Weights of the score, in shares of an endpoint's slots; the least score is chosen.
	prefixBonus     = 0.35
	adapterBonus    = 0.2
	farPenalty      = 0.15
	warmingPenalty  = 0.5
	failurePenalty  = 0.5
	choices         = 2
	subsetSize      = 64
	reportHalfLife  = time.Second
	failureHalfLife = 5 * time.Second
	// outBase is how long an endpoint is left out after a failure, doubled by each further one up to outMost.
	outBase = 500 * time.Millisecond
	outMost = 10 * time.Second
	// busyPause is how long an endpoint that said it is full isn't asked.
	busyPause = 50 * time.Millisecond
	// maxPrefixes bounds what is remembered of one endpoint's prefixes and adapters.
	maxPrefixes = 4096
)

// Endpoint is what the fleet's view says of an endpoint that can serve the request.
type Endpoint struct {
	Name        string
	DataCentre  string
	Slots       int
	Incarnation uint64
	// Out tells that it is leaving or silent.
	Out bool
	// Warming tells that its replica serves since a moment only.
	Warming bool
}

// Request is what routing needs to know of a request.
type Request struct {
	Adapter string
	// Prefix numbers the prompt's prefix; 0 is none.
	Prefix uint64
	// Avoid are endpoints that failed this request already.
	Avoid []string
}

// Report is an endpoint's load by its agent's word.
type Report struct {
	Running int
	Waiting int
	Slots   int
	Age     time.Duration
	Events  []CacheEvent
}

// CacheEvent says that a prefix entered or left an endpoint's cache.
type CacheEvent struct {
	Sequence uint64
	Prefix   uint64
	Dropped  bool
}

// Router is the aggregate; one owner changes it.
type Router struct {
	dataCentre string
	random     func(n int) int
	endpoints  map[string]*state
}

// state is what this entry has seen of one endpoint.
type state struct {
	incarnation uint64
	// own counts this entry's requests there.
	own      int
	report   Report
	reported time.Time
	failures float64
	failed   time.Time
	out      time.Time
	prefixes recent
	adapters recent
	sequence uint64
	used     time.Time
}

// New makes a Router in a data centre; random returns a number from 0 to n-1.
func New(dataCentre string, random func(n int) int) *Router {
	return &Router{dataCentre: dataCentre, random: random, endpoints: map[string]*state{}}
}

// Choose returns the endpoint for a request among those that can serve it; false when none is free.
func (r *Router) Choose(q Request, all []Endpoint, now time.Time) (Endpoint, bool) {
	free := r.free(all, q, now)
	if len(free) == 0 {
		return Endpoint{}, false
	}
	sampled := r.sample(free, q)
	return slices.MinFunc(sampled, func(a, b Endpoint) int {
		return cmp.Compare(r.score(a, q, now), r.score(b, q, now))
	}), true
}

// free leaves out what is leaving, silent, full or failed of late; what failed this request only if others are free.
func (r *Router) free(all []Endpoint, q Request, now time.Time) []Endpoint {
	var free, avoided []Endpoint
	for _, e := range all {
		s := r.of(e, now)
		if e.Out || now.Before(s.out) || s.own >= e.Slots {
			continue
		}
		if slices.Contains(q.Avoid, e.Name) {
			avoided = append(avoided, e)
			continue
		}
		free = append(free, e)
	}
	if len(free) == 0 {
		return avoided
	}
	return free
}

// sample takes two at random and those that hold the prefix or the adapter.
func (r *Router) sample(free []Endpoint, q Request) []Endpoint {
	if len(free) <= choices {
		return free
	}
	first := r.random(len(free))
	second := r.random(len(free) - 1)
	if second >= first {
		second++
	}
	sampled := []Endpoint{free[first], free[second]}
	for i, e := range free {
		if i != first && i != second && r.holds(e.Name, q) {
			sampled = append(sampled, e)
		}
	}
	return sampled
}

func (r *Router) holds(name string, q Request) bool {
	s := r.endpoints[name]
	return q.Prefix != 0 && s.prefixes.has(q.Prefix) || q.Adapter != "" && s.adapters.has(xxhash.Sum64String(q.Adapter))
}

// score is the load of an endpoint in shares of its slots, bettered by what it holds.
func (r *Router) score(e Endpoint, q Request, now time.Time) float64 {
	s := r.endpoints[e.Name]
	score := s.load(now) / float64(max(e.Slots, 1))
	if q.Prefix != 0 && s.prefixes.has(q.Prefix) {
		score -= prefixBonus
	}
	if q.Adapter != "" && s.adapters.has(xxhash.Sum64String(q.Adapter)) {
		score -= adapterBonus
	}
	if e.DataCentre != r.dataCentre {
		score += farPenalty
	}
	if e.Warming {
		score += warmingPenalty
	}
	return score + failurePenalty*s.decayedFailures(now)
}

// load is this entry's own requests, and those of others by the last report as far as it is still fresh.
func (s *state) load(now time.Time) float64 {
	others := float64(max(s.report.Running+s.report.Waiting-s.own, 0))
	return float64(s.own) + others*decay(now.Sub(s.reported)+s.report.Age, reportHalfLife)
}

func (s *state) decayedFailures(now time.Time) float64 {
	return s.failures * decay(now.Sub(s.failed), failureHalfLife)
}

// Begin counts a request to an endpoint.
func (r *Router) Begin(e Endpoint, q Request, now time.Time) {
	s := r.of(e, now)
	s.own++
	s.used = now
	if q.Adapter != "" {
		s.adapters.add(xxhash.Sum64String(q.Adapter))
	}
	if q.Prefix != 0 {
		// The engine will cache it; its late events correct this.
		s.prefixes.add(q.Prefix)
	}
}

// End counts a request to an endpoint out.
func (r *Router) End(name string) {
	if s, ok := r.endpoints[name]; ok && s.own > 0 {
		s.own--
	}
}

// Report takes an endpoint's load and cache events, which come late and with gaps.
func (r *Router) Report(name string, report Report, now time.Time) {
	s, ok := r.endpoints[name]
	if !ok {
		return
	}
	if now.Add(-report.Age).Before(s.reported.Add(-s.report.Age)) {
		report.Running, report.Waiting, report.Age = s.report.Running, s.report.Waiting, s.report.Age+now.Sub(s.reported)
	}
	s.report, s.reported = report, now
	for _, event := range report.Events {
		if event.Sequence <= s.sequence {
			continue
		}
		s.sequence = event.Sequence
		if event.Dropped {
			s.prefixes.drop(event.Prefix)
		} else {
			s.prefixes.add(event.Prefix)
		}
	}
}

// Fail notes that an endpoint failed; each further failure leaves it out for longer.
func (r *Router) Fail(name string, now time.Time) {
	s, ok := r.endpoints[name]
	if !ok {
		return
	}
	s.failures, s.failed = s.decayedFailures(now)+1, now
	out := outBase
	for n := 1.5; n < s.failures && out < outMost; n++ {
		out *= 2
	}
	s.out = now.Add(min(out, outMost))
}

// Busy notes that an endpoint had no free slot.
func (r *Router) Busy(name string, now time.Time) {
	if s, ok := r.endpoints[name]; ok && s.out.Before(now.Add(busyPause)) {
		s.out = now.Add(busyPause)
	}
}

// Leave notes that an endpoint said itself that it takes no new work.
func (r *Router) Leave(name string, now time.Time) {
	if s, ok := r.endpoints[name]; ok {
		s.out = now.Add(outMost)
	}
}

// Succeed notes a whole answer.
func (r *Router) Succeed(name string, now time.Time) {
	if s, ok := r.endpoints[name]; ok {
		s.failures, s.failed = s.decayedFailures(now)/2, now
	}
}

// Sweep forgets endpoints that are not known any more and have no requests.
func (r *Router) Sweep(known func(name string) bool) {
	for name, s := range r.endpoints {
		if s.own == 0 && !known(name) {
			delete(r.endpoints, name)
		}
	}
}

// of returns an endpoint's state; another incarnation starts without its history.
func (r *Router) of(e Endpoint, now time.Time) *state {
	s, ok := r.endpoints[e.Name]
	if !ok {
		s = &state{incarnation: e.Incarnation, used: now}
		r.endpoints[e.Name] = s
	}
	if s.incarnation != e.Incarnation {
		*s = state{incarnation: e.Incarnation, own: s.own, used: now}
	}
	return s
}
