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

const registerRetryInterval = 200 * time.Millisecond

// Agent manages a single endpoint: it forwards requests, applies replica orders and reports the endpoint's state.
type Agent struct {
	settings setting.Settings
	log      logr.Logger
	pool     *wire.Pool
	http     *http.Client
	// singleUseHTTP opens a new connection for each request. It serves non-repeatable calls and retries after a lost connection.
	singleUseHTTP *http.Client
	process       string

	watch *view.Client
	// endpointConfig returns the endpoint's configuration from the catalog.
	endpointConfig func() catalog.Endpoint
	orders         chan []*wirepb.ReplicaOrder
	wake           chan struct{}

	mu          sync.Mutex
	incarnation uint64
	leaving     bool
	// stopping is set when this process shuts down, leaving when the platform removes its VM.
	stopping bool
	running  int
	// idleCh is closed when the last running request ends.
	idleCh chan struct{}
	// baseCtx is cancelled when the process stops and bounds all non-repeatable calls.
	baseCtx    context.Context
	cancelBase context.CancelFunc
	claims     *claimTable
	runs       runs
	// cacheEvents holds the engine's latest cache events; dispatchedSincePoll and idlePolls decide whether to poll for more.
	cacheEvents         []*wirepb.CacheEvent
	dispatchedSincePoll bool
	idlePolls           int
	// engineInterrupted is set once the engine has failed to answer, until its cache events have been read completely.
	engineInterrupted bool
	// State last reported by the engine and the platform.
	adapters          adapterState
	cachedCheckpoints []*wirepb.CachedCheckpoint
	missingEndpoints  []string
}

// Option configures an Agent.
type Option func(*Agent)

// WithLog sets the logger. Without it, log output is discarded.
func WithLog(log logr.Logger) Option { return func(a *Agent) { a.log = log } }

// WithHTTP replaces the HTTP client used to call the endpoint.
func WithHTTP(client *http.Client) Option { return func(a *Agent) { a.http = client } }

// New creates an Agent. process is a random ID that identifies this process to control.
func New(settings setting.Settings, pool *wire.Pool, process string, options ...Option) *Agent {
	a := &Agent{
		settings: settings, pool: pool, process: process, log: logr.Discard(),
		http:   &http.Client{Transport: endpointTransport(settings.Agent.Slots)},
		orders: make(chan []*wirepb.ReplicaOrder, 1), idleCh: make(chan struct{}), runs: runs{},
		claims: newClaimTable(settings.Agent.AnswerBytes, settings.Agent.AnswerKeepMS),
		wake:   make(chan struct{}, 1), adapters: adapterState{inFlight: map[string]chan struct{}{}},
	}
	a.endpointConfig = a.catalogEndpoint
	a.baseCtx, a.cancelBase = context.WithCancel(context.Background())
	for _, option := range options {
		option(a)
	}
	a.singleUseHTTP = newSingleUseClient(a.http)
	a.http = newEndpointClient(a.http.Transport)
	return a
}

// Run registers the agent and runs its background loops until ctx is done. The returned channel receives the final error.
func (a *Agent) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	context.AfterFunc(ctx, a.cancelBase)
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
	}, view.WithLog(a.log), view.WithOrderHandler(a.queueOrders), view.WithPermitHandler(a.setPermits))
	a.mu.Lock()
	a.incarnation, a.watch = incarnation, watch
	a.mu.Unlock()
	for _, end := range []<-chan error{watch.Run(ctx), a.reconcile(ctx), a.pollPlatform(ctx), a.reapRuns(ctx), a.pollCacheEvents(ctx)} {
		if err := <-end; err != nil {
			return err
		}
	}
	return nil
}

// register tries the control members in turn until one assigns an incarnation.
func (a *Agent) register(ctx context.Context) (uint64, error) {
	s := a.settings
	frame := &wirepb.Frame{Body: &wirepb.Frame_Register{Register: &wirepb.Register{
		Endpoint: s.Agent.Endpoint, Service: s.Agent.Service, DataCentre: s.DataCentre, Address: s.Advertise,
		Process: a.process, MemoryMb: s.Agent.MemoryMB, Slots: uint32(s.Agent.Slots),
	}}}
	for attempt := 0; ; attempt++ {
		reply, err := a.pool.Call(ctx, s.Controls[attempt%len(s.Controls)], frame, controlCallTimeout)
		if incarnation := reply.GetRegistered().GetIncarnation(); err == nil && incarnation > 0 {
			a.log.Info("registered", "endpoint", s.Agent.Endpoint, "incarnation", incarnation)
			return incarnation, nil
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(registerRetryInterval):
		}
	}
}

// queueOrders passes the latest orders to the reconciler and replaces any that it has not read yet.
func (a *Agent) queueOrders(orders []*wirepb.ReplicaOrder) {
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
	if watch := a.watchClient(); watch != nil {
		return watch.Version()
	}
	return 0
}

// catchUpCatalog requests an update if the sender's catalog version is newer than the local one.
func (a *Agent) catchUpCatalog(version uint64) {
	if watch := a.watchClient(); watch != nil {
		watch.NotifyVersion(version)
	}
}

func (a *Agent) watchClient() *view.Client {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.watch
}

// Handlers returns the RPC handlers that other processes call.
func (a *Agent) Handlers() wire.Handlers {
	return wire.Handlers{Dispatch: a.Dispatch, Enquiry: a.Enquiry}
}

// Dump is a snapshot of an agent's state.
type Dump struct {
	Endpoint    string
	Incarnation uint64
	Leaving     bool
	Running     int
	Starts      int
}

// Dump returns a snapshot of the agent's state for operators. It contains no secrets.
func (a *Agent) Dump() Dump {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Dump{Endpoint: a.settings.Agent.Endpoint, Incarnation: a.incarnation, Leaving: a.leaving, Running: a.running, Starts: a.claims.len()}
}
