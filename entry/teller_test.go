package entry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/wirepb"
)

// TestTeller steps through moments and lists those at which control is told.
func TestTeller(t *testing.T) {
	waits := func(model string) *wirepb.ModelDemand { return &wirepb.ModelDemand{Model: model, Waiting: 1} }
	runs := func(model string) *wirepb.ModelDemand { return &wirepb.ModelDemand{Model: model, Running: 1} }
	type step struct {
		ms     int
		models []*wirepb.ModelDemand
	}
	tests := []struct {
		name  string
		steps []step
		want  []int
	}{
		{"nothing to tell", []step{{0, nil}, {5000, nil}}, nil},
		{"a model begins to wait", []step{{0, []*wirepb.ModelDemand{waits("a")}}, {10, []*wirepb.ModelDemand{waits("a")}}}, []int{0}},
		{"a second one joins it", []step{{0, []*wirepb.ModelDemand{waits("a")}}, {10, []*wirepb.ModelDemand{waits("a"), waits("b")}}}, []int{0, 10}},
		{"waiting goes on", []step{{0, []*wirepb.ModelDemand{waits("a")}}, {249, []*wirepb.ModelDemand{waits("a")}}, {250, []*wirepb.ModelDemand{waits("a")}}}, []int{0, 250}},
		{"only running", []step{{0, []*wirepb.ModelDemand{runs("a")}}, {999, []*wirepb.ModelDemand{runs("a")}}, {1000, []*wirepb.ModelDemand{runs("a")}}}, []int{0, 1000}},
		{"waits again after running", []step{{0, []*wirepb.ModelDemand{waits("a")}}, {300, []*wirepb.ModelDemand{runs("a")}}, {1000, []*wirepb.ModelDemand{runs("a")}}, {1010, []*wirepb.ModelDemand{waits("a")}}}, []int{0, 1000, 1010}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			begin := time.Unix(1000, 0)
			var tell teller
			var got []int
			for _, s := range test.steps {
				now := begin.Add(time.Duration(s.ms) * time.Millisecond)
				demand := &wirepb.Demand{Models: s.models}
				if tell.due(demand, now) {
					tell.told(demand, now)
					got = append(got, s.ms)
				}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("told at ms (-want +got):\n%s", diff)
			}
		})
	}
}
