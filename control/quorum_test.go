package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"burdocksaddle/view"
)

// TestInForceOverQuorum isolates a follower or the leader of the real log and wants what is accepted
// afterwards in force in time, and no isolated node to serve on.
func TestInForceOverQuorum(t *testing.T) {
	tests := []struct {
		name    string
		isolate func(*group) string
		within  time.Duration
	}{
		{"healthy", func(*group) string { return "" }, 2 * time.Second},
		{"follower isolated", (*group).follower, 5 * time.Second},
		{"leader isolated", func(g *group) string { return g.leading() }, 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				g := newQuorum(t, 3)
				defer g.close()
				g.first()
				var nodes []*view.Client
				for i := range 6 {
					nodes = append(nodes, g.node(fmt.Sprint("n", i), g.names...))
				}
				time.Sleep(3 * testLease)
				if isolated := test.isolate(g); isolated != "" {
					g.network.Isolate(isolated, true)
					time.Sleep(time.Second)
					g.awaitLeader()
				}
				version := g.change(g.leading(), "next")
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				force := g.members[g.leading()].Wait(ctx, version)
				if took := time.Since(start); !force.InForce || took > test.within {
					t.Errorf("%+v after %v, bound %v", force, took, test.within)
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

func (g *group) follower() string {
	for _, name := range g.names {
		if name != g.leading() {
			return name
		}
	}
	return ""
}

// TestCatalogLinearizableOverQuorum lets operators race on the real log while members go silent and the
// lead is handed over.
func TestCatalogLinearizableOverQuorum(t *testing.T) {
	seeds := uint64(10)
	if testing.Short() {
		seeds = 2
	}
	checkHistories(t, seeds, func(t *testing.T) *group { return newQuorum(t, 3) }, disturbQuorum)
}

// disturbQuorum isolates one member at a time, leaders included, or hands the lead over.
func disturbQuorum(ctx context.Context, g *group, random *rand.Rand) {
	for ctx.Err() == nil {
		isolated := random.IntN(5)
		for i, name := range g.names {
			g.network.Isolate(name, i == isolated)
		}
		if isolated >= len(g.names) {
			for _, name := range g.names {
				if _, self := g.logs[name].Leader(); self {
					transfer, cancel := context.WithTimeout(ctx, time.Second)
					_ = g.logs[name].TransferLeader(transfer) // one that fails leaves the leader as it is
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
