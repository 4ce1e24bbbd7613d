package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"burdocksaddle/catalog"
	"burdocksaddle/view"
)

// nodeTracker tracks the running process of each node and checks an invariant: a node with a valid lease never
// serves an older version than it has served before, also across restarts, or than has been reported in force.
type nodeTracker struct {
	t             *testing.T
	seed          uint64
	mu            sync.Mutex
	clients       map[string]*view.Client
	highestServed map[string]uint64
	inForce       uint64
}

func (r *nodeTracker) checkServedVersions() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, client := range r.clients {
		if !client.Leased() {
			continue
		}
		version := client.Version()
		if version < r.highestServed[name] || version < r.inForce {
			r.t.Errorf("seed %d: %s serves version %d after %d, in force %d", r.seed, name, version, r.highestServed[name], r.inForce)
		}
		r.highestServed[name] = version
	}
}

// TestServedVersions restarts nodes at random on the real replicated log, with faults injected, and checks the
// versions they serve.
func TestServedVersions(t *testing.T) {
	seeds := uint64(20)
	switch {
	case testing.Short():
		seeds = 3
	case raceDetector: // the race detector makes each seed take about ten times as long
		seeds = 5
	}
	forced, changed := 0, 0
	for seed := range seeds {
		runSynctest(t, func(t *testing.T) {
			f, c := runServedVersions(t, seed)
			forced, changed = forced+f, changed+c
		})
	}
	t.Logf("%d seeds: %d changes accepted, %d waits ended in force", seeds, changed, forced)
	if forced == 0 {
		t.Error("no version was reported in force")
	}
}

func runServedVersions(t *testing.T, seed uint64) (forced, changed int) {
	g := newQuorumGroup(t, 3)
	defer g.close()
	g.setInitialCatalog()
	r := &nodeTracker{t: t, seed: seed, clients: map[string]*view.Client{}, highestServed: map[string]uint64{}}
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	tasks.Go(func() { injectQuorumFaults(ctx, g, rand.New(rand.NewPCG(seed, 1))) })
	for i := range 4 {
		tasks.Go(func() { r.runProcesses(ctx, g, "n"+strconv.Itoa(i), rand.New(rand.NewPCG(seed, uint64(10+i)))) })
	}
	tasks.Go(func() {
		for ctx.Err() == nil {
			r.checkServedVersions()
			time.Sleep(10 * time.Millisecond)
		}
	})
	random := rand.New(rand.NewPCG(seed, 2))
	for i := range 12 {
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		m := g.members[g.names[random.IntN(3)]]
		put := catalog.Items{Adapters: []catalog.Adapter{{Name: fmt.Sprint("a", i), Model: "m0"}}}
		result, err := m.ChangeCatalog(ctx, "kit", strconv.Itoa(i), m.Catalog().Version, catalog.Change{Put: put})
		if err != nil || result.GetErrorCode() != "" {
			continue
		}
		changed++
		waiting, stop := context.WithTimeout(ctx, 20*time.Second)
		waitResult := g.members[g.names[random.IntN(3)]].WaitInForce(waiting, result.GetCatalogVersion())
		stop()
		if waitResult.InForce {
			forced++
			r.mu.Lock()
			r.inForce = result.GetCatalogVersion()
			r.mu.Unlock()
			r.checkServedVersions()
		}
	}
	cancel()
	tasks.Wait()
	return forced, changed
}

// runProcesses runs one node and replaces its process after random intervals.
func (r *nodeTracker) runProcesses(ctx context.Context, g *testGroup, name string, random *rand.Rand) {
	for ctx.Err() == nil {
		processCtx, stop := context.WithTimeout(ctx, time.Duration(100+random.IntN(9000))*time.Millisecond)
		controls := append([]string{}, g.names...)
		random.Shuffle(len(controls), func(a, b int) { controls[a], controls[b] = controls[b], controls[a] })
		client, ended := g.startNodeUntil(processCtx, name, "Entry", controls...)
		r.mu.Lock()
		r.clients[name] = client
		r.mu.Unlock()
		if err := <-ended; err != nil {
			r.t.Error(err)
		}
		r.mu.Lock()
		delete(r.clients, name)
		r.mu.Unlock()
		stop()
	}
}
