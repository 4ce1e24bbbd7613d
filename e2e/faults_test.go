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
	// faultTime is how long faults come in a run, faultsMost how many.
	faultTime  = 10 * time.Second
	faultsMost = 9
	// afterwards is how long a run goes on after its recovery.
	afterwards = 3 * time.Second
	// readyMost is how long the deployment may take to its first answers.
	readyMost = 20 * time.Second
	// restartMost is how long a process stays away.
	restartMost = 2 * time.Second
)

// fault is one thing that goes wrong at a moment.
type fault struct {
	at   time.Duration
	kind string
	vm   string
	// other is the VM at the other end of a link.
	other string
	lasts time.Duration
	n     int
}

func (f fault) String() string {
	return fmt.Sprintf("%v %s %s %s %v", f.at.Round(time.Millisecond), f.kind, f.vm, f.other, f.lasts.Round(time.Millisecond))
}

// faultKinds are all kinds; those that stop processes come in series and overlap like the others.
var faultKinds = []string{
	"kill", "kill", "kill", "term", "term", "freeze", "freeze", "hangup", "cut", "cut one way", "silence", "delay", "reset", "wipe", "tear",
	"kill all stewards", "kill all", "endpoint dies", "endpoint fails", "orders late", "orders unanswered",
}

// drawFaults draws a whole run.
func drawFaults(r *rand.Rand, vms []string) []fault {
	var faults []fault
	wiped := false
	for range 3 + r.IntN(faultsMost-2) {
		f := fault{
			at: time.Duration(r.Int64N(int64(faultTime))), kind: draw(r, faultKinds), vm: draw(r, vms), other: draw(r, vms),
			lasts: 200*time.Millisecond + time.Duration(r.Int64N(int64(4*time.Second))), n: r.IntN(faultEngines + faultPlain),
		}
		switch f.kind {
		case "wipe", "tear":
			f.vm = "steward-" + strconv.Itoa(r.IntN(faultStewards))
		case "kill", "term":
			f.lasts = min(f.lasts, restartMost)
		}
		faults = append(faults, f)
	}
	slices.SortFunc(faults, func(a, b fault) int { return int(a.at - b.at) })
	// One disk may be lost at a time, and the time until it is made up for depends on the other faults.
	return slices.DeleteFunc(faults, func(f fault) bool {
		if f.kind != "wipe" {
			return false
		}
		second := wiped
		wiped = true
		return second
	})
}

// do carries a fault out and undoes it after its time; it returns once all is as before.
func (s *faultSite) do(f fault) {
	switch f.kind {
	case "kill":
		s.restart([]string{f.vm}, f.lasts, nil)
	case "wipe":
		s.restart([]string{f.vm}, f.lasts, s.wipe)
	case "tear":
		s.restart([]string{f.vm}, f.lasts, s.tear)
	case "kill all stewards":
		s.restart(s.names[:faultStewards], f.lasts/4, nil)
	case "kill all":
		s.restart(s.names, f.lasts/4, nil)
	case "term":
		s.terminate(f.vm, f.lasts)
	case "freeze":
		s.freeze(f.vm, f.lasts)
	case "hangup":
		seeds := s.seeds()
		slices.Reverse(seeds)
		s.settings(s.vms[f.vm], seeds)
		s.signal(f.vm, syscall.SIGHUP)
	case "cut", "cut one way":
		s.cut(f)
	case "silence":
		s.net.silence(f.vm)
	case "delay":
		for _, name := range s.names {
			s.net.setDelay(f.vm, name, f.lasts/20)
			defer s.net.setDelay(f.vm, name, 0)
		}
		pause(s.ctx, f.lasts)
	case "reset":
		s.net.resetAll(f.vm)
	default:
		s.harm(f)
	}
}

// cut cuts a VM off from another one, or from all where it was drawn as both ends.
func (s *faultSite) cut(f fault) {
	for _, name := range s.names {
		if name == f.vm || f.other != f.vm && name != f.other {
			continue
		}
		s.net.setCut(f.vm, name, true)
		defer s.net.setCut(f.vm, name, false)
		if f.kind == "cut" {
			s.net.setCut(name, f.vm, true)
			defer s.net.setCut(name, f.vm, false)
		}
	}
	pause(s.ctx, f.lasts)
}

