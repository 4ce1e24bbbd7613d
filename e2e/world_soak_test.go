package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	controlpkg "burdocksaddle/control"
	"burdocksaddle/engineapi"
	"burdocksaddle/node"
	"burdocksaddle/operatorapi"
	"burdocksaddle/traffic"
)

const (
	// worldPause is what a caller waits between two requests.
	worldPause  = 300 * time.Millisecond
	seedsVar    = "SEEDS"
	firstVar    = "SEED"
	warmTime    = 6 * time.Second
	lastTime    = 5 * time.Second
	settleTime  = 10 * time.Second
	quietTime   = 5 * time.Second
	maxReplicas = 2
	// maxIdleEntries leaves room for renewals, such as those of adapter permits.
	maxIdleEntries = 50
	maxForce       = 13 * time.Second
)

// stage is what the system does when something breaks.
type stage struct {
	name string
	// warm tells that the load runs before the break.
	warm bool
	act  func(w *world)
}

var stages = []stage{
	{"cold start", false, func(*world) {}},
	{"booking", true, func(*world) {}},
	{"configuration change", true, func(w *world) {
		for n := range 6 {
			w.change(fmt.Sprintf("stage-%d", n), w.version(), preset(n))
			time.Sleep(500 * time.Millisecond)
		}
	}},
	{"drain", true, func(w *world) {
		name, from := entry(1), time.Now()
		if w.nodes[name] == nil {
			return // another break has ended it
		}
		_ = w.stop(name)
		w.judge.Stops = append(w.judge.Stops, traffic.Outage{Entry: 1, Begin: from, End: from.Add(balancerTime)})
		w.start(name)
	}},
}

// TestSoak breaks the whole system in ways that each seed draws: one break, the same twice, or two.
func TestSoak(t *testing.T) {
	if os.Getenv(seedsVar) == "" {
		t.Skipf("runs with %s, as make system and make soak set it; the race detector makes it too slow", seedsVar)
	}
	seeds, first := number(seedsVar, 1), number(firstVar, 1)
	for seed := first; seed < first+seeds; seed++ {
		soak(t, seed)
	}
}

// failedSeeds are seeds that failed once, with their causes.
var failedSeeds = map[int]string{
	9112: "a drain and a death brought the same entry back, and the world started it twice",
	9229: "two breakages brought the same control members back, and the world started them twice",
}

// TestSoakFailedSeeds runs every seed again that ever failed.
func TestSoakFailedSeeds(t *testing.T) {
	if os.Getenv(seedsVar) == "" {
		t.Skipf("runs with %s, as make system and make soak set it", seedsVar)
	}
	for seed, cause := range failedSeeds {
		t.Log(seed, cause)
		soak(t, seed)
	}
}

// soak draws what breaks, and when, from a seed.
func soak(t *testing.T, seed int) {
	t.Run(strconv.Itoa(seed), func(t *testing.T) {
		r := rand.New(rand.NewPCG(uint64(seed), 0))
		at := stages[r.IntN(len(stages))]
		broken := []breakage{breakages[r.IntN(len(breakages))], breakages[r.IntN(len(breakages))]}
		broken = broken[:1+r.IntN(2)]
		runWorld(t, r, at, broken)
	})
}

// TestEachBreak breaks each thing alone at each stage.
func TestEachBreak(t *testing.T) {
	if os.Getenv(seedsVar) == "" {
		t.Skipf("runs with %s, as make soak sets it", seedsVar)
	}
	for i, one := range breakages {
		for j, at := range stages {
			t.Run(strings.ReplaceAll(at.name+"/"+one.name, " ", "_"), func(t *testing.T) {
				runWorld(t, rand.New(rand.NewPCG(uint64(i), uint64(j))), at, []breakage{one})
			})
		}
	}
}

func number(variable string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(variable)); err == nil {
		return n
	}
	return otherwise
}

// runWorld breaks things at a stage under load and checks every promise once all is whole again.
func runWorld(t *testing.T, r *rand.Rand, at stage, broken []breakage) {
	t.Helper()
	names := make([]string, 0, len(broken))
	for _, one := range broken {
		names = append(names, one.name)
	}
	t.Logf("stage %q, broken: %q", at.name, names)
	folder, err := os.MkdirTemp("", "burdocksaddle-world-")
	if err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(folder, "log"))
	if err != nil {
		t.Fatal(err)
	}
	// yamux keeps timers in a pool; those of an earlier bubble must not be taken in this one.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(ctx, t, folder, log)
		w.endure(r, at, broken)
		w.check()
		w.close()
		cancel()
		time.Sleep(time.Minute) // connections and timers end
	})
	_ = log.Close()
	checkLog(t, log.Name())
	if t.Failed() {
		t.Logf("logs: %s", folder)
		return
	}
	_ = os.RemoveAll(folder)
}

// checkLog fails for each invariant that a node itself saw broken.
func checkLog(t *testing.T, file string) {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, "invariant") {
			t.Error(strings.TrimSpace(line))
		}
	}
}

// endure runs the load through the stage and the breaks until all has settled.
func (w *world) endure(r *rand.Rand, at stage, broken []breakage) {
	w.awaitLeader()
	time.Sleep(2 * time.Second)
	callers := []string{w.caller(0), w.caller(1)}
	w.load = traffic.Start(w.ctx, target(callers, worldPause, func() *http.Transport { return w.transport(callerHost) }))
	if at.warm {
		time.Sleep(warmTime)
	}
	acted := make(chan struct{})
	go func() { at.act(w); close(acted) }()
	var ends []func()
	for _, one := range broken {
		time.Sleep(time.Duration(r.IntN(1_000)) * time.Millisecond)
		ends = append(ends, one.begin(w, r))
	}
	time.Sleep(lastTime)
	for _, end := range ends {
		end()
	}
	<-acted
	time.Sleep(settleTime)
	from := time.Now()
	time.Sleep(settleTime)
	w.judge.Attempts = w.load.End()
	w.checkHealed(from)
	time.Sleep(quietTime)
}

