package gateway

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"burdocksaddle/endpoint"
	"burdocksaddle/wirepb"
)

// pacedResponse returns a stream whose events come at intervals.
func pacedResponse(count int, gap time.Duration) *Response {
	response := streamResponse(count, io.EOF)
	next := response.Next
	response.Next = func() ([]byte, string, error) {
		time.Sleep(gap)
		return next()
	}
	return response
}

// TestPacesAreReported guards against reports without the gaps between events, or with the same gaps twice.
func TestPacesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t, func(context.Context, Call) (*Response, error) { return pacedResponse(21, 40*time.Millisecond), nil }, engineEndpoint("w1", testModel))
		for range 2 {
			b.doRequest(t.Context(), "/live/a", testModel, 8*time.Second)
		}
		b.Gateway.mu.Lock()
		defer b.Gateway.mu.Unlock()
		got, reported := b.pacesLocked(time.Now())
		want := []*wirepb.EndpointPace{{Id: "w1", Model: testModel, Streams: 2, Events: 40, GapMs: 1600, LowerGapUs: 40_000}}
		if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
			t.Error(diff)
		}
		b.nextPaceReport = time.Now().Add(paceInterval)
		for _, key := range reported {
			delete(b.paces, key)
		}
		if again, _ := b.pacesLocked(time.Now().Add(2 * paceInterval)); len(again) > 0 {
			t.Errorf("reported again: %v", again)
		}
	})
}

// TestPaceReportsAreBounded guards against reports that grow with the number of endpoints and models, and against paces never reported.
func TestPaceReportsAreBounded(t *testing.T) {
	b := newTestGateway(t, nil)
	for i := range 200 {
		state := engineEndpoint(fmt.Sprintf("i-%08d", i), testModel)
		b.endpoints[state.ID] = state
		b.paces[paceKey{state.Incarnation(), testModel}] = &observedPace{streams: 1, events: 10 + i, gaps: []time.Duration{40 * time.Millisecond}}
	}
	for len(b.paces) > 0 {
		paces, reported := b.pacesLocked(time.Now())
		if size := proto.Size(&wirepb.DemandReport{Paces: paces}); len(paces) == 0 || size > 800 {
			t.Fatalf("%d paces in %d bytes with %d left, 800 are allowed", len(paces), size, len(b.paces))
		}
		for _, key := range reported {
			delete(b.paces, key)
		}
	}
}

// TestSlowClientIsNotASlowEndpoint guards against gaps that are due to a client that reads slowly.
func TestSlowClientIsNotASlowEndpoint(t *testing.T) {
	var p streamPace
	b := newTestGateway(t, nil)
	tr := &transaction{Gateway: b.Gateway, request: &Request{}}
	now := time.Now()
	tr.recordEvent(choice{}, &p, now)
	p.recordWritten(now.Add(3 * time.Second))
	tr.recordEvent(choice{}, &p, now.Add(3*time.Second))
	if len(p.gaps) > 0 {
		t.Errorf("gaps %v were counted", p.gaps)
	}
}

// TestSpeedsTakeEffectWhereTheyArePublished guards against another choice of endpoints in services without known speeds, and against tokens
// that stay pending after a request has ended, for whatever reason.
func TestSpeedsTakeEffectWhereTheyArePublished(t *testing.T) {
	for _, speed := range []float64{0, 0.6} {
		for name, response := range map[string]func() (*Response, error){
			"answered":     func() (*Response, error) { return pacedResponse(3, time.Millisecond), nil },
			"broken off":   func() (*Response, error) { return streamResponse(0, errCrash), nil },
			"refused":      func() (*Response, error) { return notRunResponse(), nil },
			"not sent":     func() (*Response, error) { return nil, ErrNotSent{} },
			"in one piece": func() (*Response, error) { return bufferedResponse(200), nil },
		} {
			t.Run(fmt.Sprint(name, speed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var states []endpoint.State
					for i := range 4 {
						state := engineEndpoint(fmt.Sprint("w", i), testModel)
						if i%2 == 0 {
							state.Speed = speed
						}
						states = append(states, state)
					}
					b := newTestGateway(t, func(context.Context, Call) (*Response, error) { return response() }, states...)
					b.do(t.Context(), "/live/a", testModel, Request{ID: "r1", ClientTimeout: time.Second, PromptTokens: 3000})
					if got, want := b.metrics.GetOrCreateCounter(metricChoicesByWork).Get() > 0, speed > 0; got != want {
						t.Errorf("chosen by work: %v, want %v", got, want)
					}
					b.Gateway.mu.Lock()
					defer b.Gateway.mu.Unlock()
					for _, state := range states {
						if tokens := b.router.PendingTokens(state.ID); tokens != 0 {
							t.Errorf("%v tokens are pending at %s after the request", tokens, state.ID)
						}
					}
				})
			})
		}
	}
}

// TestLongPromptsWait guards against long prompts that are prefilled together at one endpoint, and against one that waits until it is late:
// it is sent once the first of two has its first event, or after half of its latency objective.
func TestLongPromptsWait(t *testing.T) {
	for name, test := range map[string]struct {
		firstEvent time.Duration
		speed      float64
		draining   bool
		tokens     int
		wantWait   time.Duration
	}{
		"after the first event":     {60 * time.Millisecond, 0.8, false, 3000, 60 * time.Millisecond},
		"no longer than it may":     {400 * time.Millisecond, 0.8, false, 3000, 147 * time.Millisecond},
		"short ones do not":         {400 * time.Millisecond, 0.8, false, 500, 0},
		"not with unknown speeds":   {400 * time.Millisecond, 0, false, 3000, 0},
		"not at a leaving endpoint": {60 * time.Millisecond, 0.8, true, 3000, 60 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				state := engineEndpoint("w1", testModel)
				state.Speed = test.speed
				states := []endpoint.State{state}
				if test.draining {
					states = append(states, engineEndpoint("w2", testModel))
				}
				sent := map[string]time.Time{}
				var b *testGateway
				b = newTestGateway(t, func(_ context.Context, call Call) (*Response, error) {
					b.mu.Lock()
					sent[call.Request.ID] = time.Now()
					b.mu.Unlock()
					return pacedResponse(2, test.firstEvent), nil
				}, states...)
				if test.draining {
					b.notices.RecordLeaving(states[1].Incarnation(), time.Now())
				}
				began, done := time.Now(), make(chan struct{})
				go func() {
					defer close(done)
					b.do(t.Context(), "/live/a", testModel, Request{ID: "one", ClientTimeout: 8 * time.Second, PromptTokens: 3000})
				}()
				synctest.Wait()
				b.do(t.Context(), "/live/a", testModel, Request{ID: "two", ClientTimeout: 8 * time.Second, PromptTokens: test.tokens})
				<-done
				if waited := sent["two"].Sub(began); waited < test.wantWait || waited > test.wantWait+retryInterval {
					t.Errorf("sent after %v, want %v", waited, test.wantWait)
				}
				for _, call := range b.calls {
					if call.Endpoint != "w1" {
						t.Errorf("sent to %s", call.Endpoint)
					}
				}
				if held := b.metrics.GetOrCreateCounter(metricHeldPrompts).Get() > 0; held != (test.wantWait > 0) {
					t.Errorf("counted as held: %v", held)
				}
			})
		})
	}
}
