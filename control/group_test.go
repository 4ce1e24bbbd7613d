package control

import (
	"context"
	"net"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdocksaddle/catalog"
	"burdocksaddle/memnet"
	"burdocksaddle/quorum"
	"burdocksaddle/view"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

// runSynctest runs a test in a synctest bubble with its own clock. The session library pools its timers, and a
// timer from another bubble must not be reused; two garbage collections empty the pool.
func runSynctest(t *testing.T, test func(*testing.T)) {
	runtime.GC()
	runtime.GC()
	if raceDetector {
		// All timers of a bubble share one race detector context, which the Go 1.26 runtime may use on two
		// processors at once (runtime/time.go, unlockAndRun), so that the process crashes.
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, test)
}

const testLease = 4 * time.Second

// testGroup is a group of members on a stand-in for the replicated log: a list of entries that the leader appends
// to while it reaches a majority and that each member applies while it is reachable.
type testGroup struct {
	t        testing.TB
	ctx      context.Context
	network  *memnet.Network
	endChans []<-chan error
	stop     context.CancelFunc
	pools    []*wire.Pool

	mu           sync.Mutex
	names        []string
	members      map[string]*Member
	appliedCount map[string]int
	knownLeader  map[string]string
	entries      [][]byte
	leader       string
	// dropReplies makes the leader commit proposals without replying.
	dropReplies bool
	// lagging members apply entries only during a quorum proof.
	lagging map[string]bool
	// logs holds the members' real logs if the group doesn't use the stand-in.
	logs map[string]*quorum.Log
}

func newTestGroup(t testing.TB, size int) *testGroup {
	g := newEmptyGroup(t, size)
	g.leader = g.names[0]
	for _, name := range g.names {
		g.members[name] = New(WithName(name), WithLease(testLease), WithPool(g.pool(name)), WithReplicatedLog(g.standInLog(name)))
	}
	for _, name := range g.names {
		g.endChans = append(g.endChans, wire.Serve(g.ctx, g.listen(name), g.members[name].Handlers()), g.members[name].Run(g.ctx))
	}
	return g
}

// newQuorumGroup starts members on the real replicated log with in-memory storage and waits for a leader.
func newQuorumGroup(t testing.TB, size int) *testGroup {
	g := newEmptyGroup(t, size)
	var peers []quorum.Peer
	for _, name := range g.names {
		peers = append(peers, quorum.Peer{Name: name, Address: name})
	}
	for i, name := range g.names {
		pool := g.pool(name)
		m := New(WithName(name), WithLease(testLease), WithPool(pool))
		log, err := quorum.Open(quorum.Config{Name: name, Address: name, Bootstrap: peers}, quorum.WithApply(m.Apply),
			quorum.WithSnapshot(m.Snapshot), quorum.WithRestore(m.Restore), quorum.WithPool(pool), quorum.WithSeed(uint64(i+1)))
		if err != nil {
			t.Fatal(err)
		}
		m.SetReplicatedLog(NewLog(log))
		g.members[name], g.logs[name] = m, log
		handlers := m.Handlers()
		handlers.Peer = log.Handle
		g.endChans = append(g.endChans, wire.Serve(g.ctx, g.listen(name), handlers), log.Run(g.ctx), m.Run(g.ctx))
	}
	g.awaitLeader()
	return g
}

// awaitLeader waits until a member that is not isolated leads and records it as the group's leader.
func (g *testGroup) awaitLeader() {
	g.t.Helper()
	for range 600 {
		for _, name := range g.names {
			if _, self := g.logs[name].Leader(); self && !g.network.Dropped(name, name) {
				g.setLeader(name)
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	g.t.Fatal("no leader in time")
}

func newEmptyGroup(t testing.TB, size int) *testGroup {
	ctx, stop := context.WithCancel(t.Context())
	g := &testGroup{
		t: t, ctx: ctx, stop: stop, network: memnet.New(),
		members: map[string]*Member{}, appliedCount: map[string]int{}, knownLeader: map[string]string{}, logs: map[string]*quorum.Log{},
	}
	for i := range size {
		g.names = append(g.names, "c"+strconv.Itoa(i+1))
	}
	return g
}

func (g *testGroup) pool(name string) *wire.Pool {
	pool := wire.NewPool(wire.WithDial(g.network.DialFrom(name)))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pools = append(g.pools, pool)
	return pool
}

func (g *testGroup) close() {
	g.stop()
	for _, pool := range g.pools {
		pool.Close()
	}
	for _, end := range g.endChans {
		if err := <-end; err != nil {
			g.t.Error(err)
		}
	}
}

// setLeader changes the leader; isolated members don't learn of the change.
func (g *testGroup) setLeader(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = name
}

func (g *testGroup) currentLeader() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader
}

// updateFaults changes the injected faults while the members run.
func (g *testGroup) updateFaults(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
}

func (g *testGroup) standInLog(name string) Log {
	return Log{
		Propose: func(ctx context.Context, command []byte) (any, error) { return g.propose(ctx, name, command) },
		Barrier: func(ctx context.Context) (uint64, error) { return g.barrier(ctx, name) },
		Leader: func() (string, bool) {
			g.mu.Lock()
			defer g.mu.Unlock()
			if !g.network.Dropped(name, name) {
				g.knownLeader[name] = g.leader
			}
			return g.knownLeader[name], g.knownLeader[name] == name
		},
		Members: func() []MemberInfo {
			var all []MemberInfo
			for _, memberName := range g.names {
				all = append(all, MemberInfo{Name: memberName, Address: memberName, Voter: true})
			}
			return all
		},
	}
}

func (g *testGroup) propose(ctx context.Context, name string, command []byte) (any, error) {
	g.mu.Lock()
	if leader := g.leader; leader != name {
		g.mu.Unlock()
		return nil, quorum.ErrNotLeader{LeaderAddress: leader}
	}
	if g.network.Dropped(name, name) {
		g.mu.Unlock()
		<-ctx.Done()
		return nil, quorum.ErrOutcomeUnknown{Reason: "isolated"}
	}
	g.entries = append(g.entries, command)
	dropReply := g.dropReplies
	var result any
	for _, memberName := range g.names {
		if !g.network.Dropped(memberName, memberName) && !g.lagging[memberName] {
			if got := g.applyMissing(memberName); memberName == name {
				result = got
			}
		}
	}
	g.mu.Unlock()
	if dropReply {
		<-ctx.Done()
		return nil, quorum.ErrOutcomeUnknown{Reason: "reply lost"}
	}
	return result, nil
}

func (g *testGroup) applyMissing(name string) (last any) {
	for ; g.appliedCount[name] < len(g.entries); g.appliedCount[name]++ {
		last = g.members[name].Apply(uint64(g.appliedCount[name]+1), g.entries[g.appliedCount[name]])
	}
	return last
}

func (g *testGroup) barrier(ctx context.Context, name string) (uint64, error) {
	g.mu.Lock()
	if !g.network.Dropped(name, g.leader) {
		defer g.mu.Unlock()
		g.applyMissing(name)
		return uint64(len(g.entries)), nil
	}
	g.mu.Unlock()
	<-ctx.Done()
	return 0, quorum.ErrNoQuorum{Reason: "isolated"}
}

// startNode starts a node that watches the given members.
func (g *testGroup) startNode(name string, controls ...string) *view.Client {
	client, ended := g.startNodeUntil(g.ctx, name, "Entry", controls...)
	g.endChans = append(g.endChans, ended)
	return client
}

func (g *testGroup) startNodeUntil(ctx context.Context, name, role string, controls ...string) (*view.Client, <-chan error) {
	client := view.New(g.pool(name), controls, &wirepb.Watch{Node: name, Role: role})
	return client, client.Run(ctx)
}

func (g *testGroup) setInitialCatalog() {
	g.t.Helper()
	first := testCatalog()
	if result, err := g.members[g.currentLeader()].ChangeCatalog(g.ctx, "kit", "first", 0, catalog.Change{Set: &first}); err != nil || result.GetErrorCode() != "" {
		g.t.Fatal(result, err)
	}
}

// putAdapter adds an adapter through a member and returns the resulting catalog version.
func (g *testGroup) putAdapter(through, operation string) uint64 {
	g.t.Helper()
	base := g.members[through].Catalog().Version
	put := catalog.Items{Adapters: []catalog.Adapter{{Name: "a-" + operation, Model: "m0"}}}
	result, err := g.members[through].ChangeCatalog(g.ctx, "kit", operation, base, catalog.Change{Put: put})
	if err != nil || result.GetErrorCode() != "" {
		g.t.Fatal(result, err)
	}
	return result.GetCatalogVersion()
}

func (g *testGroup) listen(name string) net.Listener {
	listener, err := g.network.Listen(g.ctx, name)
	if err != nil {
		g.t.Fatal(err)
	}
	return listener
}
