package pace

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/endpoint"
)

var start = time.Unix(1000, 0)

// fleet simulates the samples that gateways report of a service's endpoints.
type fleet struct {
	random *rand.Rand
	speeds map[endpoint.Incarnation]float64
	// models holds the models at each endpoint, gaps the gap of each model at speed 1.
	models map[endpoint.Incarnation][]string
	gaps   map[string]time.Duration
	*Estimator
	now time.Time
}

func newFleet(speeds ...float64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(1, 2)), speeds: map[endpoint.Incarnation]float64{}, models: map[endpoint.Incarnation][]string{},
		gaps: map[string]time.Duration{"a": 40 * time.Millisecond, "b": 90 * time.Millisecond}, Estimator: New(), now: start,
	}
	for n, speed := range speeds {
		i := incarnation(n)
		f.speeds[i], f.models[i] = speed, []string{"a", "b"}
	}
	return f
}

func incarnation(n int) endpoint.Incarnation {
	return endpoint.Incarnation{ID: fmt.Sprint("e", n), StartMS: 1}
}

func (f *fleet) services() map[endpoint.Incarnation]string {
	all := map[endpoint.Incarnation]string{}
	for i := range f.speeds {
		all[i] = "lm"
	}
	return all
}

// run reports samples of all endpoints for some seconds: five per second of each model, each up to a third off, 15 in 100 of them from a
// phase in which the endpoint is 2.5 times slower.
func (f *fleet) run(seconds int) {
	for range seconds {
		for _, i := range slices.SortedFunc(maps.Keys(f.speeds), endpoint.Incarnation.Compare) {
			speed := f.speeds[i]
			for _, model := range f.models[i] {
				for range 5 {
					factor := 0.75 + 0.5*f.random.Float64()
					if f.random.Float64() < 0.15 {
						factor *= 2.5
					}
					f.Record(Sample{Incarnation: i, Model: model, Streams: 1 + f.random.IntN(2), Gap: time.Duration(float64(f.gaps[model]) * factor / speed)}, f.now)
				}
			}
		}
		f.now = f.now.Add(time.Second)
		f.Update(f.services(), f.now)
	}
}

// published returns the speeds of the endpoints with numbers below n.
func (f *fleet) published(n int) []float64 {
	var all []float64
	for k := range n {
		all = append(all, math.Round(f.Speed(incarnation(k))*10)/10)
	}
	return all
}

// checkSpeeds fails unless each published speed is within 0.2 of its endpoint's speed relative to the mean.
func (f *fleet) checkSpeeds(t *testing.T) {
	t.Helper()
	mean := 0.0
	for _, speed := range f.speeds {
		mean += speed / float64(len(f.speeds))
	}
	for i, speed := range f.speeds {
		if got := f.Speed(i); math.Abs(got-speed/mean) > 0.2 {
			t.Errorf("speed of %s is %.2f, want %.2f", i.ID, got, speed/mean)
		}
	}
}

// worstDeviation returns how far a published speed is at most from its endpoint's speed relative to the mean.
func (f *fleet) worstDeviation() float64 {
	mean, worst := 0.0, 0.0
	for _, speed := range f.speeds {
		mean += speed / float64(len(f.speeds))
	}
	for i, speed := range f.speeds {
		worst = max(worst, math.Abs(f.Speed(i)-speed/mean))
	}
	return worst
}

// TestUnevenSpeedsArePublished guards against endpoints of unlike speed that are taken to be equal.
func TestUnevenSpeedsArePublished(t *testing.T) {
	f := newFleet(0.6, 0.6, 1, 1, 1, 1, 1.6, 1.6)
	f.run(12)
	f.checkSpeeds(t)
}

// TestEvenSpeedsAreNotPublished guards against another choice of endpoints in fleets of equal ones because of noise.
func TestEvenSpeedsAreNotPublished(t *testing.T) {
	for _, n := range []int{2, 3, 8, 30} {
		f := newFleet(slices.Repeat([]float64{1}, n)...)
		for range 120 {
			f.run(1)
			if diff := cmp.Diff(make([]float64, n), f.published(n)); diff != "" {
				t.Fatalf("%d endpoints, %v: %s", n, f.now.Sub(start), diff)
			}
		}
	}
}

// TestSmallSpreadIsNotPublished guards against speeds published for endpoints that differ by less than 1.3.
func TestSmallSpreadIsNotPublished(t *testing.T) {
	f := newFleet(0.92, 1, 1, 1.08)
	f.run(60)
	if diff := cmp.Diff(make([]float64, 4), f.published(4)); diff != "" {
		t.Error(diff)
	}
}

