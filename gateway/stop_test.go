package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestStoppingGatewayTakesRequestsThatItCanComplete checks which requests a gateway takes that has some time left.
func TestStoppingGatewayTakesRequestsThatItCanComplete(t *testing.T) {
	const took = 400 * time.Millisecond
	for name, test := range map[string]struct {
		// path is that of the late request, after requests to "/book/" have taken 400 ms each. Its client waits for a second.
		path string
		left time.Duration
		want int
	}{
		"known to take less":          {"/book/b", 600 * time.Millisecond, http.StatusOK},
		"known to take longer":        {"/book/b", 390 * time.Millisecond, http.StatusServiceUnavailable},
		"unknown, ends in time":       {"/read/a", 1100 * time.Millisecond, http.StatusOK},
		"unknown, may end too late":   {"/read/a", 900 * time.Millisecond, http.StatusServiceUnavailable},
		"when the gateway should end": {"/book/b", 0, http.StatusServiceUnavailable},
		"after that":                  {"/book/b", -time.Second, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestGateway(t, func(context.Context, Call) (*Response, error) {
					time.Sleep(took)
					return bufferedResponse(http.StatusOK), nil
				}, plainEndpoint("w1"))
				for range 200 {
					b.doRequest(t.Context(), "/book/a", "", time.Second)
				}
				b.calls = nil
				b.Drain(time.Now().Add(test.left))
				result := b.doRequest(t.Context(), test.path, "", time.Second)
				sent := len(b.calls)
				if result.Status != test.want || result.Refused != (sent == 0) || result.Refused != (result.After > 0) {
					t.Errorf("%+v after %d calls", result, sent)
				}
			})
		})
	}
}

// TestNothingIsSentOnceRequestsAreCancelled has a request wait for an endpoint until a stopping gateway ends all requests.
func TestNothingIsSentOnceRequestsAreCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t, func(context.Context, Call) (*Response, error) { return bufferedResponse(http.StatusOK), nil })
		ended := make(chan clientResult, 1)
		go func() { ended <- b.doRequest(t.Context(), "/book/a", "", time.Second) }()
		synctest.Wait()
		b.CancelActive()
		b.setEndpoints(plainEndpoint("w1"))
		result := <-ended
		if diff := cmp.Diff(http.StatusServiceUnavailable, result.Status); diff != "" || len(b.calls) > 0 {
			t.Errorf("%d calls\n%s", len(b.calls), diff)
		}
	})
}

// TestRequestThatWaitsForItsRouteIsRefusedAtStop has a request wait for a newer table at a gateway that stops.
func TestRequestThatWaitsForItsRouteIsRefusedAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t, func(context.Context, Call) (*Response, error) { return bufferedResponse(http.StatusOK), nil }, plainEndpoint("w1"))
		b.announcedVersion = 2
		time.AfterFunc(100*time.Millisecond, b.RefuseWaiting)
		result := b.doRequest(t.Context(), "/missing/a", "", 5*time.Second)
		if result.Status != http.StatusServiceUnavailable || result.Took != 100*time.Millisecond || result.After != otherGatewayRetryAfter {
			t.Errorf("%+v", result)
		}
	})
}

// TestStreamThatMayBeCutIsRefusedOnceOthersServe has streams arrive after the gateway has begun to refuse what waits.
func TestStreamThatMayBeCutIsRefusedOnceOthersServe(t *testing.T) {
	for name, test := range map[string]struct {
		refuseWaiting bool
		clientTimeout time.Duration
		want          int
	}{
		"by the usual time":         {false, 8 * time.Second, http.StatusOK},
		"later, by its time limit":  {true, 2 * time.Second, http.StatusOK},
		"later, without a sure end": {true, 8 * time.Second, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestGateway(t, func(context.Context, Call) (*Response, error) { return streamResponse(2, io.EOF), nil }, engineEndpoint("w1", testModel))
				b.doRequest(t.Context(), "/draft/a", testModel, 8*time.Second)
				b.Drain(time.Now().Add(5 * time.Second))
				if test.refuseWaiting {
					b.RefuseWaiting()
				}
				result := b.doRequest(t.Context(), "/draft/b", testModel, test.clientTimeout)
				if result.Status != test.want || result.Refused != (len(b.calls) == 1) {
					t.Errorf("%+v after %d calls", result, len(b.calls))
				}
			})
		})
	}
}
