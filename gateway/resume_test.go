package gateway

import (
	"context"
	"io"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"burdocksaddle/endpoint"
)

// softwareEndpoint returns an endpoint with a version of its software.
func softwareEndpoint(id, software string) endpoint.State {
	state := engineEndpoint(id, testModel)
	state.Software = software
	return state
}

// TestBrokenStreamGoesOnAtItsSoftwareVersion checks where a stream goes on within a response after its endpoint has broken it off.
func TestBrokenStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	tests := map[string]struct {
		// events is how many events come before the break, others the versions of the other endpoints.
		events int
		others []string
		// want are the versions at which it may go on, none if the response must be cut.
		want []string
	}{
		"another endpoint of its version":  {2, []string{"v2", "v2", "v1", "v3"}, []string{"v1"}},
		"only endpoints of other versions": {2, []string{"v2", "v3"}, nil},
		"no other endpoint":                {2, nil, nil},
		"before its first event":           {0, []string{"v2", "v3"}, []string{"v2", "v3"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				others, software := []endpoint.State{}, map[string]string{}
				for n, version := range test.others {
					id := "w" + strconv.Itoa(n+1)
					others, software[id] = append(others, softwareEndpoint(id, version)), version
				}
				var b *testGateway
				b = newTestGateway(t, func(_ context.Context, call Call) (*Response, error) {
					if call.Endpoint == "w0" {
						b.setEndpoints(others...)
						return streamResponse(test.events, errCrash), nil
					}
					return streamResponse(3, io.EOF), nil
				}, softwareEndpoint("w0", "v1"))
				got := b.doRequest(t.Context(), "/live/a", testModel, 8*time.Second)
				if test.want == nil {
					if !got.Cut || len(b.calls) != 1 || got.Took > time.Second {
						t.Errorf("%d calls, %+v", len(b.calls), got)
					}
					return
				}
				if got.Cut || got.Events != test.events+3 || len(b.calls) != 2 {
					t.Fatalf("%d calls, %+v", len(b.calls), got)
				}
				if version := software[b.calls[1].Endpoint]; !slices.Contains(test.want, version) {
					t.Errorf("went on at version %s", version)
				}
			})
		})
	}
}
