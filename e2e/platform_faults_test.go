package e2e

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// injectionWindow is the time in which a run's faults begin, maxFaults the maximum number of faults.
	injectionWindow = 10 * time.Second
	maxFaults       = 9
	// postRecoveryTime is how long the load continues after the recovery time.
	postRecoveryTime = 3 * time.Second
	// maxStartTime is how long the cluster may take to serve its first requests.
	maxStartTime = 20 * time.Second
	// maxDowntime limits the downtime of a single process that is killed or terminated.
	maxDowntime = 2 * time.Second
)

// fault is a fault that begins at a given time after the start of the run.
type fault struct {
	at   time.Duration
	kind string
	vm   string
	// other is the VM at the other end of a link.
	other string
	// vms are the VMs of a fault that affects several ones.
	vms      []string
	duration time.Duration
	endpoint int
	// limit is the limit that an endpoint names, in requests a second.
	limit float64
	// room is how many bytes a full disk takes before it refuses writes.
	room int64
}

func (f fault) String() string {
	return fmt.Sprintf("%v %s %s %s %v", f.at.Round(time.Millisecond), f.kind, f.vm, f.other+strings.Join(f.vms, "+"), f.duration.Round(time.Millisecond))
}

// faultKinds are the kinds to draw from. Kinds that stop processes are listed several times, so that they come in series; all
// kinds may overlap.
var faultKinds = []string{
	"kill", "kill", "kill", "term", "term", "suspend", "suspend", "reload", "partition", "one-way partition", "stall connections",
	"delay", "reset connections", "wipe disk", "torn write",
	"kill all stewards", "kill all", "endpoint crash", "endpoint failure", "late order replies", "lost order replies",
}

// randomFaults draws the faults of a run.
func randomFaults(r *rand.Rand, shape clusterShape) []fault {
	var faults []fault
	vms := shape.vmNames()
	wiped := shape.tolerance > 1 // several disks are lost at once then, see lostDisks
	for range 3 + r.IntN(maxFaults-2) {
		f := fault{
			at: time.Duration(r.Int64N(int64(injectionWindow))), kind: pick(r, faultKinds), vm: pick(r, vms), other: pick(r, vms),
			duration: 200*time.Millisecond + time.Duration(r.Int64N(int64(4*time.Second))), endpoint: r.IntN(shape.endpoints()),
		}
		switch f.kind {
		case "wipe disk", "torn write":
			f.vm = "steward-" + strconv.Itoa(r.IntN(shape.stewards))
		case "kill", "term":
			f.duration = min(f.duration, maxDowntime)
		}
		faults = append(faults, f)
	}
	slices.SortFunc(faults, func(a, b fault) int { return int(a.at - b.at) })
	// The stewards tolerate the loss of one disk at a time, and how long they take to restore it depends on the other faults, so
	// only the first disk loss is kept.
	return slices.DeleteFunc(faults, func(f fault) bool {
		if f.kind != "wipe disk" {
			return false
		}
		second := wiped
		wiped = true
		return second
	})
}

// endpointFaults are the kinds of faults that affect an endpoint and no VM.
var endpointFaults = []string{"endpoint crash", "endpoint failure", "late order replies", "lost order replies", "endpoint pauses", "endpoint leaves", "endpoint limit", "deadly part", "deadly request"}

// lostDisks draws the loss of as many stewards' disks at the same time as the cluster tolerates, if that is more than one.
func lostDisks(r *rand.Rand, shape clusterShape) []fault {
	if shape.tolerance < 2 {
		return nil
	}
	var names []string
	for _, n := range r.Perm(shape.stewards)[:shape.tolerance] {
		names = append(names, stewardName(n))
	}
	at := injectionWindow/2 + time.Duration(r.Int64N(int64(injectionWindow/2)))
	return []fault{{at: at, kind: "wipe disks", vms: names, duration: maxDowntime / 2}}
}

func stewardName(n int) string { return "steward-" + strconv.Itoa(n) }

