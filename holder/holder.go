package holder

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"burdocksaddle/endpoint"
	"burdocksaddle/logging"
	"burdocksaddle/route"
	"burdocksaddle/scaling"
	"burdocksaddle/wirepb"
)

const (
	// lookEvery is how often an endpoint's report is read, lookSoon while an order is under way there; each reading is priced.
	lookEvery = 400 * time.Millisecond
	lookSoon  = 100 * time.Millisecond
	// lookTick is how often the holder sees whether it is time.
	lookTick      = 25 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	// orderTimeout bounds the wait for the order before.
	orderTimeout = 400 * time.Millisecond
	// adapterSteps bounds the orders that bring one adapter.
	adapterSteps = 6
	// conflictsMost is how many orders for one adapter may fail since another is under way.
	conflictsMost = 2
	// beliefMost is the age of a report up to which orders may follow from it.
	beliefMost = 2 * time.Second
	// leaseSlack is added to the platform's lease of a holder: for the last order on its way, and for the age of the proof
	// that the former holder may have acted on.
	leaseSlack = 700 * time.Millisecond
)

// Names of metrics; labels have few values.
const (
	metricOrders   = "burdocksaddle_holder_orders_total"
	metricAdapters = "burdocksaddle_holder_adapters_total"
	metricReports  = "burdocksaddle_holder_reports_total"
)

// Config says which endpoint is held, and how.
type Config struct {
	// Endpoint is its address.
	Endpoint   string
	Assignment Assignment
	// Lease is how long the endpoint counts the last holder's orders as those of a holder.
	Lease time.Duration
}

// Holder gives one endpoint its orders.
type Holder struct {
	config  Config
	log     logr.Logger
	metrics *metrics.Set
	engine  func(service string) *route.Engine
	report  func(context.Context, string) (endpoint.Report, error)
	give    func(context.Context, endpoint.State, scaling.Order, uint64) (scaling.Outcome, error)
	proven  func(context.Context) bool
	tell    func(endpoint.State, bool)
	// from is when the holder may begin to give orders.
	from time.Time

	// turn is held by the one order that is under way.
	turn chan struct{}
	// term and brought are the turn's.
	term    uint64
	brought map[endpoint.Adapter]time.Time
	look    chan struct{}

	mu     sync.Mutex
	belief belief
	used   []endpoint.Adapter
}

// Option sets one property of a Holder.
type Option func(*Holder)

// WithLog sets where events are logged.
func WithLog(log logr.Logger) Option { return func(h *Holder) { h.log = log } }

// WithMetrics sets where counters are kept.
func WithMetrics(set *metrics.Set) Option { return func(h *Holder) { h.metrics = set } }

// WithEngine sets what returns a service's engine by the table in force, nil if there is none.
func WithEngine(engine func(service string) *route.Engine) Option {
	return func(h *Holder) { h.engine = engine }
}

// WithReport sets what reads the endpoint's report.
func WithReport(report func(context.Context, string) (endpoint.Report, error)) Option {
	return func(h *Holder) { h.report = report }
}

// WithGive sets what gives the endpoint an order under a fencing number.
func WithGive(give func(context.Context, endpoint.State, scaling.Order, uint64) (scaling.Outcome, error)) Option {
	return func(h *Holder) { h.give = give }
}

// WithProven sets what proves that this process is still the endpoint's holder; it may be asked before each order.
func WithProven(proven func(context.Context) bool) Option {
	return func(h *Holder) { h.proven = proven }
}

// WithTell sets what hears of the endpoint's state, and whether its orders changed.
func WithTell(tell func(state endpoint.State, changed bool)) Option {
	return func(h *Holder) { h.tell = tell }
}

