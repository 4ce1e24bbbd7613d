package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"burdocksaddle/platform/standin"
)

// Bounds as on the sheets of linhose-dispatch and bluemahoe-dir.
const (
	grace       = 8 * time.Second
	lease       = 3 * time.Second
	drain       = 3 * time.Second
	contactTime = 3 * time.Second
	catchUpTime = 4 * time.Second
	ackTime     = 4 * time.Second
	recoverTime = 12 * time.Second
	retryRatio  = 0.2
	retryExtra  = 56
	listLag     = 800 * time.Millisecond
	// restartDelay is how long the platform takes to restart a process.
	restartDelay = 500 * time.Millisecond
	// startPatience is how long the operator waits for its first acknowledgement before a disruption.
	startPatience = 15 * time.Second
	memoryMB      = 280
	descriptors   = 4096
	port          = 7380
)

// machine is one machine of the system.
type machine struct {
	name, role, ip string
	dir            string
	first          bool
	seeds          []string
	command        *exec.Cmd
	exited         chan struct{}
	killed         bool
}

func (m *machine) operator() string { return m.ip + ":8144" }

func (m *machine) client() string { return m.ip + ":8149" }

func (m *machine) ready() string { return m.ip + ":8141" }

// cluster is a deployment on loopback addresses.
type cluster struct {
	ctx     context.Context
	began   time.Time
	dir     string
	binary  string
	subnet  *standin.Subnet
	list    *standin.List
	servers []*standin.Endpoint
	all     []*machine

	mu     sync.Mutex
	record io.Writer
}

func newCluster(ctx context.Context, record io.Writer) (*cluster, error) {
	c := &cluster{ctx: ctx, began: time.Now(), record: record}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	c.binary = filepath.Join(root, "target", "burdocksaddle")
	if _, err := os.Stat(c.binary); err != nil {
		return nil, err
	}
	if c.dir, err = os.MkdirTemp("", "review-3-"); err != nil {
		return nil, err
	}
	if c.subnet, err = standin.ReserveSubnet(ctx); err != nil {
		return nil, err
	}
	for n := range 2 {
		e, err := standin.Start(standin.Config{
			ID: "plain-" + strconv.Itoa(n), Service: "plain", DataCentre: "here", Address: c.subnet.IP(4, n) + ":8000", Slots: 8,
			RequestTime: 15 * time.Millisecond,
		})
		if err != nil {
			return nil, err
		}
		c.servers = append(c.servers, e)
	}
	c.list, err = standin.StartList(c.subnet.IP(5, 0)+":8142", listLag, c.servers...)
	return c, err
}

// note writes a line to the record.
func (c *cluster) note(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c.record, "%8.3f s  %s\n", time.Since(c.began).Seconds(), text)
}

// add adds a machine, whose process is not started yet.
func (c *cluster) add(role string, n int) (*machine, error) {
	group := map[string]int{"steward": 1, "gateway": 2}[role]
	m := &machine{name: role + "-" + strconv.Itoa(n), role: role, ip: c.subnet.IP(group, n), first: true}
	m.dir = filepath.Join(c.dir, m.name)
	c.all = append(c.all, m)
	return m, os.MkdirAll(filepath.Join(m.dir, "data"), 0o700)
}

// addAll adds machines of a role, numbered from 0 on.
func (c *cluster) addAll(role string, count int) (added []*machine, err error) {
	for n := range count {
		m, err := c.add(role, n)
		if err != nil {
			return nil, err
		}
		added = append(added, m)
	}
	return added, nil
}

// startAll starts machines that get the same seeds.
func (c *cluster) startAll(machines []*machine, seeds []string) error {
	for _, m := range machines {
		m.seeds = seeds
		if err := c.start(m); err != nil {
			return err
		}
	}
	return nil
}

