package pace

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"burdocksaddle/endpoint"
)

const (
	// halfLife is the time in which an observation loses half its weight. It spans several phases of some hundred milliseconds in
	// which endpoints are slower, and corrects a wrong estimate within seconds.
	halfLife = 4 * time.Second
	// maxSampleWeight limits the weight of one sample, so that no single gateway determines an estimate.
	maxSampleWeight = 4.0
	// maxDeviation limits, as the logarithm of a factor, how far a sample may be from its endpoint's mean. A single stream that is
	// stalled for seconds then counts like one at half the speed.
	maxDeviation = math.Ln2
	// shiftDeviation and shiftAfter are, as the logarithm of a factor, how far and for how long all samples must be on one side of the mean
	// until it is no longer trusted. Phases in which an endpoint is slower are shorter.
	shiftDeviation = 0.3
	shiftAfter     = 2 * time.Second
	// minWeight is the weight of the observations from which an endpoint is compared with others, about that of three streams.
	minWeight = 3.0
	// priorWeight is the weight of the assumption that an endpoint is as fast as the mean.
	priorWeight = 0.5
	// updateInterval is the interval at which speeds are compared.
	updateInterval = time.Second
	// minSpread is the factor between the fastest and the slowest tenth from which speeds are published, spreadUpdates the number of
	// consecutive comparisons that must agree before publication begins or ends.
	minSpread     = 1.3
	spreadUpdates = 3
	// speedStep is the step of published speeds and the change above which a speed is published again.
	speedStep = 0.1
	// maxSweeps and sweepTolerance bound the iterations of the comparison.
	maxSweeps      = 30
	sweepTolerance = 1e-3
)

// Sample is what one gateway has observed of the streams of a model at an endpoint.
type Sample struct {
	Incarnation endpoint.Incarnation
	Model       string
	Streams     int
	// Gap is a typical time between two events of a stream.
	Gap time.Duration
}

// Estimator estimates the speeds of endpoints. It is not safe for concurrent use.
type Estimator struct {
	tracked    map[endpoint.Incarnation]*trackedEndpoint
	services   map[string]*service
	nextUpdate time.Time
}

// trackedEndpoint is what is known of one run of an endpoint.
type trackedEndpoint struct {
	models map[string]*observation
	// speed is the logarithm of the estimated speed.
	speed     float64
	published float64
	// sampled is set if there was a sample since the last comparison.
	sampled bool
}

// observation is the weighted mean of the logarithms of the observed gaps.
type observation struct {
	logGap, weight float64
	at             time.Time
	// asideSince is the time from which all samples were on the same side of the mean, as slower tells.
	asideSince time.Time
	slower     bool
}

// service is the state of the publication for one service.
type service struct {
	publishes bool
	// disagreeing counts the consecutive comparisons that contradict publishes.
	disagreeing int
	spread      float64
}

// New returns an Estimator without observations.
func New() *Estimator {
	return &Estimator{tracked: map[endpoint.Incarnation]*trackedEndpoint{}, services: map[string]*service{}}
}

// Record records a sample of an endpoint. Samples of endpoints that Update is not told of are discarded by the next Update.
func (e *Estimator) Record(s Sample, now time.Time) {
	if s.Gap <= 0 || s.Streams <= 0 {
		return
	}
	t := e.tracked[s.Incarnation]
	if t == nil {
		t = &trackedEndpoint{models: map[string]*observation{}}
		e.tracked[s.Incarnation] = t
	}
	o := t.models[s.Model]
	if o == nil {
		o = &observation{at: now}
		t.models[s.Model] = o
	}
	t.sampled = true
	o.weight, o.at = o.weightAt(now), now
	value, weight := math.Log(s.Gap.Seconds()), min(float64(s.Streams), maxSampleWeight)
	if o.hasShifted(value-o.logGap, now) {
		o.weight /= 2
	}
	if o.weight >= 1 {
		value = min(max(value, o.logGap-maxDeviation), o.logGap+maxDeviation)
	}
	o.logGap += (value - o.logGap) * weight / (o.weight + weight)
	o.weight += weight
}

// hasShifted records how far a sample is from the mean and reports whether the samples have been on one side of it for long.
func (o *observation) hasShifted(deviation float64, now time.Time) bool {
	if slower := deviation > 0; math.Abs(deviation) < shiftDeviation || slower != o.slower || o.asideSince.IsZero() {
		o.slower, o.asideSince = slower, now
	}
	return now.Sub(o.asideSince) >= shiftAfter
}

func (o *observation) weightAt(now time.Time) float64 {
	return o.weight * math.Exp2(-float64(max(now.Sub(o.at), 0))/float64(halfLife))
}

