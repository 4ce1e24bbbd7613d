package routing

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefillPerMs is the number of prompt tokens that an endpoint of speed 1 prefills per millisecond, by the data sheets.
	prefillPerMs = 29.0
	// usualPrompt is the assumed mean size of prompts before any was sent, promptWeight the weight of a prompt in the moving average.
	usualPrompt  = 600.0
	promptWeight = 0.02
	// eventMs is the time between two events of a stream at an endpoint of speed 1 that prefills nothing: eight decode steps.
	eventMs = 38.0
	// sentHalfLife is the time in which the tokens that this gateway sent to an endpoint lose half their weight. It is of the order of the
	// age of load reports, which do not show these tokens yet.
	sentHalfLife = 400 * time.Millisecond
	// loadHalfLife is the time in which a load report loses half its weight in the choice by work: of the requests that it shows as
	// waiting, few are left after the time in which an endpoint prefills several prompts.
	loadHalfLife = 400 * time.Millisecond
	// runningShare is the share of a mean prompt that each running request of other gateways is expected to have left to prefill.
	runningShare = 0.08
	// pauseCostMs is the cost of a pause at its target for each stream that meets it. Below the target, the cost is lower by half for each
	// pauseStepMs, since phases in which an endpoint is slower cannot be foreseen.
	pauseCostMs   = 60.0
	pauseStepMs   = 25.0
	maxPauseSteps = 4.0
	// gapHalfLife is the time in which an observed gap loses half its weight against the usual one. It is of the order of the phases in
	// which endpoints are slower.
	gapHalfLife = 200 * time.Millisecond
	// shareHalfLife is the half-life of the tokens by which an endpoint's share of this gateway's work is computed, maxShare the share,
	// relative to that of its speed, above which further work costs shareCostMs for each mean prompt.
	shareHalfLife = 20 * time.Second
	maxShare      = 1.22
	shareCostMs   = 150.0
	// longPrompt is the size from which a prompt may have to wait, two chunks of prefill. A long prompt waits while more than
	// minPrefilling tokens are expected to be prefilled at its endpoint and, together with its own, more than maxPrefilling by an
	// endpoint of speed 1. About 4,700 make a stream pause for 200 ms; the rest is a margin for prompts that are known late.
	longPrompt    = 2048
	minPrefilling = 700
	maxPrefilling = 3800
	// decodeTokens is the work of one output token in prompt tokens: a batch of 32 makes a decode step of 4.75 ms 10% longer.
	decodeTokens = 0.43
	// remoteCostMs is the cost of an endpoint in another data centre, warmingCostMs that of a new replica, adapterCostMs that of an adapter
	// that is not known to be loaded, failureCostMs that of a recent failure.
	remoteCostMs  = 20.0
	warmingCostMs = 100.0
	adapterCostMs = 15.0
	failureCostMs = 100.0
	// maxCachedSamples is the number of endpoints that are compared because they have a prefix of the prompt or the adapter. More would
	// send a popular prefix to the endpoints whose load reports are outdated most.
	maxCachedSamples = 2
)

// work is the prompt tokens that this gateway sent to an endpoint.
type work struct {
	// pending are the tokens sent in requests without a first event.
	pending float64
	// sent is the decaying number of tokens sent, as of sentAt.
	sent   float64
	sentAt time.Time
	// share is the decaying number of tokens sent, over a longer time, as of sentAt.
	share float64
	// gapMs is the last gap observed in this gateway's streams at the endpoint, at gapAt.
	gapMs float64
	gapAt time.Time
	// prefixes are the prefixes that the endpoint is expected to have cached.
	prefixes boundedSet
}

// Work is the prompt tokens of one request that an endpoint must prefill.
type Work struct {
	Name        string
	Incarnation uint64
	Tokens      float64
}

// speedsKnown reports whether the endpoints are compared by work. Endpoints that have no speed yet then count as of speed 1.
func speedsKnown(all []Endpoint) bool {
	return slices.ContainsFunc(all, func(e Endpoint) bool { return e.Speed > 0 })
}

func (e Endpoint) speed() float64 {
	if e.Speed <= 0 {
		return 1
	}
	return e.Speed
}

// chooseByWork returns the endpoint at which a request costs least, of two sampled by speed and some that have a part of it cached.
func (r *Router) chooseByWork(q Request, available []Endpoint, now time.Time) (Endpoint, bool) {
	best, lowest := Endpoint{}, math.Inf(1)
	fair := r.fairShare(available, now)
	for _, e := range r.sampleBySpeed(available, q, now) {
		if cost := r.cost(e, q, fair, now); cost < lowest {
			best, lowest = e, cost
		}
	}
	return best, !r.mustWait(best, q, now)
}