// start starts a machine's process with its settings.
func (c *cluster) start(m *machine) error {
	node := standin.Node{
		Name: m.name, Role: m.role, IP: m.ip, DataCentre: "here", Port: port, Seeds: m.seeds, FirstStart: m.first,
		MemoryMB: memoryMB, FileDescriptors: descriptors, List: c.list.Address, Grace: grace, Lease: lease, Drain: drain,
		FaultTolerance: 1, RetryRatio: retryRatio, RetryExtra: retryExtra,
	}
	if m.role == "steward" {
		node.Operator, node.DataDir = m.operator(), filepath.Join(m.dir, "data")
	} else {
		node.Client, node.Ready = m.client(), m.ready()
	}
	body, err := node.SettingsFile()
	if err != nil {
		return err
	}
	settings := filepath.Join(m.dir, "node.json")
	if err := os.WriteFile(settings, body, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	m.command = exec.CommandContext(context.WithoutCancel(c.ctx), c.binary, m.role) // ended by kill
	m.command.Env = append(os.Environ(), "BURDOCKSADDLE_NODE_FILE="+settings)
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.command.Start(); err != nil {
		return err
	}
	m.exited, m.killed = make(chan struct{}), false
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(m.command, m.exited)
	c.note(fmt.Sprintf("%s (%s) starts with process %d, Bootstrap %t, seeds %s", m.name, m.ip, m.command.Process.Pid, m.first, strings.Join(m.seeds, " ")))
	return nil
}

// running reports whether a machine's process runs.
func (m *machine) running() bool {
	if m.command == nil {
		return false
	}
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// signalKill kills a machine's process without waiting for its end.
func (c *cluster) signalKill(m *machine) {
	if m.running() {
		c.note(m.name + " is killed")
		_ = m.command.Process.Signal(syscall.SIGKILL)
		m.killed = true
	}
}

// kill kills a machine's process, if that has not been done, and waits for its end.
func (c *cluster) kill(m *machine) {
	if m.command == nil {
		return
	}
	if !m.killed {
		c.signalKill(m)
	}
	<-m.exited
}

// stop asks a machine's process to stop and waits for its end.
func (c *cluster) stop(m *machine) {
	c.note(m.name + " gets SIGTERM")
	m.killed = true
	_ = m.command.Process.Signal(syscall.SIGTERM)
	<-m.exited
	c.note(m.name + " has stopped")
}

// wipe empties a machine's disk, whose process must have ended.
func (c *cluster) wipe(m *machine) error {
	data := filepath.Join(m.dir, "data")
	if err := os.RemoveAll(data); err != nil {
		return err
	}
	c.note(m.name + " loses its disk")
	return os.MkdirAll(data, 0o700)
}

// loseDisk kills a machine's process and starts it again with an empty disk.
func (c *cluster) loseDisk(m *machine) error {
	c.kill(m)
	return c.restartWiped(m)
}

// restartWiped starts a machine's process, which has ended, with an empty disk.
func (c *cluster) restartWiped(m *machine) error {
	if err := c.wipe(m); err != nil {
		return err
	}
	if err := c.sleep(restartDelay); err != nil {
		return err
	}
	m.first = false
	return c.start(m)
}

// sleep waits, and returns an error if the script has to end.
func (c *cluster) sleep(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
}

// close ends all processes and stand-ins.
func (c *cluster) close() {
	for _, m := range c.all {
		c.kill(m)
	}
	for _, e := range c.servers {
		e.Close()
	}
	c.list.Close()
	c.subnet.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		c.note("logs in " + c.dir)
	}
}

// configuration returns a version of the configuration, with one route to the plain service.
func configuration(version int) ([]byte, error) {
	return standin.Table(version, []standin.Route{
		{Name: "book", PathPrefix: "/book/", Kind: "non_idempotent", Service: "plain", LatencyObjectiveMS: 100, TimeoutMS: 1000},
		{Name: "read", PathPrefix: "/read/", Kind: "idempotent", Service: "plain", LatencyObjectiveMS: 100, TimeoutMS: 1000},
	}, nil, nil, "engine", "plain")
}

// order sends a configuration until it is acknowledged or the time has passed, to the given stewards in turn, and returns whether it was.
func (c *cluster) order(version int, stewards []*machine, within time.Duration) (acknowledged bool, err error) {
	body, err := configuration(version)
	if err != nil {
		return false, err
	}
	operator, end := standin.NewOperator(), time.Now().Add(within)
	statuses := map[int]int{}
	for n := 0; time.Now().Before(end); n++ {
		status := operator.Replace(c.ctx, stewards[n%len(stewards)].operator(), body)
		statuses[status]++
		if status == 200 {
			c.note(fmt.Sprintf("configuration %d acknowledged by %s; answers so far, by status (0: none): %v", version, stewards[n%len(stewards)].name, statuses))
			return true, nil
		}
		if err := c.sleep(200 * time.Millisecond); err != nil {
			return false, err
		}
	}
	c.note(fmt.Sprintf("configuration %d not acknowledged within %v; answers, by status (0: none): %v", version, within, statuses))
	return false, nil
}

// quorumLost sends a configuration, and reads the newest one, for a while, and returns whether no steward acknowledges or returns one.
func (c *cluster) quorumLost(stewards []*machine, version int) (bool, error) {
	acknowledged, err := c.order(version, stewards, 15*time.Second)
	if err != nil {
		return false, err
	}
	read, err := c.read(stewards, 10*time.Second)
	if err != nil {
		return false, err
	}
	return !acknowledged && !read, c.allRun()
}

// allRun returns an error if a process has ended by itself.
func (c *cluster) allRun() error {
	for _, m := range c.all {
		if !m.running() {
			return fmt.Errorf("%s has ended by itself", m.name)
		}
	}
	c.note("all processes run")
	return nil
}

// requests sends requests that may be repeated to the gateways in turn, one at a time, and returns how many were sent and served.
func (c *cluster) requests(gateways []*machine, during time.Duration) (sent, served int, err error) {
	callers := make([]*standin.Caller, len(gateways))
	for i, g := range gateways {
		callers[i] = standin.NewCaller(g.client(), true)
	}
	statuses := map[string]int{}
	for end := time.Now().Add(during); time.Now().Before(end); sent++ {
		outcome := callers[sent%len(callers)].Do(c.ctx, standin.Request{
			ID: fmt.Sprintf("%016x", time.Now().UnixNano()), Host: "one.example", Path: "/read/" + strconv.Itoa(sent), Timeout: time.Second,
		})
		key := strconv.Itoa(outcome.Status)
		if outcome.Err != nil {
			key = "no answer"
		}
		statuses[key]++
		if outcome.Status == 200 && outcome.Complete {
			served++
		}
		if err := c.sleep(50 * time.Millisecond); err != nil {
			return sent, served, err
		}
	}
	c.note(fmt.Sprintf("%d requests sent, %d served; by status: %v; runs at the servers: %d", sent, served, statuses, c.runs()))
	return sent, served, nil
}

func (c *cluster) runs() (runs int) {
	for _, e := range c.servers {
		runs += len(e.Runs())
	}
	return runs
}

// operators returns the machines' addresses for operators.
func operators(machines []*machine) []string {
	var addresses []string
	for _, m := range machines {
		addresses = append(addresses, m.operator())
	}
	return slices.Clip(addresses)
}

// read asks the stewards in turn for the configuration, and returns whether one of them answered with it.
func (c *cluster) read(stewards []*machine, within time.Duration) (bool, error) {
	operator, end := standin.NewOperator(), time.Now().Add(within)
	statuses := map[int]int{}
	for n := 0; time.Now().Before(end); n++ {
		status, body := operator.Describe(c.ctx, stewards[n%len(stewards)].operator())
		statuses[status]++
		if status == 200 {
			c.note(fmt.Sprintf("configuration read from %s, %d bytes", stewards[n%len(stewards)].name, len(body)))
			return true, nil
		}
		if err := c.sleep(200 * time.Millisecond); err != nil {
			return false, err
		}
	}
	c.note(fmt.Sprintf("configuration not read within %v; answers, by status (0: none): %v", within, statuses))
	return false, nil
}
