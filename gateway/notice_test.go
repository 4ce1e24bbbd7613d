package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/endpoint"
)

const testDrainTime = 3 * time.Second

// noticeGateway is a gateway whose endpoints answer as the functions in responses say, by endpoint, and with success where there is
// none or it returns nil.
type noticeGateway struct {
	*testGateway
	responses map[string]func() *Response
}

func newNoticeGateway(t *testing.T, endpoints ...endpoint.State) *noticeGateway {
	t.Helper()
	n := &noticeGateway{responses: map[string]func() *Response{}}
	n.testGateway = newTestGateway(t, func(_ context.Context, call Call) (*Response, error) {
		if respond := n.responses[call.Endpoint]; respond != nil {
			if response := respond(); response != nil {
				return response, nil
			}
		}
		if call.Stream {
			return streamResponse(1, io.EOF), nil
		}
		return bufferedResponse(http.StatusOK), nil
	}, endpoints...)
	n.notices = endpoint.NewNotices(testDrainTime)
	return n
}

// callsTo returns the number of calls to an endpoint.
func (n *noticeGateway) callsTo(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, call := range n.calls {
		if call.Endpoint == id {
			count++
		}
	}
	return count
}

func leavingStream() *Response {
	response := streamResponse(2, io.EOF)
	response.Leaving = true
	return response
}

func pausingResponse(pause time.Duration) *Response {
	response := notRunResponse()
	response.Pause = pause
	return response
}

// pausing returns the responses of an endpoint that wants no requests for the given time from now on.
func pausing(pause time.Duration) func() *Response {
	until := time.Now().Add(pause)
	return func() *Response {
		if left := time.Until(until); left > 0 {
			return pausingResponse(left)
		}
		return nil
	}
}

// TestLeavingEndpointIsAvoided checks that requests go to other endpoints once one has said that it is leaving, although the
// stewards still list it as ready.
func TestLeavingEndpointIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNoticeGateway(t, engineEndpoint("w1", testModel))
		n.responses["w1"] = leavingStream
		if result := n.doRequest(t.Context(), "/live/a", testModel, 0); result.Events != 2 || result.Cut {
			t.Errorf("the answer that says so: %+v", result)
		}
		n.setEndpoints(engineEndpoint("w1", testModel), engineEndpoint("w2", testModel))
		for range 20 {
			if result := n.doRequest(t.Context(), "/live/a", testModel, 0); result.Status != http.StatusOK {
				t.Errorf("%+v", result)
			}
		}
		if calls := n.callsTo("w1"); calls != 1 {
			t.Errorf("%d requests to the leaving endpoint", calls)
		}
	})
}

// TestLastReplicaLeaves plays an endpoint that says that it is leaving while no other holds its model: it serves new requests for the
// drain time, then none, until it has started again.
func TestLastReplicaLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := engineEndpoint("w1", testModel)
		started.StartMS = 1
		n := newNoticeGateway(t, started)
		n.currentLeader = "steward"
		n.responses["w1"] = leavingStream
		var statuses []int
		for _, wait := range []time.Duration{0, 2 * time.Second, 900 * time.Millisecond, 200 * time.Millisecond, time.Second} {
			time.Sleep(wait)
			n.setEndpoints(started)
			statuses = append(statuses, n.doRequest(t.Context(), "/live/a", testModel, 4*time.Second).Status)
		}
		restarted := started
		restarted.StartMS = 2
		n.setEndpoints(restarted)
		statuses = append(statuses, n.doRequest(t.Context(), "/live/a", testModel, 4*time.Second).Status)
		if diff := cmp.Diff([]int{200, 200, 200, 503, 503, 200}, statuses); diff != "" {
			t.Error(diff)
		}
	})
}

// TestLeavingEndpointLoadsNoAdapter requests an adapter that is not loaded, of a model that only a leaving endpoint holds. No adapter can be
// loaded there any more, so no order may be sent for it; the request is refused once its client has left.
func TestLeavingEndpointLoadsNoAdapter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leaving := engineEndpoint("w1", testModel)
		leaving.Holder = "steward"
		n := newNoticeGateway(t, leaving)
		n.notices.RecordLeaving(leaving.Incarnation(), time.Now())
		result := n.doRequest(t.Context(), "/live/a", testModel+"/a1", 0)
		if orders := n.metrics.GetOrCreateCounter(metricAdapters).Get(); orders != 0 || !result.Refused {
			t.Errorf("%d adapter orders, %+v", orders, result)
		}
	})
}

// TestLeavingIsReported checks which leaving endpoints the leader is told about.
func TestLeavingIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		draining := engineEndpoint("w2", testModel)
		draining.Draining = true
		n := newNoticeGateway(t, engineEndpoint("w1", testModel), draining, engineEndpoint("w3", testModel))
		for _, id := range []string{"w1", "w2", "gone"} {
			n.notices.RecordLeaving(endpoint.Incarnation{ID: id, StartMS: 5}, time.Now())
		}
		var ids []string
		for _, l := range n.leavingLocked() {
			ids = append(ids, l.GetId())
		}
		if diff := cmp.Diff([]string{"w1"}, ids); diff != "" {
			t.Error(diff)
		}
	})
}

