package entry

import (
	"context"
	"sync"

	"github.com/go-logr/logr"

	"burdocksaddle/catalog"
	"burdocksaddle/setting"
	"burdocksaddle/view"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

// Entry accepts, queues and dispatches requests from callers.
type Entry struct {
	settings    setting.Settings
	log         logr.Logger
	pool        *wire.Pool
	view        *view.Client
	scheduler   *scheduler
	metrics     *entryMetrics
	onViolation func(error)
	demandWake  chan struct{}
	claimCloses chan *wirepb.ClaimClose
	lookupSlots chan struct{}

	mu       sync.Mutex
	arrivals map[string]uint32
	requests requestCounts
	// queuedCloses counts the outcomes of claims that are not in the ledger yet.
	queuedCloses int
	// idle is closed when the last open request has ended and the last outcome is in the ledger.
	idle     chan struct{}
	draining bool
	stopping bool
	// controlIndex is the index in settings.Controls of the member to try first.
	controlIndex int
}

// Option configures an Entry.
type Option func(*Entry)

// WithLog sets the logger.
func WithLog(log logr.Logger) Option { return func(e *Entry) { e.log = log } }

// WithViolationHandler sets a callback for invariant violations, in addition to the log line and the metric.
func WithViolationHandler(call func(error)) Option { return func(e *Entry) { e.onViolation = call } }

// New returns an Entry; call Run to start it.
func New(settings setting.Settings, pool *wire.Pool, options ...Option) *Entry {
	e := &Entry{
		settings: settings, pool: pool, log: logr.Discard(), demandWake: make(chan struct{}, 1),
		claimCloses: make(chan *wirepb.ClaimClose, maxPendingCloses), lookupSlots: make(chan struct{}, maxLookups),
		arrivals: map[string]uint32{}, idle: make(chan struct{}),
	}
	for _, option := range options {
		option(e)
	}
	e.metrics = newEntryMetrics(func() float64 { return float64(e.OpenRequests()) })
	e.view = view.New(pool, settings.Controls, &wirepb.Watch{
		Node: settings.Node, Role: string(setting.RoleEntry), DataCentre: settings.DataCentre,
	}, view.WithLog(e.log))
	e.scheduler = newScheduler(settings.Node, settings.DataCentre, settings.Entry.RetryRatio, e.view, e.reportViolation)
	return e
}

// Run starts the background tasks. After the context ends and all tasks have returned, the channel receives the first
// error or nil.
func (e *Entry) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	tasks := []<-chan error{e.view.Run(ctx), e.reportDemand(ctx), e.scheduler.matchLoop(ctx)}
	for range closeWorkers {
		tasks = append(tasks, e.commitCloses(ctx))
	}
	go func() {
		var first error
		for _, task := range tasks {
			if err := <-task; err != nil && first == nil {
				first = err
			}
		}
		ended <- first
	}()
	return ended
}

// Ready reports whether the load balancer should route new requests to this entry.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.draining && e.mayServe()
}

// mayServe reports whether the entry holds a valid lease or may serve without one.
func (e *Entry) mayServe() bool { return e.view.Leased() || e.settings.Entry.ServeStale }

// checkAccepting returns nil if new requests are accepted, otherwise the refusal.
func (e *Entry) checkAccepting() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.stopping:
		return notRunRefusal(CodeStopping, "this entry is stopping; ask again through another one")
	case !e.mayServe():
		return notRunRefusal(CodeNoLease, "this entry has not heard from the quorum of late; ask again through another one")
	}
	return nil
}

// Drain fails the health check so that the load balancer stops routing here; requests that still arrive are accepted.
func (e *Entry) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Stop refuses new requests and waits until all open ones have ended and their outcomes are in the ledger, or the context is done. It
// returns the number of requests still open.
func (e *Entry) Stop(ctx context.Context) int {
	for {
		e.mu.Lock()
		e.draining, e.stopping = true, true
		open, closes, idle := e.requests.open, e.queuedCloses, e.idle
		e.mu.Unlock()
		if open == 0 && closes == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return open
		case <-idle:
		}
	}
}

// RefuseWaiting refuses all queued requests as not run, so that callers can retry them at another entry.
func (e *Entry) RefuseWaiting() {
	e.scheduler.refuseWaiting(notRunRefusal(CodeStopping, "this entry is stopping; ask again through another one"))
}

// OpenRequests returns the number of requests that are queued or running.
func (e *Entry) OpenRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests.open
}

// Catalog returns the catalog version that this entry currently uses.
func (e *Entry) Catalog() catalog.Catalog { return e.view.Catalog() }

// Dump is a snapshot of an entry's state.
type Dump struct {
	Node           string
	CatalogVersion uint64
	Leased         bool
	Stopping       bool
	Admitted       uint64
	Answered       uint64
	Refused        uint64
	Open           int
	Queues         map[string]QueueDump
	Endpoints      []string
}

// QueueDump is the number of waiting and running requests of one queue.
type QueueDump struct {
	Waiting int
	Running int
}

// Dump returns a snapshot of the state for operators. It contains no secrets.
func (e *Entry) Dump() Dump {
	e.mu.Lock()
	d := Dump{
		Node: e.settings.Node, CatalogVersion: e.view.Version(), Leased: e.view.Leased(), Stopping: e.stopping,
		Admitted: e.requests.admitted, Answered: e.requests.answered, Refused: e.requests.refused, Open: e.requests.open,
		Queues: map[string]QueueDump{},
	}
	e.mu.Unlock()
	e.scheduler.dump(&d)
	return d
}
