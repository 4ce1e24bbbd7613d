package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/wirepb"
)

// TestAnswers plays what endpoints do to one request and checks what its client gets.
func TestAnswers(t *testing.T) {
	type step func() (*Answer, error)
	stream := func(count int, end error) step { return func() (*Answer, error) { return events(count, end), nil } }
	plain := func(status int) step { return func() (*Answer, error) { return whole(status), nil } }
	refused := func() (*Answer, error) { return notRun(), nil }
	unsent := func() (*Answer, error) { return nil, ErrNotSent{Endpoint: "w1", Cause: io.EOF} }
	crash := func() (*Answer, error) { return nil, errCrash }
	tests := map[string]struct {
		path, model string
		steps       []step
		want        got
		sends       int
	}{
		"a stream is passed on":                      {"/live/a", bedModel, []step{stream(3, io.EOF)}, got{Status: 200, Begun: true, Events: 3}, 1},
		"a crash before the first event is repeated": {"/live/a", bedModel, []step{crash, stream(3, io.EOF)}, got{Status: 200, Begun: true, Events: 3}, 2},
		"a cut stream goes on elsewhere":             {"/live/a", bedModel, []step{stream(2, errCrash), stream(1, io.EOF)}, got{Status: 200, Begun: true, Events: 3}, 2},
		"two runs are the most":                      {"/live/a", bedModel, []step{stream(2, errCrash), stream(1, errCrash)}, got{Status: 200, Begun: true, Events: 3, Cut: true}, 2},
		"a stream that may not go on is cut":         {"/draft/a", bedModel, []step{stream(2, errCrash)}, got{Status: 200, Begun: true, Events: 2, Cut: true}, 1},
		"a failure on the way on cuts the stream":    {"/live/a", bedModel, []step{stream(2, errCrash), plain(500)}, got{Status: 200, Begun: true, Events: 2, Cut: true}, 2},
		"a full endpoint is passed over":             {"/draft/a", bedModel, []step{refused, stream(1, io.EOF)}, got{Status: 200, Begun: true, Events: 1}, 2},
		"a booking runs once":                        {"/book/a", "", []step{crash}, got{Status: 502, Refused: true}, 1},
		"a booking that never left goes on":          {"/book/a", "", []step{unsent, plain(200)}, got{Status: 200}, 2},
		"a booking that was refused goes on":         {"/book/a", "", []step{refused, plain(200)}, got{Status: 200}, 2},
		"a booking's failure is passed on":           {"/book/a", "", []step{plain(500)}, got{Status: 500}, 1},
		"a read's failure is tried once more":        {"/read/a", "", []step{plain(500), plain(200)}, got{Status: 200}, 2},
		"a read's second failure is passed on":       {"/read/a", "", []step{plain(500), plain(500)}, got{Status: 500}, 2},
		"a success without a signature isn't passed on": {"/book/a", "", []step{func() (*Answer, error) {
			return &Answer{Status: 200, Close: func() {}}, nil
		}}, got{Status: 502, Refused: true}, 1},
		"no route": {"/none/a", "", nil, got{Status: 404, Refused: true}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				steps := test.steps
				b := newBed(t, func(context.Context, Call) (*Answer, error) {
					if len(steps) == 0 {
						t.Error("one sending too many")
						return nil, errCrash
					}
					next := steps[0]
					steps = steps[1:]
					return next()
				}, engineEndpoint("w1", bedModel), engineEndpoint("w2", bedModel), deskEndpoint("d1"), deskEndpoint("d2"))
				seen := b.ask(t.Context(), test.path, test.model, 0)
				seen.Took, seen.After = 0, 0
				if diff := cmp.Diff(test.want, seen); diff != "" {
					t.Error(diff)
				}
				if len(b.calls) != test.sends {
					t.Errorf("%d sendings, want %d", len(b.calls), test.sends)
				}
				if b.Active() != 0 || len(b.demands) > 0 && b.demands[bedModel].running+b.demands[bedModel].waiting != 0 {
					t.Errorf("active %d, demand %+v", b.Active(), b.demands[bedModel])
				}
			})
		})
	}
}

// TestBegunStreamIsNeverRefused loses the only endpoint of a model in the middle of a stream: a refusal would be bytes after
// the events that look like the stream's whole end.
func TestBegunStreamIsNeverRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b *bed
		b = newBed(t, func(context.Context, Call) (*Answer, error) {
			answer := events(2, errCrash)
			next := answer.Next
			answer.Next = func() ([]byte, string, error) {
				event, id, err := next()
				if err != nil {
					b.show() // the endpoint is gone, and its model needs 6 s elsewhere
				}
				return event, id, err
			}
			return answer, nil
		}, engineEndpoint("w1", bedModel))
		seen := b.ask(t.Context(), "/live/a", bedModel, 4*time.Second)
		seen.Took = 0
		if diff := cmp.Diff(got{Status: http.StatusOK, Begun: true, Events: 2, Cut: true}, seen); diff != "" {
			t.Error(diff)
		}
	})
}

// TestMissingAdapterHidesNoModel has an endpoint say that it lacks an adapter: requests for the model itself go on.
func TestMissingAdapterHidesNoModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := true
		w := engineEndpoint("w1", bedModel)
		w.Models[0].Adapters = []string{"a1"}
		b := newBed(t, func(context.Context, Call) (*Answer, error) {
			if first {
				first = false
				return &Answer{Status: http.StatusMisdirectedRequest, Elsewhere: true, NotRun: true, Close: func() {}}, nil
			}
			return events(1, io.EOF), nil
		}, w)
		ctx, leave := context.WithCancel(t.Context())
		go func() { b.ask(ctx, "/live/a", bedModel+"/a1", 0) }()
		synctest.Wait()
		if seen := b.ask(t.Context(), "/live/a", bedModel, 0); seen.Status != http.StatusOK || seen.Took > 0 {
			t.Errorf("%+v", seen)
		}
		leave()
		synctest.Wait()
	})
}

