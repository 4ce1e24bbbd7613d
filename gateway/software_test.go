package gateway

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"

	"burdocksaddle/endpoint"
	"burdocksaddle/stream"
)

// TestStreamContinuesAtDrainingEndpoint guards against resumed streams that wait until their clients leave although a draining endpoint of
// their version, the only one that holds their model, still serves.
func TestStreamContinuesAtDrainingEndpoint(t *testing.T) {
	const drainTime = 3 * time.Second
	draining := func(software string, since time.Duration) func() endpoint.State {
		return func() endpoint.State {
			state := softwareEndpoint("w0", software)
			state.Draining = true
			if since > 0 {
				state.DrainingSince = time.Now().Add(-since)
			}
			return state
		}
	}
	tests := map[string]struct {
		draining func() endpoint.State
		others   []endpoint.State
		newOnes  bool
		want     []string
	}{
		"within the drain time":             {draining("v1", 2*time.Second), []endpoint.State{softwareEndpoint("w1", "v2")}, false, []string{"w0"}},
		"at its end":                        {draining("v1", drainTime-drainMargin), []endpoint.State{softwareEndpoint("w1", "v2")}, false, nil},
		"draining for an unknown time":      {draining("v1", 0), []endpoint.State{softwareEndpoint("w1", "v2")}, false, nil},
		"another endpoint of the version":   {draining("v1", 2*time.Second), []endpoint.State{softwareEndpoint("w1", "v1"), softwareEndpoint("w2", "v2")}, false, []string{"w1"}},
		"draining endpoint of another one":  {draining("v2", 2*time.Second), []endpoint.State{softwareEndpoint("w1", "v3")}, false, nil},
		"one version":                       {draining("v1", 2*time.Second), nil, false, nil},
		"new streams go to other endpoints": {draining("v1", 2*time.Second), []endpoint.State{softwareEndpoint("w1", "v2")}, true, []string{"w1"}},
		"new streams wait where all drain":  {draining("v1", 2*time.Second), []endpoint.State{engineEndpoint("w1")}, true, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestGateway(t, func(context.Context, Call) (*Response, error) { return streamResponse(3, io.EOF), nil })
				b.config.DrainTime = drainTime
				b.setEndpoints(append(test.others, test.draining())...)
				request := Request{ID: "again", ClientTimeout: 8 * time.Second}
				if !test.newOnes {
					b.resumption.starts.Record(stream.Start{ID: xxhash.Sum64String("r0"), Origin: stream.Origin{Service: "engines", Software: "v1"}}, time.Now())
					request.Resumes, request.LastEvent = "r0", "1"
				}
				b.do(t.Context(), "/live/a", testModel, request)
				var called []string
				for _, call := range b.calls {
					called = append(called, call.Endpoint)
				}
				if diff := cmp.Diff(test.want, called); diff != "" {
					t.Errorf("endpoints called (-want +got):\n%s", diff)
				}
			})
		})
	}
}
