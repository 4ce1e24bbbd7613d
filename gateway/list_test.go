package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/endpoint"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
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

// TestListedVersionWaitsForItsCommit guards against streams that a gateway without a leader begins at a version that the platform's list
// shows before the leader has committed it: another gateway would take the former version for the only one.
func TestListedVersionWaitsForItsCommit(t *testing.T) {
	const joins, interval = 2 * time.Second, 50 * time.Millisecond
	old, added := softwareEndpoint("w1", "v1"), softwareEndpoint("w2", "v2")
	tests := map[string]struct {
		// published are the endpoints that the leader published before it was lost, committed the versions that a follower names.
		published []endpoint.State
		committed []string
		// wantAfter and wantBefore bound the time until the added endpoint is used.
		wantAfter, wantBefore time.Duration
	}{
		"one version known":        {published: []endpoint.State{old}, wantAfter: joins + uncommittedVersionDelay, wantBefore: joins + uncommittedVersionDelay + 3*listInterval},
		"several versions known":   {published: []endpoint.State{old, softwareEndpoint("w3", "v0")}, wantAfter: joins + uncommittedVersionDelay, wantBefore: joins + uncommittedVersionDelay + 3*listInterval},
		"committed by a follower":  {published: []endpoint.State{old}, committed: []string{"v1", "v2"}, wantAfter: joins, wantBefore: joins + 2*listInterval},
		"no endpoint known before": {wantAfter: 0, wantBefore: joins + 2*listInterval},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began, first := time.Now(), time.Duration(0)
				b := newTestGateway(t, nil, test.published...)
				b.listEndpoints = func(context.Context) ([]endpoint.State, int, error) {
					if time.Since(began) < joins && test.published != nil {
						return []endpoint.State{old}, 0, nil
					}
					return []endpoint.State{old, added}, 0, nil
				}
				if test.published == nil {
					b.endpointsUpdatedAt = time.Time{}
				}
				if test.committed != nil {
					b.applySnapshot("follower", committedSnapshot(test.committed...))
				}
				ctx, cancel := context.WithCancel(t.Context())
				ended := b.Run(ctx)
				for ; first == 0 && time.Since(began) < joins+3*uncommittedVersionDelay; time.Sleep(interval) {
					b.Gateway.mu.Lock()
					if _, known := b.endpoints[added.ID]; known {
						first = time.Since(began)
					}
					b.Gateway.mu.Unlock()
				}
				cancel()
				if err := <-ended; err != nil {
					t.Error(err)
				}
				if first < test.wantAfter || first == 0 || first > test.wantBefore {
					t.Errorf("added endpoint used after %v", first)
				}
			})
		})
	}
}

// TestListedVersionCountsUntilLeaderIsHeard guards against a gateway that forgets a version which it holds back, and one that remembers it
// beside a leader that does not publish it.
func TestListedVersionCountsUntilLeaderIsHeard(t *testing.T) {
	old := softwareEndpoint("w1", "v1")
	b := newTestGateway(t, nil, old)
	b.endpointsUpdatedAt = time.Now().Add(-2 * maxEndpointsAge)
	b.listEndpoints = func(context.Context) ([]endpoint.State, int, error) {
		return []endpoint.State{old, softwareEndpoint("w2", "v2")}, 0, nil
	}
	several := func(want bool) {
		t.Helper()
		b.Gateway.mu.Lock()
		defer b.Gateway.mu.Unlock()
		if diff := cmp.Diff(want, b.severalVersionsLocked("engines", time.Now())); diff != "" {
			t.Error(diff)
		}
	}
	b.fetchEndpointList(t.Context())
	several(true)
	b.applySnapshot("leader", &wirepb.Snapshot{Leads: true, Proven: true, HasEndpoints: true, Complete: true, Endpoints: []*wirepb.EndpointState{old.ToWire()}})
	several(false)
}
