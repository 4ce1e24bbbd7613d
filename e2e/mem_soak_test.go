package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
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
	// memRequestInterval is the pause of a caller between two requests.
	memRequestInterval = 300 * time.Millisecond
	seedsEnv           = "SEEDS"
	firstSeedEnv       = "SEED"
	warmupTime         = 6 * time.Second
	faultHoldTime      = 5 * time.Second
	settleTime         = 10 * time.Second
	idleTime           = 5 * time.Second
	maxReplicas        = 2
	// maxIdleEntries allows for periodic renewals, such as those of adapter permits.
	maxIdleEntries = 50
	maxInForceTime = 13 * time.Second
)

// stage is what the cluster is doing when a fault is injected.
type stage struct {
	name string
	// underLoad makes the load run for warmupTime before the fault.
	underLoad bool
	run       func(c *memCluster)
}

var stages = []stage{
	{"cold start", false, func(*memCluster) {}},
	{"booking", true, func(*memCluster) {}},
	{"configuration change", true, func(c *memCluster) {
		for n := range 6 {
			c.applyChange(fmt.Sprintf("stage-%d", n), c.catalogVersion(), presetChange(n))
			time.Sleep(500 * time.Millisecond)
		}
	}},
	{"drain", true, func(c *memCluster) {
		name, from := entryName(1), time.Now()
		if c.nodes[name] == nil {
			return // a fault has already ended it
		}
		_ = c.stopNode(name)
		c.results.GracefulShutdowns = append(c.results.GracefulShutdowns, traffic.Outage{Entry: 1, Begin: from, End: from.Add(balancerDelay)})
		c.startNode(name)
	}},
}

// TestSoak injects faults drawn from each seed into a whole cluster: one fault, two different ones, or the same one twice.
func TestSoak(t *testing.T) {
	if os.Getenv(seedsEnv) == "" {
		t.Skipf("runs with %s, as make system and make soak set it; the race detector makes it too slow", seedsEnv)
	}
	seeds, first := envInt(seedsEnv, 1), envInt(firstSeedEnv, 1)
	for seed := first; seed < first+seeds; seed++ {
		runSoak(t, seed)
	}
}

// soakRegressionSeeds are seeds that failed before, with the cause of the failure.
var soakRegressionSeeds = map[int]string{
	9112: "a drain and a crash both restarted the same entry, and the test cluster started it twice",
	9229: "two faults both restarted the same control members, and the test cluster started them twice",
}

// TestSoakFailedSeeds runs all seeds that failed before.
func TestSoakFailedSeeds(t *testing.T) {
	if os.Getenv(seedsEnv) == "" {
		t.Skipf("runs with %s, as make system and make soak set it", seedsEnv)
	}
	for seed, cause := range soakRegressionSeeds {
		t.Log(seed, cause)
		runSoak(t, seed)
	}
}

// runSoak draws the stage, the faults and their timing from a seed and runs them.
func runSoak(t *testing.T, seed int) {
	t.Run(strconv.Itoa(seed), func(t *testing.T) {
		r := rand.New(rand.NewPCG(uint64(seed), 0))
		during := stages[r.IntN(len(stages))]
		faults := []memFault{memFaults[r.IntN(len(memFaults))], memFaults[r.IntN(len(memFaults))]}
		faults = faults[:1+r.IntN(2)]
		runMemCluster(t, r, during, faults)
	})
}

// TestEachBreak injects each fault alone in each stage.
func TestEachBreak(t *testing.T) {
	if os.Getenv(seedsEnv) == "" {
		t.Skipf("runs with %s, as make soak sets it", seedsEnv)
	}
	for i, fault := range memFaults {
		for j, during := range stages {
			t.Run(strings.ReplaceAll(during.name+"/"+fault.name, " ", "_"), func(t *testing.T) {
				runMemCluster(t, rand.New(rand.NewPCG(uint64(i), uint64(j))), during, []memFault{fault})
			})
		}
	}
}

func envInt(variable string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(variable)); err == nil {
		return n
	}
	return fallback
}

// runMemCluster injects faults during a stage under load and checks all invariants after the faults are repaired.
func runMemCluster(t *testing.T, r *rand.Rand, during stage, faults []memFault) {
	t.Helper()
	names := make([]string, 0, len(faults))
	for _, fault := range faults {
		names = append(names, fault.name)
	}
	t.Logf("stage %q, faults: %q", during.name, names)
	dir, err := os.MkdirTemp("", "burdocksaddle-mem-cluster-")
	if err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	dropPooledTimers()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newMemCluster(ctx, t, dir, log)
		c.runScenario(r, during, faults)
		c.checkInvariants()
		c.close()
		cancel()
		time.Sleep(time.Minute) // lets connections and timers expire
	})
	_ = log.Close()
	checkLog(t, log.Name())
	if t.Failed() {
		t.Logf("logs: %s", dir)
		return
	}
	_ = os.RemoveAll(dir)
}

// checkLog fails the test for each invariant violation that a node logged.
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

// runScenario runs the load during the stage and the faults, repairs them and waits until the cluster has settled.
func (c *memCluster) runScenario(r *rand.Rand, during stage, faults []memFault) {
	c.awaitLeader()
	time.Sleep(2 * time.Second)
	entryURLs := []string{c.callerURL(0), c.callerURL(1)}
	c.load = traffic.Start(c.ctx, newTarget(entryURLs, memRequestInterval, func() *http.Transport { return c.transport(callerHost) }))
	if during.underLoad {
		time.Sleep(warmupTime)
	}
	stageDone := make(chan struct{})
	go func() { during.run(c); close(stageDone) }()
	var repairs []func()
	for _, fault := range faults {
		time.Sleep(time.Duration(r.IntN(1_000)) * time.Millisecond)
		repairs = append(repairs, fault.inject(c, r))
	}
	time.Sleep(faultHoldTime)
	for _, repair := range repairs {
		repair()
	}
	<-stageDone
	time.Sleep(settleTime)
	from := time.Now()
	time.Sleep(settleTime)
	c.results.Attempts = c.load.Stop()
	c.checkRecovered(from)
	time.Sleep(idleTime)
}

