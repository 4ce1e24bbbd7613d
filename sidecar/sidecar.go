package sidecar

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"burdocksaddle/endpoint"
	"burdocksaddle/logging"
	"burdocksaddle/route"
	"burdocksaddle/scaling"
	"burdocksaddle/uplink"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	// lookEvery is how often the endpoint's report is read; from the same machine it is fresh and free.
	lookEvery = 100 * time.Millisecond
	// tellEvery is how often the stewards hear of the endpoint's load where nothing else changes.
	tellEvery     = 300 * time.Millisecond
	reportTimeout = 300 * time.Millisecond
	// orderTimeout bounds the wait for the order before.
	orderTimeout = 400 * time.Millisecond
	// adapterSteps bounds the orders that bring one adapter.
	adapterSteps = 6
	// fence is the fencing number of all orders: an endpoint has one holder for good, its sidecar.
	fence = 1
)

// Names of metrics; labels have few values.
const (
	metricOrders   = "burdocksaddle_sidecar_orders_total"
	metricAdapters = "burdocksaddle_sidecar_adapters_total"
)

// Config says who a sidecar is.
type Config struct {
	Node string
	// Endpoint is the address of the endpoint on this machine.
	Endpoint string
	Stewards []string
}

// Sidecar is the one holder of an endpoint's orders.
type Sidecar struct {
	config  Config
	log     logr.Logger
	metrics *metrics.Set
	links   *uplink.Uplink
	decode  func([]byte) (*route.Table, error)
	report  func(context.Context, string) (endpoint.Report, error)
	give    func(context.Context, endpoint.State, scaling.Order, uint64) (scaling.Outcome, error)
	table   atomic.Pointer[route.Table]

	// turn is held by the one order that is under way.
	turn chan struct{}
	// term and brought are the turn's.
	term    uint64
	brought map[endpoint.Adapter]time.Time
	look    chan struct{}
}

// Option sets one property of a Sidecar.
type Option func(*Sidecar)

// WithLog sets where events are logged.
func WithLog(log logr.Logger) Option { return func(s *Sidecar) { s.log = log } }

// WithMetrics sets where counters are kept.
func WithMetrics(set *metrics.Set) Option { return func(s *Sidecar) { s.metrics = set } }

// WithDecode sets what reads an operator's table.
func WithDecode(decode func([]byte) (*route.Table, error)) Option {
	return func(s *Sidecar) { s.decode = decode }
}

// WithReport sets what reads the endpoint's report.
func WithReport(report func(context.Context, string) (endpoint.Report, error)) Option {
	return func(s *Sidecar) { s.report = report }
}

// WithGive sets what gives the endpoint an order under a fencing number.
func WithGive(give func(context.Context, endpoint.State, scaling.Order, uint64) (scaling.Outcome, error)) Option {
	return func(s *Sidecar) { s.give = give }
}

// New makes a Sidecar.
func New(config Config, pool *wire.Pool, options ...Option) *Sidecar {
	s := &Sidecar{
		config: config, log: logr.Discard(), metrics: metrics.NewSet(), turn: make(chan struct{}, 1), brought: map[endpoint.Adapter]time.Time{},
		look: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(s)
	}
	s.links = uplink.New(config.Node, config.Stewards, pool, uplink.WithLog(s.log), uplink.WithTake(s.takeSnapshot), uplink.WithTableOnly(),
		uplink.WithVersion(func() uint64 {
			if t := s.table.Load(); t != nil {
				return t.Version
			}
			return 0
		}))
	return s
}

// Follow sets the stewards' addresses by the settings.
func (s *Sidecar) Follow(stewards []string) { s.links.Follow(stewards) }

// Handlers returns what serves other processes' calls.
func (s *Sidecar) Handlers() wire.Handlers {
	return wire.Handlers{Order: s.order, Adapter: s.adapter}
}

// takeSnapshot takes the table, for the sizes of models.
func (s *Sidecar) takeSnapshot(steward string, snapshot *wirepb.Snapshot) {
	if held := s.table.Load(); len(snapshot.GetTable()) == 0 || held != nil && held.Version >= snapshot.GetVersion() {
		return
	}
	table, err := s.decode(snapshot.GetTable())
	if err != nil {
		s.log.Error(err, "table not taken", "steward", steward, "version", snapshot.GetVersion())
		return
	}
	s.table.Store(table)
}

// Run keeps the stewards informed until the context ends; the channel gives the end.
func (s *Sidecar) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	linked := s.links.Run(ctx)
	go func() {
		s.watch(ctx)
		ended <- <-linked
	}()
	return ended
}

func (s *Sidecar) watch(ctx context.Context) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	var told endpoint.State
	var at time.Time
	silent := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.look:
		case <-ticker.C:
		}
		state, err := s.read(ctx)
		if failed := err != nil; failed != silent {
			silent = failed
			s.log.Info("endpoint report", "endpoint", s.config.Endpoint, "silent", silent, "error", logging.ErrorText(err))
		}
		if err != nil {
			continue
		}
		if now := time.Now(); now.Sub(at) >= tellEvery || !told.SameOrders(state) {
			told, at = state, now
			s.links.TellAll(&wirepb.Frame{Body: &wirepb.Frame_EndpointState{EndpointState: state.ToWire()}})
		}
	}
}