// harm makes an endpoint misbehave.
func (s *faultSite) harm(f fault) {
	e := s.list.Endpoints()[f.n]
	switch f.kind {
	case "endpoint dies":
		s.replaceEndpoint(f.n)
	case "endpoint fails":
		e.Fail(true)
		defer e.Fail(false)
	case "orders late":
		e.Misbehave(f.lasts/3, 0)
		defer e.Misbehave(0, 0)
	case "orders unanswered":
		e.Misbehave(0, 3)
		defer e.Misbehave(0, 0)
	}
	pause(s.ctx, f.lasts)
}

// restart kills processes at the same moment, and starts them again after a while and what is to be done meanwhile.
func (s *faultSite) restart(names []string, away time.Duration, meanwhile func(*vm)) {
	for _, name := range names {
		s.signal(name, syscall.SIGKILL)
	}
	for _, name := range names {
		s.take(name, func(v *vm) {
			v.process.kill()
			pause(s.ctx, away)
			if meanwhile != nil {
				meanwhile(v)
			}
			v.first = false
			s.settings(v, s.seeds())
			s.start(name)
		})
		away = 0
	}
}

// take has a VM's process for oneself while it is replaced; faults that overlap wait for each other.
func (s *faultSite) take(name string, act func(*vm)) {
	v := s.vms[name]
	v.mu.Lock()
	defer v.mu.Unlock()
	act(v)
}

func (s *faultSite) signal(name string, signal syscall.Signal) {
	s.take(name, func(v *vm) {
		v.killed = v.killed || signal == syscall.SIGKILL
		v.process.signal(signal)
	})
}

func (s *faultSite) terminate(name string, away time.Duration) {
	s.take(name, func(v *vm) {
		v.process.thaw()
		v.process.signal(syscall.SIGTERM)
		select {
		case err := <-v.process.ended:
			if err != nil && s.begun(v) && !v.killed {
				s.t.Errorf("%s was asked to stop and ended with %v", name, err)
			}
		case <-time.After(faultGrace + time.Second):
			s.t.Errorf("%s did not stop within the grace time", name)
			v.process.kill()
		}
		pause(s.ctx, away)
		v.first = false
		s.settings(v, s.seeds())
		s.start(name)
	})
}

func (s *faultSite) freeze(name string, lasts time.Duration) {
	s.signal(name, syscall.SIGSTOP)
	pause(s.ctx, lasts)
	s.signal(name, syscall.SIGCONT)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.thawed[name] = append(s.thawed[name], time.Now())
}

// wipe takes a steward's disk away.
func (s *faultSite) wipe(v *vm) {
	if err := os.RemoveAll(v.data); err != nil {
		s.t.Error(err)
	}
	if err := os.MkdirAll(v.data, 0o700); err != nil {
		s.t.Error(err)
	}
}

// tear leaves half a write at the end of a steward's newest file, as a power loss does with what was not synced.
func (s *faultSite) tear(v *vm) {
	var newest string
	var at time.Time
	err := filepath.WalkDir(v.data, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasPrefix(entry.Name(), "segment-") {
			return err
		}
		info, err := entry.Info()
		if err == nil && info.ModTime().After(at) {
			newest, at = path, info.ModTime()
		}
		return err
	})
	if err != nil || newest == "" {
		return // it had not written anything yet
	}
	file, err := os.OpenFile(newest, os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Error(err)
		return
	}
	_, err = file.Write([]byte{0, 0, 0, 77, 1, 2, 3})
	if closed := file.Close(); err != nil || closed != nil {
		s.t.Error(err, closed)
	}
}