// affected returns the VMs whose process or connections a fault affects.
func (c *platformCluster) affected(f fault) []string {
	switch f.kind {
	case "wipe disks", "full disks", fullDisksInTurn:
		return f.vms
	case "kill all":
		return c.names
	case "kill all stewards", "full disk, then all stewards killed":
		return c.names[:c.shape.stewards]
	case "partition", "one-way partition", "delay":
		if f.kind == "delay" || f.vm == f.other {
			return c.names
		}
		return []string{f.vm, f.other}
	}
	if slices.Contains(endpointFaults, f.kind) || f.kind == "reload" || f.kind == "busy machine" {
		return nil
	}
	return []string{f.vm}
}

// ownFaults are the kinds of faults of a steward that excuse no gateway, as the other stewards have a quorum.
var ownFaults = []string{"full disk", "full disks", "full disk of the leader", fullDisksInTurn}

// restart kills processes at the same time and, after the downtime, starts them again one after the other. beforeStart, if
// set, is called for each VM before its process is started.
func (c *platformCluster) restart(names []string, downtime time.Duration, beforeStart func(*vm)) {
	for _, name := range names {
		c.signal(name, syscall.SIGKILL)
	}
	for _, name := range names {
		c.withVM(name, func(v *vm) {
			v.process.kill()
			sleepContext(c.ctx, downtime)
			if beforeStart != nil {
				beforeStart(v)
			}
			v.first = false
			c.writeSettings(v, c.seedAddresses())
			c.start(name)
		})
		downtime = 0
	}
}

// withVM calls act with the VM's lock held, so that overlapping faults replace its process one after the other.
func (c *platformCluster) withVM(name string, act func(*vm)) {
	v := c.vms[name]
	v.mu.Lock()
	defer v.mu.Unlock()
	act(v)
}

func (c *platformCluster) signal(name string, signal syscall.Signal) {
	c.withVM(name, func(v *vm) {
		v.killed = v.killed || signal == syscall.SIGKILL
		v.process.signal(signal)
	})
}

// terminate asks a process to stop, sends it more signals while it does, and starts it again after the downtime.
func (c *platformCluster) terminate(name string, downtime time.Duration, signals ...syscall.Signal) {
	c.withVM(name, func(v *vm) {
		v.process.resume()
		stop := period{from: time.Now()}
		v.process.signal(syscall.SIGTERM)
		for _, s := range signals {
			sleepContext(c.ctx, signalInterval)
			v.process.signal(s)
		}
		select {
		case err := <-v.process.exited:
			if err != nil && c.hasStarted(v) && !v.killed {
				c.t.Errorf("%s exited with an error after SIGTERM: %v", name, err)
			}
		case <-time.After(time.Until(stop.from.Add(c.shape.grace + time.Second))):
			c.t.Errorf("%s did not stop within the grace period", name)
			v.process.kill()
		}
		stop.until = time.Now()
		c.mu.Lock()
		c.stops[v.bindAddress] = append(c.stops[v.bindAddress], stop)
		c.mu.Unlock()
		sleepContext(c.ctx, downtime)
		v.first = false
		c.writeSettings(v, c.seedAddresses())
		c.start(name)
	})
}

// reload changes the settings of a process and tells it so once it has started: a signal before its main function runs ends any process.
func (c *platformCluster) reload(name string, seeds []string) {
	c.withVM(name, func(v *vm) {
		for end := time.Now().Add(maxDowntime); !c.hasStarted(v) && time.Now().Before(end) && sleepContext(c.ctx, pollInterval/4); {
		}
		c.writeSettings(v, seeds)
		if c.hasStarted(v) {
			v.process.signal(syscall.SIGHUP)
		}
	})
}

func (c *platformCluster) suspend(name string, duration time.Duration) {
	c.signal(name, syscall.SIGSTOP)
	sleepContext(c.ctx, duration)
	c.signal(name, syscall.SIGCONT)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumedAt[name] = append(c.resumedAt[name], time.Now())
}

