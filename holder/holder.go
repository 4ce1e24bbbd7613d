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
	// reportInterval is how often an endpoint's report is read, and busyReportInterval how often while an order is in progress.
	// Each read incurs a cost.
	reportInterval     = 400 * time.Millisecond
	busyReportInterval = 100 * time.Millisecond
	// pollTick is how often the holder checks whether a read is due.
	pollTick      = 25 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	// orderWaitTimeout bounds the wait for the previous order to finish.
	orderWaitTimeout = 400 * time.Millisecond
	// maxAdapterOrders bounds the orders issued to load one adapter.
	maxAdapterOrders = 6
	// maxAdapterConflicts is how many orders for one adapter may conflict with another order before the call fails as busy.
	maxAdapterConflicts = 2
	// maxEstimateAge is the maximum age of the last report for orders to be derived from the estimate.
	maxEstimateAge = 2 * time.Second
)

const (
	// MaxProofAge is the maximum age of the quorum proof that an order relies on.
	MaxProofAge = 150 * time.Millisecond
	// OrderTimeout is how long an order may be in flight.
	OrderTimeout = 550 * time.Millisecond
	// leaseMargin is added to the platform's lease of a holder; it covers the former holder's last order.
	leaseMargin = MaxProofAge + OrderTimeout
)

// Metric names. Each label has a small, fixed set of values.
const (
	metricOrders   = "burdocksaddle_holder_orders_total"
	metricAdapters = "burdocksaddle_holder_adapters_total"
	metricReports  = "burdocksaddle_holder_reports_total"
)

// Config identifies the endpoint to hold and the assignment it is held under.
type Config struct {
	// Endpoint is the endpoint's address.
	Endpoint   string
	Assignment Assignment
	// Lease is how long the endpoint still accepts orders of its last holder.
	Lease time.Duration
}

// Holder issues orders to one endpoint.
type Holder struct {
	config       Config
	log          logr.Logger
	metrics      *metrics.Set
	engine       func(service string) *route.Engine
	fetchReport  func(context.Context, string) (endpoint.Report, error)
	sendOrder    func(context.Context, endpoint.State, scaling.Order, uint64) (scaling.Outcome, error)
	verifyHolder func(context.Context) bool
	onState      func(endpoint.State, bool)
	// readyAt is the earliest time at which the holder may issue orders.
	readyAt time.Time

	// orderSlot is a semaphore that admits one order at a time.
	orderSlot chan struct{}
	// lastTerm and adapterOrderedAt are guarded by orderSlot.
	lastTerm         uint64
	adapterOrderedAt map[endpoint.Adapter]time.Time
	refresh          chan struct{}

	mu           sync.Mutex
	estimate     estimate
	usedAdapters []endpoint.Adapter
	// notices holds the pause that the endpoint asked for.
	notices *endpoint.Notices
}

// Option configures a Holder.
type Option func(*Holder)

// WithLog sets the logger.
func WithLog(log logr.Logger) Option { return func(h *Holder) { h.log = log } }

// WithMetrics sets the set that the counters are registered in.
func WithMetrics(set *metrics.Set) Option { return func(h *Holder) { h.metrics = set } }

// WithEngine sets the function that looks up a service's engine in the active table; it returns nil if there is none.
func WithEngine(engine func(service string) *route.Engine) Option {
	return func(h *Holder) { h.engine = engine }
}

// WithFetchReport sets the function that reads the endpoint's report.
func WithFetchReport(fetchReport func(context.Context, string) (endpoint.Report, error)) Option {
	return func(h *Holder) { h.fetchReport = fetchReport }
}

// WithSendOrder sets the function that sends an order to the endpoint under a fencing token.
func WithSendOrder(sendOrder func(context.Context, endpoint.State, scaling.Order, uint64) (scaling.Outcome, error)) Option {
	return func(h *Holder) { h.sendOrder = sendOrder }
}

// WithVerifyHolder sets the function that verifies that this process still holds the endpoint. It may be called before each order.
func WithVerifyHolder(verifyHolder func(context.Context) bool) Option {
	return func(h *Holder) { h.verifyHolder = verifyHolder }
}

// WithStateListener sets the function that receives the endpoint's state, and whether it differs from the last one in anything
// that orders change.
func WithStateListener(onState func(state endpoint.State, changed bool)) Option {
	return func(h *Holder) { h.onState = onState }
}

// New returns a Holder that starts to issue orders once the former holder's lease has expired.
func New(config Config, options ...Option) *Holder {
	h := &Holder{
		config: config, log: logr.Discard(), metrics: metrics.NewSet(), orderSlot: make(chan struct{}, 1), refresh: make(chan struct{}, 1),
		adapterOrderedAt: map[endpoint.Adapter]time.Time{}, readyAt: time.Now(), onState: func(endpoint.State, bool) {},
		verifyHolder: func(context.Context) bool { return true }, notices: endpoint.NewNotices(0),
	}
	if !config.Assignment.Settled {
		h.readyAt = h.readyAt.Add(config.Lease + leaseMargin)
	}
	for _, option := range options {
		option(h)
	}
	h.log = h.log.WithValues("address", config.Endpoint, "fence", config.Assignment.Fence)
	return h
}

