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

// bubble runs a test on a clock of its own. The sessions' library pools its timers, which must not come
// from another bubble: two collections empty the pool.
func bubble(t *testing.T, test func(*testing.T)) {
	runtime.GC()
	runtime.GC()
	if raceDetector {
		// The timers of a bubble share one context of the race detector, which the runtime of Go 1.26 may
		// use on two processors at once (runtime/time.go, unlockAndRun); the process crashes then.
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, test)
}

const testLease = 4 * time.Second

// group is several members on one small stand-in for the replicated log: a list of entries that the
// leader extends while it reaches a majority, and that each member applies while it is reachable.
type group struct {
	t       testing.TB
	ctx     context.Context
	network *memnet.Network
	ends    []<-chan error
	stop    context.CancelFunc
	pools   []*wire.Pool

	mu      sync.Mutex
	names   []string
	members map[string]*Member
	applied map[string]int
	seen    map[string]string
	entries [][]byte
	leader  string
	// loseAnswers makes the leader commit without answering.
	loseAnswers bool
	// lagging members apply entries only when they prove the quorum.
	lagging map[string]bool
	// logs are the members' real logs, where the group has them in place of the stand-in.
	logs map[string]*quorum.Log
}

func newGroup(t testing.TB, size int) *group {
	g := emptyGroup(t, size)
	g.leader = g.names[0]
	for _, name := range g.names {
		g.members[name] = New(WithName(name), WithLease(testLease), WithPool(g.pool(name)), WithShared(g.log(name)))
	}
	for _, name := range g.names {
		g.ends = append(g.ends, wire.Serve(g.ctx, g.listen(name), g.members[name].Handlers()), g.members[name].Run(g.ctx))
	}
	return g
}

// newQuorum starts members on the real replicated log, in memory, and returns once one leads.
func newQuorum(t testing.TB, size int) *group {
	g := emptyGroup(t, size)
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
		m.Share(Over(log))
		g.members[name], g.logs[name] = m, log
		handlers := m.Handlers()
		handlers.Peer = log.Handle
		g.ends = append(g.ends, wire.Serve(g.ctx, g.listen(name), handlers), log.Run(g.ctx), m.Run(g.ctx))
	}
	g.awaitLeader()
	return g
}

// awaitLeader returns once a member that is not isolated leads, and makes it the group's leader.
func (g *group) awaitLeader() {
	g.t.Helper()
	for range 600 {
		for _, name := range g.names {
			if _, self := g.logs[name].Leader(); self && !g.network.Silent(name, name) {
				g.lead(name)
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	g.t.Fatal("no leader in time")
}

func emptyGroup(t testing.TB, size int) *group {
	ctx, stop := context.WithCancel(t.Context())
	g := &group{
		t: t, ctx: ctx, stop: stop, network: memnet.New(),
		members: map[string]*Member{}, applied: map[string]int{}, seen: map[string]string{}, logs: map[string]*quorum.Log{},
	}
	for i := range size {
		g.names = append(g.names, "c"+strconv.Itoa(i+1))
	}
	return g
}

func (g *group) pool(name string) *wire.Pool {
	pool := wire.NewPool(wire.WithDial(g.network.DialFrom(name)))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pools = append(g.pools, pool)
	return pool
}

func (g *group) close() {
	g.stop()
	for _, pool := range g.pools {
		pool.Close()
	}
	for _, end := range g.ends {
		if err := <-end; err != nil {
			g.t.Error(err)
		}
	}
}

// lead makes another member the leader; those that are isolated don't hear of it.
func (g *group) lead(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = name
}

// leading returns the leader.
func (g *group) leading() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader
}

// with changes the stand-in's faults while the members run.
func (g *group) with(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
}

func (g *group) log(name string) Log {
	return Log{
		Propose: func(ctx context.Context, command []byte) (any, error) { return g.propose(ctx, name, command) },
		Barrier: func(ctx context.Context) (uint64, error) { return g.barrier(ctx, name) },
		Leader: func() (string, bool) {
			g.mu.Lock()
			defer g.mu.Unlock()
			if !g.network.Silent(name, name) {
				g.seen[name] = g.leader
			}
			return g.seen[name], g.seen[name] == name
		},
		Members: func() []MemberInfo {
			var all []MemberInfo
			for _, one := range g.names {
				all = append(all, MemberInfo{Name: one, Address: one, Voter: true})
			}
			return all
		},
	}
}

func (g *group) propose(ctx context.Context, name string, command []byte) (any, error) {
	g.mu.Lock()
	if leader := g.leader; leader != name {
		g.mu.Unlock()
		return nil, quorum.ErrNotLeader{LeaderAddress: leader}
	}
	if g.network.Silent(name, name) {
		g.mu.Unlock()
		<-ctx.Done()
		return nil, quorum.ErrOutcomeUnknown{Reason: "isolated"}
	}
	g.entries = append(g.entries, command)
	lost := g.loseAnswers
	var result any
	for _, one := range g.names {
		if !g.network.Silent(one, one) && !g.lagging[one] {
			if got := g.catchUp(one); one == name {
				result = got
			}
		}
	}
	g.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, quorum.ErrOutcomeUnknown{Reason: "answer lost"}
	}
	return result, nil
}

func (g *group) catchUp(name string) (last any) {
	for ; g.applied[name] < len(g.entries); g.applied[name]++ {
		last = g.members[name].Apply(uint64(g.applied[name]+1), g.entries[g.applied[name]])
	}
	return last
}

func (g *group) barrier(ctx context.Context, name string) (uint64, error) {
	g.mu.Lock()
	if !g.network.Silent(name, g.leader) {
		defer g.mu.Unlock()
		g.catchUp(name)
		return uint64(len(g.entries)), nil
	}
	g.mu.Unlock()
	<-ctx.Done()
	return 0, quorum.ErrNoQuorum{Reason: "isolated"}
}

// node starts a node that watches the given members.
func (g *group) node(name string, controls ...string) *view.Client {
	client, ended := g.nodeUntil(g.ctx, name, "Entry", controls...)
	g.ends = append(g.ends, ended)
	return client
}

func (g *group) nodeUntil(ctx context.Context, name, role string, controls ...string) (*view.Client, <-chan error) {
	client := view.New(g.pool(name), controls, &wirepb.Watch{Node: name, Role: role})
	return client, client.Run(ctx)
}

func (g *group) first() {
	g.t.Helper()
	first := testCatalog()
	if result, err := g.members[g.leading()].Change(g.ctx, "kit", "first", 0, catalog.Change{Set: &first}); err != nil || result.GetErrorCode() != "" {
		g.t.Fatal(result, err)
	}
}

// change puts an adapter in through a member and returns the version that it made.
func (g *group) change(through, operation string) uint64 {
	g.t.Helper()
	base := g.members[through].Catalog().Version
	put := catalog.Items{Adapters: []catalog.Adapter{{Name: "a-" + operation, Model: "m0"}}}
	result, err := g.members[through].Change(g.ctx, "kit", operation, base, catalog.Change{Put: put})
	if err != nil || result.GetErrorCode() != "" {
		g.t.Fatal(result, err)
	}
	return result.GetCatalogVersion()
}

func (g *group) listen(name string) net.Listener {
	listener, err := g.network.Listen(g.ctx, name)
	if err != nil {
		g.t.Fatal(err)
	}
	return listener
}
