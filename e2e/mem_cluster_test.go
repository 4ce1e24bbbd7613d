package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"burdocksaddle/catalog"
	"burdocksaddle/memnet"
	"burdocksaddle/node"
	"burdocksaddle/operatorapi"
	"burdocksaddle/standin"
	"burdocksaddle/traffic"
)

const operatorHost, callerHost = "operator", "caller"

// memCluster is a whole cluster in one process that communicates over an in-memory network.
type memCluster struct {
	layout
	t                *testing.T
	ctx              context.Context
	network          *memnet.Network
	log              logr.Logger
	nodes            map[string]*memNode
	engines          []*standin.Engine
	plainServices    []*standin.Service
	store            *standin.Store
	platform         *standin.Platform
	load             *traffic.Load
	results          traffic.Checker
	acceptedVersions map[string]uint64
	changeCount      int
}

// memNode is a running node of a memCluster. cancel starts a graceful shutdown, abort ends one immediately.
type memNode struct {
	cancel context.CancelFunc
	abort  context.CancelFunc
	exited <-chan error
}

// newMemCluster starts the stand-ins and all nodes; the nodes log to the given writer.
func newMemCluster(ctx context.Context, t *testing.T, dir string, log io.Writer) *memCluster {
	t.Helper()
	c := newIdleMemCluster(ctx, t, dir, log)
	c.learners = 1
	if err := c.writeCatalog(); err != nil {
		t.Fatal(err)
	}
	c.startStandins()
	for _, name := range c.nodeNames() {
		c.startNode(name)
	}
	return c
}

// newIdleMemCluster returns a cluster of three control members without starting any node.
func newIdleMemCluster(ctx context.Context, t *testing.T, dir string, log io.Writer) *memCluster {
	return &memCluster{
		layout: layout{dir: dir, controls: 3, host: func(name string) string { return name }},
		t:      t, ctx: ctx, network: memnet.New(), nodes: map[string]*memNode{}, acceptedVersions: map[string]uint64{},
		log: logr.FromSlogHandler(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug})),
	}
}

// nodeNames returns the names of all nodes.
func (l layout) nodeNames() []string {
	var names []string
	for i := range l.controls + l.learners {
		names = append(names, controlName(i))
	}
	for i := range engineCount {
		names = append(names, engineAgentName(i))
	}
	for i := range plainServiceCount {
		names = append(names, plainAgentName(i))
	}
	for i := range entryCount {
		names = append(names, entryName(i))
	}
	return names
}

func (c *memCluster) startStandins() {
	c.platform = standin.NewPlatform(c.ctx)
	c.store = standin.NewStore(c.ctx, standin.LoadSpeed(40_000))
	c.serveStandin("platform", c.platform)
	c.serveStandin("store", c.store)
	for i := range engineCount {
		c.platform.SetVM(engineAgentName(i), false)
		c.engines = append(c.engines, standin.NewEngine(c.ctx, standin.Memory(engineMB), standin.CheckFencing(i > 0),
			standin.WeightStore("http://store:"+standinPort, c.client(engineName(i)))))
		c.serveStandin(engineName(i), c.engines[i])
	}
	for i := range plainServiceCount {
		c.platform.SetVM(plainAgentName(i), false)
		c.plainServices = append(c.plainServices, standin.NewService(c.ctx, standin.CallTime(30*time.Millisecond)))
		c.serveStandin(plainServiceName(i), c.plainServices[i])
	}
}

func (c *memCluster) serveStandin(host string, handler http.Handler) {
	listener, err := c.network.Listen(c.ctx, host+":"+standinPort)
	if err != nil {
		c.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	if faulty, ok := handler.(interface {
		ConnContext(context.Context, net.Conn) context.Context
	}); ok {
		server.ConnContext = faulty.ConnContext
	}
	context.AfterFunc(c.ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
}

// transport returns an HTTP transport whose connections originate from the given host.
func (c *memCluster) transport(host string) *http.Transport {
	dial := c.network.DialFrom(host)
	t := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }}
	context.AfterFunc(c.ctx, t.CloseIdleConnections)
	return t
}

func (c *memCluster) client(host string) *http.Client {
	return &http.Client{Transport: c.transport(host)}
}

// startNode starts a node unless it is already running, since two faults may both restart the same node.
// A restarted node keeps its data directory.
func (c *memCluster) startNode(name string) {
	if c.nodes[name] != nil {
		return
	}
	c.network.Restore(name)
	ctx, cancel := context.WithCancel(c.ctx)
	abortCtx, abort := context.WithCancel(c.ctx)
	n := node.New(c.settings(name), node.WithAbort(abortCtx), node.WithLog(c.log), node.WithListen(c.network.Listen),
		node.WithDial(c.network.DialFrom(name)), node.WithHTTP(c.client(name)))
	c.nodes[name] = &memNode{cancel: cancel, abort: abort, exited: n.Run(ctx)}
}