// checkHealed fails when requests are still refused long after the last repair.
func (w *world) checkHealed(from time.Time) {
	refused := map[string]int{}
	for _, a := range w.load.Since(from) {
		if a.Status != http.StatusOK || a.Cut {
			refused[fmt.Sprintf("%s through %s: %d %s %s", a.Kind, entry(a.Entry), a.Status, a.Problem.Code, a.Detail)]++
		}
	}
	for what, n := range refused {
		w.t.Errorf("not healed %v after the last repair: %d times %s", settleTime, n, what)
	}
}

// check compares what the stand-ins counted and the nodes hold with what must always hold.
func (w *world) check() {
	w.judge.Runs = map[string]int{}
	for _, desk := range w.desks {
		for key, n := range desk.Runs() {
			w.judge.Runs[key] += n
		}
	}
	for _, engine := range w.engines {
		w.judge.Engines = append(w.judge.Engines, engine.Counts())
	}
	verdict(w.t, w.judge)
	w.t.Logf("%d requests: %s", len(w.judge.Attempts), traffic.Summary(w.judge.Attempts))
	leader := w.awaitLeader()
	w.checkIdle(leader)
	w.checkForce(leader)
	w.checkReplicas(leader)
	w.checkHistory(leader)
}

// checkIdle fails when the log grows fast while nothing is asked.
func (w *world) checkIdle(leader string) {
	indexes := [2]uint64{}
	for i := range indexes {
		var state node.Dump
		if _, err := w.ask(http.MethodGet, w.operatorOf(leader)+operatorapi.PathState, nil, nil, &state, time.Second); err != nil || state.Control == nil {
			w.t.Errorf("dump of %s: %v", leader, err)
			return
		}
		indexes[i] = state.Control.Index
		time.Sleep(quietTime)
	}
	if grown := indexes[1] - indexes[0]; grown > maxIdleEntries {
		w.t.Errorf("the log grew by %d entries in %v while nothing was asked", grown, quietTime)
	}
}

// checkForce makes one more change and waits until it is in force everywhere.
func (w *world) checkForce(leader string) {
	begin := time.Now()
	status, version := w.change("last", w.version(), preset(1))
	if status != http.StatusOK {
		w.t.Errorf("the last change was answered with %d", status)
		return
	}
	var force operatorapi.InForce
	url := fmt.Sprintf("%s%s?version=%d&timeout_ms=%d", w.operatorOf(leader), operatorapi.PathWait, version, maxForce.Milliseconds())
	if _, err := w.ask(http.MethodGet, url, nil, nil, &force, maxForce+time.Second); err != nil || !force.InForce {
		w.t.Errorf("version %d is not in force after %v: %+v %v", version, time.Since(begin), force, err)
	}
	for _, name := range w.names() {
		var state node.Dump
		if _, err := w.ask(http.MethodGet, w.operatorOf(name)+operatorapi.PathState, nil, nil, &state, time.Second); err != nil {
			w.t.Errorf("dump of %s: %v", name, err)
		} else if state.Entry != nil && state.Entry.CatalogVersion != version {
			w.t.Errorf("%s has version %d, in force is %d", name, state.Entry.CatalogVersion, version)
		}
	}
}

// checkReplicas compares what engines hold with what was decided.
func (w *world) checkReplicas(leader string) {
	var state node.Dump
	if _, err := w.ask(http.MethodGet, w.operatorOf(leader)+operatorapi.PathState, nil, nil, &state, time.Second); err != nil || state.Control == nil {
		w.t.Errorf("dump of %s: %v", leader, err)
		return
	}
	held := map[string]int{}
	for i, engine := range w.engines {
		for _, one := range engine.State().Held {
			if one.State != engineapi.HeldLoading {
				held[one.Model]++
			}
			if !slices.ContainsFunc(state.Control.Replicas, func(r controlpkg.ReplicaDump) bool { return r.Model == one.Model && r.Endpoint == engineAgent(i) }) {
				w.t.Errorf("%s holds %s, which was not decided", engineName(i), one.Model)
			}
		}
	}
	for model, n := range held {
		if n > maxReplicas {
			w.t.Errorf("%d replicas of %s are held, at most %d may be", n, model, maxReplicas)
		}
	}
}

// checkHistory looks for every accepted change under its version.
func (w *world) checkHistory(leader string) {
	var history []struct {
		Version     uint64
		OperationID string
	}
	if _, err := w.ask(http.MethodGet, w.operatorOf(leader)+operatorapi.PathHistory, nil, nil, &history, time.Second); err != nil {
		w.t.Errorf("history: %v", err)
		return
	}
	versions := map[string]uint64{}
	oldest := uint64(0)
	for _, change := range history {
		versions[change.OperationID] = change.Version
		if oldest == 0 || change.Version < oldest {
			oldest = change.Version
		}
	}
	for operation, version := range w.accepted {
		if version >= oldest && versions[operation] != version {
			w.t.Errorf("change %s was accepted as version %d, the history has %d", operation, version, versions[operation])
		}
	}
}
