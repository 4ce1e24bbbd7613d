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
	poll         = 50 * time.Millisecond
)

// site is one deployment of real processes; each VM has a 127.x address.
type site struct {
	layout
	t       *testing.T
	binary  string
	running map[string]*process
}

// newSite builds the binary and starts everything.
func newSite(t *testing.T, controls, learners int) *site {
	t.Helper()
	// A run that times out leaves its logs as well, so the folder isn't the test's own.
	folder, err := os.MkdirTemp("", "burdocksaddle-e2e-")
	if err != nil {
		t.Fatal(err)
	}
	s := &site{
		t: t, running: map[string]*process{},
		layout: layout{folder: folder, controls: controls, learners: learners, host: onLoopback()},
	}
	s.binary = buildBinary(t)
	t.Cleanup(s.close)
	if err := s.writeCatalog(); err != nil {
		t.Fatal(err)
	}
	s.startStandins()
	for i := range controls + learners {
		s.run(control(i))
	}
	for i := range engines {
		s.run(engineAgent(i))
	}
	for i := range desks {
		s.run(deskAgent(i))
	}
	for i := range entries {
		s.run(entry(i))
	}
	for i := range entries {
		s.awaitReady(i)
	}
	return s
}

func (s *site) startStandins() {
	platform, store := s.host("platform")+":"+standinPort, s.host("store")+":"+standinPort
	s.standin("platform", platform, "platform", "--vm", engineAgent(0), "--vm", engineAgent(1), "--vm", engineAgent(2), "--vm", deskAgent(0), "--vm", deskAgent(1))
	s.standin("store", store, "store", "--load-speed", "40000")
	for i := range engines {
		args := []string{"engine", "--memory", fmt.Sprint(engineMB), "--load-time", "200ms", "--weight-store", "http://" + store}
		if i > 0 {
			args = append(args, "--check-fencing")
		}
		s.standin(fmt.Sprintf("engine-%d", i+1), s.engine(i), args...)
	}
	for i := range desks {
		s.standin(fmt.Sprintf("desk-%d", i+1), s.desk(i), "service", "--call-time", "30ms")
	}
}

func (s *site) standin(name, address string, args ...string) {
	args = append([]string{"standin", args[0], "--listen", address}, args[1:]...)
	s.running[name] = start(s.t, s.binary, s.folder, name, args...)
}

// run starts a process of the system with its settings; a second call restarts it.
func (s *site) run(name string) {
	s.t.Helper()
	file := filepath.Join(s.folder, name+".json")
	if _, err := os.Stat(file); err != nil {
		if err := write(file, s.settings(name)); err != nil {
			s.t.Fatal(err)
		}
	}
	s.running[name] = start(s.t, s.binary, s.folder, name, "run", "--config", file)
}

// member is one line of what ctl members prints.
type member struct {
	Name   string
	Leader bool
	Voter  bool
}

// members returns the control members as the first that answers knows them.
func (s *site) members() []member {
	for i := range s.controls + s.learners {
		out, err := s.ctl(control(i), "--timeout", "500ms", "members")
		var found []member
		if err == nil && json.Unmarshal([]byte(out), &found) == nil && slices.ContainsFunc(found, func(m member) bool { return m.Leader }) {
			return found
		}
	}
	return nil
}

// leader returns the control member that leads; without one the test fails.
func (s *site) leader() (name string) {
	s.t.Helper()
	s.eventually("a control member leads", func() bool {
		for _, m := range s.members() {
			if m.Leader {
				name = m.Name
			}
		}
		return name != ""
	})
	return name
}

// other returns a first voter besides one member.
func (s *site) other(than string) string {
	for i := range s.controls {
		if control(i) != than {
			return control(i)
		}
	}
	return ""
}

// votes tells whether a control member is a voter.
func (s *site) votes(name string) bool {
	return slices.ContainsFunc(s.members(), func(m member) bool { return m.Name == name && m.Voter })
}

// awaitReady waits until an entry's health check passes.
func (s *site) awaitReady(i int) {
	s.t.Helper()
	s.eventually(entry(i)+" takes work", func() bool { return s.status(s.caller(i)+"/healthz") == http.StatusOK })
}

// eventually polls until the condition holds, and fails the test when it doesn't in time.
func (s *site) eventually(what string, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(readyTimeout); !holds(); time.Sleep(poll) {
		if time.Now().After(end) {
			s.t.Fatalf("not within %v: %s", readyTimeout, what)
		}
	}
}

func (s *site) status(url string) int {
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
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

// ctl runs the operators' command line against a control member.
func (s *site) ctl(member string, args ...string) (string, error) {
	args = append([]string{"ctl", "--address", s.operatorOf(member)}, args...)
	out, err := exec.CommandContext(s.t.Context(), s.binary, args...).CombinedOutput()
	return string(out), err
}

// counts reads what a stand-in has counted.
func (s *site) counts(address string, into any) {
	s.t.Helper()
	request, err := http.NewRequestWithContext(context.WithoutCancel(s.t.Context()), http.MethodGet, "http://"+address+engineapi.PathCounts, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		s.t.Fatal(err)
	}
}

// setFault makes a stand-in misbehave.
func setFault(ctx context.Context, address string, fault engineapi.Fault) error {
	data, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+engineapi.PathFault, bytes.NewReader(data))
	if err != nil {
		return err
	}
	// A connection of its own, since the fault may concern all that are open.
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// close ends every process by its id and keeps the logs of a failed run.
func (s *site) close() {
	for _, p := range s.running {
		p.kill()
	}
	if s.t.Failed() {
		s.t.Logf("logs and settings: %s", s.folder)
		return
	}
	_ = os.RemoveAll(s.folder)
}
