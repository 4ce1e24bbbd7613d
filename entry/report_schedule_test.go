package entry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/wirepb"
)

// TestReportSchedule checks at which times demand is reported for a sequence of demands.
func TestReportSchedule(t *testing.T) {
	waitingModel := func(model string) *wirepb.ModelDemand { return &wirepb.ModelDemand{Model: model, Waiting: 1} }
	runningModel := func(model string) *wirepb.ModelDemand { return &wirepb.ModelDemand{Model: model, Running: 1} }
	type step struct {
		ms     int
		models []*wirepb.ModelDemand
	}
	tests := []struct {
		name  string
		steps []step
		want  []int
	}{
		{"no demand", []step{{0, nil}, {5000, nil}}, nil},
		{"requests start to wait", []step{{0, []*wirepb.ModelDemand{waitingModel("a")}}, {10, []*wirepb.ModelDemand{waitingModel("a")}}}, []int{0}},
		{"requests for a second model start to wait", []step{{0, []*wirepb.ModelDemand{waitingModel("a")}}, {10, []*wirepb.ModelDemand{waitingModel("a"), waitingModel("b")}}}, []int{0, 10}},
		{"requests keep waiting", []step{{0, []*wirepb.ModelDemand{waitingModel("a")}}, {249, []*wirepb.ModelDemand{waitingModel("a")}}, {250, []*wirepb.ModelDemand{waitingModel("a")}}}, []int{0, 250}},
		{"requests only run", []step{{0, []*wirepb.ModelDemand{runningModel("a")}}, {999, []*wirepb.ModelDemand{runningModel("a")}}, {1000, []*wirepb.ModelDemand{runningModel("a")}}}, []int{0, 1000}},
		{"requests wait again after running", []step{{0, []*wirepb.ModelDemand{waitingModel("a")}}, {300, []*wirepb.ModelDemand{runningModel("a")}}, {1000, []*wirepb.ModelDemand{runningModel("a")}}, {1010, []*wirepb.ModelDemand{waitingModel("a")}}}, []int{0, 1000, 1010}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			begin := time.Unix(1000, 0)
			var schedule reportSchedule
			var got []int
			for _, s := range test.steps {
				now := begin.Add(time.Duration(s.ms) * time.Millisecond)
				demand := &wirepb.Demand{Models: s.models}
				if schedule.due(demand, now) {
					schedule.reported(demand, now)
					got = append(got, s.ms)
				}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("report times in ms (-want +got):\n%s", diff)
			}
		})
	}
}
