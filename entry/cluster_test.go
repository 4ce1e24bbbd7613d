package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burdocksaddle/catalog"
	"burdocksaddle/engineapi"
	"burdocksaddle/entry"
	"burdocksaddle/node"
	"burdocksaddle/setting"
	"burdocksaddle/standin"
	"burdocksaddle/view"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	plainService = "desk"
	modelService = "assist"
	modelName    = "notes"
	awaitTimeout = 20 * time.Second
)

// cluster is a test deployment with one control member, agents with simulated endpoints, and entries whose connections
// can be made to fail.
type cluster struct {
	t                   testing.TB
	ctx                 context.Context
	control             string
	network             *faultyNetwork
	entries             []*entry.Entry
	endEntry            []context.CancelFunc
	services            []*standin.Service
	engines             []*standin.Engine
	agents              []*agentNode
	scriptedAgentsEnded []<-chan error
	mu                  sync.Mutex
	nextID              int
	onChunk             func()
}

// agentNode is an agent that can be stopped and restarted.
type agentNode struct {
	settings setting.Settings
	// stop shuts the agent down gracefully, cancel ends it immediately.
	stop   context.CancelFunc
	cancel context.CancelFunc
	ended  <-chan error
}

type clusterConfig struct {
	entries, services, engines int
	engineOptions              []standin.EngineOption
	callTime                   time.Duration
	preset                     catalog.Preset
	slots                      int
}

func newCluster(t testing.TB, config clusterConfig) *cluster {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{t: t, ctx: ctx, network: newFaultyNetwork()}
	var ends []<-chan error
	t.Cleanup(func() {
		cancel()
		for _, a := range c.agents {
			ends = append(ends, a.ended)
		}
		for _, end := range append(ends, c.scriptedAgentsEnded...) {
			if err := <-end; err != nil {
				t.Logf("node ended with error: %v", err)
			}
		}
	})
	c.control = c.reserveAddress()
	s := setting.Defaults()
	s.Node, s.DataCentre, s.Roles, s.Listen, s.Controls = "control", "dc", []setting.Role{setting.RoleControl}, c.control, []string{c.control}
	s.Control.Bootstrap = []string{"control=" + c.control}
	s.Advertise = s.Listen
	ends = append(ends, node.New(s, node.WithListen(listenReserved), node.WithFirstCatalog(c.catalog(config))).Run(ctx))
	for i := range config.services {
		service := standin.NewService(ctx, standin.CallTime(config.callTime))
		c.services = append(c.services, service)
		c.addAgent("desk-"+strconv.Itoa(i), plainService, setting.KindPlain, service, config.slots)
	}
	for i := range config.engines {
		options := append([]standin.EngineOption{standin.TokenTime(5 * time.Millisecond), standin.LoadTime(func(engineapi.Order, string) time.Duration { return 10 * time.Millisecond })}, config.engineOptions...)
		engine := standin.NewEngine(ctx, options...)
		c.engines = append(c.engines, engine)
		c.addAgent("engine-"+strconv.Itoa(i), modelService, setting.KindModel, engine, config.slots)
	}
	for i := range config.entries {
		e := setting.Defaults()
		e.Node, e.DataCentre, e.Roles, e.Controls = "entry-"+strconv.Itoa(i), "dc", []setting.Role{setting.RoleEntry}, []string{c.control}
		pool := wire.NewPool(wire.WithDial(c.network.dial))
		instance := entry.New(e, pool, entry.WithViolationHandler(func(err error) { t.Errorf("invariant violated: %v", err) }))
		entryCtx, endEntry := context.WithCancel(ctx)
		ends = append(ends, instance.Run(entryCtx))
		t.Cleanup(pool.Close)
		c.entries, c.endEntry = append(c.entries, instance), append(c.endEntry, endEntry)
	}
	c.await("entries ready", func() bool {
		for _, e := range c.entries {
			if !e.Ready() || len(e.Dump().Endpoints) < config.services+config.engines {
				return false
			}
		}
		return true
	})
	if config.engines > 0 {
		c.loadModelOnEngines(config.engines)
	}
	return c
}