// Ready reports whether the former holder's lease has expired.
func (h *Holder) Ready() bool { return !time.Now().Before(h.readyAt) }

// Run polls the endpoint's reports until the context ends. The returned channel receives a value once polling has stopped.
func (h *Holder) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		h.log.Info("holding endpoint", "settled", h.config.Assignment.Settled, "fromMs", time.Until(h.readyAt).Milliseconds())
		h.pollReports(ctx)
		done <- nil
	}()
	return done
}

func (h *Holder) pollReports(ctx context.Context) {
	ticker := time.NewTicker(pollTick)
	defer ticker.Stop()
	var lastState endpoint.State
	var nextRead time.Time
	silent := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.refresh:
		case now := <-ticker.C:
			if now.Before(nextRead) && !h.reportDue(now) {
				continue
			}
			_, err := h.readReport(ctx)
			if failed := err != nil; failed != silent {
				silent = failed
				h.log.Info("endpoint report", "silent", silent, "error", logging.ErrorText(err))
			}
			nextRead = time.Now().Add(reportInterval)
		}
		if state, ok := h.estimatedState(); ok {
			h.onState(state, !lastState.SameOrders(state))
			lastState = state
		}
	}
}

// reportDue reports whether a report should be read before the regular interval has passed.
func (h *Holder) reportDue(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.estimate.readAt) >= busyReportInterval && h.estimate.changeExpected(now)
}

