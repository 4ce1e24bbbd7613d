package gateway

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/wirepb"
)

// limitedEndpoint returns an endpoint with a limit, as the leader shows it.
func limitedEndpoint(id string, perSecond float64) endpoint.State {
	state := engineEndpoint(id, testModel)
	state.Limit = endpoint.Limit{Named: true, PerSecond: perSecond}
	return state
}

// grantTurns answers requests for turns as a leader does.
func (b *testGateway) grantTurns() (asked *int) {
	asked = new(int)
	turns := endpoint.NewTurns()
	var mu sync.Mutex
	b.currentLeader = "steward"
	b.askTurn = func(_ context.Context, _ string, request *wirepb.TurnRequest) (*wirepb.TurnReply, error) {
		time.Sleep(2 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		*asked++
		turn := turns.Take(endpoint.Incarnation{ID: request.GetEndpoint()}, request.GetGateway(), request.GetPerSecond(), time.Now())
		return &wirepb.TurnReply{Granted: turn.Granted, WaitMs: uint32(turn.Wait.Milliseconds()), Gateways: uint32(turn.Processes)}, nil
	}
	return asked
}

// TestLimitedEndpointIsSentRequestsInTurn sends many requests at a time to a model whose endpoints have limits.
func TestLimitedEndpointIsSentRequestsInTurn(t *testing.T) {
	tests := map[string]struct {
		endpoints []endpoint.State
		// wantLimited are the least and the most requests that the limited endpoints get together, of 60 in 4 s.
		wantLimited [2]int
		wantServed  int
	}{
		"another endpoint is not limited": {[]endpoint.State{limitedEndpoint("w1", 2), engineEndpoint("w2", testModel)}, [2]int{0, 0}, 60},
		"one endpoint":                    {[]endpoint.State{limitedEndpoint("w1", 2)}, [2]int{8, 13}, 8},
		"two endpoints":                   {[]endpoint.State{limitedEndpoint("w1", 2), limitedEndpoint("w2", 1)}, [2]int{12, 19}, 12},
		"no requests wanted":              {[]endpoint.State{limitedEndpoint("w1", 0)}, [2]int{0, 0}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestGateway(t, func(_ context.Context, call Call) (*Response, error) {
					response := streamResponse(2, io.EOF)
					for _, state := range test.endpoints {
						if state.ID == call.Endpoint {
							response.Limit = state.Limit
						}
					}
					return response, nil
				}, test.endpoints...)
				asked := b.grantTurns()
				served, late := 0, 0
				var mu sync.Mutex
				var clients sync.WaitGroup
				for range 60 {
					clients.Go(func() {
						result := b.doRequest(t.Context(), "/live/a", testModel, 8*time.Second)
						mu.Lock()
						defer mu.Unlock()
						switch {
						case result.Status == 200:
							served++
						case result.After <= 0:
							t.Errorf("refused without a time to return: %+v", result)
						case result.Took > 100*time.Millisecond:
							late++
						}
					})
					time.Sleep(4 * time.Second / 60)
				}
				clients.Wait()
				limited := 0
				for _, call := range b.calls {
					if state := b.endpoints[call.Endpoint]; state.Limit.Named {
						limited++
					}
				}
				if limited < test.wantLimited[0] || limited > test.wantLimited[1] || served < test.wantServed {
					t.Errorf("%d requests to limited endpoints, %d served", limited, served)
				}
				if *asked > 4*60 {
					t.Errorf("asked for a turn %d times", *asked)
				}
				t.Logf("%d served, %d of the refusals late, asked %d times", served, late, *asked)
			})
		})
	}
}

// TestOneOfManyGatewaysUsesTheWholeLimit sends requests within the limit of the only endpoint through one of ten gateways, in pairs. The
// others send none, so that each request can wait for its turn.
func TestOneOfManyGatewaysUsesTheWholeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t, func(context.Context, Call) (*Response, error) {
			response := streamResponse(2, io.EOF)
			response.Limit = endpoint.Limit{Named: true, PerSecond: 2}
			return response, nil
		}, limitedEndpoint("w1", 2))
		b.grantTurns()
		var clients sync.WaitGroup
		for n := range 20 {
			clients.Go(func() {
				if result := b.doRequest(t.Context(), "/live/a", testModel, 8*time.Second); result.Status != 200 {
					t.Errorf("request %d: %+v", n, result)
				}
			})
			if n%2 == 1 {
				time.Sleep(time.Second)
			}
		}
		clients.Wait()
	})
}

// TestTurnsGoToTheOldestRequest checks that requests wait for a turn in the order in which they arrived, and that one that has its turn does
// not hold up the others while it runs.
func TestTurnsGoToTheOldestRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 12
		b := newTestGateway(t, func(_ context.Context, call Call) (*Response, error) {
			response := streamResponse(2, io.EOF)
			next := response.Next
			response.Next = func() ([]byte, string, error) {
				time.Sleep(time.Second)
				return next()
			}
			response.Limit = endpoint.Limit{Named: true, PerSecond: 10}
			return response, nil
		}, limitedEndpoint("w1", 10))
		b.grantTurns()
		began := time.Now()
		var clients sync.WaitGroup
		for n := range requests {
			clients.Go(func() { b.doRequest(t.Context(), "/live/a", testModel, 8*time.Second, uint64(n)) })
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		var order []uint64
		b.mu.Lock()
		for _, call := range b.calls {
			order = append(order, call.Request.SharedParts[0])
		}
		b.mu.Unlock()
		if len(order) != requests || !slices.IsSorted(order) {
			t.Errorf("sent in the order %v within %v", order, time.Since(began))
		}
		clients.Wait()
	})
}

// TestNoTurnWithoutLeader checks that a gateway sends nothing to an endpoint with a limit while no leader grants turns.
func TestNoTurnWithoutLeader(t *testing.T) {
	tests := map[string]struct {
		leader string
		reply  *wirepb.TurnReply
		err    error
	}{
		"no leader":               {},
		"the leader is silent":    {leader: "steward", err: errors.New("timeout")},
		"it does not lead":        {leader: "steward", reply: &wirepb.TurnReply{Error: "this steward does not lead"}},
		"an empty reply":          {leader: "steward", reply: nil},
		"denied without any time": {leader: "steward", reply: &wirepb.TurnReply{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestGateway(t, nil, limitedEndpoint("w1", 100))
				b.currentLeader = test.leader
				b.askTurn = func(context.Context, string, *wirepb.TurnRequest) (*wirepb.TurnReply, error) {
					return test.reply, test.err
				}
				result := b.doRequest(t.Context(), "/live/a", testModel, time.Second)
				if !result.Refused || result.Status != 503 || result.After <= 0 || len(b.calls) > 0 {
					t.Errorf("%+v, %d calls", result, len(b.calls))
				}
			})
		})
	}
}

// TestLimitEndsWithTheNextResponse checks that a gateway that hears from an endpoint that it names no limit any more tells the leader so,
// and needs no turns meanwhile.
func TestLimitEndsWithTheNextResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t, func(context.Context, Call) (*Response, error) { return streamResponse(2, io.EOF), nil }, limitedEndpoint("w1", 2))
		asked := b.grantTurns()
		for range 5 {
			if result := b.doRequest(t.Context(), "/live/a", testModel, 8*time.Second); result.Status != 200 {
				t.Errorf("%+v", result)
			}
		}
		heard := b.notices.HeardLimits(b.endpoints)
		if *asked != 1 || len(heard) != 1 || heard[0].Named {
			t.Errorf("asked %d times, told the leader %+v", *asked, heard)
		}
	})
}