// Update compares the endpoints of each service, at most once per updateInterval. serviceOf holds the service of each run of an endpoint
// that exists; others are forgotten. It returns the services whose publication has begun or ended.
func (e *Estimator) Update(serviceOf map[endpoint.Incarnation]string, now time.Time) (changed []string) {
	if now.Before(e.nextUpdate) {
		return nil
	}
	e.nextUpdate = now.Add(updateInterval)
	maps.DeleteFunc(e.tracked, func(i endpoint.Incarnation, _ *trackedEndpoint) bool { _, exists := serviceOf[i]; return !exists })
	byService := map[string][]*trackedEndpoint{}
	for _, i := range slices.SortedFunc(maps.Keys(e.tracked), endpoint.Incarnation.Compare) {
		byService[serviceOf[i]] = append(byService[serviceOf[i]], e.tracked[i])
	}
	maps.DeleteFunc(e.services, func(name string, _ *service) bool { return byService[name] == nil })
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		if e.updateService(name, byService[name], now) {
			changed = append(changed, name)
		}
	}
	return changed
}

// updateService compares the endpoints of one service and reports whether their speeds begin or cease to be published.
func (e *Estimator) updateService(name string, all []*trackedEndpoint, now time.Time) bool {
	s := e.services[name]
	if s == nil {
		s = &service{}
		e.services[name] = s
	}
	speeds := compare(all, now)
	if len(speeds) < 2 {
		return false // the last speeds are kept
	}
	mean := 0.0
	for _, t := range all {
		mean += speeds[t] / float64(len(speeds))
	}
	s.spread = spreadOf(slices.Collect(maps.Values(speeds)))
	before := s.publishes
	if s.disagreeing++; (s.spread >= minSpread) == s.publishes {
		s.disagreeing = 0
	} else if s.disagreeing >= spreadUpdates {
		s.publishes, s.disagreeing = !s.publishes, 0
	}
	for _, t := range all {
		speed, compared := speeds[t]
		switch {
		case !s.publishes:
			t.published = 0
		case compared && t.sampled && math.Abs(speed/mean-t.published) > speedStep:
			t.published = max(speedStep, math.Round(speed/mean/speedStep)*speedStep)
		}
		t.sampled = false
	}
	return s.publishes != before
}

// compare returns the speeds of the endpoints with enough observations. It fits the logarithm of each observed gap as the difference of a
// term of the model and one of the endpoint, so that an endpoint whose models run on slow endpoints only is compared correctly. The order
// of all determines the order of additions, and with it how they are rounded.
func compare(all []*trackedEndpoint, now time.Time) map[*trackedEndpoint]float64 {
	type cell struct {
		t              *trackedEndpoint
		model          string
		logGap, weight float64
	}
	var cells []cell
	total := map[*trackedEndpoint]float64{}
	for _, t := range all {
		for _, model := range slices.Sorted(maps.Keys(t.models)) {
			o := t.models[model]
			weight := o.weightAt(now)
			if weight < 0.01 {
				delete(t.models, model)
				continue
			}
			cells = append(cells, cell{t, model, o.logGap, weight})
			total[t] += weight
		}
	}
	maps.DeleteFunc(total, func(_ *trackedEndpoint, weight float64) bool { return weight < minWeight })
	cells = slices.DeleteFunc(cells, func(c cell) bool { return total[c.t] == 0 })
	for range maxSweeps {
		sums, weights := map[string]float64{}, map[string]float64{}
		for _, c := range cells {
			sums[c.model] += c.weight * (c.logGap + c.t.speed)
			weights[c.model] += c.weight
		}
		next := map[*trackedEndpoint]float64{}
		for _, c := range cells {
			next[c.t] += c.weight * (sums[c.model]/weights[c.model] - c.logGap)
		}
		moved := 0.0
		for t, sum := range next {
			speed := sum / (total[t] + priorWeight)
			moved, t.speed = max(moved, math.Abs(speed-t.speed)), speed
		}
		if moved < sweepTolerance {
			break
		}
	}
	speeds := make(map[*trackedEndpoint]float64, len(total))
	for t := range total {
		speeds[t] = math.Exp(t.speed)
	}
	return speeds
}

// spreadOf returns the factor between the means of the fastest and the slowest tenth.
func spreadOf(speeds []float64) float64 {
	slices.SortFunc(speeds, cmp.Compare[float64])
	tenth := (len(speeds) + 9) / 10
	slow, fast := 0.0, 0.0
	for i := range tenth {
		slow += speeds[i]
		fast += speeds[len(speeds)-1-i]
	}
	return fast / slow
}

// Speed returns the published speed of an endpoint relative to the mean of its service, or 0 while none is published.
func (e *Estimator) Speed(i endpoint.Incarnation) float64 {
	if t := e.tracked[i]; t != nil {
		return t.published
	}
	return 0
}

// Spread returns the factor between the fastest and the slowest tenth of a service's endpoints at the last comparison, or 0.
func (e *Estimator) Spread(name string) float64 {
	if s := e.services[name]; s != nil {
		return s.spread
	}
	return 0
}
