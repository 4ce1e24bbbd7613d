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

// world is a whole deployment in one process, over a network in memory.
type world struct {
	layout
	t        *testing.T
	ctx      context.Context
	network  *memnet.Network
	log      logr.Logger
	nodes    map[string]*running
	engines  []*standin.Engine
	desks    []*standin.Service
	store    *standin.Store
	platform *standin.Platform
	load     *traffic.Load
	judge    traffic.Judge
	accepted map[string]uint64
	changes  int
}

// running is one node in the process.
type running struct {
	cancel  context.CancelFunc
	abandon context.CancelFunc
	ended   <-chan error
}

// newWorld starts everything; the log goes to a file in the folder.
func newWorld(ctx context.Context, t *testing.T, folder string, log io.Writer) *world {
	t.Helper()
	w := newWorldOf(ctx, t, folder, log)
	w.learners = 1
	if err := w.writeCatalog(); err != nil {
		t.Fatal(err)
	}
	w.startStandins()
	for _, name := range w.names() {
		w.start(name)
	}
	return w
}

// newWorldOf makes a deployment with three control members, of which nothing runs yet.
func newWorldOf(ctx context.Context, t *testing.T, folder string, log io.Writer) *world {
	return &world{
		layout: layout{folder: folder, controls: 3, host: func(name string) string { return name }},
		t:      t, ctx: ctx, network: memnet.New(), nodes: map[string]*running{}, accepted: map[string]uint64{},
		log: logr.FromSlogHandler(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug})),
	}
}

// names returns the names of all nodes.
func (l layout) names() []string {
	var names []string
	for i := range l.controls + l.learners {
		names = append(names, control(i))
	}
	for i := range engines {
		names = append(names, engineAgent(i))
	}
	for i := range desks {
		names = append(names, deskAgent(i))
	}
	for i := range entries {
		names = append(names, entry(i))
	}
	return names
}

func (w *world) startStandins() {
	w.platform = standin.NewPlatform(w.ctx)
	w.store = standin.NewStore(w.ctx, standin.LoadSpeed(40_000))
	w.serve("platform", w.platform)
	w.serve("store", w.store)
	for i := range engines {
		w.platform.SetVM(engineAgent(i), false)
		w.engines = append(w.engines, standin.NewEngine(w.ctx, standin.Memory(engineMB), standin.CheckFencing(i > 0),
			standin.WeightStore("http://store:"+standinPort, w.client(engineName(i)))))
		w.serve(engineName(i), w.engines[i])
	}
	for i := range desks {
		w.platform.SetVM(deskAgent(i), false)
		w.desks = append(w.desks, standin.NewService(w.ctx, standin.CallTime(30*time.Millisecond)))
		w.serve(deskName(i), w.desks[i])
	}
}

func (w *world) serve(host string, handler http.Handler) {
	listener, err := w.network.Listen(w.ctx, host+":"+standinPort)
	if err != nil {
		w.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	if faulty, ok := handler.(interface {
		ConnContext(context.Context, net.Conn) context.Context
	}); ok {
		server.ConnContext = faulty.ConnContext
	}
	context.AfterFunc(w.ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
}

// transport dials as a host.
func (w *world) transport(host string) *http.Transport {
	dial := w.network.DialFrom(host)
	t := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }}
	context.AfterFunc(w.ctx, t.CloseIdleConnections)
	return t
}

func (w *world) client(host string) *http.Client { return &http.Client{Transport: w.transport(host)} }

// start boots a node unless it runs: two breakages may each bring the same one back. Its data folder is what an earlier one left.
func (w *world) start(name string) {
	if w.nodes[name] != nil {
		return
	}
	w.network.Boot(name)
	ctx, cancel := context.WithCancel(w.ctx)
	abandoned, abandon := context.WithCancel(w.ctx)
	n := node.New(w.settings(name), node.WithAbandon(abandoned), node.WithLog(w.log), node.WithListen(w.network.Listen),
		node.WithDial(w.network.DialFrom(name)), node.WithHTTP(w.client(name)))
	w.nodes[name] = &running{cancel: cancel, abandon: abandon, ended: n.Run(ctx)}
}

