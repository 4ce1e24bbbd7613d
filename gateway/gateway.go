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
	"burdocksaddle/route"
	"burdocksaddle/routing"
	"burdocksaddle/uplink"
	"burdocksaddle/wire"
)

// Config says who a gateway is and what bounds it.
type Config struct {
	Node       string
	DataCentre string
	// Stewards are the first addresses to find the stewards at.
	Stewards []string
	// RetryRatio is the share of a service's requests that may be sent again.
	RetryRatio float64
	// RetryExtra is how many more all gateways together may send again in the platform's window.
	RetryExtra float64
}

// Gateway is the aggregate of one entry machine's requests.
type Gateway struct {
	config Config
	log    logr.Logger
	pool   *wire.Pool
	links  *uplink.Uplink
	decode func([]byte) (*route.Table, error)
	send   func(context.Context, Call) (*Answer, error)
	list   func(context.Context) ([]endpoint.State, int, error)

	metrics  *metrics.Set
	table    atomic.Pointer[route.Table]
	draining atomic.Bool
	// leaving ends when requests that have no endpoint yet shall go elsewhere, stopping when no answer is waited for any more.
	leaving, stopping         context.Context
	turnAwayNow, endAnswering context.CancelFunc

	mu        sync.Mutex
	router    *routing.Router
	endpoints map[string]endpoint.State
	// absent are models that an endpoint said it doesn't hold, until the time given.
	absent map[place]time.Time
	shown  time.Time
	// tabled is when the table came into force here.
	tabled time.Time
	// pictures are what each steward's stream has shown, expecting is the one of the leader.
	pictures  map[string]*endpoint.Picture
	expecting *endpoint.Picture
	// urgent asks for the leader to hear of new demand at once.
	urgent  chan struct{}
	changed chan struct{}
	budgets map[string]*routing.Budget
	// saved is how many repeats one service may save up here.
	saved   float64
	demands map[string]*demand
	// durations are the mean times of streams from their first event to their end, by service.
	durations map[string]time.Duration
	leading   string
	active    int
}

// place is a model, or an adapter of it, at an endpoint.
type place struct{ endpoint, model, adapter string }

// demand counts a model's requests at this gateway.
type demand struct {
	service string
	// came and missed count since the last report: requests, and those that were told to come back for want of the model.
	came, missed     int
	running, waiting int
	// at counts the requests that run, by endpoint, adapters those that use an adapter.
	at       map[string]int
	adapters map[place]int
}

// WithMetrics sets where counters and histograms are kept.
func WithMetrics(set *metrics.Set) Option { return func(g *Gateway) { g.metrics = set } }

// Option sets one property of a Gateway.
type Option func(*Gateway)

// WithLog sets where events are logged.
func WithLog(log logr.Logger) Option { return func(g *Gateway) { g.log = log } }

// WithDecode sets what reads an operator's table.
func WithDecode(decode func([]byte) (*route.Table, error)) Option {
	return func(g *Gateway) { g.decode = decode }
}

// WithSend sets what sends a request to an endpoint; it fails with ErrNotSent or ErrBroken.
func WithSend(send func(context.Context, Call) (*Answer, error)) Option {
	return func(g *Gateway) { g.send = send }
}

// WithList sets what reads the platform's list while no steward shows the endpoints.
func WithList(list func(context.Context) ([]endpoint.State, int, error)) Option {
	return func(g *Gateway) { g.list = list }
}

// New makes a Gateway that has no table and knows no endpoints yet.
func New(config Config, pool *wire.Pool, options ...Option) *Gateway {
	g := &Gateway{
		config: config, log: logr.Discard(), metrics: metrics.NewSet(), pool: pool, endpoints: map[string]endpoint.State{}, absent: map[place]time.Time{}, pictures: map[string]*endpoint.Picture{}, expecting: &endpoint.Picture{},
		changed: make(chan struct{}), urgent: make(chan struct{}, 1), budgets: map[string]*routing.Budget{}, demands: map[string]*demand{}, durations: map[string]time.Duration{},
		router: routing.New(config.DataCentre, rand.IntN),
	}
	g.share(assumedGateways)
	g.leaving, g.turnAwayNow = context.WithCancel(context.Background())
	g.stopping, g.endAnswering = context.WithCancel(context.Background())
	for _, option := range options {
		option(g)
	}
	g.registerGauges()
	g.links = uplink.New(config.Node, config.Stewards, pool, uplink.WithLog(g.log), uplink.WithTake(g.take),
		uplink.WithLost(g.lost), uplink.WithVersion(g.version))
	return g
}

// share sets what this gateway may save up of the repeats that all share.
func (g *Gateway) share(gateways int) {
	g.saved = max(1, extraShare*g.config.RetryExtra/float64(max(gateways, 1)))
}

// Ready returns the status for the platform's question whether this gateway takes new connections.
func (g *Gateway) Ready() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining.Load() || g.table.Load() == nil || len(g.endpoints) == 0 {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// Follow sets the stewards' addresses by the settings, which may change while the process runs.
func (g *Gateway) Follow(stewards []string) {
	g.links.Follow(stewards)
}

// version returns the version of the table in force, 0 for none.
func (g *Gateway) version() uint64 {
	if t := g.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Drain makes the gateway say that it takes no new connections; requests are still served.
func (g *Gateway) Drain() {
	g.draining.Store(true)
	g.log.Info("draining", "active", g.Active())
}

// TurnAway refuses the requests that wait for an endpoint, and all that come later: another gateway serves them sooner.
func (g *Gateway) TurnAway() { g.turnAwayNow() }

// EndAnswers gives every request that is still under way its final answer.
func (g *Gateway) EndAnswers() { g.endAnswering() }

// Draining tells whether the gateway is about to stop.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// Active returns the number of requests under way.
func (g *Gateway) Active() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active
}

// wakeLocked wakes the requests that wait for an endpoint.
func (g *Gateway) wakeLocked() {
	close(g.changed)
	g.changed = make(chan struct{})
}
