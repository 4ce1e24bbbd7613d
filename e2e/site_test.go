package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"burdocksaddle/demo"
	"burdocksaddle/engineapi"
	"burdocksaddle/setting"
)

const (
	engines, desks, entries = 3, 2, 2
	engineMB                = 50_000
	wirePort                = "7300"
	callerPort              = "8080"
	operatorPort            = "7400"
	standinPort             = "9000"
	readyTimeout            = 20 * time.Second
	poll                    = 50 * time.Millisecond
)

// site is one deployment of real processes; each VM has a 127.x address.
type site struct {
	t        *testing.T
	binary   string
	folder   string
	subnet   string
	controls int
	learners int
	running  map[string]*process
}

// newSite builds the binary and starts everything.
func newSite(t *testing.T, controls, learners int) *site {
	t.Helper()
	s := &site{
		t: t, folder: t.TempDir(), controls: controls, learners: learners, running: map[string]*process{},
		subnet: fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), 1+rand.IntN(250)),
	}
	s.binary = filepath.Join(s.folder, "burdocksaddle")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", s.binary, "burdocksaddle").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	t.Cleanup(s.close)
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

func control(i int) string     { return fmt.Sprintf("control-%d", i+1) }
func engineAgent(i int) string { return fmt.Sprintf("agent-engine-%d", i+1) }
func deskAgent(i int) string   { return fmt.Sprintf("agent-desk-%d", i+1) }
func entry(i int) string       { return fmt.Sprintf("entry-%d", i+1) }

// host returns the address of the i-th VM of a kind.
func (s *site) host(kind, i int) string { return fmt.Sprintf("%s%d", s.subnet, kind+i) }

const (
	controlHosts = 10
	entryHosts   = 20
	engineHosts  = 30
	deskHosts    = 40
	outsideHosts = 50
)

func (s *site) startStandins() {
	platform, store := s.host(outsideHosts, 0)+":"+standinPort, s.host(outsideHosts, 1)+":"+standinPort
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

func (s *site) engine(i int) string { return s.host(engineHosts, i) + ":" + standinPort }
func (s *site) desk(i int) string   { return s.host(deskHosts, i) + ":" + standinPort }

func (s *site) standin(name, address string, args ...string) {
	args = append([]string{"standin", args[0], "--listen", address}, args[1:]...)
	s.running[name] = start(s.t, s.binary, s.folder, name, args...)
}

// run starts a process of the system with its settings; a second call restarts it.
func (s *site) run(name string) {
	s.t.Helper()
	file := filepath.Join(s.folder, name+".json")
	if _, err := os.Stat(file); err != nil {
		s.write(file, s.settings(name))
	}
	s.running[name] = start(s.t, s.binary, s.folder, name, "run", "--config", file)
}

func (s *site) write(file string, value any) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err == nil {
		err = os.WriteFile(file, data, 0o600)
	}
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) settings(name string) setting.Settings {
	v := setting.Defaults()
	v.Node, v.DataCentre, v.Log.Verbosity = name, "first", 1
	v.Entry.DrainMS, v.Entry.BalancerMS = 8_000, 1_000
	for i := range s.controls + s.learners {
		v.Controls = append(v.Controls, s.host(controlHosts, i)+":"+wirePort)
	}
	var kind string
	var i int
	if _, err := fmt.Sscanf(name, "control-%d", &i); err == nil {
		s.controlSettings(&v, i-1)
	} else if _, err := fmt.Sscanf(name, "entry-%d", &i); err == nil {
		v.Roles = []setting.Role{setting.RoleEntry}
		v.Entry.CallerListen = s.host(entryHosts, i-1) + ":" + callerPort
		v.Operator.Listen = s.host(entryHosts, i-1) + ":" + operatorPort
	} else if kind = "engine"; s.agentNumber(name, kind, &i) {
		s.agentSettings(&v, s.host(engineHosts, i-1), "shop-assist", setting.KindModel)
	} else if kind = "desk"; s.agentNumber(name, kind, &i) {
		s.agentSettings(&v, s.host(deskHosts, i-1), "dispatch-desk", setting.KindPlain)
	}
	return v
}

func (s *site) agentNumber(name, kind string, i *int) bool {
	_, err := fmt.Sscanf(name, "agent-"+kind+"-%d", i)
	return err == nil
}

func (s *site) controlSettings(v *setting.Settings, i int) {
	v.Roles = []setting.Role{setting.RoleControl}
	v.Listen, v.Operator.Listen = s.host(controlHosts, i)+":"+wirePort, s.host(controlHosts, i)+":"+operatorPort
	v.Control.StandingLearner = i >= s.controls
	v.Control.ReplaceAfterMS = 5_000
	v.Control.SnapshotEntries = 200
	v.Control.DataFolder = filepath.Join(s.folder, "data-"+v.Node)
	for j := range s.controls {
		v.Control.Bootstrap = append(v.Control.Bootstrap, control(j)+"="+s.host(controlHosts, j)+":"+wirePort)
	}
	v.Control.CatalogFile = filepath.Join(s.folder, "catalog.json")
	if _, err := os.Stat(v.Control.CatalogFile); err != nil {
		s.write(v.Control.CatalogFile, demo.Catalog())
	}
}

func (s *site) agentSettings(v *setting.Settings, host, service string, kind setting.Kind) {
	v.Roles = []setting.Role{setting.RoleAgent}
	v.Listen, v.Advertise, v.Operator.Listen = host+":"+wirePort, host+":"+wirePort, host+":"+operatorPort
	v.Agent.Endpoint, v.Agent.Service, v.Agent.Kind = v.Node, service, string(kind)
	v.Agent.EndpointURL = "http://" + host + ":" + standinPort
	v.Agent.PlatformURL = "http://" + s.host(outsideHosts, 0) + ":" + standinPort + engineapi.PathVMs
	if kind == setting.KindModel {
		v.Agent.MemoryMB = engineMB
	}
}

// caller returns the base URL of an entry's API for callers.
func (s *site) caller(i int) string { return "http://" + s.host(entryHosts, i) + ":" + callerPort }

// operator returns the base URL of a control member's API for operators.
func (s *site) operator(i int) string {
	return "http://" + s.host(controlHosts, i) + ":" + operatorPort
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
func (s *site) ctl(i int, args ...string) (string, error) {
	args = append([]string{"ctl", "--address", s.operator(i)}, args...)
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
		kept := filepath.Join(os.TempDir(), fmt.Sprintf("burdocksaddle-e2e-%d", os.Getpid()))
		_ = os.RemoveAll(kept)
		if err := os.CopyFS(kept, os.DirFS(s.folder)); err == nil {
			s.t.Logf("logs and settings: %s", kept)
		}
	}
}
