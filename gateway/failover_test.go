package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
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

// timedStream returns a stream whose events come at the given times and contain their numbers, from the one after lastEvent on. It breaks off once
// the context ends. The test gateway numbers their IDs.
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
		return []byte(strconv.Itoa(first + sent)), strconv.Itoa(sent), event.err
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

// TestSilentStreamMovesToAnotherEndpoint checks when the silent endpoint is given up.
func TestSilentStreamMovesToAnotherEndpoint(t *testing.T) {
	const silentAfter, movedAt = 10 * time.Millisecond, 1010 * time.Millisecond // five times the allowed gap of 200 ms later
	for name, test := range map[string]struct {
		// first is what w1 does after its two events, at times since its stream began.
		first eventAt
		// secondBegins is when w2 takes the stream, after it was sent.
		secondBegins time.Duration
		want         []string
		// firstEnds and secondEnds are when the endpoints see that they are no longer needed, 0 if they are until the end.
		firstEnds, secondEnds time.Duration
	}{
		"it takes the stream at once":      {eventAt{after: time.Minute}, 50 * time.Millisecond, []string{"1", "2", "3", "4"}, movedAt + 50*time.Millisecond, 0},
		"it takes the stream late":         {eventAt{after: time.Minute}, 600 * time.Millisecond, []string{"1", "2", "3", "4"}, movedAt + moveOverlap, 0},
		"the first one goes on before":     {eventAt{after: movedAt + 100*time.Millisecond}, 200 * time.Millisecond, []string{"1", "2", "3"}, 0, movedAt + 100*time.Millisecond},
		"the first one ends before":        {eventAt{movedAt + 100*time.Millisecond, io.EOF}, 200 * time.Millisecond, []string{"1", "2"}, 0, movedAt + 100*time.Millisecond},
		"the first one breaks off before":  {eventAt{movedAt + 100*time.Millisecond, errCrash}, 200 * time.Millisecond, []string{"1", "2", "3", "4"}, 0, 0},
		"the first one goes on afterwards": {eventAt{after: movedAt + 250*time.Millisecond}, 200 * time.Millisecond, []string{"1", "2", "3", "4"}, movedAt + 200*time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began, ends := time.Now(), map[string]time.Duration{}
				var mu sync.Mutex
				b := newTestGateway(t, func(ctx context.Context, call Call) (*Response, error) {
					context.AfterFunc(ctx, func() {
						mu.Lock()
						defer mu.Unlock()
						ends[call.Endpoint] = time.Since(began)
					})
					if call.Endpoint == "w1" {
						return timedStream(ctx, call.LastEvent, eventAt{}, eventAt{after: silentAfter}, test.first, eventAt{test.first.after, io.EOF}), nil
					}
					select {
					case <-time.After(test.secondBegins):
						return timedStream(ctx, call.LastEvent, eventAt{}, eventAt{}, eventAt{0, io.EOF}), nil
					case <-ctx.Done():
						return nil, errCrash
					}
				}, engineEndpoint("w1", testModel))
				time.AfterFunc(time.Millisecond, func() { b.setEndpoints(engineEndpoint("w1", testModel), engineEndpoint("w2", testModel)) })
				result := b.streamIDs(t.Context())
				end := time.Since(began)
				synctest.Wait()
				if diff := cmp.Diff(test.want, result); diff != "" || len(b.calls) != 2 {
					t.Errorf("%d calls: %s", len(b.calls), diff)
				}
				want := map[string]time.Duration{"w1": cmpOr(test.firstEnds, end), "w2": cmpOr(test.secondEnds, end)}
				if diff := cmp.Diff(want, ends); diff != "" {
					t.Error(diff)
				}
				if b.Active() != 0 || b.demands[testModel].running+b.demands[testModel].waiting != 0 {
					t.Errorf("active %d, demand %+v", b.Active(), b.demands[testModel])
				}
			})
		})
	}
}

func cmpOr(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}

// streamIDs sends a request for a resumable stream and returns the IDs of its events; the last one is "cut" if it is incomplete.
func (b *testGateway) streamIDs(ctx context.Context) (ids []string) {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+testHost+"/live/a", http.NoBody)
	if err != nil {
		panic(err)
	}
	b.Serve(ctx, &Request{ID: "r1", Host: testHost, Path: "/live/a", Model: testModel, ClientTimeout: 8 * time.Second, Arrived: time.Now(), HTTPRequest: httpRequest}, Responder{
		Begin:  func(int, http.Header) error { return nil },
		Event:  func(event []byte) error { ids = append(ids, string(event)); return nil },
		Refuse: func(Refusal) { ids = append(ids, "refused") },
		Abort:  func() { ids = append(ids, "cut") },
	})
	return ids
}

// TestMovedStreamsKeepTheirOrder plays streams at three endpoints that pause, refuse, break off and go on at random.
func TestMovedStreamsKeepTheirOrder(t *testing.T) {
	const seeds, events = 500, 12
	complete, moved := 0, 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 51))
			var mu sync.Mutex
			draw := func(n int) int {
				mu.Lock()
				defer mu.Unlock()
				return r.IntN(n)
			}
			delay := func() time.Duration {
				if draw(4) > 0 {
					return time.Duration(draw(30)) * time.Millisecond
				}
				return time.Duration(draw(1500)) * time.Millisecond
			}
			b := newTestGateway(t, func(ctx context.Context, call Call) (*Response, error) {
				select {
				case <-time.After(delay()):
				case <-ctx.Done():
					return nil, errCrash
				}
				if draw(4) == 0 {
					return notRunResponse(), nil
				}
				at, script := time.Duration(0), []eventAt(nil)
				first, _ := strconv.Atoi(call.LastEvent) // "" is 0: the stream begins
				for range events - first {
					at += delay()
					script = append(script, eventAt{after: at})
				}
				end := io.EOF
				if draw(5) == 0 {
					script, end = script[:draw(len(script)+1)], errCrash
				}
				return timedStream(ctx, call.LastEvent, append(script, eventAt{at, end})...), nil
			}, engineEndpoint("w1", testModel), engineEndpoint("w2", testModel), engineEndpoint("w3", testModel))
			ids := b.streamIDs(t.Context())
			synctest.Wait()
			for n, id := range ids {
				if end := n == len(ids)-1 && (id == "cut" || id == "refused"); !end && id != strconv.Itoa(n+1) {
					t.Fatalf("seed %d: %v", seed, ids)
				}
			}
			if last := ids[len(ids)-1]; last == strconv.Itoa(events) {
				complete++
			} else if last != "cut" && last != "refused" {
				t.Errorf("seed %d: complete after %v", seed, ids)
			}
			if len(b.calls) > 1 {
				moved++
			}
			if b.Active() != 0 || b.demands[testModel].running+b.demands[testModel].waiting != 0 {
				t.Errorf("seed %d: active %d, demand %+v", seed, b.Active(), b.demands[testModel])
			}
		})
	}
	t.Logf("%d of %d streams complete, %d sent more than once", complete, seeds, moved)
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
