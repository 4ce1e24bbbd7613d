// Command cluster starts stewards and gateways as separate processes on loopback addresses, with the project's stand-ins for the platform, and
// plays one of the review's cases.
package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"burdocksaddle/platform/standin"
)

// Bounds of a small deployment, as in the settings of the small sites.
const (
	leaseTime      = 3 * time.Second
	thawTime       = 300 * time.Millisecond
	graceTime      = 8 * time.Second
	drainTime      = 3 * time.Second
	memoryMB       = 284
	retryExtra     = 56
	faultTolerance = 1
)

// errSetup reports that a case could not run.
type errSetup struct{ cause error }

func (e errSetup) Error() string { return "cannot run: " + e.cause.Error() }

func must(err error) {
	if err != nil {
		panic(errSetup{err})
	}
}

// machine is a VM with one process.
type machine struct {
	name, role string
	// address is where others reach it, bind where it listens and calls from.
	address, bind           string
	client, ready, operator string
	dir                     string
	first                   bool
	command                 *exec.Cmd
	exited                  chan struct{}
}

// cluster is a small deployment.
type cluster struct {
	ctx      context.Context
	cancel   context.CancelFunc
	dir      string
	binary   string
	subnet   int
	port     int
	network  *network
	machines []*machine
	list     *standin.List
	engines  []*standin.Endpoint
	record   *recorder
}

// recorder writes what happened to record.txt.
type recorder struct {
	mu    sync.Mutex
	file  io.Writer
	began time.Time
}

func (r *recorder) printf(format string, arguments ...any) {
	r.at(time.Now(), format, arguments...)
}

func (r *recorder) at(at time.Time, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", at.Sub(r.began).Seconds()) + fmt.Sprintf(format, arguments...)
	fmt.Fprintln(r.file, line)
}

