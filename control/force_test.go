package control

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/catalog"
	"burdocksaddle/view"
	"burdocksaddle/wirepb"
)

// TestInForce changes the catalog on a healthy group and with a member isolated. WaitInForce must return in time, and
// when it does no node with a valid lease may serve an older version.
func TestInForce(t *testing.T) {
	tests := []struct {
		name    string
		through string
		isolate string
		lead    string
		within  time.Duration
	}{
		{name: "healthy, through the leader", through: "c1", within: 2 * time.Second},
		{name: "healthy, through a follower", through: "c3", within: 2 * time.Second},
		{name: "a follower isolated", through: "c1", isolate: "c3", within: 5 * time.Second},
		{name: "the old leader isolated", through: "c2", isolate: "c1", lead: "c2", within: 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runSynctest(t, func(t *testing.T) {
				g := newTestGroup(t, 3)
				defer g.close()
				g.setInitialCatalog()
				var nodes []*view.Client
				for i := range 9 {
					nodes = append(nodes, g.startNode("n"+strconv.Itoa(i), "c1", "c2", "c3"))
				}
				time.Sleep(3 * testLease)
				if test.isolate != "" {
					g.network.SetIsolated(test.isolate, true)
				}
				if test.lead != "" {
					g.setLeader(test.lead)
				}
				version := g.putAdapter(test.through, "next")
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				waitResult := g.members[test.through].WaitInForce(ctx, version)
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
				time.Sleep(testLease)
				for i, node := range nodes {
					if !node.Leased() || node.Version() != version {
						t.Errorf("node %d: leased %v, version %d", i, node.Leased(), node.Version())
					}
				}
			})
		})
	}
}

// TestNoLeaseWithoutProof checks that nodes lose their leases when their members lose the quorum, and get new
// leases when it is back.
func TestNoLeaseWithoutProof(t *testing.T) {
	runSynctest(t, func(t *testing.T) {
		g := newTestGroup(t, 3)
		defer g.close()
		g.setInitialCatalog()
		singleMemberNode := g.startNode("alone", "c3")
		twoMemberNode := g.startNode("free", "c3", "c1")
		time.Sleep(testLease)
		if !singleMemberNode.Leased() || !twoMemberNode.Leased() {
			t.Fatal("nodes have no lease although the group is healthy")
		}
		// No member reaches the leader any more, while nodes still reach the members.
		g.setLeader("nobody")
		g.network.SetIsolated("nobody", true)
		time.Sleep(testLease)
		if singleMemberNode.Leased() || twoMemberNode.Leased() {
			t.Error("a node still has a lease after the quorum was lost")
		}
		g.setLeader("c1")
		time.Sleep(2 * testLease)
		if !singleMemberNode.Leased() || !twoMemberNode.Leased() {
			t.Error("a node has no lease after the quorum was restored")
		}
	})
}