// loadModelOnEngines requests a replica on each engine from control and waits until all are loaded.
func (c *cluster) loadModelOnEngines(engines int) {
	pool := wire.NewPool()
	c.t.Cleanup(pool.Close)
	watch := view.New(pool, []string{c.control}, &wirepb.Watch{Node: "test"})
	ctx, cancel := context.WithCancel(c.ctx)
	ended := watch.Run(ctx)
	defer func() {
		cancel()
		if err := <-ended; err != nil {
			c.t.Error(err)
		}
	}()
	c.await("replicas loaded", func() bool {
		loaded := 0
		for _, endpoint := range watch.Endpoints(modelService) {
			if len(endpoint.GetReplicas()) == 0 {
				decide := &wirepb.Decide{Decisions: []*wirepb.ReplicaDecision{{
					Endpoint: endpoint.GetName(), Incarnation: endpoint.GetIncarnation(), Model: modelName, Version: "1",
					MemoryMb: 1000, Limit: uint32(engines), Reason: "Test",
				}}}
				frame := &wirepb.Frame{Body: &wirepb.Frame_Propose{Propose: &wirepb.Propose{Command: &wirepb.Command{Kind: &wirepb.Command_Decide{Decide: decide}}}}}
				_, _ = pool.Call(ctx, c.control, frame, time.Second)
			}
			for _, replica := range endpoint.GetReplicas() {
				if replica.GetState() == wirepb.ReplicaState_REPLICA_LOADED {
					loaded++
				}
			}
		}
		return loaded == engines
	})
}

func (c *cluster) catalog(config clusterConfig) catalog.Catalog {
	preset := config.preset
	preset.Name, preset.ColdStartWeight, preset.IdleWeight = "Ordinary", 1, 1
	if preset.MaxKeepWarmSeconds == 0 {
		preset.MaxKeepWarmSeconds = 600
	}
	return catalog.Catalog{
		Services: []catalog.Service{{Name: plainService, Kind: catalog.KindPlain}, {Name: modelService, Kind: catalog.KindModel}},
		Models:   []catalog.Model{{Name: modelName, Service: modelService, Version: "1", MemoryMB: 1000, CheckpointMB: 1, MinReplicas: config.engines, MaxReplicas: max(config.engines, 1)}},
		Presets:  []catalog.Preset{preset}, Preset: "Ordinary",
	}
}

// reservedHosts counts the loopback hosts handed out. Each address has its own host, so that no other listener can take
// the port of a node while it restarts.
var reservedHosts atomic.Uint32

func freeAddress() string {
	pid, host := os.Getpid(), reservedHosts.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 64+(pid/256+int(host)/250)%128, pid%256, 1+host%250)
}

func (c *cluster) reserveAddress() string {
	listener, err := net.Listen("tcp", freeAddress())
	if err != nil {
		c.t.Fatal(err)
	}
	reservedListeners.Store(listener.Addr().String(), listener)
	return listener.Addr().String()
}

// reservedListeners holds the listeners of reserved addresses until their nodes take them.
var reservedListeners sync.Map

