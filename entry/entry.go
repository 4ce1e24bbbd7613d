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

// Entry serves callers' requests.
type Entry struct {
	settings    setting.Settings
	log         logr.Logger
	pool        *wire.Pool
	watch       *view.Client
	sched       *scheduler
	count       *counters
	onViolation func(error)
	wake        chan struct{}
	closes      chan *wirepb.ClaimClose
	lookups     chan struct{}

	mu       sync.Mutex
	arrivals map[string]uint32
	tally    tally
	// idle closes when the last open request ends.
	idle     chan struct{}
	draining bool
	stopping bool
	// control is the member that answered last.
	control int
}

// Option sets one property of an Entry.
type Option func(*Entry)

// WithLog sets where events are logged.
func WithLog(log logr.Logger) Option { return func(e *Entry) { e.log = log } }

// WithViolation sets what is called where an invariant is broken, besides the log and the count.
func WithViolation(call func(error)) Option { return func(e *Entry) { e.onViolation = call } }

// New makes an Entry.
func New(settings setting.Settings, pool *wire.Pool, options ...Option) *Entry {
	e := &Entry{
		settings: settings, pool: pool, log: logr.Discard(), wake: make(chan struct{}, 1),
		closes: make(chan *wirepb.ClaimClose, maxCloses), lookups: make(chan struct{}, maxLookups),
		arrivals: map[string]uint32{}, idle: make(chan struct{}),
	}
	for _, option := range options {
		option(e)
	}
	e.count = newCounters(func() float64 { return float64(e.Open()) })
	e.watch = view.New(pool, settings.Controls, &wirepb.Watch{
		Node: settings.Node, Role: string(setting.RoleEntry), DataCentre: settings.DataCentre,
	}, view.WithLog(e.log))
	e.sched = newScheduler(settings.Node, settings.DataCentre, settings.Entry.RetryRatio, e.watch, e.violation)
	return e
}

// Run carries the duties out until the context ends; the channel gives the end.
func (e *Entry) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	duties := []<-chan error{e.watch.Run(ctx), e.tellDemand(ctx), e.sched.attend(ctx)}
	for range closers {
		duties = append(duties, e.closeClaims(ctx))
	}
	go func() {
		var first error
		for _, duty := range duties {
			if err := <-duty; err != nil && first == nil {
				first = err
			}
		}
		ended <- first
	}()
	return ended
}

// Ready tells the balancer whether this entry takes new work.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.draining && e.leased()
}

func (e *Entry) leased() bool { return e.watch.Leased() || e.settings.Entry.ServeStale }

// takes tells why no new request is taken; nil while they are.
func (e *Entry) takes() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.stopping:
		return refuse(CodeStopping, "this entry is stopping; ask again through another one")
	case !e.leased():
		return refuse(CodeNoLease, "this entry has not heard from the quorum of late; ask again through another one")
	}
	return nil
}

// Drain fails the health check, so that the balancer turns away; requests are still taken.
func (e *Entry) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Stop refuses new requests and returns how many are left once all are answered or the context ends.
func (e *Entry) Stop(ctx context.Context) int {
	for {
		e.mu.Lock()
		e.draining, e.stopping = true, true
		open, idle := e.tally.open, e.idle
		e.mu.Unlock()
		if open == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return open
		case <-idle:
		}
	}
}

// HandOver refuses what still waits, not run, so that callers ask another entry.
func (e *Entry) HandOver() {
	e.sched.handOver(refuse(CodeStopping, "this entry is stopping; ask again through another one"))
}

// Open returns how many requests wait or run.
func (e *Entry) Open() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tally.open
}

// Catalog returns the catalog in force here.
func (e *Entry) Catalog() catalog.Catalog { return e.watch.Catalog() }

// Dump is an entry's state.
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

// QueueDump is the state of one queue.
type QueueDump struct {
	Waiting int
	Running int
}

// Dump returns the entry's state for operators, without secrets.
func (e *Entry) Dump() Dump {
	e.mu.Lock()
	d := Dump{
		Node: e.settings.Node, CatalogVersion: e.watch.Version(), Leased: e.watch.Leased(), Stopping: e.stopping,
		Admitted: e.tally.admitted, Answered: e.tally.answered, Refused: e.tally.refused, Open: e.tally.open,
		Queues: map[string]QueueDump{},
	}
	e.mu.Unlock()
	e.sched.dump(&d)
	return d
}
