package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/team"
)

// TestSameAsksGetSameAnswers guards against grants and leases that depend on the order in which maps are read.
func TestSameAsksGetSameAnswers(t *testing.T) {
	type outcome struct {
		Answer Answer
		Level  float64
	}
	play := func() []outcome {
		random := rand.New(rand.NewPCG(5, 6))
		now := time.Unix(1000, 0)
		b := NewBucket(simBounds, team.Cap{PerSecond: 50, Burst: 60}, now)
		var all []outcome
		for range 400 {
			now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
			ask := Ask{PerSecond: 6 * random.Float64(), Ahead: random.Float64()}
			for range random.IntN(3) {
				ask.Requests = append(ask.Requests, 3*random.Float64())
			}
			answer := b.Take(fmt.Sprint("g", random.IntN(20)), ask, now)
			all = append(all, outcome{answer, b.Level(now)})
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
