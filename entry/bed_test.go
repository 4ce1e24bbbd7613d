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
	desk      = "desk"
	assist    = "assist"
	model     = "notes"
	readyTime = 20 * time.Second
)

// bed is a small system with one control member, agents before stand-ins, and
// entries whose connections can be made to fail.
type bed struct {
	t        testing.TB
	ctx      context.Context
	control  string
	links    *links
	entries  []*entry.Entry
	services []*standin.Service
	engines  []*standin.Engine
	agents   []*agentNode
	old      []<-chan error
	mu       sync.Mutex
	next     int
	onPart   func()
}

// agentNode is one agent's process, which can be ended and started again.
type agentNode struct {
	settings setting.Settings
	// stop lets it finish, cancel ends it at once.
	stop   context.CancelFunc
	cancel context.CancelFunc
	ended  <-chan error
}

type bedSize struct {
	entries, services, engines int
	engine                     []standin.EngineOption
	callTime                   time.Duration
	preset                     catalog.Preset
	slots                      int
}

func newBed(t testing.TB, size bedSize) *bed {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	b := &bed{t: t, ctx: ctx, links: newLinks()}
	var ends []<-chan error
	t.Cleanup(func() {
		cancel()
		for _, a := range b.agents {
			ends = append(ends, a.ended)
		}
		for _, end := range append(ends, b.old...) {
			if err := <-end; err != nil {
				t.Logf("a process ended with %v", err)
			}
		}
	})
	b.control = b.address()
	s := setting.Defaults()
	s.Node, s.DataCentre, s.Roles, s.Listen, s.Controls = "control", "dc", []setting.Role{setting.RoleControl}, b.control, []string{b.control}
	s.Control.Bootstrap = []string{"control=" + b.control}
	s.Advertise = s.Listen
	ends = append(ends, node.New(s, node.WithListen(listenAgain), node.WithFirstCatalog(b.catalog(size))).Run(ctx))
	for i := range size.services {
		one := standin.NewService(ctx, standin.CallTime(size.callTime))
		b.services = append(b.services, one)
		b.addAgent("desk-"+strconv.Itoa(i), desk, setting.KindPlain, one, size.slots)
	}
	for i := range size.engines {
		options := append([]standin.EngineOption{standin.TokenTime(5 * time.Millisecond), standin.LoadTime(func(engineapi.Order, string) time.Duration { return 10 * time.Millisecond })}, size.engine...)
		one := standin.NewEngine(ctx, options...)
		b.engines = append(b.engines, one)
		b.addAgent("engine-"+strconv.Itoa(i), assist, setting.KindModel, one, size.slots)
	}
	for i := range size.entries {
		e := setting.Defaults()
		e.Node, e.DataCentre, e.Roles, e.Controls = "entry-"+strconv.Itoa(i), "dc", []setting.Role{setting.RoleEntry}, []string{b.control}
		pool := wire.NewPool(wire.WithDial(b.links.dial))
		one := entry.New(e, pool, entry.WithViolation(func(err error) { t.Errorf("invariant: %v", err) }))
		ends = append(ends, one.Run(ctx))
		t.Cleanup(pool.Close)
		b.entries = append(b.entries, one)
	}
	b.await("entries ready", func() bool {
		for _, e := range b.entries {
			if !e.Ready() || len(e.Dump().Endpoints) < size.services+size.engines {
				return false
			}
		}
		return true
	})
	if size.engines > 0 {
		b.loadEverywhere(size.engines)
	}
	return b
}