// checkRecovered fails the test if requests still fail settleTime after the last repair.
func (c *memCluster) checkRecovered(from time.Time) {
	refused := map[string]int{}
	for _, a := range c.load.Since(from) {
		if a.Status != http.StatusOK || a.Incomplete {
			refused[fmt.Sprintf("%s through %s: %d %s %s", a.Kind, entryName(a.Entry), a.Status, a.Problem.Code, a.Detail)]++
		}
	}
	for what, n := range refused {
		c.t.Errorf("not recovered %v after the last repair: %d times %s", settleTime, n, what)
	}
}

// checkInvariants checks the counts of the stand-ins and the state of the nodes against the invariants.
func (c *memCluster) checkInvariants() {
	c.results.Runs = map[string]int{}
	for _, service := range c.plainServices {
		for key, n := range service.Runs() {
			c.results.Runs[key] += n
		}
	}
	for _, engine := range c.engines {
		c.results.Engines = append(c.results.Engines, engine.Counts())
	}
	reportViolations(c.t, c.results)
	c.t.Logf("%d requests: %s", len(c.results.Attempts), traffic.Summary(c.results.Attempts))
	leader := c.awaitLeader()
	c.checkIdleLogGrowth(leader)
	c.checkInForce(leader)
	c.checkReplicas(leader)
	c.checkHistory(leader)
}

// checkIdleLogGrowth fails the test if the log grows by more than maxIdleEntries without requests.
func (c *memCluster) checkIdleLogGrowth(leader string) {
	indexes := [2]uint64{}
	for i := range indexes {
		var state node.Dump
		if _, err := c.requestJSON(http.MethodGet, c.operatorURLOf(leader)+operatorapi.PathState, nil, nil, &state, time.Second); err != nil || state.Control == nil {
			c.t.Errorf("dump of %s: %v", leader, err)
			return
		}
		indexes[i] = state.Control.Index
		time.Sleep(idleTime)
	}
	if grown := indexes[1] - indexes[0]; grown > maxIdleEntries {
		c.t.Errorf("the log grew by %d entries in %v without requests", grown, idleTime)
	}
}

// checkInForce applies one more change and waits until it is in force on all nodes.
func (c *memCluster) checkInForce(leader string) {
	startedAt := time.Now()
	status, version := c.applyChange("last", c.catalogVersion(), presetChange(1))
	if status != http.StatusOK {
		c.t.Errorf("the last change was answered with status %d", status)
		return
	}
	var result operatorapi.InForce
	url := fmt.Sprintf("%s%s?version=%d&timeout_ms=%d", c.operatorURLOf(leader), operatorapi.PathWait, version, maxInForceTime.Milliseconds())
	if _, err := c.requestJSON(http.MethodGet, url, nil, nil, &result, maxInForceTime+time.Second); err != nil || !result.InForce {
		c.t.Errorf("version %d is not in force after %v: %+v %v", version, time.Since(startedAt), result, err)
	}
	for _, name := range c.nodeNames() {
		var state node.Dump
		if _, err := c.requestJSON(http.MethodGet, c.operatorURLOf(name)+operatorapi.PathState, nil, nil, &state, time.Second); err != nil {
			c.t.Errorf("dump of %s: %v", name, err)
		} else if state.Entry != nil && state.Entry.CatalogVersion != version {
			c.t.Errorf("%s has catalog version %d, but version %d is in force", name, state.Entry.CatalogVersion, version)
		}
	}
}

// checkReplicas compares the models that the engines hold with the decided replicas.
func (c *memCluster) checkReplicas(leader string) {
	var state node.Dump
	if _, err := c.requestJSON(http.MethodGet, c.operatorURLOf(leader)+operatorapi.PathState, nil, nil, &state, time.Second); err != nil || state.Control == nil {
		c.t.Errorf("dump of %s: %v", leader, err)
		return
	}
	held := map[string]int{}
	for i, engine := range c.engines {
		for _, model := range engine.State().Held {
			if model.State != engineapi.HeldLoading {
				held[model.Model]++
			}
			if !slices.ContainsFunc(state.Control.Replicas, func(r controlpkg.ReplicaDump) bool { return r.Model == model.Model && r.Endpoint == engineAgentName(i) }) {
				c.t.Errorf("%s holds %s without a replica decision", engineName(i), model.Model)
			}
		}
	}
	for model, n := range held {
		if n > maxReplicas {
			c.t.Errorf("%d replicas of %s are loaded, the limit is %d", n, model, maxReplicas)
		}
	}
}

// checkHistory checks that the history has every accepted change under its version.
func (c *memCluster) checkHistory(leader string) {
	var history []struct {
		Version     uint64
		OperationID string
	}
	if _, err := c.requestJSON(http.MethodGet, c.operatorURLOf(leader)+operatorapi.PathHistory, nil, nil, &history, time.Second); err != nil {
		c.t.Errorf("history: %v", err)
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
	for operation, version := range c.acceptedVersions {
		if version >= oldest && versions[operation] != version {
			c.t.Errorf("change %s was accepted as version %d, but the history has it as version %d", operation, version, versions[operation])
		}
	}
}