// readReport reads the endpoint's report, updates the estimate and returns the projected report.
func (h *Holder) readReport(ctx context.Context) (endpoint.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := h.pause(); err != nil {
		return endpoint.Report{}, err
	}
	h.metrics.GetOrCreateCounter(metricReports).Inc()
	r, err := h.fetchReport(ctx, h.config.Endpoint)
	if err != nil {
		h.recordPause(err)
		return endpoint.Report{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.estimate = h.estimate.withReport(r, now)
	return h.estimate.projectedReport(now), nil
}

// estimatedState returns the endpoint's estimated state. It returns false before the first report and when the last one is too old.
func (h *Holder) estimatedState() (endpoint.State, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	r := h.estimate.projectedReport(now)
	return endpoint.State{
		Address: h.config.Endpoint, StartMS: r.StartMS, Draining: r.Draining, Remaining: r.Remaining, Models: r.Models, Load: &r.Load,
	}, h.estimate.hasReport && now.Sub(h.estimate.readAt) < maxEstimateAge
}

// currentReport returns the projected report; it reads a new report first if the last one is too old or may be wrong.
func (h *Holder) currentReport(ctx context.Context) (endpoint.Report, error) {
	h.mu.Lock()
	now := time.Now()
	e := h.estimate
	h.mu.Unlock()
	if e.hasReport && !e.needsReport && now.Sub(e.readAt) < maxEstimateAge {
		return e.projectedReport(now), nil
	}
	return h.readReport(ctx)
}

// issueOrder sends an order to the endpoint and updates the estimate with the outcome.
func (h *Holder) issueOrder(ctx context.Context, id string, o scaling.Order, expected loadEstimate) (scaling.Outcome, error) {
	if !h.Ready() || !h.verifyHolder(ctx) {
		return scaling.OutcomeRefused, ErrNotHolder{Endpoint: h.config.Endpoint}
	}
	if err := h.pause(); err != nil {
		return scaling.OutcomeRefused, err
	}
	outcome, err := h.sendOrder(ctx, endpoint.State{ID: id, Address: h.config.Endpoint}, o, h.config.Assignment.Fence)
	h.recordPause(err)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.estimate = h.estimate.withOrder(o, outcome, expected, time.Now())
	return outcome, err
}

// pause returns an endpoint.ErrPaused while the endpoint wants no calls from this process, else nil.
func (h *Holder) pause() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if left := time.Until(h.notices.PausedUntil(h.config.Endpoint)); left > 0 {
		return endpoint.ErrPaused{Pause: left}
	}
	return nil
}

// recordPause starts a pause if the error of a call says that the endpoint wants one.
func (h *Holder) recordPause(err error) {
	paused, ok := endpoint.AsErrPaused(err)
	if !ok {
		return
	}
	h.log.Info("endpoint wants no calls", "pauseMs", paused.Pause.Milliseconds())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notices.RecordPause(h.config.Endpoint, paused.Pause, time.Now())
}

// SetUsedAdapters sets the adapters that requests use now, as far as the gateways have reported.
func (h *Holder) SetUsedAdapters(adapters []endpoint.Adapter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.usedAdapters = adapters
}

func (h *Holder) inUse() []endpoint.Adapter {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.usedAdapters
}

// acquireOrderSlot waits for the previous order to finish and reports whether it did so in time.
func (h *Holder) acquireOrderSlot(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, orderWaitTimeout)
	defer cancel()
	select {
	case h.orderSlot <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// releaseOrderSlot admits the next order and triggers an update of the state listener.
func (h *Holder) releaseOrderSlot() {
	<-h.orderSlot
	select {
	case h.refresh <- struct{}{}:
	default:
	}
}

// ExecuteOrder carries out the leader's order to load or unload a model.
func (h *Holder) ExecuteOrder(ctx context.Context, o *wirepb.EndpointOrder) (scaling.Outcome, error) {
	outcome, err := h.executeModelOrder(ctx, o)
	h.metrics.GetOrCreateCounter(fmt.Sprintf("%s{unload=\"%t\",outcome=%q}", metricOrders, o.GetUnload(), outcome.String())).Inc()
	h.log.Info("order", "endpoint", o.GetEndpoint(), "model", o.GetModel(), "unload", o.GetUnload(), "term", o.GetTerm(),
		"reason", o.GetReason(), "outcome", outcome.String(), "error", logging.ErrorText(err))
	return outcome, err
}

func (h *Holder) executeModelOrder(ctx context.Context, o *wirepb.EndpointOrder) (scaling.Outcome, error) {
	if !h.acquireOrderSlot(ctx) {
		return scaling.OutcomeConflict, nil
	}
	defer h.releaseOrderSlot()
	engine := h.engine(o.GetService())
	if o.GetTerm() < h.lastTerm || engine == nil {
		return scaling.OutcomeRefused, nil
	}
	h.lastTerm = o.GetTerm()
	report, err := h.currentReport(ctx)
	if err != nil {
		return scaling.OutcomeUnknown, err
	}
	order, outcome := scaling.PlanWeights(engine, report, o.GetModel(), o.GetUnload())
	if outcome != scaling.OutcomeAccepted {
		return outcome, nil
	}
	return h.issueOrder(ctx, o.GetEndpoint(), order, loadEstimate{duration: time.Duration(o.GetTakesMs()) * time.Millisecond, predictable: o.GetFromCopy()})
}

// LoadAdapter loads an adapter for a gateway's request.
func (h *Holder) LoadAdapter(ctx context.Context, call *wirepb.AdapterCall) (scaling.Verdict, error) {
	verdict, err := h.loadAdapter(ctx, call)
	h.metrics.GetOrCreateCounter(fmt.Sprintf("%s{verdict=%q}", metricAdapters, verdict.String())).Inc()
	if verdict != scaling.VerdictLoaded && verdict != scaling.VerdictLoading {
		h.log.Info("adapter not loaded", "id", call.GetRequest(), "endpoint", call.GetEndpoint(), "model", call.GetModel(), "adapter", call.GetAdapter(),
			"verdict", verdict.String(), "error", logging.ErrorText(err))
	}
	return verdict, err
}

func (h *Holder) loadAdapter(ctx context.Context, call *wirepb.AdapterCall) (scaling.Verdict, error) {
	if !h.acquireOrderSlot(ctx) {
		return scaling.VerdictUnavailable, nil
	}
	defer h.releaseOrderSlot()
	engine := h.engine(call.GetService())
	if engine == nil {
		return scaling.VerdictUnavailable, nil
	}
	wanted := endpoint.Adapter{Model: call.GetModel(), Name: call.GetAdapter()}
	conflicts := 0
	for range maxAdapterOrders {
		report, err := h.currentReport(ctx)
		if err != nil {
			return scaling.VerdictUnavailable, err
		}
		order, verdict := scaling.PlanAdapter(engine, report, wanted, h.adapterOrderedAt, h.inUse())
		if verdict != scaling.VerdictOrder {
			return verdict, nil
		}
		outcome, err := h.issueOrder(ctx, call.GetEndpoint(), order, loadEstimate{})
		switch {
		case outcome == scaling.OutcomeConflict:
			if conflicts++; conflicts == maxAdapterConflicts {
				return scaling.VerdictBusy, nil
			}
		case err != nil:
			return scaling.VerdictUnavailable, err
		case !order.Unload && (outcome == scaling.OutcomeAccepted || outcome == scaling.OutcomeAlreadyApplied):
			h.adapterOrderedAt[wanted] = time.Now()
			return scaling.VerdictLoading, nil
		case order.Unload && outcome == scaling.OutcomeAccepted:
			return scaling.VerdictBusy, nil // the endpoint unloads it once the requests that use it have ended
		}
	}
	return scaling.VerdictUnavailable, nil
}
