package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"burdocksaddle/endpoint"
	"burdocksaddle/quota"
	"burdocksaddle/route"
	"burdocksaddle/routing"
	"burdocksaddle/uplink"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

// Config holds the identity and the limits of a gateway.
type Config struct {
	Node       string
	DataCentre string
	// Stewards are the initial addresses for discovering the stewards.
	Stewards []string
	// RetryRatio is the share of a service's requests that may be retried.
	RetryRatio float64
	// RetryExtra is the number of additional retries that all gateways together may send within the platform's
	// window.
	RetryExtra float64
	// DrainTime is how long an endpoint that said that it is leaving may still be sent new requests.
	DrainTime time.Duration
	// Quota are the bounds of teams' rate limits.
	Quota quota.Bounds
}

// Gateway routes the requests that one gateway process receives and holds their shared state.
type Gateway struct {
	config        Config
	log           logr.Logger
	pool          *wire.Pool
	stewardLinks  *uplink.Uplink
	decodeTable   func([]byte) (*route.Table, error)
	send          func(context.Context, Call) (*Response, error)
	listEndpoints func(context.Context) ([]endpoint.State, int, error)
	hasStopped    func(ctx context.Context, address string) bool
	askTurn       func(ctx context.Context, leader string, request *wirepb.TurnRequest) (*wirepb.TurnReply, error)
	askQuota      func(ctx context.Context, leader string, request *wirepb.QuotaRequest) (*wirepb.QuotaReply, error)
	askTrial      func(ctx context.Context, leader string, request *wirepb.TrialRequest) (*wirepb.TurnReply, error)
	askOrigin     func(ctx context.Context, steward string, query *wirepb.OriginQuery) (*wirepb.OriginReply, error)
	tellStarts    func(steward string, starts *wirepb.StreamStarts) (written <-chan struct{}, sent bool)
	// pendingCrashes are broken attempts for runCrashChecks.
	pendingCrashes chan pendingCrash

	metrics *metrics.Set
	table   atomic.Pointer[route.Table]
	// stopsAt is when the gateway ends its requests, nil unless it is stopping.
	stopsAt atomic.Pointer[time.Time]
	// pendingCtx is cancelled to refuse the requests that wait for an endpoint, activeCtx to end all active requests.
	pendingCtx, activeCtx       context.Context
	cancelPending, cancelActive context.CancelFunc

	mu        sync.Mutex
	router    *routing.Router
	endpoints map[string]endpoint.State
	// absentUntil holds, for each model or adapter that an endpoint reported as not loaded, the time until which the
	// report counts.
	absentUntil map[modelLocation]time.Time
	// notices holds what endpoints told this gateway.
	notices            *endpoint.Notices
	endpointsUpdatedAt time.Time
	// announcedVersion is the newest version of the table that a steward has announced.
	announcedVersion uint64
	// tableUpdatedAt is when this gateway put the current table into use.
	tableUpdatedAt time.Time
	// stewardViews holds the endpoint state received from each steward, leaderView the one received from the leader.
	stewardViews map[string]*endpoint.SubscriberView
	leaderView   *endpoint.SubscriberView
	// reportDemandNow triggers a demand report to the leader without waiting for the next interval.
	reportDemandNow chan struct{}
	changed         chan struct{}
	budgets         map[string]*routing.Budget
	// retryBurst is the maximum number of retry tokens that this gateway accumulates for one service.
	retryBurst float64
	demands    map[string]*demand
	// meanStreamDurations holds the mean time from the first event of a stream to its end, by service.
	meanStreamDurations map[string]time.Duration
	// answerTimes holds how long requests take, by route.
	answerTimes   map[string]answerTime
	currentLeader string
	// leaderSince is when currentLeader became known.
	leaderSince time.Time
	// turnQueues are the requests that wait for turns at endpoints with a limit, in the order of their arrival.
	turnQueues map[turnQueue][]*transaction
	// turnGateways is how many gateways wait for turns at the same endpoints, as far as the leader said so.
	turnGateways map[turnQueue]int
	// paces are the observed paces that have not been reported, nextPaceReport is when they are reported next.
	paces          map[paceKey]*observedPace
	nextPaceReport time.Time
	// speedServices are the services in which the leader publishes speeds.
	speedServices map[string]bool
	active        int
	crashes       crashRecord
	resumption    resumption
	quotas        quotaState
}

// modelLocation identifies a model, or one of its adapters, at an endpoint.
type modelLocation struct{ endpoint, model, adapter string }

// demand counts the requests for one model at this gateway.
type demand struct {
	service string
	// arrivals and missed count since the last report: all requests, and those refused with a retry time because the
	// model was not loaded.
	arrivals, missed int
	running, waiting int
	// runningByEndpoint counts the running requests by endpoint, runningByAdapter those that use an adapter.
	runningByEndpoint map[string]int
	runningByAdapter  map[modelLocation]int
}