func (c *cluster) addAgent(name, service string, kind setting.Kind, handler http.Handler, slots int) {
	listener, err := net.Listen("tcp", freeAddress())
	if err != nil {
		c.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	if faulty, ok := handler.(interface {
		ConnContext(context.Context, net.Conn) context.Context
	}); ok {
		server.ConnContext = faulty.ConnContext
	}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(c.ctx, func() { _ = server.Close() })
	s := setting.Defaults()
	s.Node, s.DataCentre, s.Roles, s.Listen, s.Controls = name, "dc", []setting.Role{setting.RoleAgent}, c.reserveAddress(), []string{c.control}
	s.Advertise = s.Listen
	s.Agent.Endpoint, s.Agent.Service, s.Agent.EndpointURL, s.Agent.Kind = name, service, "http://"+listener.Addr().String(), string(kind)
	s.Agent.MemoryMB = 80_000
	if slots > 0 {
		s.Agent.Slots = slots
	}
	a := &agentNode{settings: s}
	c.startAgent(a)
	c.agents = append(c.agents, a)
}

func (c *cluster) startAgent(a *agentNode) {
	abortCtx, cancel := context.WithCancel(c.ctx)
	ctx, stop := context.WithCancel(abortCtx)
	a.stop, a.cancel, a.ended = stop, cancel, node.New(a.settings, node.WithListen(listenReserved), node.WithAbort(abortCtx)).Run(ctx)
}

// listenReserved returns the listener reserved for an address. For a restarted node, it retries until the previous
// instance has released the address.
func listenReserved(ctx context.Context, address string) (net.Listener, error) {
	if listener, ok := reservedListeners.LoadAndDelete(address); ok {
		return listener.(net.Listener), nil
	}
	for {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err == nil || ctx.Err() != nil {
			return listener, err
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// restart ends an agent immediately and starts it again.
func (c *cluster) restart(i int) {
	c.agents[i].cancel()
	if err := <-c.agents[i].ended; err != nil {
		c.t.Logf("agent %d ended with error: %v", i, err)
	}
	c.startAgent(c.agents[i])
}

func (c *cluster) await(description string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(awaitTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting for: %s", description)
		}
	}
}

// result is the response or error that a caller received.
type result struct {
	status int
	body   string
	err    error
}

func (r result) outcomeName() string {
	refused, ok := entry.AsErrRefused(r.err)
	switch {
	case !ok:
		return "Answered"
	case refused.Run == wirepb.Run_RUN_NOT_RUN:
		return "NotRun"
	case refused.Run == wirepb.Run_RUN_RAN:
		return "Ran"
	}
	return "Unknown"
}

func (c *cluster) newRequestID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	return "request-" + strconv.Itoa(c.nextID)
}

// book sends a non-repeatable request with the given idempotency key.
func (c *cluster) book(ctx context.Context, entryIndex int, key string, deadline time.Duration) result {
	return c.bookAs(ctx, "c", entryIndex, key, deadline)
}

func (c *cluster) bookAs(ctx context.Context, caller string, entryIndex int, key string, deadline time.Duration) result {
	return c.serve(ctx, entryIndex, entry.Request{
		ID: c.newRequestID(), Caller: caller, Service: plainService, Method: http.MethodPost, Path: "/bookings", Body: []byte(key),
		IdempotencyKey: key, KeyFromCaller: true, Deadline: time.Now().Add(deadline), Urgency: 3,
	})
}

// lookUpStock sends a repeatable request.
func (c *cluster) lookUpStock(ctx context.Context, entryIndex int, deadline time.Duration) result {
	r := newStockRequest(c.newRequestID())
	r.Deadline = time.Now().Add(deadline)
	return c.serve(ctx, entryIndex, r)
}

func newStockRequest(id string) entry.Request {
	return entry.Request{
		ID: id, Caller: "c", Service: plainService, Method: http.MethodGet, Path: "/stock/1", Repeatable: true,
		Deadline: time.Now().Add(longDeadline), Urgency: 3,
	}
}

// chat sends a completion request; the response repeats the text.
func (c *cluster) chat(ctx context.Context, entryIndex int, text string, stream bool, deadline time.Duration) result {
	body := `{"model":"` + modelName + `","stream":` + strconv.FormatBool(stream) + `,"messages":[{"role":"user","content":"` + text + `"}]}`
	return c.serve(ctx, entryIndex, entry.Request{
		ID: c.newRequestID(), Caller: "c", Service: modelService, Model: modelName, Method: http.MethodPost, Path: engineapi.PathCompletions,
		ContentType: "application/json", Body: []byte(body), Stream: stream, Repeatable: true,
		Deadline: time.Now().Add(deadline), Urgency: 3,
	})
}

// chatWithFirstChunk streams a completion and calls first at its first chunk.
func (c *cluster) chatWithFirstChunk(ctx context.Context, first func()) result {
	var once sync.Once
	c.onChunk = func() { once.Do(first) }
	defer func() { c.onChunk = nil }()
	return c.chat(ctx, 0, "a few words", true, longDeadline)
}

func (c *cluster) serve(ctx context.Context, entryIndex int, r entry.Request) result {
	var got result
	got.err = c.entries[entryIndex].Serve(ctx, r, entry.Sink{
		Start: func(status int, _ string) error {
			got.status = status
			return nil
		},
		Chunk: func(data []byte) error {
			if c.onChunk != nil {
				c.onChunk()
			}
			got.body += string(data)
			return nil
		},
	})
	return got
}

// runCount returns how often a request with the key ran, over all services.
func (c *cluster) runCount(key string) int {
	total := 0
	for _, service := range c.services {
		total += service.Runs()[key]
	}
	return total
}
