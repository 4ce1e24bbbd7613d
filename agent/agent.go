package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"burdocksaddle/catalog"
	"burdocksaddle/setting"
	"burdocksaddle/view"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const registerRetry = 200 * time.Millisecond

// Agent guards one endpoint.
type Agent struct {
	settings setting.Settings
	log      logr.Logger
	pool     *wire.Pool
	http     *http.Client
	// once is for calls that must never be repeated and for fresh connections.
	once    *http.Client
	process string

	watch *view.Client
	// facts returns what operators say of the endpoint.
	facts  func() catalog.Endpoint
	orders chan []*wirepb.ReplicaOrder
	nudged chan struct{}

	mu          sync.Mutex
	incarnation uint64
	leaving     bool
	// stopping is the process's own end, leaving its VM's.
	stopping bool
	running  int
	// idle closes when the last running request ends.
	idle chan struct{}
	// life ends with the process; claimed calls don't outlive it.
	life    context.Context
	endLife context.CancelFunc
	starts  *starts
	runs    runs
	// events are the engine\'s newest cache events; served and quiet tell whether to ask for more.
	events []*wirepb.CacheEvent
	served bool
	quiet  int
	// What the engine and the platform said last.
	adapters adapters
	cached   []*wirepb.CachedCheckpoint
	missing  []string
}

// Option sets one property of an Agent.
type Option func(*Agent)

// WithLog sets where events are logged.
func WithLog(log logr.Logger) Option { return func(a *Agent) { a.log = log } }

// WithHTTP replaces the client that talks to the endpoint.
func WithHTTP(client *http.Client) Option { return func(a *Agent) { a.http = client } }

// New makes an Agent; process is the random name of this process.
func New(settings setting.Settings, pool *wire.Pool, process string, options ...Option) *Agent {
	a := &Agent{
		settings: settings, pool: pool, process: process, log: logr.Discard(),
		http:   &http.Client{Transport: endpointTransport(settings.Agent.Slots)},
		orders: make(chan []*wirepb.ReplicaOrder, 1), idle: make(chan struct{}), runs: runs{},
		starts: newStarts(settings.Agent.AnswerBytes, settings.Agent.AnswerKeepMS),
		nudged: make(chan struct{}, 1), adapters: adapters{underWay: map[string]chan struct{}{}},
	}
	a.facts = a.catalogFacts
	a.life, a.endLife = context.WithCancel(context.Background())
	for _, option := range options {
		option(a)
	}
	a.once = onceClient(a.http)
	a.http = &http.Client{Transport: a.http.Transport, CheckRedirect: noRedirect}
	return a
}

// Run registers and then carries the duties out until the context ends; the channel gives the end.
func (a *Agent) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	context.AfterFunc(ctx, a.endLife)
	go func() { ended <- a.run(ctx) }()
	return ended
}

func (a *Agent) run(ctx context.Context) error {
	incarnation, err := a.register(ctx)
	if err != nil {
		return err
	}
	s := a.settings
	watch := view.New(a.pool, s.Controls, &wirepb.Watch{
		Node: s.Node, Role: string(setting.RoleAgent), DataCentre: s.DataCentre,
		Endpoint: s.Agent.Endpoint, Incarnation: incarnation,
	}, view.WithLog(a.log), view.WithOrders(a.takeOrders), view.WithPermits(a.takePermits))
	a.mu.Lock()
	a.incarnation, a.watch = incarnation, watch
	a.mu.Unlock()
	for _, end := range []<-chan error{watch.Run(ctx), a.hold(ctx), a.pollPlatform(ctx), a.reap(ctx), a.followEvents(ctx)} {
		if err := <-end; err != nil {
			return err
		}
	}
	return nil
}

// register asks control members in turn until one gives an incarnation.
func (a *Agent) register(ctx context.Context) (uint64, error) {
	s := a.settings
	frame := &wirepb.Frame{Body: &wirepb.Frame_Register{Register: &wirepb.Register{
		Endpoint: s.Agent.Endpoint, Service: s.Agent.Service, DataCentre: s.DataCentre, Address: s.Advertise,
		Process: a.process, MemoryMb: s.Agent.MemoryMB, Slots: uint32(s.Agent.Slots),
	}}}
	for next := 0; ; next++ {
		reply, err := a.pool.Call(ctx, s.Controls[next%len(s.Controls)], frame, callTimeout)
		if incarnation := reply.GetRegistered().GetIncarnation(); err == nil && incarnation > 0 {
			a.log.Info("registered", "endpoint", s.Agent.Endpoint, "incarnation", incarnation)
			return incarnation, nil
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(registerRetry):
		}
	}
}

// takeOrders hands the newest orders to the holder; older ones it has not seen are replaced.
func (a *Agent) takeOrders(orders []*wirepb.ReplicaOrder) {
	select {
	case <-a.orders:
	default:
	}
	select {
	case a.orders <- orders:
	default:
	}
}

func (a *Agent) catalogVersion() uint64 {
	if watch := a.watching(); watch != nil {
		return watch.Version()
	}
	return 0
}

// seen catches up at once with a version that an entry already has.
func (a *Agent) seen(version uint64) {
	if watch := a.watching(); watch != nil {
		watch.Behind(version)
	}
}

func (a *Agent) watching() *view.Client {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.watch
}

// Handlers returns what serves other processes' calls.
func (a *Agent) Handlers() wire.Handlers {
	return wire.Handlers{Dispatch: a.Dispatch, Enquiry: a.Enquiry}
}

// Dump is an agent's state.
type Dump struct {
	Endpoint    string
	Incarnation uint64
	Leaving     bool
	Running     int
	Starts      int
}

// Dump returns the agent's state for operators, without secrets.
func (a *Agent) Dump() Dump {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Dump{Endpoint: a.settings.Agent.Endpoint, Incarnation: a.incarnation, Leaving: a.leaving, Running: a.running, Starts: a.starts.len()}
}
