package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"burdocksaddle/view"
)

// TestInForceOverQuorum isolates a follower or the leader of the real log. Changes accepted afterwards must be in
// force in time, and no isolated node may continue to serve an older version.
func TestInForceOverQuorum(t *testing.T) {
	tests := []struct {
		name    string
		isolate func(*testGroup) string
		within  time.Duration
	}{
		{"healthy", func(*testGroup) string { return "" }, 2 * time.Second},
		{"follower isolated", (*testGroup).anyFollower, 5 * time.Second},
		{"leader isolated", func(g *testGroup) string { return g.currentLeader() }, 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runSynctest(t, func(t *testing.T) {
				g := newQuorumGroup(t, 3)
				defer g.close()
				g.setInitialCatalog()
				var nodes []*view.Client
				for i := range 6 {
					nodes = append(nodes, g.startNode(fmt.Sprint("n", i), g.names...))
				}
				time.Sleep(3 * testLease)
				if isolated := test.isolate(g); isolated != "" {
					g.network.SetIsolated(isolated, true)
					time.Sleep(time.Second)
					g.awaitLeader()
				}
				version := g.putAdapter(g.currentLeader(), "next")
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				waitResult := g.members[g.currentLeader()].WaitInForce(ctx, version)
				if took := time.Since(start); !waitResult.InForce || took > test.within {
					t.Errorf("%+v after %v, bound %v", waitResult, took, test.within)
				} else {
					t.Logf("in force after %v", took)
				}
				for i, node := range nodes {
					if node.Leased() && node.Version() < version {
						t.Errorf("node %d serves version %d", i, node.Version())
					}
				}
			})
		})
	}
}

func (g *testGroup) anyFollower() string {
	for _, name := range g.names {
		if name != g.currentLeader() {
			return name
		}
	}
	return ""
}

// TestCatalogLinearizableOverQuorum runs concurrent operators on the real log while members are isolated and
// leadership is transferred.
func TestCatalogLinearizableOverQuorum(t *testing.T) {
	seeds := uint64(10)
	if testing.Short() {
		seeds = 2
	}
	checkLinearizable(t, seeds, func(t *testing.T) *testGroup { return newQuorumGroup(t, 3) }, injectQuorumFaults)
}

// injectQuorumFaults isolates one member at a time, including the leader, or transfers leadership.
func injectQuorumFaults(ctx context.Context, g *testGroup, random *rand.Rand) {
	for ctx.Err() == nil {
		isolated := random.IntN(5)
		for i, name := range g.names {
			g.network.SetIsolated(name, i == isolated)
		}
		if isolated >= len(g.names) {
			for _, name := range g.names {
				if _, self := g.logs[name].Leader(); self {
					transfer, cancel := context.WithTimeout(ctx, time.Second)
					_ = g.logs[name].TransferLeader(transfer) // a failed transfer leaves the leader unchanged
					cancel()
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(500+random.IntN(3000)) * time.Millisecond):
		}
	}
}