// mustWait reports whether a long prompt waits because its endpoint is expected to prefill others, which would exceed the limit on prompt
// tokens in prefill. The limit rises as the time that the request may wait ends, so that none waits for ever.
func (r *Router) mustWait(e Endpoint, q Request, now time.Time) bool {
	s := r.endpoints[e.Name]
	own := r.uncachedTokens(s, q)
	if own < longPrompt || q.MayWait <= 0 {
		return false
	}
	backlog := r.backlog(s, now) - s.work.sentTokens(now)
	return backlog > minPrefilling && backlog+own > maxPrefilling*e.speed()
}

// sampleBySpeed returns two endpoints drawn with probabilities in proportion to their speeds, and up to maxCachedSamples of those that have
// a prefix or the adapter.
func (r *Router) sampleBySpeed(available []Endpoint, q Request, now time.Time) []Endpoint {
	if len(available) <= sampleSize {
		return available
	}
	rest := slices.Clone(available)
	sampled := make([]Endpoint, 0, sampleSize+maxCachedSamples)
	take := func(from []Endpoint) []Endpoint {
		i := r.drawBySpeed(from)
		sampled = append(sampled, from[i])
		return slices.Delete(from, i, i+1)
	}
	for range sampleSize {
		rest = take(rest)
	}
	if i := r.freshest(rest, now); i >= 0 {
		sampled = append(sampled, rest[i])
		rest = slices.Delete(rest, i, i+1)
	}
	cached := slices.DeleteFunc(rest, func(e Endpoint) bool {
		s := r.endpoints[e.Name]
		return s.work.cachedTokens(q) == 0 && !s.hasAdapter(q)
	})
	for range min(maxCachedSamples, len(cached)) {
		cached = take(cached)
	}
	return sampled
}

// freshest returns the index of an endpoint whose last observed gap is recent and shorter than usual by most, or -1.
func (r *Router) freshest(from []Endpoint, now time.Time) int {
	best, lowest := -1, math.Inf(1)
	for i, e := range from {
		w := &r.endpoints[e.Name].work
		if age := now.Sub(w.gapAt); age < gapHalfLife && w.gapMs < lowest {
			best, lowest = i, w.gapMs
		}
	}
	return best
}

// drawBySpeed returns the index of an endpoint, drawn with a probability in proportion to its speed.
func (r *Router) drawBySpeed(from []Endpoint) int {
	const unit = 100
	weight := func(e Endpoint) int { return max(1, int(e.speed()*unit)) }
	total := 0
	for _, e := range from {
		total += weight(e)
	}
	drawn := r.random(total)
	for i, e := range from {
		if drawn -= weight(e); drawn < 0 {
			return i
		}
	}
	return len(from) - 1
}

// cachedTokens returns the number of the prompt's tokens that the endpoint is expected to have cached.
func (w *work) cachedTokens(q Request) float64 {
	for _, p := range slices.Backward(q.Prefixes) {
		if w.prefixes.has(p.Key) {
			return min(float64(p.Tokens), float64(q.PromptTokens))
		}
	}
	return 0
}

// cost returns what a request costs at an endpoint: the expected milliseconds until its prompt is prefilled, the pauses above their targets
// that it causes and meets, and the penalties.
func (r *Router) cost(e Endpoint, q Request, fair float64, now time.Time) float64 {
	s, speed := r.endpoints[e.Name], e.speed()
	own := r.uncachedTokens(s, q)
	tokens := r.backlog(s, now) + own
	cost := tokens / (prefillPerMs * speed)
	if q.MaxGap > 0 {
		pause := s.work.expectedGap(speed, now) + tokens/(prefillPerMs*speed)
		steps := (pause - float64(q.MaxGap)/float64(time.Millisecond)) / pauseStepMs
		cost += pauseCostMs * (1 + float64(s.inFlight) + s.othersLoad(now)) * math.Exp2(min(steps, maxPauseSteps))
	}
	if over := s.work.shareAt(now) + own + decodeTokens*float64(q.OutputTokens) - maxShare*fair*speed; over > r.meanPromptTokens() {
		cost += shareCostMs * over / r.meanPromptTokens()
	}
	if e.DataCentre != r.dataCentre {
		cost += remoteCostMs
	}
	if e.Warming {
		cost += warmingCostMs
	}
	if q.Adapter != "" && !s.hasAdapter(q) {
		cost += adapterCostMs
	}
	return cost + failureCostMs*s.decayedFailures(now)
}

