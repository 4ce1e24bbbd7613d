package e2e

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"burdocksaddle/platform/standin"
)

// Time limits that the platform promises, as in its settings.
const (
	platformLease        = 3 * time.Second
	platformDrain        = time.Second
	resumeGrace          = 300 * time.Millisecond
	maxApplyDelay        = 2500 * time.Millisecond
	stopGrace            = 4 * time.Second
	platformRecoveryTime = 12 * time.Second
)

const (
	platformModels = 6
	// softwareVersions is the number of versions of the engines' software that serve side by side.
	softwareVersions = 2
	streamEvents     = 6
)

// clusterShape is the size of a cluster; tolerance is how many stewards may lose their disks at the same time, grace how long a process may
// take to stop, and keptCallers how many callers choose gateways as the platform does, besides those of each gateway.
type clusterShape struct {
	stewards, gateways, engines, plainServices, tolerance, keptCallers int

	grace time.Duration
	// memoryMB and descriptors are the limits of each VM; 0 stands for vmMemoryMB and for no limit.
	memoryMB, descriptors int
}

const vmMemoryMB = 280

var (
	smallShape = clusterShape{stewards: 3, gateways: 3, engines: 4, plainServices: 2, tolerance: 1, grace: stopGrace}
	largeShape = clusterShape{stewards: 5, gateways: 12, engines: 8, plainServices: 3, tolerance: 2, grace: stopGrace}
	// stopsShape has the grace in which a gateway waits until the platform sends it no new connections.
	stopsShape = clusterShape{stewards: 3, gateways: 3, engines: 4, plainServices: 2, tolerance: 1, keptCallers: 180, grace: 5 * time.Second}
)

func (s clusterShape) endpoints() int { return s.engines + s.plainServices }

// vm is a VM of the platform with its process.
type vm struct {
	name, role string
	// address is the proxied address that others use, bindAddress the one that the process listens on.
	address, bindAddress string
	client, ready        string
	operator             string
	dir, dataDir         string
	// mu is held while the process is replaced.
	mu sync.Mutex
	// first is the FirstStart setting: it is set until the process is restarted.
	first   bool
	process *process
	// killed is set when another fault has killed the process and it has not been restarted yet.
	killed bool
	// logOffset is the length of the log when the process was started.
	logOffset int
	// fullDisks is the number of faults that fill the VM's disk now; startOnFullDisk is set if the disk was full while the process started.
	fullDisks       int
	startOnFullDisk bool
}

// platformCluster is a cluster of gateway and steward processes and of endpoint stand-ins on loopback addresses.
type platformCluster struct {
	t            *testing.T
	shape        clusterShape
	binary       string
	dir          string
	network      *proxyNetwork
	port         int
	vms          map[string]*vm
	names        []string
	endpointList *standin.List
	cancel       context.CancelFunc
	ctx          context.Context
	subnet       *standin.Subnet
	env          []string
	replacements int
	// deadly is set while callers send requests with deadlyPart, repeating while they send deadlyRequest. crashes are the restarts of
	// endpoints that crashed.
	deadly, repeating atomic.Bool
	crashes           sync.WaitGroup
	// replacing is held while an endpoint is replaced, since several faults may do so at the same time.
	replacing sync.Mutex

	mu sync.Mutex
	// allEndpoints holds all endpoints ever started, including replaced ones.
	allEndpoints []*standin.Endpoint
	// resumedAt holds the times at which each VM's suspended process was resumed.
	resumedAt map[string][]time.Time
	// disturbances are the times in which a VM's process or connections were subject to a fault, stops those from a SIGTERM to the exit of
	// its process, both by the VM's bindAddress.
	disturbances, stops map[string][]period
	// disks are the full disks.
	disks fullDisks
}

// period is a span of time in which a fault affected a VM; ownOnly is set if it affected only what this VM itself does, planned if it was
// planned work, during which no request may be lost.
type period struct {
	from, until      time.Time
	ownOnly, planned bool
}

func (p period) overlaps(from, until time.Time) bool {
	return p.from.Before(until) && from.Before(p.until)
}

// disturb records that a fault affected VMs from the beginning of a period until now.
func (c *platformCluster) disturb(names []string, p period) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.until = time.Now()
	for _, name := range names {
		address := c.vms[name].bindAddress
		c.disturbances[address] = append(c.disturbances[address], p)
	}
}

