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

// TestInForce changes the catalog with members isolated or not, and wants the wait to end in time and
// to be true: no node that holds a lease has an older version then.
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
			bubble(t, func(t *testing.T) {
				g := newGroup(t, 3)
				defer g.close()
				g.first()
				var nodes []*view.Client
				for i := range 9 {
					nodes = append(nodes, g.node("n"+strconv.Itoa(i), "c1", "c2", "c3"))
				}
				time.Sleep(3 * testLease)
				if test.isolate != "" {
					g.network.Isolate(test.isolate, true)
				}
				if test.lead != "" {
					g.lead(test.lead)
				}
				version := g.change(test.through, "next")
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				force := g.members[test.through].Wait(ctx, version)
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

// TestNoLeaseWithoutProof isolates members with the nodes that hang on them.
func TestNoLeaseWithoutProof(t *testing.T) {
	bubble(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		g.first()
		alone := g.node("alone", "c3")
		free := g.node("free", "c3", "c1")
		time.Sleep(testLease)
		if !alone.Leased() || !free.Leased() {
			t.Fatal("nodes have no lease on a healthy group")
		}
		// No member reaches a leader any more, while the nodes still reach the members.
		g.lead("nobody")
		g.network.Isolate("nobody", true)
		time.Sleep(testLease)
		if alone.Leased() || free.Leased() {
			t.Error("a lease outlived the quorum")
		}
		g.lead("c1")
		time.Sleep(2 * testLease)
		if !alone.Leased() || !free.Leased() {
			t.Error("no lease after the quorum came back")
		}
	})
}

// TestRestartedNodeNeverOlder restarts a node on a member that lags, and wants no lease on an older
// version than its predecessor served.
func TestRestartedNodeNeverOlder(t *testing.T) {
	bubble(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		g.first()
		ctx, cancel := context.WithCancel(t.Context())
		before, ended := g.nodeUntil(ctx, "n", "Entry", "c1")
		time.Sleep(testLease)
		// c3 has just proven the quorum and now hears nothing more.
		g.network.Isolate("c3", true)
		version := g.change("c1", "next")
		if !before.Await(t.Context(), version) || !before.Leased() {
			t.Fatal("the first process is not at the new version")
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		g.network.Isolate("c3", false)
		g.lead("c2")
		g.network.Isolate("c2", true)
		after, again := g.nodeUntil(g.ctx, "n", "Entry", "c3")
		for range 40 {
			time.Sleep(testLease / 20)
			if after.Leased() && after.Version() < version {
				t.Fatalf("restarted node holds a lease on version %d after %d", after.Version(), version)
			}
		}
		g.network.Isolate("c2", false)
		time.Sleep(testLease)
		if !after.Leased() || after.Version() != version {
			t.Errorf("leased %v at version %d", after.Leased(), after.Version())
		}
		g.ends = append(g.ends, again)
	})
}

// TestVersionsNeverGoBack lets nodes reconnect among lagging members while versions come.
func TestVersionsNeverGoBack(t *testing.T) {
	bubble(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		g.first()
		node := g.node("n", "c1", "c2", "c3")
		highest := uint64(0)
		for i := range 40 {
			g.network.Isolate("c"+strconv.Itoa(2+i%2), i%4 < 2)
			g.change("c1", strconv.Itoa(i))
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

// TestBehindCatchesUp tells a node of a version that its own member has not applied yet.
func TestBehindCatchesUp(t *testing.T) {
	bubble(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		g.first()
		g.with(func() { g.lagging = map[string]bool{"c2": true} })
		node := g.node("n", "c2")
		// Just after one of the member's proofs, so that the next one is far.
		time.Sleep(testLease + gather)
		version := g.change("c1", "next")
		time.Sleep(testLease / proofsPerLease / 4)
		if node.Version() >= version {
			t.Fatal("the member applied the version by itself")
		}
		ctx, cancel := context.WithTimeout(t.Context(), testLease/proofsPerLease/4)
		defer cancel()
		if !node.Await(ctx, version) {
			t.Errorf("still at version %d", node.Version())
		}
	})
}

// TestLeaseOutlivesStream ends a node's stream while its lease still runs, and wants the wait to count it.
func TestLeaseOutlivesStream(t *testing.T) {
	bubble(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		g.first()
		ctx, cancel := context.WithCancel(t.Context())
		node, ended := g.nodeUntil(ctx, "n", "Entry", "c2")
		time.Sleep(2*testLease + testLease/3)
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		version := g.change("c1", "next")
		force := g.members["c1"].Wait(t.Context(), version)
		if !force.InForce || node.Leased() {
			t.Errorf("%+v while a lease on version %d runs: %v", force, node.Version(), node.Leased())
		}
	})
}

// TestTwoStreamsOfOneNode has a stalled stream and its successor sent different versions; each must go on from its own.
func TestTwoStreamsOfOneNode(t *testing.T) {
	m := New()
	node := &wirepb.Watch{Node: "n", Process: "p"}
	old := &watcher{member: m, node: node, holder: m.hold(node)}
	next := &watcher{member: m, node: node, holder: m.hold(node)}
	change := func(base uint64, change catalog.Change) {
		t.Helper()
		result, err := m.Change(t.Context(), "kit", strconv.FormatUint(base, 10), base, change)
		if err != nil || result.GetErrorCode() != "" {
			t.Fatal(result, err)
		}
	}
	first := testCatalog()
	change(0, catalog.Change{Set: &first})
	sending := old.update()
	change(1, catalog.Change{Preset: "Peak"})
	next.sent(next.update())
	old.sent(sending)
	if diff := cmp.Diff([]uint64{1, 2}, []uint64{old.catalog, next.catalog}); diff != "" {
		t.Errorf("versions sent on the old and the new stream (-want +got):\n%s", diff)
	}
}
