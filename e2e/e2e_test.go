package e2e

import (
	"context"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"burdocksaddle/engineapi"
	"burdocksaddle/standin"
	"burdocksaddle/traffic"
)

const (
	// faultDuration is how long a fault lasts, recoveryTimeout how long the cluster may take to serve every kind of request again.
	faultDuration   = 4 * time.Second
	recoveryTimeout = 10 * time.Second
	// recoverySuccesses is the number of successful answers of each kind that counts as recovered.
	recoverySuccesses = 3
	// maxStepsTime limits the total time of all steps, so that the whole run ends within two minutes.
	maxStepsTime = 75 * time.Second
	// processRequestInterval is the pause of a caller between two requests.
	processRequestInterval = 40 * time.Millisecond
	e2eEnv                 = "BURDOCKSADDLE_E2E"
)

// faultStep injects one fault while the load is running.
type faultStep struct {
	name  string
	apply func(r *faultRun)
}

// faultRun is a cluster under load.
type faultRun struct {
	*processCluster
	target        traffic.Target
	load          *traffic.Load
	outages       []traffic.Outage
	gracefulStops []traffic.Outage
}

// TestFaults runs all fault steps in sequence under one continuous load.
func TestFaults(t *testing.T) {
	if os.Getenv(e2eEnv) == "" {
		t.Skipf("real processes run only with %s=1, as make e2e sets it", e2eEnv)
	}
	c := newProcessCluster(t, 3, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := &faultRun{processCluster: c}
	r.target = newTarget([]string{c.callerURL(0), c.callerURL(1)}, processRequestInterval, func() *http.Transport { return &http.Transport{} })
	r.load = traffic.Start(ctx, r.target)
	r.awaitRecovery("cold start")
	startedAt := time.Now()
	for _, step := range faultSteps {
		stepStart := time.Now()
		if stepStart.Sub(startedAt) > maxStepsTime {
			t.Errorf("step skipped, the time limit of all steps is used up: %s", step.name)
			continue
		}
		step.apply(r)
		r.awaitRecovery(step.name)
		t.Logf("%s: %v, %s", step.name, time.Since(stepStart).Round(100*time.Millisecond), traffic.Summary(r.load.Since(stepStart)))
	}
	attempts := r.load.Stop()
	t.Logf("%d requests: %s", len(attempts), traffic.Summary(attempts))
	reportViolations(t, r.collectResults(attempts))
}

var faultSteps = []faultStep{
	{"kill an agent beside an engine", func(r *faultRun) {
		r.processes[engineAgentName(0)].kill()
		time.Sleep(faultDuration)
		r.startNode(engineAgentName(0))
	}},
	{"kill an agent beside a plain service", func(r *faultRun) {
		r.processes[plainAgentName(0)].kill()
		time.Sleep(faultDuration)
		r.startNode(plainAgentName(0))
	}},
	{"suspend an agent beside an engine", func(r *faultRun) { r.suspendFor(engineAgentName(1)) }},
	{"suspend an agent beside a plain service", func(r *faultRun) { r.suspendFor(plainAgentName(1)) }},
	{"stall the open connections of an engine", func(r *faultRun) {
		r.setFault(r.engineAddress(2), engineapi.Fault{StallOpen: true})
		time.Sleep(faultDuration)
		r.setFault(r.engineAddress(2), engineapi.Fault{})
	}},
	{"kill an entry", func(r *faultRun) {
		begin := time.Now()
		r.processes[entryName(0)].kill()
		time.Sleep(faultDuration)
		r.startNode(entryName(0))
		r.awaitEntryReady(0)
		r.outages = append(r.outages, traffic.Outage{Entry: 0, Begin: begin, End: time.Now()})
	}},
	{"stop an entry gracefully", func(r *faultRun) {
		begin := time.Now()
		if err := r.processes[entryName(1)].stop(r.t); err != nil {
			r.t.Errorf("entry exited with an error after SIGTERM: %v", err)
		}
		r.gracefulStops = append(r.gracefulStops, traffic.Outage{Entry: 1, Begin: begin, End: begin.Add(balancerDelay)})
		r.t.Logf("the entry stopped after %v", time.Since(begin).Round(time.Millisecond))
		// Not an outage: the load balancer stops sending requests to the entry before the entry refuses any.
		r.startNode(entryName(1))
		r.awaitEntryReady(1)
	}},
	{"kill the leader", func(r *faultRun) {
		leader := r.leader()
		r.processes[leader].kill()
		time.Sleep(faultDuration)
		r.startNode(leader)
	}},
	{"suspend the leader", func(r *faultRun) { r.suspendFor(r.leader()) }},
	{"lose a control member permanently, and kill the leader right after the replacement", func(r *faultRun) {
		lost, spare := r.otherVoter(r.leader()), controlName(r.controls)
		r.processes[lost].kill()
		if err := os.RemoveAll(r.settings(lost).Control.DataFolder); err != nil {
			r.t.Fatal(err)
		}
		r.eventually(spare+" replaces "+lost, func() bool { return r.isVoter(spare) && !r.isVoter(lost) })
		next := r.leader()
		r.processes[next].kill()
		time.Sleep(faultDuration)
		r.startNode(next)
	}},
	{"switch the preset", func(r *faultRun) {
		leader := r.leader()
		out, err := r.ctl(leader, "preset", "Peak")
		if err != nil {
			r.t.Errorf("ctl preset: %v %s", err, out)
			return
		}
		version := strings.TrimPrefix(strings.TrimSpace(out), "accepted as version ")
		if out, err := r.ctl(leader, "wait", version); err != nil {
			r.t.Errorf("ctl wait %s: %v %s", version, err, out)
		}
	}},
}

// suspendFor suspends a process for faultDuration.
func (r *faultRun) suspendFor(name string) {
	r.processes[name].suspend()
	time.Sleep(faultDuration)
	r.processes[name].resume()
}

func (r *faultRun) setFault(address string, fault engineapi.Fault) {
	r.t.Helper()
	if err := setFault(r.t.Context(), address, fault); err != nil {
		r.t.Fatal(err)
	}
}

// awaitRecovery waits until requests of each kind succeed again through each entry.
func (r *faultRun) awaitRecovery(name string) {
	r.t.Helper()
	from := time.Now()
	for end := from.Add(recoveryTimeout); ; time.Sleep(pollInterval) {
		missing := r.missingAnswers(from)
		if missing == "" {
			return
		}
		if time.Now().After(end) {
			r.t.Errorf("%s: not recovered within %v: too few successful answers for %s", name, recoveryTimeout, missing)
			return
		}
	}
}

// missingAnswers returns a kind and an entry with too few successful answers since the given time, or "" if there is none.
func (r *faultRun) missingAnswers(from time.Time) string {
	attempts := r.load.Since(from)
	for i := range r.target.EntryURLs {
		for _, kind := range []traffic.Kind{traffic.Booking, traffic.Stream, traffic.Completion, traffic.Lookup} {
			answered := 0
			for _, a := range attempts {
				if a.Kind == kind && a.Entry == i && a.Status == http.StatusOK && !a.Incomplete {
					answered++
				}
			}
			if answered < recoverySuccesses {
				return string(kind) + " through " + entryName(i)
			}
		}
	}
	return ""
}

// collectResults combines the load's attempts with the counts of the stand-ins.
func (r *faultRun) collectResults(attempts []traffic.Attempt) traffic.Checker {
	results := traffic.Checker{Attempts: attempts, Outages: r.outages, GracefulShutdowns: r.gracefulStops, Runs: map[string]int{}}
	for i := range engineCount {
		var counts standin.Counts
		r.readCounts(r.engineAddress(i), &counts)
		results.Engines = append(results.Engines, counts)
	}
	for i := range plainServiceCount {
		runs := map[string]int{}
		r.readCounts(r.plainServiceAddress(i), &runs)
		for key, n := range runs {
			results.Runs[key] += n
		}
	}
	return results
}
