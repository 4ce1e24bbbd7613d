package pace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/endpoint"
)

// TestSameSamplesGiveSameSpeeds guards against speeds that depend on the order in which maps are read.
func TestSameSamplesGiveSameSpeeds(t *testing.T) {
	type outcome struct {
		Changed []string
		Spread  float64
		Speeds  []float64
	}
	const endpoints = 12
	play := func() []outcome {
		random := rand.New(rand.NewPCG(3, 4))
		e, now := New(), start
		services := map[endpoint.Incarnation]string{}
		for n := range endpoints {
			services[incarnation(n)] = "lm"
		}
		var all []outcome
		for second := range 30 {
			for range 60 {
				n, model := random.IntN(endpoints), random.IntN(4)
				gap := float64(30+20*model) * (0.75 + 0.5*random.Float64()) / (0.6 + float64((n+second/10)%endpoints)/10)
				e.Record(Sample{Incarnation: incarnation(n), Model: fmt.Sprint("m", model), Streams: 1 + random.IntN(3), Gap: time.Duration(gap * 1e6)}, now)
			}
			now = now.Add(time.Second)
			o := outcome{Changed: e.Update(services, now), Spread: e.Spread("lm")}
			for n := range endpoints {
				o.Speeds = append(o.Speeds, e.Speed(incarnation(n)))
			}
			all = append(all, o)
		}
		return all
	}
	want := play()
	for n := range 100 {
		if diff := cmp.Diff(want, play()); diff != "" {
			t.Fatalf("play %d: %s", n, diff)
		}
	}
}
