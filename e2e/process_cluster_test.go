package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"burdocksaddle/engineapi"
)

const (
	readyTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

// processCluster is a cluster of real processes; each VM has its own loopback address.
type processCluster struct {
	layout
	t         *testing.T
	binary    string
	processes map[string]*process
}

// newProcessCluster builds the binary, starts the stand-ins and all nodes and waits until the entries are ready.
func newProcessCluster(t *testing.T, controls, learners int, options ...func(*layout)) *processCluster {
	t.Helper()
	// Not t.TempDir, which is removed even when the test fails; the logs of a failed or timed-out run are kept.
	dir, err := os.MkdirTemp("", "burdocksaddle-e2e-")
	if err != nil {
		t.Fatal(err)
	}
	c := &processCluster{
		t: t, processes: map[string]*process{},
		layout: layout{dir: dir, controls: controls, learners: learners, host: loopbackHosts(t)},
	}
	for _, option := range options {
		option(&c.layout)
	}
	c.binary = buildBinary(t)
	t.Cleanup(c.close)
	if err := c.writeCatalog(); err != nil {
		t.Fatal(err)
	}
	c.startStandins()
	for i := range controls + learners {
		c.startNode(controlName(i))
	}
	for i := range engineCount {
		c.startNode(engineAgentName(i))
	}
	for i := range plainServiceCount {
		c.startNode(plainAgentName(i))
	}
	for i := range entryCount {
		c.startNode(entryName(i))
	}
	for i := range entryCount {
		c.awaitEntryReady(i)
	}
	return c
}

func (c *processCluster) startStandins() {
	platform, store := c.host("platform")+":"+standinPort, c.host("store")+":"+standinPort
	c.startStandin("platform", platform, "platform", "--vm", engineAgentName(0), "--vm", engineAgentName(1), "--vm", engineAgentName(2), "--vm", plainAgentName(0), "--vm", plainAgentName(1))
	c.startStandin("store", store, "store", "--load-speed", "40000")
	for i := range engineCount {
		args := []string{"engine", "--memory", fmt.Sprint(engineMB), "--load-time", "200ms", "--weight-store", "http://" + store}
		if i > 0 {
			args = append(args, "--check-fencing")
		}
		c.startStandin(fmt.Sprintf("engine-%d", i+1), c.engineAddress(i), args...)
	}
	for i := range plainServiceCount {
		c.startStandin(fmt.Sprintf("desk-%d", i+1), c.plainServiceAddress(i), "service", "--call-time", "30ms")
	}
}

func (c *processCluster) startStandin(name, address string, args ...string) {
	args = append([]string{"standin", args[0], "--listen", address}, args[1:]...)
	c.processes[name] = startProcess(c.t, c.binary, c.dir, name, args...)
}

// startNode starts a node's process, writing its settings file first if there is none yet.
func (c *processCluster) startNode(name string) {
	c.t.Helper()
	file := filepath.Join(c.dir, name+".json")
	if _, err := os.Stat(file); err != nil {
		if err := writeJSON(file, c.settings(name)); err != nil {
			c.t.Fatal(err)
		}
	}
	c.processes[name] = startProcess(c.t, c.binary, c.dir, name, "run", "--config", file)
}

// member is one member in the output of ctl members.
type member struct {
	Name   string
	Leader bool
	Voter  bool
}

// members returns the control members as reported by the first one that answers and knows a leader.
func (c *processCluster) members() []member {
	for i := range c.controls + c.learners {
		out, err := c.ctl(controlName(i), "--timeout", "500ms", "members")
		var found []member
		if err == nil && json.Unmarshal([]byte(out), &found) == nil && slices.ContainsFunc(found, func(m member) bool { return m.Leader }) {
			return found
		}
	}
	return nil
}

// leader returns the name of the leading control member; the test fails if there is none in time.
func (c *processCluster) leader() (name string) {
	c.t.Helper()
	c.eventually("a control member leads", func() bool {
		for _, m := range c.members() {
			if m.Leader {
				name = m.Name
			}
		}
		return name != ""
	})
	return name
}

// otherVoter returns the first initial voter other than the excluded member.
func (c *processCluster) otherVoter(excluded string) string {
	for i := range c.controls {
		if controlName(i) != excluded {
			return controlName(i)
		}
	}
	return ""
}

// isVoter reports whether a control member is a voter.
func (c *processCluster) isVoter(name string) bool {
	return slices.ContainsFunc(c.members(), func(m member) bool { return m.Name == name && m.Voter })
}

// awaitEntryReady waits until an entry's health check passes.
func (c *processCluster) awaitEntryReady(i int) {
	c.t.Helper()
	c.eventually(entryName(i)+" is ready", func() bool { return c.httpStatus(c.callerURL(i)+"/healthz") == http.StatusOK })
}

// eventually polls until the condition holds and fails the test if it does not within readyTimeout.
func (c *processCluster) eventually(condition string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(readyTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			c.t.Fatalf("condition not met within %v: %s", readyTimeout, condition)
		}
	}
}

func (c *processCluster) httpStatus(url string) int {
	ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// ctl runs the ctl command against a control member.
func (c *processCluster) ctl(member string, args ...string) (string, error) {
	args = append([]string{"ctl", "--address", c.operatorURLOf(member)}, args...)
	out, err := exec.CommandContext(c.t.Context(), c.binary, args...).CombinedOutput()
	return string(out), err
}

// readCounts reads the counts of a stand-in.
func (c *processCluster) readCounts(address string, into any) {
	c.t.Helper()
	request, err := http.NewRequestWithContext(context.WithoutCancel(c.t.Context()), http.MethodGet, "http://"+address+engineapi.PathCounts, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		c.t.Fatal(err)
	}
}

// setFault sets the fault that a stand-in injects.
func setFault(ctx context.Context, address string, fault engineapi.Fault) error {
	data, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+engineapi.PathFault, bytes.NewReader(data))
	if err != nil {
		return err
	}
	// Use a separate connection, since the fault may stall all open ones.
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// close kills all processes by their IDs and removes the directory unless the test failed.
func (c *processCluster) close() {
	for _, p := range c.processes {
		p.kill()
	}
	if c.t.Failed() {
		c.t.Logf("logs and settings: %s", c.dir)
		return
	}
	_ = os.RemoveAll(c.dir)
}