// wipeDisk deletes a steward's data.
func (c *platformCluster) wipeDisk(v *vm) {
	if err := os.RemoveAll(v.dataDir); err != nil {
		c.t.Error(err)
	}
	if err := os.MkdirAll(v.dataDir, 0o700); err != nil {
		c.t.Error(err)
	}
}

// appendTornWrite appends a partial write to a steward's newest segment, as a power loss may leave of a write that was not synced.
func (c *platformCluster) appendTornWrite(v *vm) {
	newest, _ := newestSegment(v.dataDir)
	if newest == "" {
		return // nothing has been written yet
	}
	file, err := os.OpenFile(newest, os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Error(err)
		return
	}
	_, err = file.Write([]byte{0, 0, 0, 77, 1, 2, 3})
	if closeErr := file.Close(); err != nil || closeErr != nil {
		c.t.Error(err, closeErr)
	}
}

// runFaults runs a cluster under load, injects the faults and returns the violations found, by check name, and how many full disks
// refused writes.
func runFaults(t *testing.T, shape clusterShape, binary string, seed uint64, faults []fault, env ...string) (broken map[string][]string, refusingDisks int) {
	t.Helper()
	c := newPlatformCluster(t, shape, binary, env...)
	load := startPlatformLoad(c, seed)
	loadStart := time.Now()
	for load.servedSince(loadStart) < 20 {
		if !sleepContext(c.ctx, 50*time.Millisecond) || time.Since(loadStart) > maxStartTime {
			break
		}
	}
	injectionStart := time.Now()
	done := make(chan fault)
	for _, f := range faults {
		go func() {
			defer func() { done <- f }() // also if the fault ends the test
			sleepContext(c.ctx, time.Until(injectionStart.Add(f.at)))
			c.inject(f)
		}()
	}
	for range faults {
		<-done
	}
	recoveredBy := time.Now().Add(platformRecoveryTime)
	sleepContext(c.ctx, platformRecoveryTime+postRecoveryTime)
	load.stop()
	load.readFinalConfigs()
	load.sendFinalConfig()
	for _, name := range c.names {
		select {
		case err := <-c.vms[name].process.exited:
			t.Errorf("%s exited unexpectedly: %v", name, err)
		default:
		}
		if bytes.Contains(c.log(name), []byte("DATA RACE")) {
			t.Errorf("%s has a data race", name)
		}
		if bytes.Contains(c.log(name), []byte(keyMark)) {
			t.Errorf("%s logged an API key", name)
		}
	}
	o := load.observations(recoveredBy)
	broken, judged := o.runChecks()
	if c.disks.filled > 0 && c.disks.refusing == 0 {
		t.Error("no full disk refused a write")
	}
	t.Logf("seed %d: %d requests, %d served, %d configurations sent, %d configuration reads, %d of %d full disks refused writes; judged: %v", seed, len(o.outcomes), load.servedSince(loadStart), len(o.changes), len(o.configReads), c.disks.refusing, c.disks.filled, judged)
	t.Logf("seed %d: answers: %v", seed, o.answers())
	return broken, c.disks.refusing
}

// platformRegressionSeeds are seeds that failed before, with the cause of the failure; every run on their shape includes them, those
// without a shape every run.
var platformRegressionSeeds = []struct {
	seed  uint64
	shape string
	cause string
}{
	{10, "", "a steward crashed on a map that its leader loop read while a holder's report modified it"},
	{800, shapeSmall, "copies of a large table filled the gateways' links"},
	{801, shapeSmall, "copies of a large table filled the gateways' links"},
	{909, shapeSmall, "a reload signal ended a gateway that was starting"},
	{1302, shapeSmall, "a pause asked for at a reused address was kept under the former endpoint"},
	{903, shapeLarge, "leaders changed three times after the recovery, see KNOWN-RED.txt"},
}

