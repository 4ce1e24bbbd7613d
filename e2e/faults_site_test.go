package e2e

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burdocksaddle/platform/standin"
)

// What the platform of the soak promises, as in its settings.
const (
	faultLease   = 3 * time.Second
	faultThaw    = 300 * time.Millisecond
	faultApply   = 2500 * time.Millisecond
	faultGrace   = 4 * time.Second
	faultRecover = 12 * time.Second
)

// The soak's deployment: stewards tolerate the loss of one disk.
const (
	faultStewards = 3
	faultGateways = 3
	faultEngines  = 4
	faultPlain    = 2
	faultModels   = 6
	streamEvents  = 6
)

// vm is one machine of the platform with its process.
type vm struct {
	name, role string
	// address is the one that others know, bound the one that the process uses.
	address, bound string
	client, ready  string
	operator       string
	folder, data   string
	// mu is held while the process is replaced.
	mu      sync.Mutex
	first   bool
	process *process
	// killed tells that another fault killed the process, which is still to be started again.
	killed bool
	// logged is how long its log was when the process was started.
	logged int
}

// faultSite is a deployment of real processes on loopback addresses.
type faultSite struct {
	t       *testing.T
	binary  string
	folder  string
	net     *network
	port    int
	vms     map[string]*vm
	names   []string
	list    *standin.List
	cancel  context.CancelFunc
	ctx     context.Context
	group   int
	env     []string
	started int

	mu sync.Mutex
	// all are the endpoints that there ever were.
	all []*standin.Endpoint
	// thawed are the moments at which a VM's process went on.
	thawed map[string][]time.Time
}

// siteNumber tells the sites of one test process apart by their addresses.
var siteNumber atomic.Int64

func newFaultSite(t *testing.T, binary string, environment ...string) *faultSite {
	t.Helper()
	folder, err := os.MkdirTemp("", "burdocksaddle-faults-")
	if err != nil {
		t.Fatal(err)
	}
	s := &faultSite{
		t: t, binary: binary, folder: folder, net: newNetwork(), port: 7380, vms: map[string]*vm{}, group: 10 + (os.Getpid()+int(siteNumber.Add(1)))%200,
		env: environment, thawed: map[string][]time.Time{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for n := range faultEngines {
		s.addEndpoint("engine", n, 0)
	}
	for n := range faultPlain {
		s.addEndpoint("plain", n, 0)
	}
	list, err := standin.StartList(s.ip(250, 1)+":8142", 500*time.Millisecond, s.all...)
	if err != nil {
		t.Fatal(err)
	}
	s.list = list
	for n := range faultStewards {
		s.addVM("steward", n)
	}
	for n := range faultGateways {
		s.addVM("gateway", n)
	}
	for _, name := range s.names {
		s.settings(s.vms[name], s.seeds())
		s.start(name)
	}
	t.Cleanup(s.end)
	return s
}

// ip returns an address of its own for each VM of each site.
func (s *faultSite) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.group, kind, n+1) }

func (s *faultSite) listen(address string) net.Listener {
	l, err := (&net.ListenConfig{}).Listen(s.ctx, "tcp", address)
	if err != nil {
		s.t.Fatal(err)
	}
	return l
}

// vmAt returns the name of the VM that an address belongs to.
func (s *faultSite) vmAt(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return ""
	}
	for _, v := range s.vms {
		if v.bound == host {
			return v.name
		}
	}
	return host
}

func (s *faultSite) addVM(role string, n int) {
	kind := map[string]int{"steward": 1, "gateway": 2}[role]
	v := &vm{
		name: role + "-" + strconv.Itoa(n), role: role, address: s.ip(kind, n), bound: s.ip(kind+100, n), first: true,
		folder: filepath.Join(s.folder, role+"-"+strconv.Itoa(n)),
	}
	v.client, v.ready, v.operator = v.address+":8149", v.address+":8141", v.address+":8144"
	v.data = filepath.Join(v.folder, "data")
	if err := os.MkdirAll(v.data, 0o700); err != nil {
		s.t.Fatal(err)
	}
	s.vms[v.name] = v
	s.names = append(s.names, v.name)
	port := ":" + strconv.Itoa(s.port)
	s.net.proxy(s.ctx, s.listen(v.address+port), v.name, v.bound+port, s.vmAt)
}

// addEndpoint starts an endpoint behind a proxy; start counts its starts, each of which has an ID of its own.
func (s *faultSite) addEndpoint(service string, n, start int) *standin.Endpoint {
	kind := map[string]int{"engine": 3, "plain": 4}[service]
	name := fmt.Sprintf("%s-%d-%d", service, n, start)
	config := standin.Config{
		ID: name, Service: service, DataCentre: "here", Address: s.ip(kind+100, n) + ":8000", Shown: s.ip(kind, n) + ":8000",
		Slots: 8, Events: streamEvents, EventEvery: 40 * time.Millisecond, WorkTime: 20 * time.Millisecond, KVTokens: 10_000,
	}
	if service == "engine" {
		config.MemoryMB, config.AdapterSlots, config.Models = 65_000, 3, map[string]standin.Model{}
		config.StoreTime, config.CopyTime = 1500*time.Millisecond, 200*time.Millisecond
		for m := range faultModels {
			config.Models[modelName(m)] = standin.Model{WeightsMB: 30_000, AdapterMB: 40}
			config.OnDisk = append(config.OnDisk, modelName(m))
		}
		if start == 0 {
			config.Holds = []string{modelName(n % faultModels), modelName((n + 1) % faultModels)}
		}
	}
	e, err := standin.Start(config)
	if err != nil {
		s.t.Fatal(err)
	}
	s.mu.Lock()
	s.all = append(s.all, e)
	s.mu.Unlock()
	if start == 0 {
		s.net.proxy(s.ctx, s.listen(config.Shown), service+"-"+strconv.Itoa(n), config.Address, s.vmAt)
	}
	return e
}