func newPlatformCluster(t *testing.T, shape clusterShape, binary string, env ...string) *platformCluster {
	t.Helper()
	dir, err := os.MkdirTemp("", "burdocksaddle-faults-")
	if err != nil {
		t.Fatal(err)
	}
	subnet, err := standin.ReserveSubnet(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(subnet.Close)
	c := &platformCluster{
		t: t, shape: shape, binary: binary, dir: dir, network: newProxyNetwork(), port: 7380, vms: map[string]*vm{}, subnet: subnet,
		env: env, resumedAt: map[string][]time.Time{}, disturbances: map[string][]period{}, stops: map[string][]period{}, disks: fullDisks{now: map[string]int{}},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for n := range shape.engines {
		c.addEndpoint("engine", n, 0)
	}
	for n := range shape.plainServices {
		c.addEndpoint("plain", n, 0)
	}
	list, err := standin.StartList(c.ip(250, 1)+":8142", 500*time.Millisecond, c.allEndpoints...)
	if err != nil {
		t.Fatal(err)
	}
	c.endpointList = list
	for n := range shape.stewards {
		c.addVM("steward", n)
	}
	for n := range shape.gateways {
		c.addVM("gateway", n)
	}
	for _, name := range c.names {
		c.writeSettings(c.vms[name], c.seedAddresses())
		c.start(name)
	}
	t.Cleanup(c.close)
	return c
}

// ip returns a loopback address for a VM that no other VM of this or another cluster has.
func (c *platformCluster) ip(kind, n int) string { return c.subnet.IP(kind, n) }

func (c *platformCluster) listen(address string) net.Listener {
	l, err := (&net.ListenConfig{}).Listen(c.ctx, "tcp", address)
	if err != nil {
		c.t.Fatal(err)
	}
	return l
}

// vmNameAt returns the name of the VM that an address belongs to, or the host if it is no VM's.
func (c *platformCluster) vmNameAt(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return ""
	}
	for _, v := range c.vms {
		if v.bindAddress == host {
			return v.name
		}
	}
	return host
}

func (c *platformCluster) addVM(role string, n int) {
	kind := map[string]int{"steward": 1, "gateway": 2}[role]
	v := &vm{
		name: role + "-" + strconv.Itoa(n), role: role, address: c.ip(kind, n), bindAddress: c.ip(kind+100, n), first: true,
		dir: filepath.Join(c.dir, role+"-"+strconv.Itoa(n)),
	}
	v.client, v.ready, v.operator = v.address+":8149", v.address+":8141", v.address+":8144"
	v.dataDir = filepath.Join(v.dir, "data")
	if err := os.MkdirAll(v.dataDir, 0o700); err != nil {
		c.t.Fatal(err)
	}
	c.vms[v.name] = v
	c.names = append(c.names, v.name)
	if role == "gateway" {
		c.network.setInboundRate(v.name, gatewayLinkRate)
	}
	port := ":" + strconv.Itoa(c.port)
	c.network.proxy(c.ctx, c.listen(v.address+port), v.name, v.bindAddress+port, c.vmNameAt)
}

// addEndpoint starts an endpoint behind a proxy. A replacement has a higher generation and therefore its own ID.
func (c *platformCluster) addEndpoint(service string, n, generation int) *standin.Endpoint {
	kind := map[string]int{"engine": 3, "plain": 4}[service]
	name := fmt.Sprintf("%s-%d-%d", service, n, generation)
	config := standin.Config{
		ID: name, Service: service, DataCentre: "here", Address: c.ip(kind+100, n) + ":8000", ListedAddress: c.ip(kind, n) + ":8000",
		Slots: 8, Events: streamEvents, EventInterval: 40 * time.Millisecond, RequestTime: 20 * time.Millisecond, KVTokens: 10_000,
	}
	config.DeadlyRequests, config.OnCrash = []standin.DeadlyRequest{deadlyRequest}, c.restartCrashed
	if service == "engine" {
		config.Software = "v" + strconv.Itoa(n%softwareVersions)
		config.DeadlyParts = []string{deadlyPart}
		config.MemoryMB, config.AdapterSlots, config.Models = 65_000, 3, map[string]standin.Model{}
		config.StoreLoadTime, config.DiskLoadTime = 1500*time.Millisecond, 200*time.Millisecond
		for m := range platformModels {
			config.Models[modelName(m)] = standin.Model{WeightsMB: 30_000, AdapterMB: 40}
			config.OnDisk = append(config.OnDisk, modelName(m))
		}
		if generation == 0 {
			config.InitialModels = []string{modelName(n % platformModels), modelName((n + 1) % platformModels)}
		}
	}
	e, err := standin.Start(config)
	// A process that is being started may keep the closed listener of the endpoint's predecessor open until it is executed.
	for end := time.Now().Add(maxStartTime); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(end) && sleepContext(c.ctx, pollInterval); {
		e, err = standin.Start(config)
	}
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	c.allEndpoints = append(c.allEndpoints, e)
	c.mu.Unlock()
	if generation == 0 {
		c.network.proxy(c.ctx, c.listen(config.ListedAddress), service+"-"+strconv.Itoa(n), config.Address, c.vmNameAt)
	}
	return e
}

func modelName(n int) string { return "model" + strconv.Itoa(n) }

func (c *platformCluster) endpoints() []*standin.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*standin.Endpoint{}, c.allEndpoints...)
}

