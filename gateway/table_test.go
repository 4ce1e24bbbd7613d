package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/route"
	"burdocksaddle/uplink"
	"burdocksaddle/wirepb"
)

// addRoute returns the next version of the test table, with one more route for plain requests.
func addRoute(t *testing.T, prefix string) *route.Table {
	t.Helper()
	current := newTestTable(t)
	added := current.Routes[2]
	added.Name, added.Prefix = "added", prefix
	next, err := route.New(current.Version+1, append(current.Routes, added), current.Services, current.Limits)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// TestAddedRouteIsNotDeniedBeforeItsTableArrives sends a request for a route that a steward has announced but the gateway does not have.
func TestAddedRouteIsNotDeniedBeforeItsTableArrives(t *testing.T) {
	tests := map[string]struct {
		// announced is the version that a steward announced, arrivesAfter when its table arrives, 0 for never.
		announced    uint64
		arrivesAfter time.Duration
		path         string
		want         clientResult
	}{
		"table arrives in time":     {2, 200 * time.Millisecond, "/added/x", clientResult{Status: http.StatusOK, Took: 200 * time.Millisecond}},
		"table arrives too late":    {2, 0, "/added/x", clientResult{Status: http.StatusServiceUnavailable, Refused: true, After: defaultRetryAfter, Took: 400 * time.Millisecond}},
		"no route in newer table":   {2, 200 * time.Millisecond, "/none/x", clientResult{Status: http.StatusNotFound, Refused: true, Took: 200 * time.Millisecond}},
		"route in outdated table":   {2, 0, "/read/x", clientResult{Status: http.StatusOK}},
		"table is the newest":       {1, 0, "/added/x", clientResult{Status: http.StatusNotFound, Refused: true}},
		"nothing was announced yet": {0, 0, "/added/x", clientResult{Status: http.StatusNotFound, Refused: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestGateway(t, func(context.Context, Call) (*Response, error) { return bufferedResponse(http.StatusOK), nil }, plainEndpoint("d1"))
				b.decodeTable = func([]byte) (*route.Table, error) { return addRoute(t, "/added/"), nil }
				b.applySnapshot("steward", &wirepb.Snapshot{Version: test.announced})
				if test.arrivesAfter > 0 {
					time.AfterFunc(test.arrivesAfter, func() {
						if err := b.applyTable(uplink.Table{Version: 2}); err != nil {
							t.Error(err)
						}
					})
				}
				got := b.doRequest(t.Context(), test.path, "", time.Second)
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("client's view (-want +got):\n%s", diff)
				}
			})
		})
	}
}