// killNode crashes a node: nothing that it does from now on reaches other nodes.
func (c *memCluster) killNode(name string) {
	c.network.Crash(name)
	if n := c.nodes[name]; n != nil {
		n.abort()
	}
	_ = c.stopNode(name)
}

// stopNode shuts a node down gracefully and returns its exit error.
func (c *memCluster) stopNode(name string) error {
	n := c.nodes[name]
	delete(c.nodes, name)
	if n == nil {
		return nil
	}
	n.cancel()
	err := <-n.exited
	c.network.Crash(name) // closes what the node left open, as the end of a process does
	return err
}

// isolate drops, or no longer drops, all traffic between a node and other VMs; connections inside its VM keep working.
func (c *memCluster) isolate(name string, isolated bool) {
	for _, other := range append(c.nodeNames(), operatorHost, callerHost, "platform", "store") {
		if other != name {
			c.network.SetDropped(name, other, isolated)
			c.network.SetDropped(other, name, isolated)
		}
	}
}

// removeDisk deletes a control member's data directory.
func (c *memCluster) removeDisk(name string) {
	if err := os.RemoveAll(filepath.Join(c.dir, "data-"+name)); err != nil {
		c.t.Error(err)
	}
}

// requestJSON sends one request to a node's operator API and decodes the JSON response.
func (c *memCluster) requestJSON(method, url string, header http.Header, body, into any, timeout time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	maps.Copy(request.Header, header)
	transport := c.transport(operatorHost)
	transport.DisableKeepAlives = true
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, json.NewDecoder(response.Body).Decode(into)
}

// leader returns the name of the leading control member, or "" if there is none.
func (c *memCluster) leader() string {
	for _, name := range slices.Sorted(maps.Keys(c.nodes)) {
		var state node.Dump
		if _, err := c.requestJSON(http.MethodGet, c.operatorURLOf(name)+operatorapi.PathState, nil, nil, &state, time.Second); err == nil && state.Control != nil && state.Control.Leading {
			return name
		}
	}
	return ""
}

// awaitLeader waits until a control member leads and returns its name.
func (c *memCluster) awaitLeader() string {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if name := c.leader(); name != "" {
			return name
		}
	}
	c.t.Errorf("no leader within %v", readyTimeout)
	return controlName(0)
}

// applyChange sends a catalog change to the control members in turn until one gives a conclusive answer.
// Retries use the same operation ID.
func (c *memCluster) applyChange(operation string, base uint64, change catalog.Change) (status int, version uint64) {
	header := http.Header{"Operation-Id": {operation}, "If-Match": {strconv.Quote(strconv.FormatUint(base, 10))}}
	for attempt := range 20 {
		var answer struct{ Version, CurrentVersion uint64 }
		member := controlName((c.changeCount + attempt) % c.controls)
		status, err := c.requestJSON(http.MethodPost, c.operatorURLOf(member)+operatorapi.PathChanges, header, change, &answer, 3*time.Second)
		if err == nil && status == http.StatusOK {
			c.acceptedVersions[operation] = answer.Version
			c.changeCount++
			return status, answer.Version
		}
		if err == nil && status < http.StatusInternalServerError {
			return status, answer.CurrentVersion
		}
		time.Sleep(300 * time.Millisecond)
	}
	return 0, 0
}

// catalogVersion returns the newest catalog version that any control member reports.
func (c *memCluster) catalogVersion() (newest uint64) {
	for i := range c.controls {
		newest = max(newest, c.catalogVersionOf(controlName(i)))
	}
	return newest
}

// catalogVersionOf returns the catalog version that a control member reports, or 0 if it does not answer.
func (c *memCluster) catalogVersionOf(name string) uint64 {
	var current catalog.Catalog
	if status, err := c.requestJSON(http.MethodGet, c.operatorURLOf(name)+operatorapi.PathCatalog, nil, nil, &current, time.Second); err != nil || status != http.StatusOK {
		return 0
	}
	return current.Version
}

// close stops all nodes.
func (c *memCluster) close() {
	for _, name := range slices.Sorted(maps.Keys(c.nodes)) {
		c.nodes[name].abort()
		c.nodes[name].cancel()
	}
	for name, n := range c.nodes {
		if err := <-n.exited; err != nil {
			c.t.Errorf("%s exited with an error: %v", name, err)
		}
	}
}