func modelName(n int) string { return "model" + strconv.Itoa(n) }

func (s *faultSite) endpoints() []*standin.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*standin.Endpoint{}, s.all...)
}

// replaceEndpoint ends an endpoint and starts it empty under a new ID.
func (s *faultSite) replaceEndpoint(at int) {
	current := s.list.Endpoints()
	old := current[at]
	old.Close()
	s.started++
	n := at
	if old.Service == "plain" {
		n -= faultEngines
	}
	next := append([]*standin.Endpoint{}, current...)
	next[at] = s.addEndpoint(old.Service, n, s.started)
	s.list.Set(next...)
}

func (s *faultSite) seeds() []string {
	var seeds []string
	for _, name := range s.names {
		if v := s.vms[name]; v.role == "steward" {
			seeds = append(seeds, v.operator)
		}
	}
	return seeds
}

// settings writes a VM's settings file, in the platform's format.
func (s *faultSite) settings(v *vm, seeds []string) {
	node := standin.Node{
		Name: v.name, Role: v.role, IP: v.address, BindIP: v.bound, DataCentre: "here", Port: s.port, Seeds: seeds, First: v.first,
		DataFolder: v.data, MemoryMB: 280, List: s.list.Address, Grace: faultGrace, Lease: faultLease, RetryRatio: 0.2, RetryExtra: 50,
	}
	if v.role == "steward" {
		node.Operator = v.operator
	} else {
		node.Client, node.Ready = v.client, v.ready
	}
	body, err := node.File()
	if err != nil {
		s.t.Fatal(err)
	}
	path := filepath.Join(v.folder, "node.json")
	if err := os.WriteFile(path+".new", body, 0o600); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		s.t.Fatal(err)
	}
}

func (s *faultSite) start(name string) {
	v := s.vms[name]
	environment := append([]string{"BURDOCKSADDLE_NODE_FILE=" + filepath.Join(v.folder, "node.json")}, s.env...)
	v.logged, v.killed = len(s.log(name)), false
	v.process = startWith(s.t, s.binary, s.folder, name, environment, v.role)
}

// log returns what a VM's processes have written.
func (s *faultSite) log(name string) []byte {
	data, err := os.ReadFile(filepath.Join(s.folder, name+".log"))
	if err != nil && !os.IsNotExist(err) {
		s.t.Error(err)
	}
	return data
}

// begun tells whether a VM's process has said that it started: before that a signal to stop ends it as any process.
func (s *faultSite) begun(v *vm) bool {
	return bytes.Contains(s.log(v.name)[v.logged:], []byte(v.role+" started"))
}

// end kills what still runs; it is known by its own process ids.
func (s *faultSite) end() {
	for _, v := range s.vms {
		if v.process != nil {
			v.process.thaw()
			v.process.kill()
		}
	}
	for _, e := range s.endpoints() {
		e.Close()
	}
	s.list.Close()
	s.cancel()
	s.net.relays.Wait()
	if s.t.Failed() {
		s.t.Logf("logs are kept in %s", s.folder)
	} else if err := os.RemoveAll(s.folder); err != nil {
		s.t.Error(err)
	}
}

// table returns a configuration; each version adds a route of its own.
func (s *faultSite) table(version int) []byte {
	routes := []standin.Route{
		{Name: "live", Prefix: "/live/", Kind: "streaming", Service: "engine", ObjectiveMS: 500, LimitMS: 6000, Resumable: true},
		{Name: "once", Prefix: "/once/", Kind: "streaming", Service: "engine", ObjectiveMS: 500, LimitMS: 6000},
		{Name: "book", Prefix: "/book/", Kind: "non_idempotent", Service: "plain", ObjectiveMS: 100, LimitMS: 1500},
		{Name: "read", Prefix: "/read/", Kind: "idempotent", Service: "plain", ObjectiveMS: 100, LimitMS: 1500},
	}
	added := "v" + strconv.Itoa(version)
	routes = append(routes, standin.Route{Name: added, Prefix: "/" + added + "/", Kind: "idempotent", Service: "plain", ObjectiveMS: 100, LimitMS: 1500})
	var models []string
	for m := range faultModels {
		models = append(models, modelName(m))
	}
	body, err := standin.Table(version, routes, models, "engine", "plain")
	if err != nil {
		s.t.Fatal(err)
	}
	return body
}

// draw picks one of a list.
func draw[T any](r *rand.Rand, of []T) T { return of[r.IntN(len(of))] }