// TestPausedEndpoint checks what callers get while endpoints want no requests.
func TestPausedEndpoint(t *testing.T) {
	tests := map[string]struct {
		path, model string
		pauses      map[string]time.Duration
		want        clientResult
		// after bounds the time at which the client is told to retry.
		after [2]time.Duration
	}{
		"another endpoint serves at once":       {"/book/a", "", map[string]time.Duration{"d1": 5 * time.Second}, clientResult{Status: 200}, [2]time.Duration{}},
		"served at the end of the pause":        {"/book/a", "", map[string]time.Duration{"d1": 500 * time.Millisecond, "d2": 600 * time.Millisecond}, clientResult{Status: 200, Took: 500 * time.Millisecond}, [2]time.Duration{}},
		"refused if the pause is too long":      {"/book/a", "", map[string]time.Duration{"d1": 5 * time.Second, "d2": 6 * time.Second}, clientResult{Status: 503, Refused: true}, [2]time.Duration{3750 * time.Millisecond, 6250 * time.Millisecond}},
		"refused stream":                        {"/live/a", testModel, map[string]time.Duration{"w1": 5 * time.Second}, clientResult{Status: 503, Refused: true}, [2]time.Duration{3750 * time.Millisecond, 6250 * time.Millisecond}},
		"a stream is served after a short wait": {"/live/a", testModel, map[string]time.Duration{"w1": time.Second}, clientResult{Status: 200, Started: true, Events: 1, Took: time.Second}, [2]time.Duration{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNoticeGateway(t, engineEndpoint("w1", testModel), plainEndpoint("d1"), plainEndpoint("d2"))
				n.currentLeader = "steward"
				for id, pause := range test.pauses {
					n.responses[id] = pausing(pause)
				}
				result := n.doRequest(t.Context(), test.path, test.model, 0)
				if after := result.After; after < test.after[0] || after > test.after[1] {
					t.Errorf("told to retry after %v, want %v", after, test.after)
				}
				result.After = 0
				// A waiting request looks for an endpoint every retryInterval.
				if test.want.Took > 0 && result.Took > test.want.Took && result.Took <= test.want.Took+retryInterval {
					result.Took = test.want.Took
				}
				if diff := cmp.Diff(test.want, result); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// pausedPeriod is a time in which an endpoint wants no requests.
type pausedPeriod struct{ from, until time.Time }

// TestPausesAreKept sends many requests to endpoints that turn some away for a while, under load. As the platform counts, at most two
// requests may reach an endpoint between half a second after it asked for a pause and the pause's end.
func TestPausesAreKept(t *testing.T) {
	const callers, requests, tolerance = 12, 60, 500 * time.Millisecond
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			random := rand.New(rand.NewPCG(seed, 1))
			periods, arrivals := map[string][]pausedPeriod{}, map[string][]time.Time{}
			b := newTestGateway(t, func(_ context.Context, call Call) (*Response, error) {
				time.Sleep(5 * time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				now := time.Now()
				arrivals[call.Endpoint] = append(arrivals[call.Endpoint], now)
				if random.IntN(8) == 0 {
					pause := time.Duration(random.IntN(4000)) * time.Millisecond
					periods[call.Endpoint] = append(periods[call.Endpoint], pausedPeriod{now, now.Add(pause)})
					return pausingResponse(pause), nil
				}
				return bufferedResponse(http.StatusOK), nil
			}, plainEndpoint("d1"), plainEndpoint("d2"), plainEndpoint("d3"))
			var clients sync.WaitGroup
			for range callers {
				clients.Go(func() {
					for range requests {
						b.doRequest(t.Context(), "/read/a", "", 0)
						time.Sleep(40 * time.Millisecond)
						b.setEndpoints(plainEndpoint("d1"), plainEndpoint("d2"), plainEndpoint("d3"))
					}
				})
			}
			clients.Wait()
			for id, all := range periods {
				for _, period := range all {
					late := slices.DeleteFunc(slices.Clone(arrivals[id]), func(at time.Time) bool {
						return at.Before(period.from.Add(tolerance)) || !at.Before(period.until)
					})
					if len(late) > 2 {
						t.Errorf("seed %d: %d requests to %s in its pause", seed, len(late), id)
					}
				}
			}
		})
	}
}

// TestPauseAtReusedAddress plays an endpoint that takes over the address of another one and answers a request meant for that one by asking
// for a pause. Guards against the pause being kept under the former endpoint only, which let requests reach the new one during its pause.
func TestPauseAtReusedAddress(t *testing.T) {
	const pause, tolerance = 3 * time.Second, 500 * time.Millisecond
	former, taker := plainEndpoint("d1"), plainEndpoint("d2")
	taker.Address = former.Address
	restarted := former
	former.StartMS, restarted.StartMS = 1, 2
	for name, next := range map[string]endpoint.State{"another ID": taker, "the same ID": restarted} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				var asked time.Time
				late := 0
				b := newTestGateway(t, func(context.Context, Call) (*Response, error) {
					mu.Lock()
					defer mu.Unlock()
					if asked.IsZero() {
						asked = time.Now()
						return pausingResponse(pause), nil
					}
					if since := time.Since(asked); since > tolerance && since < pause {
						late++
					}
					return bufferedResponse(http.StatusOK), nil
				}, former)
				b.doRequest(t.Context(), "/read/a", "", 100*time.Millisecond)
				for end := time.Now().Add(pause - tolerance); time.Now().Before(end); {
					b.setEndpoints(next)
					b.doRequest(t.Context(), "/read/a", "", 100*time.Millisecond)
					time.Sleep(100 * time.Millisecond)
				}
				if late > 2 {
					t.Errorf("%d requests reached the endpoint in its pause, at most 2 may", late)
				}
				time.Sleep(2 * tolerance)
				b.setEndpoints(next)
				if result := b.doRequest(t.Context(), "/read/a", "", 0); result.Status != http.StatusOK {
					t.Errorf("after the pause: %+v", result)
				}
			})
		})
	}
}
