package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Weights of the score, as shares of an endpoint's slots; the endpoint with the lowest score is selected.
	prefixBonus    = 0.35
	adapterBonus   = 0.2
	remotePenalty  = 0.15
	warmingPenalty = 0.5
	failurePenalty = 0.5
	// sampleSize is the number of endpoints that are sampled at random for a request.
	sampleSize = 2
	// subsetSize is the number of endpoints that one entry uses in a large fleet.
	subsetSize = 64
	// reportHalfLife and failureHalfLife are the times in which a load report and a failure lose half their weight.
	reportHalfLife  = time.Second
	failureHalfLife = 5 * time.Second
	// minEjection is how long an endpoint is ejected after a failure. Each further failure doubles the time, up to
	// maxEjection.
	minEjection = 500 * time.Millisecond
	maxEjection = 10 * time.Second
	// busyBackoff is how long an endpoint that reported to be full is not selected.
	busyBackoff = 50 * time.Millisecond
	// maxBoundedSetSize is the maximum number of prefixes, and of adapters, remembered per endpoint.
	maxBoundedSetSize = 4096
)

// Endpoint describes a candidate endpoint for a request.
type Endpoint struct {
	Name        string
	DataCentre  string
	Slots       int
	Incarnation uint64
	// Unavailable is set if the endpoint is draining or does not respond.
	Unavailable bool
	// Warming is set if its replica has only just started to serve.
	Warming bool
	// Speed is the endpoint's speed relative to the mean of the service, 0 if unknown.
	Speed float64
}

// Request holds the properties of a request that affect routing.
type Request struct {
	Adapter string
	// PromptPrefix identifies the prompt's prefix; 0 means none.
	PromptPrefix uint64
	// Avoid lists endpoints that already failed this request.
	Avoid []string
	// PromptTokens is the size of the prompt, 0 if unknown.
	PromptTokens int
	// Prefixes are the prefixes of the prompt that other requests may share, shortest first.
	Prefixes []Prefix
	// OutputTokens is the expected size of the response, 0 if unknown.
	OutputTokens int
	// MaxGap is the longest pause between two events of a stream that still meets its target, 0 if there is no target.
	MaxGap time.Duration
	// MayWait is how long the request may still wait for an endpoint that prefills fewer long prompts, 0 if it may not.
	MayWait time.Duration
}

// Prefix is a prefix of a prompt.
type Prefix struct {
	// Key identifies the prefix, Tokens is its size.
	Key    uint64
	Tokens int
}

// Report is an endpoint's load as its agent reports it.
type Report struct {
	Running int
	Waiting int
	Slots   int
	Age     time.Duration
	Events  []CacheEvent
}

// CacheEvent reports that a prefix was added to or evicted from an endpoint's cache.
type CacheEvent struct {
	Sequence uint64
	Prefix   uint64
	Dropped  bool
}

// Router selects endpoints and tracks their load and failures. It is not safe for concurrent use.
type Router struct {
	dataCentre string
	random     func(n int) int
	endpoints  map[string]*endpointState
	// meanPrompt is the moving average of the prompt tokens of requests to endpoints of known speed.
	meanPrompt float64
}

// endpointState is what this entry has observed of one endpoint.
type endpointState struct {
	incarnation uint64
	// inFlight counts this entry's active requests at the endpoint.
	inFlight     int
	report       Report
	reportedAt   time.Time
	failures     float64
	failedAt     time.Time
	ejectedUntil time.Time
	prefixes     boundedSet
	adapters     boundedSet
	lastSequence uint64
	lastUsed     time.Time
	work         work
}

// New returns a Router for a data centre; random returns a number from 0 to n-1.
func New(dataCentre string, random func(n int) int) *Router {
	return &Router{dataCentre: dataCentre, random: random, endpoints: map[string]*endpointState{}}
}

// Choose returns the endpoint for a request among those that can serve it, or false if none is available. It returns false with an endpoint
// if the request must wait because of the prompts that the endpoint prefills.
func (r *Router) Choose(q Request, all []Endpoint, now time.Time) (Endpoint, bool) {
	available := r.available(all, q, now)
	if len(available) == 0 {
		return Endpoint{}, false
	}
	if speedsKnown(available) {
		return r.chooseByWork(q, available, now)
	}
	sampled := r.sample(available, q)
	return slices.MinFunc(sampled, func(a, b Endpoint) int {
		return cmp.Compare(r.score(a, q, now), r.score(b, q, now))
	}), true
}

// available filters out endpoints that are draining, unresponsive, full or ejected. Endpoints that failed this
// request are returned only if there are no others.
func (r *Router) available(all []Endpoint, q Request, now time.Time) []Endpoint {
	var available, avoided []Endpoint
	for _, e := range all {
		s := r.stateOf(e, now)
		if e.Unavailable || now.Before(s.ejectedUntil) || s.inFlight >= e.Slots {
			continue
		}
		if slices.Contains(q.Avoid, e.Name) {
			avoided = append(avoided, e)
			continue
		}
		available = append(available, e)
	}
	if len(available) == 0 {
		return avoided
	}
	return available
}

// sample returns two random endpoints and those that have the prefix or the adapter cached.
func (r *Router) sample(available []Endpoint, q Request) []Endpoint {
	if len(available) <= sampleSize {
		return available
	}
	first := r.random(len(available))
	second := r.random(len(available) - 1)
	if second >= first {
		second++
	}
	sampled := []Endpoint{available[first], available[second]}
	for i, e := range available {
		if i != first && i != second && r.hasCached(e.Name, q) {
			sampled = append(sampled, e)
		}
	}
	return sampled
}