// loadEverywhere asks control for a replica on each engine and waits for them.
func (b *bed) loadEverywhere(engines int) {
	pool := wire.NewPool()
	b.t.Cleanup(pool.Close)
	watch := view.New(pool, []string{b.control}, &wirepb.Watch{Node: "bed"})
	ctx, cancel := context.WithCancel(b.ctx)
	ended := watch.Run(ctx)
	defer func() {
		cancel()
		if err := <-ended; err != nil {
			b.t.Error(err)
		}
	}()
	b.await("replicas loaded", func() bool {
		loaded := 0
		for _, endpoint := range watch.Endpoints(assist) {
			if len(endpoint.GetReplicas()) == 0 {
				decide := &wirepb.Decide{Decisions: []*wirepb.ReplicaDecision{{
					Endpoint: endpoint.GetName(), Incarnation: endpoint.GetIncarnation(), Model: model, Version: "1",
					MemoryMb: 1000, Limit: uint32(engines), Reason: "Test",
				}}}
				frame := &wirepb.Frame{Body: &wirepb.Frame_Propose{Propose: &wirepb.Propose{Command: &wirepb.Command{Kind: &wirepb.Command_Decide{Decide: decide}}}}}
				_, _ = pool.Call(ctx, b.control, frame, time.Second)
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

func (b *bed) catalog(size bedSize) catalog.Catalog {
	preset := size.preset
	preset.Name, preset.ColdStartWeight, preset.IdleWeight = "Ordinary", 1, 1
	if preset.MaxKeepWarmSeconds == 0 {
		preset.MaxKeepWarmSeconds = 600
	}
	return catalog.Catalog{
		Services: []catalog.Service{{Name: desk, Kind: catalog.KindPlain}, {Name: assist, Kind: catalog.KindModel}},
		Models:   []catalog.Model{{Name: model, Service: assist, Version: "1", MemoryMB: 1000, CheckpointMB: 1, MinReplicas: size.engines, MaxReplicas: max(size.engines, 1)}},
		Presets:  []catalog.Preset{preset}, Preset: "Ordinary",
	}
}

// hosts counts the addresses handed out; each has its own, so that no one takes the port of a process that restarts.
var hosts atomic.Uint32

func freeAddress() string {
	pid, host := os.Getpid(), hosts.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 64+(pid/256+int(host)/250)%128, pid%256, 1+host%250)
}

func (b *bed) address() string {
	listener, err := net.Listen("tcp", freeAddress())
	if err != nil {
		b.t.Fatal(err)
	}
	reserved.Store(listener.Addr().String(), listener)
	return listener.Addr().String()
}

// reserved holds listeners by address until their process takes them.
var reserved sync.Map

func (b *bed) addAgent(name, service string, kind setting.Kind, handler http.Handler, slots int) {
	listener, err := net.Listen("tcp", freeAddress())
	if err != nil {
		b.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	if faulty, ok := handler.(interface {
		ConnContext(context.Context, net.Conn) context.Context
	}); ok {
		server.ConnContext = faulty.ConnContext
	}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(b.ctx, func() { _ = server.Close() })
	s := setting.Defaults()
	s.Node, s.DataCentre, s.Roles, s.Listen, s.Controls = name, "dc", []setting.Role{setting.RoleAgent}, b.address(), []string{b.control}
	s.Advertise = s.Listen
	s.Agent.Endpoint, s.Agent.Service, s.Agent.EndpointURL, s.Agent.Kind = name, service, "http://"+listener.Addr().String(), string(kind)
	s.Agent.MemoryMB = 80_000
	if slots > 0 {
		s.Agent.Slots = slots
	}
	a := &agentNode{settings: s}
	b.startAgent(a)
	b.agents = append(b.agents, a)
}

func (b *bed) startAgent(a *agentNode) {
	abandon, cancel := context.WithCancel(b.ctx)
	ctx, stop := context.WithCancel(abandon)
	a.stop, a.cancel, a.ended = stop, cancel, node.New(a.settings, node.WithListen(listenAgain), node.WithAbandon(abandon)).Run(ctx)
}

// listenAgain takes the listener that is held for an address, or waits until the process before has let go of the address.
func listenAgain(ctx context.Context, address string) (net.Listener, error) {
	if listener, ok := reserved.LoadAndDelete(address); ok {
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

// restart ends an agent's process at once, whatever it is doing, and starts another.
func (b *bed) restart(i int) {
	b.agents[i].cancel()
	if err := <-b.agents[i].ended; err != nil {
		b.t.Logf("agent %d ended with %v", i, err)
	}
	b.startAgent(b.agents[i])
}

func (b *bed) await(what string, holds func() bool) {
	b.t.Helper()
	for deadline := time.Now().Add(readyTime); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			b.t.Fatalf("not in time: %s", what)
		}
	}
}

// answer is what a caller got.
type answer struct {
	status int
	body   string
	err    error
}

func (a answer) run() string {
	refused, ok := entry.AsErrRefused(a.err)
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

func (b *bed) id() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return "request-" + strconv.Itoa(b.next)
}

// book sends a booking under a key.
func (b *bed) book(ctx context.Context, at int, key string, deadline time.Duration) answer {
	return b.bookAs(ctx, "c", at, key, deadline)
}

func (b *bed) bookAs(ctx context.Context, caller string, at int, key string, deadline time.Duration) answer {
	return b.serve(ctx, at, entry.Request{
		ID: b.id(), Caller: caller, Service: desk, Method: http.MethodPost, Path: "/bookings", Body: []byte(key),
		Key: key, KeyGiven: true, Deadline: time.Now().Add(deadline), Urgency: 3,
	})
}

// lookUp sends a stock look-up.
func (b *bed) lookUp(ctx context.Context, at int, deadline time.Duration) answer {
	r := lookUpRequest(b.id())
	r.Deadline = time.Now().Add(deadline)
	return b.serve(ctx, at, r)
}

func lookUpRequest(id string) entry.Request {
	return entry.Request{
		ID: id, Caller: "c", Service: desk, Method: http.MethodGet, Path: "/stock/1", Repeatable: true,
		Deadline: time.Now().Add(longDeadline), Urgency: 3,
	}
}

// chat sends a completion whose answer repeats the words.
func (b *bed) chat(ctx context.Context, at int, words string, stream bool, deadline time.Duration) answer {
	body := `{"model":"` + model + `","stream":` + strconv.FormatBool(stream) + `,"messages":[{"role":"user","content":"` + words + `"}]}`
	return b.serve(ctx, at, entry.Request{
		ID: b.id(), Caller: "c", Service: assist, Model: model, Method: http.MethodPost, Path: engineapi.PathCompletions,
		ContentType: "application/json", Body: []byte(body), Stream: stream, Repeatable: true,
		Deadline: time.Now().Add(deadline), Urgency: 3,
	})
}

// chatFirst streams an answer and calls first at its first part.
func (b *bed) chatFirst(ctx context.Context, first func()) answer {
	var once sync.Once
	b.onPart = func() { once.Do(first) }
	defer func() { b.onPart = nil }()
	return b.chat(ctx, 0, "a few words", true, longDeadline)
}

func (b *bed) serve(ctx context.Context, at int, r entry.Request) answer {
	var a answer
	a.err = b.entries[at].Serve(ctx, r, entry.Sink{
		Start: func(status int, _ string) error {
			a.status = status
			return nil
		},
		Part: func(data []byte) error {
			if b.onPart != nil {
				b.onPart()
			}
			a.body += string(data)
			return nil
		},
	})
	return a
}

// runs returns how often a key ran at any service.
func (b *bed) runs(key string) int {
	sum := 0
	for _, one := range b.services {
		sum += one.Runs()[key]
	}
	return sum
}