func newCluster(binary string, record *recorder) *cluster {
	dir, err := os.MkdirTemp("", "review-")
	must(err)
	c := &cluster{dir: dir, binary: binary, record: record, network: newNetwork()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.subnet = 10 + os.Getpid()%200
	c.port = c.freePort(1, 0)
	return c
}

func (c *cluster) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", c.subnet, kind, n+1) }

func (c *cluster) freePort(kind, n int) int {
	l, err := net.Listen("tcp", c.ip(kind, n)+":0")
	must(err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// nameOf returns the machine that calls from an address.
func (c *cluster) nameOf(a net.Addr) string {
	host, _, _ := net.SplitHostPort(a.String())
	for _, m := range c.machines {
		if m.bind == host {
			return m.name
		}
	}
	return host
}

func (c *cluster) addMachine(role string, n int) {
	kind := map[string]int{"steward": 1, "gateway": 2}[role]
	m := &machine{name: role + "-" + strconv.Itoa(n), role: role, address: c.ip(kind, n), bind: c.ip(kind+100, n), first: true}
	m.dir = filepath.Join(c.dir, m.name)
	must(os.MkdirAll(filepath.Join(m.dir, "data"), 0o700))
	for _, address := range []*string{&m.client, &m.ready, &m.operator} {
		*address = fmt.Sprintf("%s:%d", m.address, c.freePort(kind, n))
	}
	c.machines = append(c.machines, m)
	port := ":" + strconv.Itoa(c.port)
	c.network.proxy(c.ctx, m.address+port, m.name, m.bind+port, c.nameOf)
}

// engineIdleTime is after how long a model endpoint closes an idle connection. The pages name no value.
const engineIdleTime = 30 * time.Second

// addEngine starts a model endpoint. Callers reach the stand-in through an HTTP server that keeps idle connections for engineIdleTime.
func (c *cluster) addEngine(config standin.Config, n int) *standin.Endpoint {
	config.ID, config.DataCentre = "engine-"+strconv.Itoa(n), "here"
	config.Address = fmt.Sprintf("%s:%d", c.ip(103, n), c.freePort(103, n))
	config.ListedAddress = fmt.Sprintf("%s:%d", c.ip(3, n), c.freePort(3, n))
	e, err := standin.Start(config)
	must(err)
	c.engines = append(c.engines, e)
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: config.Address})
	forward.FlushInterval, forward.ErrorLog = -1, log.New(io.Discard, "", 0)
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", c.ip(104, n), c.freePort(104, n)))
	must(err)
	server := &http.Server{IdleTimeout: engineIdleTime, ErrorLog: forward.ErrorLog, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/api/order" {
			r = r.WithContext(context.WithoutCancel(r.Context())) // carried out even if its sender has left
		}
		forward.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(c.ctx, func() { _ = server.Close() })
	c.network.proxy(c.ctx, config.ListedAddress, config.ID, listener.Addr().String(), c.nameOf)
	return e
}

// start starts the platform's list and the processes of all machines.
func (c *cluster) start(endpoints ...*standin.Endpoint) {
	list, err := standin.StartList(fmt.Sprintf("%s:%d", c.ip(250, 1), c.freePort(250, 1)), 800*time.Millisecond, endpoints...)
	must(err)
	c.list = list
	for _, m := range c.machines {
		c.startMachine(m)
	}
}

func (c *cluster) seeds() []string {
	var seeds []string
	for _, m := range c.machines {
		if m.role == "steward" {
			seeds = append(seeds, m.operator)
		}
	}
	return seeds
}

func (c *cluster) startMachine(m *machine) {
	node := standin.Node{
		Name: m.name, Role: m.role, IP: m.address, BindIP: m.bind, DataCentre: "here", Port: c.port, Seeds: c.seeds(), FirstStart: m.first,
		DataDir: filepath.Join(m.dir, "data"), MemoryMB: memoryMB, List: c.list.Address, Grace: graceTime, Lease: leaseTime, Drain: drainTime,
		FaultTolerance: faultTolerance, RetryRatio: 0.2, RetryExtra: retryExtra,
	}
	if m.role == "steward" {
		node.Operator = m.operator
	} else {
		node.Client, node.Ready = m.client, m.ready
	}
	body, err := node.SettingsFile()
	must(err)
	path := filepath.Join(m.dir, "node.json")
	must(os.WriteFile(path, body, 0o600))
	output, err := os.OpenFile(filepath.Join(c.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer output.Close()
	m.command = exec.Command(c.binary, m.role)
	m.command.Stdout, m.command.Stderr = output, output
	m.command.Env = append(os.Environ(), "BURDOCKSADDLE_NODE_FILE="+path)
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(m.command.Start())
	exited, command := make(chan struct{}), m.command
	m.exited = exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	m.first = false
}

// signal sends a signal to a machine's process.
func (m *machine) signal(s syscall.Signal) { _ = m.command.Process.Signal(s) }

func (c *cluster) machine(name string) *machine {
	for _, m := range c.machines {
		if m.name == name {
			return m
		}
	}
	panic("no machine " + name)
}

// close ends all processes that the case started, by their process IDs.
func (c *cluster) close() {
	for _, m := range c.machines {
		if m.command == nil || m.command.Process == nil {
			continue
		}
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	c.cancel()
	for _, e := range c.engines {
		e.Close()
	}
	if c.list != nil {
		c.list.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs:", c.dir)
	}
}

// configure sends a configuration to the stewards until one acknowledges it.
func (c *cluster) configure(body []byte, within time.Duration) {
	operator, deadline := standin.NewOperator(), time.Now().Add(within)
	for time.Now().Before(deadline) {
		for _, m := range c.machines {
			if m.role == "steward" && operator.Replace(c.ctx, m.operator, body) == 200 {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	panic(errSetup{fmt.Errorf("no steward acknowledges the configuration")})
}

// awaitReady waits until all gateways report that they are ready.
func (c *cluster) awaitReady(within time.Duration) {
	deadline := time.Now().Add(within)
	for _, m := range c.machines {
		for m.role == "gateway" && !isReady(m) {
			if time.Now().After(deadline) {
				panic(errSetup{fmt.Errorf("%s is not ready", m.name)})
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func isReady(m *machine) bool {
	conn, err := net.DialTimeout("tcp", m.ready, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	answer, _ := io.ReadAll(conn)
	return strings.HasPrefix(string(answer), "HTTP/1.1 200")
}