func (r *Router) hasCached(name string, q Request) bool {
	s := r.endpoints[name]
	return q.PromptPrefix != 0 && s.prefixes.has(q.PromptPrefix) || q.Adapter != "" && s.adapters.has(xxhash.Sum64String(q.Adapter))
}

// score returns an endpoint's load as a share of its slots, lowered by what it has cached and raised by the
// penalties.
func (r *Router) score(e Endpoint, q Request, now time.Time) float64 {
	s := r.endpoints[e.Name]
	score := s.load(now) / float64(max(e.Slots, 1))
	if q.PromptPrefix != 0 && s.prefixes.has(q.PromptPrefix) {
		score -= prefixBonus
	}
	if q.Adapter != "" && s.adapters.has(xxhash.Sum64String(q.Adapter)) {
		score -= adapterBonus
	}
	if e.DataCentre != r.dataCentre {
		score += remotePenalty
	}
	if e.Warming {
		score += warmingPenalty
	}
	return score + failurePenalty*s.decayedFailures(now)
}

// Load returns the requests at an endpoint: this entry's own and those of other entries by the last report.
func (r *Router) Load(e Endpoint, now time.Time) float64 { return r.stateOf(e, now).load(now) }

// load returns the sum of this entry's own requests and those of other entries by the last report, which decays with
// its age.
func (s *endpointState) load(now time.Time) float64 {
	others := float64(max(s.report.Running+s.report.Waiting-s.inFlight, 0))
	return float64(s.inFlight) + others*decay(now.Sub(s.reportedAt)+s.report.Age, reportHalfLife)
}

func (s *endpointState) decayedFailures(now time.Time) float64 {
	return s.failures * decay(now.Sub(s.failedAt), failureHalfLife)
}

// RecordStart records that a request was sent to an endpoint.
func (r *Router) RecordStart(e Endpoint, q Request, now time.Time) {
	s := r.stateOf(e, now)
	s.inFlight++
	s.lastUsed = now
	if q.Adapter != "" {
		s.adapters.add(xxhash.Sum64String(q.Adapter))
	}
	if q.PromptPrefix != 0 {
		// The engine is about to cache the prefix; later cache events correct the assumption.
		s.prefixes.add(q.PromptPrefix)
	}
}

// RecordEnd records that a request to an endpoint ended.
func (r *Router) RecordEnd(name string) {
	if s, ok := r.endpoints[name]; ok && s.inFlight > 0 {
		s.inFlight--
	}
}

// RecordReport records an endpoint's load and cache events, which arrive late and with gaps.
func (r *Router) RecordReport(name string, report Report, now time.Time) {
	s, ok := r.endpoints[name]
	if !ok {
		return
	}
	if now.Add(-report.Age).Before(s.reportedAt.Add(-s.report.Age)) {
		// The load is older than the known one, which is kept; the cache events may still be new.
		report.Running, report.Waiting, report.Age = s.report.Running, s.report.Waiting, s.report.Age+now.Sub(s.reportedAt)
	}
	s.report, s.reportedAt = report, now
	for _, event := range report.Events {
		if event.Sequence <= s.lastSequence {
			continue
		}
		s.lastSequence = event.Sequence
		if event.Dropped {
			s.prefixes.remove(event.Prefix)
		} else {
			s.prefixes.add(event.Prefix)
		}
	}
}

// RecordFailure records a failure of an endpoint; each further failure ejects it for longer.
func (r *Router) RecordFailure(name string, now time.Time) {
	s, ok := r.endpoints[name]
	if !ok {
		return
	}
	s.failures, s.failedAt = s.decayedFailures(now)+1, now
	ejection := minEjection
	for n := 1.5; n < s.failures && ejection < maxEjection; n++ {
		ejection *= 2
	}
	s.ejectedUntil = now.Add(min(ejection, maxEjection))
}

// RecordBusy records that an endpoint had no free slot.
func (r *Router) RecordBusy(name string, now time.Time) {
	if s, ok := r.endpoints[name]; ok && s.ejectedUntil.Before(now.Add(busyBackoff)) {
		s.ejectedUntil = now.Add(busyBackoff)
	}
}

// RecordDraining records that an endpoint reported to accept no new work.
func (r *Router) RecordDraining(name string, now time.Time) {
	if s, ok := r.endpoints[name]; ok {
		s.ejectedUntil = now.Add(maxEjection)
	}
}

// RecordSuccess records a complete response.
func (r *Router) RecordSuccess(name string, now time.Time) {
	if s, ok := r.endpoints[name]; ok {
		s.failures, s.failedAt = s.decayedFailures(now)/2, now
	}
}

// Prune removes endpoints that are no longer known and have no requests.
func (r *Router) Prune(known func(name string) bool) {
	for name, s := range r.endpoints {
		if s.inFlight == 0 && !known(name) {
			delete(r.endpoints, name)
		}
	}
}

// stateOf returns an endpoint's state; a new incarnation starts without the history of the previous one.
func (r *Router) stateOf(e Endpoint, now time.Time) *endpointState {
	s, ok := r.endpoints[e.Name]
	if !ok {
		s = &endpointState{incarnation: e.Incarnation, lastUsed: now}
		r.endpoints[e.Name] = s
	}
	if s.incarnation != e.Incarnation {
		*s = endpointState{incarnation: e.Incarnation, inFlight: s.inFlight, lastUsed: now}
	}
	return s
}