func (s *Sidecar) read(ctx context.Context) (endpoint.State, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := s.report(ctx, s.config.Endpoint)
	if err != nil {
		return endpoint.State{}, err
	}
	return endpoint.State{
		Address: s.config.Endpoint, Born: r.Born, Draining: r.Draining, Remaining: r.Remaining, Models: r.Models, Load: &r.Load,
	}, nil
}

// begin waits for the order before; false when that takes too long.
func (s *Sidecar) begin(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	select {
	case s.turn <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// end lets the next order begin and shows what this one did.
func (s *Sidecar) end() {
	<-s.turn
	select {
	case s.look <- struct{}{}:
	default:
	}
}

func (s *Sidecar) engine(service string) *route.Engine {
	if t := s.table.Load(); t != nil {
		if found, ok := t.Service(service); ok {
			return found.Engine
		}
	}
	return nil
}

// order carries out the leader's word on a model.
func (s *Sidecar) order(ctx context.Context, o *wirepb.EndpointOrder) *wirepb.Frame {
	outcome, err := s.weights(ctx, o)
	s.metrics.GetOrCreateCounter(fmt.Sprintf("%s{unload=\"%t\",outcome=%q}", metricOrders, o.GetUnload(), outcome.String())).Inc()
	s.log.Info("order", "endpoint", o.GetEndpoint(), "model", o.GetModel(), "unload", o.GetUnload(), "term", o.GetTerm(),
		"reason", o.GetReason(), "outcome", outcome.String(), "error", logging.ErrorText(err))
	reply := &wirepb.EndpointOrderReply{Outcome: uint32(outcome), Error: logging.ErrorText(err)}
	return &wirepb.Frame{Body: &wirepb.Frame_EndpointOrderReply{EndpointOrderReply: reply}}
}

func (s *Sidecar) weights(ctx context.Context, o *wirepb.EndpointOrder) (scaling.Outcome, error) {
	if !s.begin(ctx) {
		return scaling.OutcomeConflict, nil
	}
	defer s.end()
	engine := s.engine(o.GetService())
	if o.GetTerm() < s.term || engine == nil {
		return scaling.OutcomeRefused, nil
	}
	s.term = o.GetTerm()
	state, err := s.read(ctx)
	if err != nil {
		return scaling.OutcomeUnknown, err
	}
	order, outcome := scaling.Weights(engine, report(state), o.GetModel(), o.GetUnload())
	if outcome != scaling.OutcomeAccepted {
		return outcome, nil
	}
	return s.give(ctx, endpoint.State{ID: o.GetEndpoint(), Address: s.config.Endpoint}, order, fence)
}

// report is what a state says of the endpoint's orders.
func report(state endpoint.State) endpoint.Report {
	return endpoint.Report{Models: state.Models, Load: *state.Load}
}

// adapter brings an adapter for a gateway's request.
func (s *Sidecar) adapter(ctx context.Context, call *wirepb.AdapterCall) *wirepb.Frame {
	verdict, err := s.bring(ctx, call)
	s.metrics.GetOrCreateCounter(fmt.Sprintf("%s{verdict=%q}", metricAdapters, verdict.String())).Inc()
	reply := &wirepb.AdapterReply{
		Accepted: verdict == scaling.VerdictHeld || verdict == scaling.VerdictComing, Held: verdict == scaling.VerdictHeld, Error: logging.ErrorText(err),
	}
	if !reply.Accepted {
		s.log.Info("adapter not brought", "endpoint", call.GetEndpoint(), "model", call.GetModel(), "adapter", call.GetAdapter(),
			"busy", verdict == scaling.VerdictBusy, "error", logging.ErrorText(err))
	}
	return &wirepb.Frame{Body: &wirepb.Frame_AdapterReply{AdapterReply: reply}}
}

func (s *Sidecar) bring(ctx context.Context, call *wirepb.AdapterCall) (scaling.Verdict, error) {
	if !s.begin(ctx) {
		return scaling.VerdictNo, nil
	}
	defer s.end()
	engine := s.engine(call.GetService())
	if engine == nil {
		return scaling.VerdictNo, nil
	}
	wanted := endpoint.Adapter{Model: call.GetModel(), Name: call.GetAdapter()}
	var used []endpoint.Adapter
	for range adapterSteps {
		state, err := s.read(ctx)
		if err != nil {
			return scaling.VerdictNo, err
		}
		order, verdict := scaling.Adapter(engine, report(state), wanted, s.brought, used)
		if verdict != scaling.VerdictOrder {
			return verdict, nil
		}
		outcome, err := s.give(ctx, endpoint.State{ID: call.GetEndpoint(), Address: s.config.Endpoint}, order, fence)
		switch {
		case err != nil:
			return scaling.VerdictNo, err
		case !order.Unload && outcome == scaling.OutcomeAccepted:
			s.brought[wanted] = time.Now()
			return scaling.VerdictComing, nil
		case order.Unload && outcome != scaling.OutcomeHolds:
			used = append(used, endpoint.Adapter{Model: order.Model, Name: order.Adapter})
		}
	}
	return scaling.VerdictNo, nil
}