// New makes a Holder that begins to give orders once the former holder's lease is over.
func New(config Config, options ...Option) *Holder {
	h := &Holder{
		config: config, log: logr.Discard(), metrics: metrics.NewSet(), turn: make(chan struct{}, 1), look: make(chan struct{}, 1),
		brought: map[endpoint.Adapter]time.Time{}, from: time.Now(), tell: func(endpoint.State, bool) {},
		proven: func(context.Context) bool { return true },
	}
	if !config.Assignment.Settled {
		h.from = h.from.Add(config.Lease + leaseSlack)
	}
	for _, option := range options {
		option(h)
	}
	h.log = h.log.WithValues("address", config.Endpoint, "fence", config.Assignment.Fence)
	return h
}

// Ready tells whether the former holder's lease is over.
func (h *Holder) Ready() bool { return !time.Now().Before(h.from) }

// Run reads the endpoint's reports until the context ends; the channel gives the end.
func (h *Holder) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		h.log.Info("holding endpoint", "settled", h.config.Assignment.Settled, "fromMs", time.Until(h.from).Milliseconds())
		h.watch(ctx)
		ended <- nil
	}()
	return ended
}

func (h *Holder) watch(ctx context.Context) {
	ticker := time.NewTicker(lookTick)
	defer ticker.Stop()
	var told endpoint.State
	var next time.Time
	silent := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.look:
		case now := <-ticker.C:
			if now.Before(next) && !h.due(now) {
				continue
			}
			_, err := h.read(ctx)
			if failed := err != nil; failed != silent {
				silent = failed
				h.log.Info("endpoint report", "silent", silent, "error", logging.ErrorText(err))
			}
			next = time.Now().Add(lookEvery)
		}
		if state, ok := h.state(); ok {
			h.tell(state, !told.SameOrders(state))
			told = state
		}
	}
}

// due tells that a report is wanted before it is time.
func (h *Holder) due(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.belief.read) >= lookSoon && h.belief.eager(now)
}