// TestHopelessIsRefusedAtOnce asks for a model that takes 6 s to load with 4 s to go.
func TestHopelessIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, nil, engineEndpoint("w1"))
		b.leading = "steward"
		seen := b.ask(t.Context(), "/live/a", bedModel, 4*time.Second)
		if !seen.Refused || seen.Status != http.StatusServiceUnavailable || seen.Took > 0 || seen.After <= 0 {
			t.Errorf("%+v", seen)
		}
	})
}

// TestNobodyIsHopelessBeforeTheLeaderTells restarts a gateway together with all endpoints, which then hold nothing but have
// copies on their disks: the first requests wait for the leader's word instead of being told to come back.
func TestNobodyIsHopelessBeforeTheLeaderTells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, func(context.Context, Call) (*Answer, error) { return events(1, io.EOF), nil }, engineEndpoint("w1"))
		b.leading = ""
		const loaded = 1200 * time.Millisecond
		time.AfterFunc(loaded, func() { b.show(engineEndpoint("w1", bedModel)) })
		seen := b.ask(t.Context(), "/live/a", bedModel, 12*time.Second)
		if seen.Status != http.StatusOK || seen.Took != loaded {
			t.Errorf("%+v", seen)
		}
	})
}

// TestStoppingAnswersAll stops a gateway while one request waits for an endpoint and another for its answer.
func TestStoppingAnswersAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, func(ctx context.Context, _ Call) (*Answer, error) {
			<-ctx.Done()
			return nil, errCrash
		}, engineEndpoint("w1"), deskEndpoint("d1"))
		waits, runs := make(chan got), make(chan got)
		go func() { waits <- b.ask(t.Context(), "/live/a", bedModel, 0) }()
		go func() { runs <- b.ask(t.Context(), "/book/a", "", 0) }()
		synctest.Wait()
		b.TurnAway()
		if seen := <-waits; seen.Status != http.StatusServiceUnavailable || seen.After <= 0 || seen.Took > 0 {
			t.Errorf("waiting: %+v", seen)
		}
		b.EndAnswers()
		if seen := <-runs; seen.Status != http.StatusBadGateway || seen.Took > 0 {
			t.Errorf("running: %+v", seen)
		}
	})
}

// TestAllGatewaysKeepTheBudget has many gateways meet a service that fails every request: all together they stay within what
// the platform allows in a window.
func TestAllGatewaysKeepTheBudget(t *testing.T) {
	const ratio, extra, requests = 0.2, 98.0, 20
	for _, gateways := range []int{5, 29, 120} {
		synctest.Test(t, func(t *testing.T) {
			sends := 0
			for range gateways {
				b := newBed(t, func(context.Context, Call) (*Answer, error) {
					sends++
					return whole(http.StatusInternalServerError), nil
				}, deskEndpoint("d1"), deskEndpoint("d2"))
				b.config.RetryRatio, b.config.RetryExtra = ratio, extra
				b.take("steward", &wirepb.Snapshot{Proven: true, Gateways: uint32(gateways)})
				for range requests {
					b.ask(t.Context(), "/read/a", "", 0)
				}
			}
			repeats, allowed := float64(sends-gateways*requests), ratio*float64(gateways*requests)+extra
			if repeats > allowed || repeats == 0 {
				t.Errorf("%d gateways repeated %.0f times, %.0f are allowed", gateways, repeats, allowed)
			}
		})
	}
}

// TestSilentEndpointIsLeft sends to an endpoint that says nothing: what may be repeated goes on at another one, before its
// first event and in mid-stream, and what may not waits.
func TestSilentEndpointIsLeft(t *testing.T) {
	silent := func(ctx context.Context) (*Answer, error) {
		<-ctx.Done()
		return nil, errCrash
	}
	midway := func(ctx context.Context) (*Answer, error) {
		answer := events(2, io.EOF)
		next := answer.Next
		answer.Next = func() ([]byte, string, error) {
			event, id, err := next()
			if err != nil {
				<-ctx.Done()
				return nil, "", errCrash
			}
			return event, id, nil
		}
		return answer, nil
	}
	tests := map[string]struct {
		path, model string
		first       func(context.Context) (*Answer, error)
		second      *Answer
		want        got
	}{
		"before the first event": {"/live/a", bedModel, silent, events(3, io.EOF), got{Status: 200, Begun: true, Events: 3}},
		"in mid-stream":          {"/live/a", bedModel, midway, events(1, io.EOF), got{Status: 200, Begun: true, Events: 3}},
		"a read":                 {"/read/a", "", silent, whole(http.StatusOK), got{Status: 200}},
		"a booking waits":        {"/book/a", "", silent, nil, got{Status: 504, Refused: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sends := 0
				b := newBed(t, func(ctx context.Context, _ Call) (*Answer, error) {
					if sends++; sends == 1 {
						return test.first(ctx)
					}
					return test.second, nil
				}, engineEndpoint("w1", bedModel), engineEndpoint("w2", bedModel), deskEndpoint("d1"), deskEndpoint("d2"))
				seen := b.ask(t.Context(), test.path, test.model, 0)
				seen.Took = 0
				if diff := cmp.Diff(test.want, seen); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}
