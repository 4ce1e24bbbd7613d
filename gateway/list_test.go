package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/wire"
)

func TestSlowEndpointListIsNotReadTwiceAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		open, most, reads := 0, 0, 0
		list := func(ctx context.Context) ([]endpoint.State, int, error) {
			mu.Lock()
			open, reads = open+1, reads+1
			most = max(most, open)
			mu.Unlock()
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				open--
			}()
			select {
			case <-time.After(3 * listInterval):
			case <-ctx.Done():
			}
			return nil, 0, ctx.Err()
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := New(Config{Node: "test"}, wire.NewPool(), WithListEndpoints(list)).Run(ctx)
		time.Sleep(20 * listInterval)
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		if most != 1 || reads < 5 {
			t.Errorf("%d reads, %d at the same time", reads, most)
		}
	})
}

// TestListKeepsWhatOnlyTheLeaderKnows checks that endpoints from the platform's list keep their holders and limits.
func TestListKeepsWhatOnlyTheLeaderKnows(t *testing.T) {
	known, listed := limitedEndpoint("w1", 2), engineEndpoint("w1", testModel)
	known.Holder = "steward"
	b := newTestGateway(t, nil, known)
	b.endpointsUpdatedAt = time.Now().Add(-2 * maxEndpointsAge)
	b.listEndpoints = func(context.Context) ([]endpoint.State, int, error) { return []endpoint.State{listed}, 0, nil }
	b.fetchEndpointList(t.Context())
	if got := b.endpoints["w1"]; got.Holder != known.Holder || got.Limit != known.Limit {
		t.Errorf("%+v", got)
	}
}
