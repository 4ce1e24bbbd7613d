package steward

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"burdocksaddle/endpoint"
	"burdocksaddle/pace"
	"burdocksaddle/scaling"
	"burdocksaddle/wirepb"
)

// TestSpeedsArePublished guards against reported paces that don't reach the published view, and against views that change while speeds don't.
func TestSpeedsArePublished(t *testing.T) {
	tests := map[string]struct {
		gapMs []uint32
		want  []float64
	}{
		"even endpoints":   {[]uint32{40, 41, 42, 40}, []float64{0, 0, 0, 0}},
		"uneven endpoints": {[]uint32{66, 40, 40, 25}, []float64{0.6, 1, 1, 1.5}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &Steward{metrics: metrics.NewSet(), log: logr.Discard(), planner: scaling.New(), demands: map[string]demandReport{}, leading: true}
			l := &leader{Steward: s, speeds: pace.New()}
			var listed []endpoint.State
			for i := range test.gapMs {
				listed = append(listed, endpoint.State{ID: fmt.Sprint("w", i), StartMS: 1, Service: "lm", Address: fmt.Sprint("a", i), Slots: 32})
			}
			l.planner.UpdateEndpoints(listed)
			now, view, revision := time.Now(), &endpoint.View{}, uint64(0)
			for second := range 20 {
				report := &wirepb.DemandReport{}
				for i, ms := range test.gapMs {
					report.Paces = append(report.Paces, &wirepb.EndpointPace{Id: fmt.Sprint("w", i), BornMs: 1, Model: "m", Streams: 3, Events: 30, GapMs: 30 * float64(ms), LowerGapUs: ms * 1000})
				}
				s.recordDemand("gateway", report)
				now = now.Add(time.Second)
				l.updateSpeeds(now)
				view.Update(l.planner.Endpoints(now), nil, now)
				snapshot := &wirepb.Snapshot{}
				revision = view.FillSnapshot(snapshot, revision, now)
				if len(snapshot.GetEndpoints()) > 0 && second > 10 {
					t.Errorf("%d endpoints were sent again after %d s", len(snapshot.GetEndpoints()), second)
				}
			}
			var got []float64
			for _, state := range l.planner.Endpoints(now) {
				got = append(got, float64(int(state.Speed*10+0.5))/10)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestInvalidPacesAreIgnored guards against reports that would make an endpoint's speed infinite, and against unbounded memory.
func TestInvalidPacesAreIgnored(t *testing.T) {
	for _, p := range []*wirepb.EndpointPace{{}, {Streams: 1, Events: 0, GapMs: 5}, {Streams: 1, Events: 3, GapMs: -5}, {Streams: 1, Events: 3, GapMs: 1e300}} {
		if s := sampleOf(p); s.Gap != 0 {
			t.Errorf("%v has a gap of %v", p, s.Gap)
		}
	}
	s := &Steward{demands: map[string]demandReport{}, leading: true, leaderWake: make(chan struct{}, 1)}
	for range 3 {
		s.recordDemand("gateway", &wirepb.DemandReport{Paces: make([]*wirepb.EndpointPace, maxPendingPaces/2+1)})
	}
	if len(s.paces) != maxPendingPaces {
		t.Errorf("%d paces are kept, want %d", len(s.paces), maxPendingPaces)
	}
}
