package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// eventAt is an event of a simulated stream, or its end if err is set, at a time since the stream began.
type eventAt struct {
	after time.Duration
	err   error
}

// timedStream returns a stream whose events come at the given times and go on after the one with the given ID. It breaks off once the context ends.
func timedStream(ctx context.Context, lastEvent string, events ...eventAt) *Response {
	began, sent := time.Now(), 0
	first, _ := strconv.Atoi(lastEvent) // "" is 0: the stream begins
	return &Response{Status: http.StatusOK, Signed: true, Close: func() {}, Next: func() ([]byte, string, error) {
		event := events[sent]
		select {
		case <-time.After(time.Until(began.Add(event.after))):
		case <-ctx.Done():
			return nil, "", errCrash
		}
		sent++
		return []byte("data: a\n\n"), strconv.Itoa(first + sent), event.err
	}}
}

// TestSilentStreamIsNotCutWhenNoOtherEndpointTakesIt has an endpoint pause in a stream for so long that the gateway tries another one.
func TestSilentStreamIsNotCutWhenNoOtherEndpointTakesIt(t *testing.T) {
	pausing := []eventAt{{after: 0}, {after: 10 * time.Millisecond}, {after: 1600 * time.Millisecond}, {after: 1700 * time.Millisecond}, {1700 * time.Millisecond, io.EOF}}
	for name, test := range map[string]struct {
		second   func() (*Response, error)
		stopping bool
	}{
		"it refuses":                         {second: func() (*Response, error) { return notRunResponse(), nil }},
		"it refuses while the gateway stops": {second: func() (*Response, error) { return notRunResponse(), nil }, stopping: true},
		"it does not hold the model": {second: func() (*Response, error) {
			return &Response{Status: http.StatusMisdirectedRequest, NotRun: true, Misdirected: true, Close: func() {}}, nil
		}},
		"it fails":             {second: func() (*Response, error) { return bufferedResponse(http.StatusInternalServerError), nil }},
		"it cannot be reached": {second: func() (*Response, error) { return nil, ErrNotSent{Cause: errors.New("refused")} }},
		"it breaks off":        {second: func() (*Response, error) { return nil, errCrash }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w1, w2 := engineEndpoint("w1", testModel), engineEndpoint("w2", testModel)
				b := newTestGateway(t, func(ctx context.Context, call Call) (*Response, error) {
					if call.Endpoint == "w1" {
						return timedStream(ctx, call.LastEvent, pausing...), nil
					}
					return test.second()
				}, w1)
				time.AfterFunc(500*time.Millisecond, func() { b.setEndpoints(w1, w2) })
				if test.stopping {
					b.Drain(time.Now().Add(7500 * time.Millisecond))
					b.RefuseWaiting()
				}
				result := b.doRequest(t.Context(), "/live/a", testModel, 6*time.Second)
				result.Took = 0
				if diff := cmp.Diff(clientResult{Status: http.StatusOK, Started: true, Events: 4}, result); diff != "" {
					t.Errorf("%d calls: %s", len(b.calls), diff)
				}
			})
		})
	}
}

// TestStreamOfStoppingGatewayWaitsForAnotherEndpoint has the only endpoint break off in mid-stream; another one is there 300 ms later.
func TestStreamOfStoppingGatewayWaitsForAnotherEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t, func(ctx context.Context, call Call) (*Response, error) {
			if call.Endpoint == "w1" {
				return timedStream(ctx, "", eventAt{}, eventAt{100 * time.Millisecond, errCrash}), nil
			}
			return timedStream(ctx, call.LastEvent, eventAt{}, eventAt{0, io.EOF}), nil
		}, engineEndpoint("w1", testModel))
		b.Drain(time.Now().Add(7500 * time.Millisecond))
		b.RefuseWaiting()
		time.AfterFunc(400*time.Millisecond, func() { b.setEndpoints(engineEndpoint("w2", testModel)) })
		result := b.doRequest(t.Context(), "/live/a", testModel, 6*time.Second)
		result.Took = 0
		if diff := cmp.Diff(clientResult{Status: http.StatusOK, Started: true, Events: 2}, result); diff != "" {
			t.Error(diff)
		}
	})
}

// TestStreamIsNotCutBeforeItsTimeLimit has a stream end 20 ms before its client leaves.
func TestStreamIsNotCutBeforeItsTimeLimit(t *testing.T) {
	const limit = 3 * time.Second
	for _, stopping := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestGateway(t, func(ctx context.Context, call Call) (*Response, error) {
				ctx, cancel := context.WithTimeout(ctx, call.Remaining) // as endpoints do
				time.AfterFunc(limit, cancel)
				return timedStream(ctx, "", eventAt{after: time.Second}, eventAt{after: 2 * time.Second}, eventAt{after: limit - 20*time.Millisecond}, eventAt{limit - 20*time.Millisecond, io.EOF}), nil
			}, engineEndpoint("w1", testModel))
			if stopping {
				b.Drain(time.Now().Add(2 * limit))
				b.RefuseWaiting()
			}
			result := b.doRequest(t.Context(), "/draft/a", testModel, limit)
			result.Took = 0
			if diff := cmp.Diff(clientResult{Status: http.StatusOK, Started: true, Events: 3}, result); diff != "" {
				t.Error(diff)
			}
		})
	}
}