// kill ends a node at once: nothing that it does after this is seen by others.
func (w *world) kill(name string) {
	w.network.Crash(name)
	if n := w.nodes[name]; n != nil {
		n.abandon()
	}
	_ = w.stop(name)
}

// stop ends a node gracefully and returns how it ended.
func (w *world) stop(name string) error {
	n := w.nodes[name]
	delete(w.nodes, name)
	if n == nil {
		return nil
	}
	n.cancel()
	err := <-n.ended
	w.network.Crash(name) // what it left open goes with the process
	return err
}

// isolate silences all links of a node except those that stay inside its VM.
func (w *world) isolate(name string, on bool) {
	for _, other := range append(w.names(), operatorHost, callerHost, "platform", "store") {
		if other != name {
			w.network.Lose(name, other, on)
			w.network.Lose(other, name, on)
		}
	}
}

// loseDisk removes what a control member kept.
func (w *world) loseDisk(name string) {
	if err := os.RemoveAll(filepath.Join(w.folder, "data-"+name)); err != nil {
		w.t.Error(err)
	}
}

// ask sends one request to a control member's operator API.
func (w *world) ask(method, url string, header http.Header, body, into any, timeout time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
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
	transport := w.transport(operatorHost)
	transport.DisableKeepAlives = true
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, json.NewDecoder(response.Body).Decode(into)
}

// leader returns the member that leads, or "" for none.
func (w *world) leader() string {
	for _, name := range slices.Sorted(maps.Keys(w.nodes)) {
		var state node.Dump
		if _, err := w.ask(http.MethodGet, w.operatorOf(name)+operatorapi.PathState, nil, nil, &state, time.Second); err == nil && state.Control != nil && state.Control.Leading {
			return name
		}
	}
	return ""
}

// awaitLeader waits for a member that leads.
func (w *world) awaitLeader() string {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(poll) {
		if name := w.leader(); name != "" {
			return name
		}
	}
	w.t.Errorf("no leader within %v", readyTimeout)
	return control(0)
}

// change makes an operator's change through a member until it is answered; resends keep the operation id.
func (w *world) change(operation string, base uint64, change catalog.Change) (status int, version uint64) {
	header := http.Header{"Operation-Id": {operation}, "If-Match": {strconv.Quote(strconv.FormatUint(base, 10))}}
	for try := range 20 {
		var answer struct{ Version, CurrentVersion uint64 }
		member := control((w.changes + try) % w.controls)
		status, err := w.ask(http.MethodPost, w.operatorOf(member)+operatorapi.PathChanges, header, change, &answer, 3*time.Second)
		if err == nil && status == http.StatusOK {
			w.accepted[operation] = answer.Version
			w.changes++
			return status, answer.Version
		}
		if err == nil && status < http.StatusInternalServerError {
			return status, answer.CurrentVersion
		}
		time.Sleep(300 * time.Millisecond)
	}
	return 0, 0
}

// version returns the newest catalog version that any member answers with.
func (w *world) version() (newest uint64) {
	for i := range w.controls {
		var c catalog.Catalog
		if status, err := w.ask(http.MethodGet, w.operator(i)+operatorapi.PathCatalog, nil, nil, &c, time.Second); err == nil && status == http.StatusOK {
			newest = max(newest, c.Version)
		}
	}
	return newest
}

// close ends every node.
func (w *world) close() {
	for _, name := range slices.Sorted(maps.Keys(w.nodes)) {
		w.nodes[name].abandon()
		w.nodes[name].cancel()
	}
	for name, n := range w.nodes {
		if err := <-n.ended; err != nil {
			w.t.Errorf("%s ended with %v", name, err)
		}
	}
}