// TestModelsOnUnlikeEndpoints guards against taking endpoints for fast because they are compared with slow ones only: model c runs on the
// slow endpoints alone, one of which links them to the others.
func TestModelsOnUnlikeEndpoints(t *testing.T) {
	f := newFleet(0.6, 0.6, 0.6, 1.6, 1.6, 1.6)
	f.gaps["c"] = 20 * time.Millisecond
	for n := range 2 {
		f.models[incarnation(n)] = []string{"c"}
	}
	f.models[incarnation(2)] = []string{"a", "c"}
	f.run(25)
	f.checkSpeeds(t)
}

// TestSingleSlowStream guards against one stalled stream that makes its endpoint count as slow.
func TestSingleSlowStream(t *testing.T) {
	f := newFleet(1, 1, 1, 1, 0.6, 1.6)
	f.run(12)
	before := f.Speed(incarnation(0))
	for range 3 {
		f.Record(Sample{Incarnation: incarnation(0), Model: "a", Streams: 1, Gap: 30 * time.Second}, f.now)
		f.run(1)
	}
	if got := f.Speed(incarnation(0)); math.Abs(got-before) > 0.2 {
		t.Errorf("speed changed from %.2f to %.2f", before, got)
	}
}

// TestWrongEstimateIsCorrected guards against a speed that stays after the endpoint has changed.
func TestWrongEstimateIsCorrected(t *testing.T) {
	f := newFleet(0.6, 1, 1, 1, 1.6, 1.6)
	f.run(12)
	f.speeds[incarnation(0)] = 1.6
	f.run(15)
	f.checkSpeeds(t)
}

// TestWrongEstimatesAreCorrectedWithMostSamples guards against a correction that depends on lucky samples: 99 of 100 draws must keep the
// bound of TestWrongEstimateIsCorrected.
func TestWrongEstimatesAreCorrectedWithMostSamples(t *testing.T) {
	const seeds = 400
	for _, c := range []struct{ before, after float64 }{{0.6, 1.6}, {1.6, 0.6}} {
		late := 0
		for seed := range uint64(seeds) {
			f := newFleet(c.before, 1, 1, 1, 1.6, 1.6)
			f.random = rand.New(rand.NewPCG(seed, 2))
			f.run(12)
			f.speeds[incarnation(0)] = c.after
			f.run(15)
			if f.worstDeviation() > 0.2 {
				late++
			}
		}
		t.Logf("from %v to %v: %d of %d late", c.before, c.after, late, seeds)
		if late*100 > seeds {
			t.Errorf("from %v to %v: %d of %d are off by more than 0.2 after 15 s, at most 1 in 100 may be", c.before, c.after, late, seeds)
		}
	}
}

// TestNewIncarnationHasNoSpeed guards against a speed that outlives the run of the endpoint that it was measured on.
func TestNewIncarnationHasNoSpeed(t *testing.T) {
	f := newFleet(0.6, 1, 1, 1.6)
	f.run(12)
	if f.Speed(incarnation(0)) == 0 {
		t.Fatal("no speed was published")
	}
	next := endpoint.Incarnation{ID: "e0", StartMS: 2}
	delete(f.speeds, incarnation(0))
	f.speeds[next] = 0.6
	f.now = f.now.Add(time.Second)
	f.Update(f.services(), f.now)
	if old, got := f.Speed(incarnation(0)), f.Speed(next); old != 0 || got != 0 {
		t.Errorf("speeds %v and %v, want none", old, got)
	}
}

// TestSpeedsAreKeptWithoutReports guards against speeds that vanish while no gateway reports, as during a change of the leader.
func TestSpeedsAreKeptWithoutReports(t *testing.T) {
	f := newFleet(0.6, 1, 1, 1.6)
	f.run(12)
	want := f.published(4)
	for range 120 {
		f.now = f.now.Add(time.Second)
		f.Update(f.services(), f.now)
	}
	if diff := cmp.Diff(want, f.published(4)); diff != "" {
		t.Error(diff)
	}
}

// TestSpeedsMoveInSteps guards against a publication for each small change of an estimate, which would send the endpoint to all gateways.
func TestSpeedsMoveInSteps(t *testing.T) {
	f := newFleet(0.6, 0.6, 1, 1, 1.6, 1.6)
	f.run(15)
	changes, previous := 0, f.published(6)
	for range 300 {
		f.run(1)
		next := f.published(6)
		for k := range next {
			if next[k] != previous[k] {
				changes++
			}
		}
		previous = next
	}
	if changes > 300 {
		t.Errorf("%d changes of 6 speeds in 300 s, at most one a second is allowed", changes)
	}
	t.Logf("%d changes of 6 speeds in 300 s", changes)
}