// deadlyPart is a part of prompts that crashes endpoints, crashDowntime how long a crashed endpoint is away.
const (
	deadlyPart    = "dead"
	crashDowntime = time.Second
)

// deadlyRequest is a request that crashes plain endpoints.
var deadlyRequest = standin.DeadlyRequest{Path: "/read/deadly", Caller: "Bearer deadly", Body: "the same each time"}

// restartCrashed replaces an endpoint that crashed, unless a fault has replaced it already.
func (c *platformCluster) restartCrashed(crashed *standin.Endpoint) {
	c.crashes.Go(func() {
		if !sleepContext(c.ctx, crashDowntime) {
			return
		}
		c.replacing.Lock()
		defer c.replacing.Unlock()
		if index := slices.Index(c.endpointList.Endpoints(), crashed); index >= 0 {
			c.replaceEndpointLocked(index)
		}
	})
}

// replaceEndpoint stops an endpoint and starts an empty one with a new ID in its place.
func (c *platformCluster) replaceEndpoint(index int) {
	c.replacing.Lock()
	defer c.replacing.Unlock()
	c.replaceEndpointLocked(index)
}

func (c *platformCluster) replaceEndpointLocked(index int) {
	current := c.endpointList.Endpoints()
	old := current[index]
	old.Close()
	c.replacements++
	n := index
	if old.Service == "plain" {
		n -= c.shape.engines
	}
	next := append([]*standin.Endpoint{}, current...)
	next[index] = c.addEndpoint(old.Service, n, c.replacements)
	c.endpointList.SetEndpoints(next...)
}

// maxSeeds is how many stewards the platform names in a process's settings.
const maxSeeds = 3

// seedAddresses returns the operator addresses of the stewards that settings name.
func (c *platformCluster) seedAddresses() []string {
	addresses := c.operatorAddresses()
	return addresses[:min(maxSeeds, len(addresses))]
}

// operatorAddresses returns the operator addresses of all stewards.
func (c *platformCluster) operatorAddresses() []string {
	var seeds []string
	for _, name := range c.names {
		if v := c.vms[name]; v.role == "steward" {
			seeds = append(seeds, v.operator)
		}
	}
	return seeds
}

// writeSettings writes a VM's settings file in the platform's format.
func (c *platformCluster) writeSettings(v *vm, seeds []string) {
	node := standin.Node{
		Name: v.name, Role: v.role, IP: v.address, BindIP: v.bindAddress, DataCentre: "here", Port: c.port, Seeds: seeds, FirstStart: v.first,
		DataDir: v.dataDir, MemoryMB: cmp.Or(c.shape.memoryMB, vmMemoryMB), FileDescriptors: c.shape.descriptors, List: c.endpointList.Address, Grace: c.shape.grace, Lease: platformLease, Drain: platformDrain, FaultTolerance: c.shape.tolerance, RetryRatio: 0.2, RetryExtra: 50,
	}
	if v.role == "steward" {
		node.Operator = v.operator
	} else {
		node.Client, node.Ready = v.client, v.ready
	}
	body, err := node.SettingsFile()
	if err != nil {
		c.t.Fatal(err)
	}
	path := filepath.Join(v.dir, "node.json")
	if err := os.WriteFile(path+".new", body, 0o600); err != nil {
		c.t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		c.t.Fatal(err)
	}
}