// read reads the endpoint's report.
func (h *Holder) read(ctx context.Context) (endpoint.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	h.metrics.GetOrCreateCounter(metricReports).Inc()
	r, err := h.report(ctx, h.config.Endpoint)
	if err != nil {
		return endpoint.Report{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.belief = h.belief.WithReport(r, now)
	return h.belief.Report(now), nil
}

// state returns what is believed of the endpoint; false before its first report and after a long silence.
func (h *Holder) state() (endpoint.State, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	r := h.belief.Report(now)
	return endpoint.State{
		Address: h.config.Endpoint, Born: r.Born, Draining: r.Draining, Remaining: r.Remaining, Models: r.Models, Load: &r.Load,
	}, h.belief.known && now.Sub(h.belief.read) < beliefMost
}

// current returns what is believed of the endpoint, read anew where that is old or doubtful.
func (h *Holder) current(ctx context.Context) (endpoint.Report, error) {
	h.mu.Lock()
	now := time.Now()
	b := h.belief
	h.mu.Unlock()
	if b.known && !b.doubtful && now.Sub(b.read) < beliefMost {
		return b.Report(now), nil
	}
	return h.read(ctx)
}

// order gives the endpoint an order and takes its answer in.
func (h *Holder) order(ctx context.Context, id string, o scaling.Order, expected load) (scaling.Outcome, error) {
	if !h.Ready() || !h.proven(ctx) {
		return scaling.OutcomeRefused, ErrNotHolder{Endpoint: h.config.Endpoint}
	}
	outcome, err := h.give(ctx, endpoint.State{ID: id, Address: h.config.Endpoint}, o, h.config.Assignment.Fence)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.belief = h.belief.WithOrder(o, outcome, expected, time.Now())
	return outcome, err
}

// Use sets which adapters requests use now, as far as the gateways have told.
func (h *Holder) Use(adapters []endpoint.Adapter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.used = adapters
}

func (h *Holder) inUse() []endpoint.Adapter {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.used
}

// begin waits for the order before; false when that takes too long.
func (h *Holder) begin(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	select {
	case h.turn <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// end lets the next order begin and shows what this one did.
func (h *Holder) end() {
	<-h.turn
	select {
	case h.look <- struct{}{}:
	default:
	}
}

// Order carries out the leader's word on a model.
func (h *Holder) Order(ctx context.Context, o *wirepb.EndpointOrder) (scaling.Outcome, error) {
	outcome, err := h.weights(ctx, o)
	h.metrics.GetOrCreateCounter(fmt.Sprintf("%s{unload=\"%t\",outcome=%q}", metricOrders, o.GetUnload(), outcome.String())).Inc()
	h.log.Info("order", "endpoint", o.GetEndpoint(), "model", o.GetModel(), "unload", o.GetUnload(), "term", o.GetTerm(),
		"reason", o.GetReason(), "outcome", outcome.String(), "error", logging.ErrorText(err))
	return outcome, err
}

func (h *Holder) weights(ctx context.Context, o *wirepb.EndpointOrder) (scaling.Outcome, error) {
	if !h.begin(ctx) {
		return scaling.OutcomeConflict, nil
	}
	defer h.end()
	engine := h.engine(o.GetService())
	if o.GetTerm() < h.term || engine == nil {
		return scaling.OutcomeRefused, nil
	}
	h.term = o.GetTerm()
	report, err := h.current(ctx)
	if err != nil {
		return scaling.OutcomeUnknown, err
	}
	order, outcome := scaling.Weights(engine, report, o.GetModel(), o.GetUnload())
	if outcome != scaling.OutcomeAccepted {
		return outcome, nil
	}
	return h.order(ctx, o.GetEndpoint(), order, load{takes: time.Duration(o.GetTakesMs()) * time.Millisecond, certain: o.GetFromCopy()})
}

// Adapter brings an adapter for a gateway's request.
func (h *Holder) Adapter(ctx context.Context, call *wirepb.AdapterCall) (scaling.Verdict, error) {
	verdict, err := h.bring(ctx, call)
	h.metrics.GetOrCreateCounter(fmt.Sprintf("%s{verdict=%q}", metricAdapters, verdict.String())).Inc()
	if verdict != scaling.VerdictHeld && verdict != scaling.VerdictComing {
		h.log.Info("adapter not brought", "id", call.GetRequest(), "endpoint", call.GetEndpoint(), "model", call.GetModel(), "adapter", call.GetAdapter(),
			"verdict", verdict.String(), "error", logging.ErrorText(err))
	}
	return verdict, err
}

func (h *Holder) bring(ctx context.Context, call *wirepb.AdapterCall) (scaling.Verdict, error) {
	if !h.begin(ctx) {
		return scaling.VerdictNo, nil
	}
	defer h.end()
	engine := h.engine(call.GetService())
	if engine == nil {
		return scaling.VerdictNo, nil
	}
	wanted := endpoint.Adapter{Model: call.GetModel(), Name: call.GetAdapter()}
	conflicts := 0
	for range adapterSteps {
		report, err := h.current(ctx)
		if err != nil {
			return scaling.VerdictNo, err
		}
		order, verdict := scaling.Adapter(engine, report, wanted, h.brought, h.inUse())
		if verdict != scaling.VerdictOrder {
			return verdict, nil
		}
		outcome, err := h.order(ctx, call.GetEndpoint(), order, load{})
		switch {
		case outcome == scaling.OutcomeConflict:
			if conflicts++; conflicts == conflictsMost {
				return scaling.VerdictBusy, nil
			}
		case err != nil:
			return scaling.VerdictNo, err
		case !order.Unload && (outcome == scaling.OutcomeAccepted || outcome == scaling.OutcomeHolds):
			h.brought[wanted] = time.Now()
			return scaling.VerdictComing, nil
		case order.Unload && outcome == scaling.OutcomeAccepted:
			return scaling.VerdictBusy, nil // the runs that use it must end first
		}
	}
	return scaling.VerdictNo, nil
}
