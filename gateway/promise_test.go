package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
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