func (c *platformCluster) start(name string) {
	v := c.vms[name]
	env := append([]string{"BURDOCKSADDLE_NODE_FILE=" + filepath.Join(v.dir, "node.json")}, c.env...)
	v.logOffset, v.killed = len(c.log(name)), false
	v.startOnFullDisk = v.fullDisks > 0
	command := []string{c.binary, v.role}
	if v.startOnFullDisk {
		command = []string{"sh", "-c", `ulimit -S -f 0 && exec "$0" "$1"`, c.binary, v.role}
	}
	v.process = startProcessEnv(c.t, command[0], c.dir, name, env, command[1:]...)
}

// log returns the output of all processes that ran on a VM.
func (c *platformCluster) log(name string) []byte {
	data, err := os.ReadFile(filepath.Join(c.dir, name+".log"))
	if err != nil && !os.IsNotExist(err) {
		c.t.Error(err)
	}
	return data
}

// hasStarted reports whether a VM's process has logged that it started. Before that, SIGTERM may end it without a graceful stop.
func (c *platformCluster) hasStarted(v *vm) bool {
	return bytes.Contains(c.log(v.name)[v.logOffset:], []byte(v.role+" started"))
}

// close kills all processes of the cluster by their process IDs and stops the stand-ins and proxies.
func (c *platformCluster) close() {
	for _, v := range c.vms {
		if v.process != nil {
			v.process.resume()
			v.process.kill()
		}
	}
	c.cancel()
	c.crashes.Wait()
	for _, e := range c.endpoints() {
		e.Close()
	}
	c.endpointList.Close()
	c.network.wg.Wait()
	if c.t.Failed() {
		c.t.Logf("logs: %s", c.dir)
	} else if err := os.RemoveAll(c.dir); err != nil {
		c.t.Error(err)
	}
}

// versionPath is the prefix of the route that a configuration version adds.
func versionPath(version int) string { return "/v" + strconv.Itoa(version) + "/" }

// routingTable returns a configuration. Each version adds a route named after it; moreRoutes adds routes that nobody uses.
func (c *platformCluster) routingTable(version, moreRoutes int, teams []standin.Team) []byte {
	routes := []standin.Route{
		{Name: "live", PathPrefix: "/live/", Kind: "streaming", Service: "engine", LatencyObjectiveMS: 500, TimeoutMS: 6000, Resumable: true},
		{Name: "once", PathPrefix: "/once/", Kind: "streaming", Service: "engine", LatencyObjectiveMS: 500, TimeoutMS: 6000},
		{Name: "book", PathPrefix: "/book/", Kind: "non_idempotent", Service: "plain", LatencyObjectiveMS: 100, TimeoutMS: 1500},
		{Name: "read", PathPrefix: "/read/", Kind: "idempotent", Service: "plain", LatencyObjectiveMS: 100, TimeoutMS: 1500},
		{Name: "open", PathPrefix: openPath, Kind: "idempotent", Service: "plain", LatencyObjectiveMS: 100, TimeoutMS: 1500, Public: true},
	}
	add := func(name, prefix string) {
		routes = append(routes, standin.Route{Name: name, PathPrefix: prefix, Kind: "idempotent", Service: "plain", LatencyObjectiveMS: 100, TimeoutMS: 1500})
	}
	for v := range version {
		add("v"+strconv.Itoa(v+1), versionPath(v+1))
	}
	for n := range moreRoutes {
		add("more"+strconv.Itoa(n), "/"+strconv.FormatUint(rand.New(rand.NewPCG(1, uint64(n))).Uint64(), 16)+"/")
	}
	var models []string
	for m := range platformModels {
		models = append(models, modelName(m))
	}
	body, err := standin.Table(version, routes, teams, models, "engine", "plain")
	if err != nil {
		c.t.Fatal(err)
	}
	return body
}

// pick returns a random element of items.
func pick[T any](r *rand.Rand, items []T) T { return items[r.IntN(len(items))] }
