package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/placement"
	"burdocksaddle/wirepb"
)

// TestDemandsHaveAnOrder guards against decisions that depend on the order in which maps are read.
func TestDemandsHaveAnOrder(t *testing.T) {
	play := func() []placement.Demand {
		p, now := newPlanner(), time.Now()
		for entry := range 8 {
			d := &wirepb.Demand{Entry: fmt.Sprint("e", entry)}
			for n := range 3 {
				d.Models = append(d.Models, &wirepb.ModelDemand{Model: fmt.Sprint("m", (entry+3*n)%7), Waiting: 1, EarliestRemainingMs: 1000})
			}
			p.recordDemand(d, now)
		}
		all := p.demandByModel(now)
		for i := range all {
			all[i].EarliestDeadlineMS = 0
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
