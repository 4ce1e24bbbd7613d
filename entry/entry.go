package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"burdocksaddle/catalog"
	"burdocksaddle/setting"
	"burdocksaddle/view"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	demandInterval   = 100 * time.Millisecond
	demandTimeout    = time.Second
	defaultQueue     = 1024
	controlCallLimit = 2 * time.Second
)

// Entry serves callers' requests.
type Entry struct {
	settings setting.Settings
	log      logr.Logger
	pool     *wire.Pool
	watch    *view.Client

	mu       sync.Mutex
	queues   map[string]*queue
	running  map[string]int
	open     int
	stopping bool
	wake     chan struct{}
	freed    chan struct{}
}

// queue counts what waits for one model or service.
type queue struct {
	model    bool
	waiting  int
	running  int
	arrivals int
	earliest map[string]time.Time
}

// Option sets one property of an Entry.
type Option func(*Entry)

// WithLog sets where events are logged.
func WithLog(log logr.Logger) Option { return func(e *Entry) { e.log = log } }

// New makes an Entry.
func New(settings setting.Settings, pool *wire.Pool, options ...Option) *Entry {
	e := &Entry{
		settings: settings, pool: pool, log: logr.Discard(), queues: map[string]*queue{},
		running: map[string]int{}, wake: make(chan struct{}, 1), freed: make(chan struct{}),
	}
	for _, option := range options {
		option(e)
	}
	e.watch = view.New(pool, settings.Controls, &wirepb.Watch{
		Node: settings.Node, Role: string(setting.RoleEntry), DataCentre: settings.DataCentre,
	}, view.WithLog(e.log))
	return e
}

// Run carries the duties out until the context ends; the channel gives the end.
func (e *Entry) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	watched, told := e.watch.Run(ctx), e.tellDemand(ctx)
	go func() {
		first := <-watched
		if err := <-told; first == nil {
			first = err
		}
		ended <- first
	}()
	return ended
}

// Ready tells the balancer whether this entry takes new work.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.stopping && (e.watch.Leased() || e.settings.Entry.ServeStale)
}

// Catalog returns the catalog in force here.
func (e *Entry) Catalog() catalog.Catalog { return e.watch.Catalog() }

// tellDemand is the duty that tells control what waits here.
func (e *Entry) tellDemand(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick := time.NewTicker(demandInterval)
		defer tick.Stop()
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-e.wake:
			case <-tick.C:
			}
			if demand := e.demand(time.Now()); len(demand.GetModels()) > 0 {
				e.tell(ctx, demand)
			}
		}
		ended <- nil
	}()
	return ended
}

func (e *Entry) tell(ctx context.Context, demand *wirepb.Demand) {
	for _, address := range e.settings.Controls {
		if _, err := e.pool.Call(ctx, address, &wirepb.Frame{Body: &wirepb.Frame_Demand{Demand: demand}}, demandTimeout); err == nil {
			return
		}
	}
}

func (e *Entry) demand(now time.Time) *wirepb.Demand {
	e.mu.Lock()
	defer e.mu.Unlock()
	demand := &wirepb.Demand{Entry: e.settings.Node}
	for name, q := range e.queues {
		if !q.model || q.waiting+q.running+q.arrivals == 0 {
			continue
		}
		demand.Models = append(demand.Models, &wirepb.ModelDemand{
			Model: name, Waiting: uint32(q.waiting), Running: uint32(q.running),
			Arrivals: uint32(q.arrivals), EarliestRemainingMs: q.remaining(now),
		})
		q.arrivals = 0
	}
	return demand
}

func (q *queue) remaining(now time.Time) uint64 {
	least := time.Hour
	for _, deadline := range q.earliest {
		least = min(least, deadline.Sub(now))
	}
	return uint64(max(least, 0).Milliseconds())
}

// Dump returns the entry's state for operators, without secrets.
func (e *Entry) Dump() Dump {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := Dump{Node: e.settings.Node, CatalogVersion: e.watch.Version(), Leased: e.watch.Leased(), Stopping: e.stopping, Queues: map[string]QueueDump{}}
	for name, q := range e.queues {
		d.Queues[name] = QueueDump{Waiting: q.waiting, Running: q.running}
	}
	for _, endpoint := range e.watch.Endpoints("") {
		d.Endpoints = append(d.Endpoints, endpoint.GetName())
	}
	return d
}

// Dump is an entry's state.
type Dump struct {
	Node           string
	CatalogVersion uint64
	Leased         bool
	Stopping       bool
	Queues         map[string]QueueDump
	Endpoints      []string
}

// QueueDump is the state of one queue.
type QueueDump struct {
	Waiting int
	Running int
}