// WithMetrics sets the set in which counters and histograms are registered.
func WithMetrics(set *metrics.Set) Option { return func(g *Gateway) { g.metrics = set } }

// Option configures a Gateway.
type Option func(*Gateway)

// WithLog sets the logger.
func WithLog(log logr.Logger) Option { return func(g *Gateway) { g.log = log } }

// WithTableDecoder sets the decoder of the operator's routing table.
func WithTableDecoder(decodeTable func([]byte) (*route.Table, error)) Option {
	return func(g *Gateway) { g.decodeTable = decodeTable }
}

// WithSend sets the function that sends a request to an endpoint; it fails with ErrNotSent or ErrIncompleteResponse.
func WithSend(send func(context.Context, Call) (*Response, error)) Option {
	return func(g *Gateway) { g.send = send }
}

// WithListEndpoints sets the function that reads the platform's endpoint list, which is used while no steward provides the
// endpoints.
func WithListEndpoints(listEndpoints func(context.Context) ([]endpoint.State, int, error)) Option {
	return func(g *Gateway) { g.listEndpoints = listEndpoints }
}

// WithHasStopped sets the function that reports whether nothing listens at an endpoint's address.
func WithHasStopped(hasStopped func(ctx context.Context, address string) bool) Option {
	return func(g *Gateway) { g.hasStopped = hasStopped }
}

// New returns a Gateway without a table and without known endpoints.
func New(config Config, pool *wire.Pool, options ...Option) *Gateway {
	g := &Gateway{
		config: config, log: logr.Discard(), metrics: metrics.NewSet(), pool: pool, endpoints: map[string]endpoint.State{}, absentUntil: map[modelLocation]time.Time{}, stewardViews: map[string]*endpoint.SubscriberView{}, leaderView: &endpoint.SubscriberView{},
		notices: endpoint.NewNotices(config.DrainTime),
		changed: make(chan struct{}), reportDemandNow: make(chan struct{}, 1), budgets: map[string]*routing.Budget{}, demands: map[string]*demand{}, turnQueues: map[turnQueue][]*transaction{}, turnGateways: map[turnQueue]int{}, meanStreamDurations: map[string]time.Duration{}, answerTimes: map[string]answerTime{},
		router: routing.New(config.DataCentre, rand.IntN), crashes: newCrashRecord(), resumption: newResumption(), paces: map[paceKey]*observedPace{}, pendingCrashes: make(chan pendingCrash, maxPendingCrashes),
		hasStopped: func(context.Context, string) bool { return false },
	}
	g.askTurn, g.askTrial, g.askOrigin, g.tellStarts = g.callForTurn, g.callForTrial, g.callForOrigin, g.sendStarts
	g.askQuota, g.quotas = g.callForQuota, newQuotaState(time.Now())
	g.setRetryBurst(assumedGateways)
	g.pendingCtx, g.cancelPending = context.WithCancel(context.Background())
	g.activeCtx, g.cancelActive = context.WithCancel(context.Background())
	for _, option := range options {
		option(g)
	}
	g.registerGauges()
	g.stewardLinks = uplink.New(config.Node, config.Stewards, pool, uplink.WithLog(g.log), uplink.WithSnapshotHandler(g.applySnapshot),
		uplink.WithDisconnectHandler(g.onStewardLost), uplink.WithTableHandler(g.applyTable))
	return g
}

// setRetryBurst sets this gateway's part of the retry burst that all gateways share.
func (g *Gateway) setRetryBurst(gateways int) {
	g.retryBurst = max(1, burstShare*g.config.RetryExtra/float64(max(gateways, 1)))
}

// HealthStatus returns the HTTP status of the platform's readiness probe: whether this gateway accepts new connections.
func (g *Gateway) HealthStatus() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.Draining() || g.table.Load() == nil || len(g.endpoints) == 0 {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// Limits returns the limits on client requests in the current table, zero without one.
func (g *Gateway) Limits() route.Limits {
	if table := g.table.Load(); table != nil {
		return table.Limits
	}
	return route.Limits{}
}

// SetStewards replaces the stewards' addresses after a change of the settings at run time.
func (g *Gateway) SetStewards(stewards []string) {
	g.stewardLinks.SetStewards(stewards)
}

// version returns the version of the current table, or 0 if there is none.
func (g *Gateway) version() uint64 {
	if t := g.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active
}

// notifyWaitersLocked wakes the requests that wait for an endpoint. The caller must hold g.mu.
func (g *Gateway) notifyWaitersLocked() {
	close(g.changed)
	g.changed = make(chan struct{})
}