// TestRestartedNodeServesNoOlderVersion restarts a node while its member lags behind. The new process must not
// get a lease on an older version than its predecessor served.
func TestRestartedNodeServesNoOlderVersion(t *testing.T) {
	runSynctest(t, func(t *testing.T) {
		g := newTestGroup(t, 3)
		defer g.close()
		g.setInitialCatalog()
		ctx, cancel := context.WithCancel(t.Context())
		before, ended := g.startNodeUntil(ctx, "n", "Entry", "c1")
		time.Sleep(testLease)
		// c3 has a recent quorum proof and is now isolated.
		g.network.SetIsolated("c3", true)
		version := g.putAdapter("c1", "next")
		if !before.WaitForVersion(t.Context(), version) || !before.Leased() {
			t.Fatal("the first process has not reached the new version under a lease")
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		g.network.SetIsolated("c3", false)
		g.setLeader("c2")
		g.network.SetIsolated("c2", true)
		after, again := g.startNodeUntil(g.ctx, "n", "Entry", "c3")
		for range 40 {
			time.Sleep(testLease / 20)
			if after.Leased() && after.Version() < version {
				t.Fatalf("restarted node holds a lease on version %d after %d", after.Version(), version)
			}
		}
		g.network.SetIsolated("c2", false)
		time.Sleep(testLease)
		if !after.Leased() || after.Version() != version {
			t.Errorf("leased %v at version %d", after.Leased(), after.Version())
		}
		g.endChans = append(g.endChans, again)
	})
}

// TestNodeVersionNeverDecreases adds versions while a node reconnects to members that lag behind. The node's
// version must never decrease.
func TestNodeVersionNeverDecreases(t *testing.T) {
	runSynctest(t, func(t *testing.T) {
		g := newTestGroup(t, 3)
		defer g.close()
		g.setInitialCatalog()
		node := g.startNode("n", "c1", "c2", "c3")
		highest := uint64(0)
		for i := range 40 {
			g.network.SetIsolated("c"+strconv.Itoa(2+i%2), i%4 < 2)
			g.putAdapter("c1", strconv.Itoa(i))
			for range 10 {
				time.Sleep(100 * time.Millisecond)
				if node.Version() < highest {
					t.Fatalf("round %d: version %d after %d", i, node.Version(), highest)
				}
				highest = node.Version()
			}
		}
		time.Sleep(testLease)
		want := g.members["c1"].Catalog()
		if diff := cmp.Diff(want, node.Catalog()); diff != "" {
			t.Errorf("node (-member +node):\n%s", diff)
		}
	})
}

// TestLaggingMemberCatchesUp gives a node a version that its member has not applied yet. The member must then
// request a quorum proof at once, which brings it up to date, instead of waiting for the next periodic one.
func TestLaggingMemberCatchesUp(t *testing.T) {
	runSynctest(t, func(t *testing.T) {
		g := newTestGroup(t, 3)
		defer g.close()
		g.setInitialCatalog()
		g.updateFaults(func() { g.lagging = map[string]bool{"c2": true} })
		node := g.startNode("n", "c2")
		// Start right after a quorum proof, so that the next periodic one is far away.
		time.Sleep(testLease + batchDelay)
		version := g.putAdapter("c1", "next")
		time.Sleep(testLease / proofsPerLease / 4)
		if node.Version() >= version {
			t.Fatal("the member applied the version without a request")
		}
		ctx, cancel := context.WithTimeout(t.Context(), testLease/proofsPerLease/4)
		defer cancel()
		if !node.WaitForVersion(ctx, version) {
			t.Errorf("still at version %d", node.Version())
		}
	})
}

// TestLeaseOutlivesStream closes a node's stream while its lease is still valid. WaitInForce must take that lease into
// account.
func TestLeaseOutlivesStream(t *testing.T) {
	runSynctest(t, func(t *testing.T) {
		g := newTestGroup(t, 3)
		defer g.close()
		g.setInitialCatalog()
		ctx, cancel := context.WithCancel(t.Context())
		node, ended := g.startNodeUntil(ctx, "n", "Entry", "c2")
		time.Sleep(2*testLease + testLease/3)
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		version := g.putAdapter("c1", "next")
		waitResult := g.members["c1"].WaitInForce(t.Context(), version)
		if !waitResult.InForce || node.Leased() {
			t.Errorf("%+v while a lease on version %d runs: %v", waitResult, node.Version(), node.Leased())
		}
	})
}

// TestTwoStreamsOfOneNode sends different versions on a stalled stream of a node and on the stream that replaces
// it. Each stream must continue from the version it has sent itself.
func TestTwoStreamsOfOneNode(t *testing.T) {
	m := New()
	node := &wirepb.Watch{Node: "n", Process: "p"}
	old := &watcher{member: m, node: node, leaseHolder: m.registerLeaseHolder(node)}
	next := &watcher{member: m, node: node, leaseHolder: m.registerLeaseHolder(node)}
	change := func(base uint64, change catalog.Change) {
		t.Helper()
		result, err := m.ChangeCatalog(t.Context(), "kit", strconv.FormatUint(base, 10), base, change)
		if err != nil || result.GetErrorCode() != "" {
			t.Fatal(result, err)
		}
	}
	first := testCatalog()
	change(0, catalog.Change{Set: &first})
	sending := old.update()
	change(1, catalog.Change{Preset: "Peak"})
	next.recordSent(next.update())
	old.recordSent(sending)
	if diff := cmp.Diff([]uint64{1, 2}, []uint64{old.catalogVersion, next.catalogVersion}); diff != "" {
		t.Errorf("versions sent on the old and the new stream (-want +got):\n%s", diff)
	}
}
