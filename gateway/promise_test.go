package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/endpoint"
)

// TestEndpointErrorIsNoPromise has endpoints execute a request and answer with a status by which a gateway promises that it was not
// executed. A request that must be executed once at most must not be answered so.
func TestEndpointErrorIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestGateway(t, func(context.Context, Call) (*Response, error) { return bufferedResponse(status), nil }, plainEndpoint("w1"))
				if result := b.doRequest(t.Context(), "/book/a", "", time.Second); result.Status != http.StatusBadGateway || !result.Refused || len(b.calls) != 1 {
					t.Errorf("%+v after %d calls", result, len(b.calls))
				}
				b.calls = nil
				if result := b.doRequest(t.Context(), "/read/a", "", time.Second); result.Status != status {
					t.Errorf("a request that may be executed again got %+v", result)
				}
			})
		})
	}
}

// TestRequestSentAgainIsMarked checks which attempts say that their endpoint got the request before: those after which a copy of the first
// refusal would break a promise.
func TestRequestSentAgainIsMarked(t *testing.T) {
	for name, test := range map[string]struct {
		path      string
		endpoints []endpoint.State
		want      []bool
	}{
		"once at most, the same endpoint": {"/book/a", []endpoint.State{plainEndpoint("w1")}, []bool{false, true}},
		"once at most, another endpoint":  {"/book/a", []endpoint.State{plainEndpoint("w1"), plainEndpoint("w2")}, []bool{false, false}},
		"may be repeated":                 {"/read/a", []endpoint.State{plainEndpoint("w1")}, []bool{false, false}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := 0
				b := newTestGateway(t, func(context.Context, Call) (*Response, error) {
					if calls++; calls == 1 {
						response := bufferedResponse(http.StatusServiceUnavailable)
						response.NotRun = true
						return response, nil
					}
					return bufferedResponse(http.StatusOK), nil
				}, test.endpoints...)
				result := b.doRequest(t.Context(), test.path, "", time.Second)
				var again []bool
				for _, call := range b.calls {
					again = append(again, call.Again)
				}
				if diff := cmp.Diff(test.want, again); diff != "" || result.Status != http.StatusOK {
					t.Errorf("%+v\n%s", result, diff)
				}
			})
		})
	}
}