// backlog estimates the prompt tokens that an endpoint has yet to prefill: those of this gateway's requests without a first event, some of
// those it sent recently, which stand for what other gateways have sent likewise, and those of the requests of others by the last report.
func (r *Router) backlog(s *endpointState, now time.Time) float64 {
	waiting := float64(s.report.Waiting) * decay(now.Sub(s.reportedAt)+s.report.Age, loadHalfLife)
	return s.work.pending + s.work.sentTokens(now) + (waiting+runningShare*s.othersLoad(now))*r.meanPromptTokens()
}

// othersLoad returns the number of other gateways' requests by the last report, which decays with its age.
func (s *endpointState) othersLoad(now time.Time) float64 {
	others := float64(max(s.report.Running+s.report.Waiting-s.inFlight, 0))
	return others * decay(now.Sub(s.reportedAt)+s.report.Age, loadHalfLife)
}

func (s *endpointState) hasAdapter(q Request) bool {
	return q.Adapter != "" && s.adapters.has(xxhash.Sum64String(q.Adapter))
}

// uncachedTokens returns the number of the prompt's tokens that an endpoint must prefill. A prompt of unknown size counts as a mean one.
func (r *Router) uncachedTokens(s *endpointState, q Request) float64 {
	if q.PromptTokens <= 0 {
		return r.meanPromptTokens()
	}
	return float64(q.PromptTokens) - s.work.cachedTokens(q)
}

func (r *Router) meanPromptTokens() float64 {
	if r.meanPrompt == 0 {
		return usualPrompt
	}
	return r.meanPrompt
}

// fairShare returns the tokens that an endpoint of speed 1 would have got of this gateway's recent work.
func (r *Router) fairShare(available []Endpoint, now time.Time) float64 {
	tokens, speeds := 0.0, 0.0
	for _, e := range available {
		tokens += r.endpoints[e.Name].work.shareAt(now)
		speeds += e.speed()
	}
	return tokens / speeds
}

func (w *work) shareAt(now time.Time) float64 {
	return w.share * decay(now.Sub(w.sentAt), shareHalfLife)
}

// expectedGap returns the expected milliseconds between two events of a stream: the usual ones, or those observed recently.
func (w *work) expectedGap(speed float64, now time.Time) float64 {
	usual := eventMs / speed
	return usual + (w.gapMs-usual)*decay(now.Sub(w.gapAt), gapHalfLife)
}

// RecordGap records the time between two events of a stream at an endpoint.
func (r *Router) RecordGap(name string, gap time.Duration, now time.Time) {
	if s, ok := r.endpoints[name]; ok {
		s.work.gapMs, s.work.gapAt = float64(gap)/float64(time.Millisecond), now
	}
}

func (w *work) sentTokens(now time.Time) float64 {
	return w.sent * decay(now.Sub(w.sentAt), sentHalfLife)
}

// RecordWork records that a request was sent to an endpoint of known speed. Its tokens count as pending until RecordPrefilled.
func (r *Router) RecordWork(e Endpoint, q Request, now time.Time) Work {
	s := r.stateOf(e, now)
	tokens := r.uncachedTokens(s, q)
	s.work.pending += tokens
	s.work.sent, s.work.share, s.work.sentAt = s.work.sentTokens(now)+tokens, s.work.shareAt(now)+tokens, now
	r.meanPrompt = r.meanPromptTokens() + promptWeight*(tokens-r.meanPromptTokens())
	s.work.share += decodeTokens * float64(q.OutputTokens)
	for _, p := range q.Prefixes {
		s.work.prefixes.add(p.Key)
	}
	return Work{Name: e.Name, Incarnation: e.Incarnation, Tokens: tokens}
}

// RecordPrefilled records the first event of a request, or its end without one. It must be called once for each Work.
func (r *Router) RecordPrefilled(w Work) {
	if s, ok := r.endpoints[w.Name]; ok && s.incarnation == w.Incarnation {
		s.work.pending = max(0, s.work.pending-w.Tokens)
	}
}

// PendingTokens returns the prompt tokens that this gateway has sent to an endpoint in requests without a first event.
func (r *Router) PendingTokens(name string) float64 {
	if s, ok := r.endpoints[name]; ok {
		return s.work.pending
	}
	return 0
}

// PrefillTime returns the time that an endpoint of speed 1 takes to prefill a prompt.
func PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillPerMs * float64(time.Millisecond))
}