// playFaults plays one run and returns what it broke.
func playFaults(t *testing.T, binary string, seed uint64, faults []fault, environment ...string) map[string][]string {
	t.Helper()
	s := newFaultSite(t, binary, environment...)
	load := startLoad(s, seed)
	began := time.Now()
	for load.served(began) < 20 {
		if !pause(s.ctx, 50*time.Millisecond) || time.Since(began) > readyMost {
			break
		}
	}
	start := time.Now()
	done := make(chan fault)
	for _, f := range faults {
		go func() {
			pause(s.ctx, time.Until(start.Add(f.at)))
			s.do(f)
			done <- f
		}()
	}
	for range faults {
		<-done
	}
	healed := time.Now().Add(faultRecover)
	pause(s.ctx, faultRecover+afterwards)
	load.end()
	load.readAtEnd()
	for _, name := range s.names {
		select {
		case err := <-s.vms[name].process.ended:
			t.Errorf("%s ended by itself: %v", name, err)
		default:
		}
		if bytes.Contains(s.log(name), []byte("DATA RACE")) {
			t.Errorf("%s has a data race", name)
		}
	}
	f := load.facts(healed)
	t.Logf("seed %d: %d requests, %d served, %d configurations, %d readings", seed, len(f.outcomes), load.served(began), len(f.changes), len(f.reads))
	return f.judge()
}

// failedFaultSeeds are seeds that once failed, with the cause; they are played in every run.
var failedFaultSeeds = []struct {
	seed  uint64
	cause string
}{
	{10, "a steward died of a map that its leading duty read while a holder's report changed it"},
}

// TestPlatformFaults plays runs drawn from seeds: SEEDS of them from FIRST on, and those that once failed.
func TestPlatformFaults(t *testing.T) {
	first, _ := strconv.ParseUint(os.Getenv("FIRST"), 10, 64)
	seeds, _ := strconv.ParseUint(os.Getenv("SEEDS"), 10, 64)
	if os.Getenv(faultsEnvironment) == "" || seeds == 0 {
		t.Skipf("real processes run only with %s=1, SEEDS and FIRST, as make faults sets them", faultsEnvironment)
	}
	var arguments []string
	if os.Getenv(raceEnvironment) != "" {
		arguments = []string{"-race"}
	}
	binary := buildBinary(t, arguments...)
	played := make([]uint64, 0, seeds)
	for _, one := range failedFaultSeeds {
		played = append(played, one.seed)
	}
	for seed := first; seed < first+seeds; seed++ {
		played = append(played, seed)
	}
	for _, seed := range played {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			faults := drawFaults(rand.New(rand.NewPCG(seed, 1)), faultVMs())
			for name, broken := range playFaults(t, binary, seed, faults) {
				t.Errorf("%s: %d broken, the first: %s", name, len(broken), strings.Join(broken[:min(3, len(broken))], "; "))
			}
			if t.Failed() {
				t.Logf("again: make faults SEEDS=1 FIRST=%d; faults: %v", seed, faults)
			}
		})
	}
}

// Environment variables: one lets real processes run, the other builds them with the race detector, which halts them at a race.
const (
	faultsEnvironment = "BURDOCKSADDLE_FAULTS"
	raceEnvironment   = "RACE"
)

// faultVMs are the names of the VMs that faults are drawn for.
func faultVMs() []string {
	var names []string
	for n := range faultStewards {
		names = append(names, "steward-"+strconv.Itoa(n))
	}
	for n := range faultGateways {
		names = append(names, "gateway-"+strconv.Itoa(n))
	}
	return names
}

// buildBinary builds the program, with what the arguments add.
func buildBinary(t *testing.T, arguments ...string) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "burdocksaddle")
	command := exec.CommandContext(t.Context(), "go", append(append([]string{"build"}, arguments...), "-o", binary, "..")...)
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return binary
}

// TestChecksFail breaks each promise in a build made for that: the check that stands for it must notice.
func TestChecksFail(t *testing.T) {
	if os.Getenv(faultsEnvironment) == "" {
		t.Skipf("real processes run only with %s=1, as make broken sets it", faultsEnvironment)
	}
	binary := buildBinary(t, "-tags", "broken")
	// The stewards go away one after the other, each for long enough that others take its endpoints over.
	var faults []fault
	for n := range faultStewards {
		faults = append(faults, fault{at: time.Duration(6*n) * time.Second, kind: "kill", vm: "steward-" + strconv.Itoa(n), lasts: 4 * time.Second})
	}
	for _, c := range checks {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			broken := playFaults(t, binary, 1, faults, "BURDOCKSADDLE_BREAK="+c.name)
			if len(broken[c.name]) == 0 {
				t.Errorf("not noticed; noticed: %v", broken)
			}
		})
	}
}