// TestPlatformFaults runs faults drawn from seeds: SEEDS seeds from FIRST on and the regression seeds.
func TestPlatformFaults(t *testing.T) {
	first, _ := strconv.ParseUint(os.Getenv("FIRST"), 10, 64)
	seeds, _ := strconv.ParseUint(os.Getenv("SEEDS"), 10, 64)
	if os.Getenv(faultsEnv) == "" || seeds == 0 {
		t.Skipf("real processes run only with %s=1, SEEDS and FIRST, as make faults sets them", faultsEnv)
	}
	var arguments []string
	if os.Getenv(raceEnv) != "" {
		arguments = []string{"-race"}
	}
	binary := buildBinary(t, arguments...)
	shape, shapeName, selected := smallShape, shapeSmall, make([]uint64, 0, seeds)
	if os.Getenv(shapeEnv) == shapeLarge {
		shape, shapeName = largeShape, shapeLarge
	}
	for _, regression := range platformRegressionSeeds {
		if regression.shape == "" || regression.shape == shapeName {
			selected = append(selected, regression.seed)
		}
	}
	for seed := first; seed < first+seeds; seed++ {
		selected = append(selected, seed)
	}
	if shapeName == shapeLarge {
		t.Run("quorum lost after three of five disks were full in turn", func(t *testing.T) {
			t.Parallel()
			names := []string{stewardName(0), stewardName(1), stewardName(2)}
			broken, refusingDisks := runFaults(t, shape, binary, 1, []fault{{at: time.Second, kind: fullDisksInTurn, vms: names, duration: 2 * time.Second}})
			if reportBroken(t, broken); refusingDisks != len(names) {
				t.Errorf("%d of %d full disks refused writes", refusingDisks, len(names))
			}
		})
	}
	if shapeName == shapeSmall {
		for name, faults := range map[string][]fault{"requests lost at planned stops in calm": stopsInTurn(), "requests lost at planned stops beside load": stopsBesideLoad()} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				broken, _ := runFaults(t, stopsShape, binary, 1, faults)
				reportBroken(t, broken)
			})
		}
	}
	for _, seed := range selected {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			faults := slices.Concat(randomFaults(rand.New(rand.NewPCG(seed, 1)), shape), randomNotices(rand.New(rand.NewPCG(seed, 2)), shape),
				lostDisks(rand.New(rand.NewPCG(seed, 3)), shape), randomTroubles(rand.New(rand.NewPCG(seed, 4)), shape), randomDisks(rand.New(rand.NewPCG(seed, 5)), shape), randomStops(rand.New(rand.NewPCG(seed, 6)), shape))
			broken, _ := runFaults(t, shape, binary, seed, faults)
			reportBroken(t, broken)
			if t.Failed() {
				t.Logf("to reproduce: make faults SEEDS=1 FIRST=%d; faults: %v", seed, faults)
			}
		})
	}
}

func reportBroken(t *testing.T, broken map[string][]string) {
	t.Helper()
	for name, violations := range broken {
		t.Errorf("%s: %d violations, the first ones: %s", name, len(violations), strings.Join(violations[:min(3, len(violations))], "; "))
	}
}

// Environment variables: faultsEnv enables the tests that run real processes, raceEnv builds the binary with the race detector.
// A race then halts the process. shapeEnv selects a shape.
const (
	shapeEnv   = "SHAPE"
	shapeSmall = "small"
	shapeLarge = "large"
	faultsEnv  = "BURDOCKSADDLE_FAULTS"
	raceEnv    = "RACE"
)

// vmNames returns the names of the VMs that faults are drawn for.
func (s clusterShape) vmNames() []string {
	var names []string
	for n := range s.stewards {
		names = append(names, stewardName(n))
	}
	for n := range s.gateways {
		names = append(names, "gateway-"+strconv.Itoa(n))
	}
	return names
}

// buildBinary builds the binary with additional arguments to go build and returns its path.
func buildBinary(t *testing.T, arguments ...string) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "burdocksaddle")
	command := exec.CommandContext(t.Context(), "go", append(append([]string{"build"}, arguments...), "-o", binary, "..")...)
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return binary
}
