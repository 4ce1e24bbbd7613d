package holder

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
	"burdocksaddle/scaling"
	"burdocksaddle/wirepb"
)

const testService = "engines"

// Reports lag as the platform's reports do, and loads take as long as the platform documents.
const (
	reportAge   = 250 * time.Millisecond
	adapterTime = 6 * time.Millisecond
	copyTime    = 500 * time.Millisecond
)

// fakeEngine imitates an endpoint as the platform documents it: it counts orders as it accepts them, and its reports are old.
type fakeEngine struct {
	t              *testing.T
	mu             sync.Mutex
	report         endpoint.Report
	history        []reportSnapshot
	acceptedOrders []scaling.Order
	// inUse are adapters that are not unloaded at once because requests still use them.
	inUse        []string
	orderLatency time.Duration
	reads        int
	// lostReplies is how many of the next orders are carried out without their reply arriving.
	lostReplies int
}

type reportSnapshot struct {
	at     time.Time
	report endpoint.Report
}

func newEngine(t *testing.T, models ...endpoint.Model) *fakeEngine {
	return &fakeEngine{t: t, report: endpoint.Report{StartMS: 7, Models: models}}
}

// recordReportLocked adds the current report to the history; it is called before each change.
func (e *fakeEngine) recordReportLocked() {
	r := e.report
	r.Models, r.Load.Pending = slices.Clone(r.Models), slices.Clone(r.Load.Pending)
	e.history = append(e.history, reportSnapshot{time.Now(), r})
}

func (e *fakeEngine) read(context.Context, string) (endpoint.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reads++
	for _, s := range e.history {
		if time.Since(s.at) < reportAge {
			return s.report, nil
		}
	}
	r := e.report
	r.Models, r.Load.Pending = slices.Clone(r.Models), slices.Clone(r.Load.Pending)
	return r, nil
}

func (e *fakeEngine) handleOrder(_ context.Context, _ endpoint.State, o scaling.Order, fence uint64) (scaling.Outcome, error) {
	time.Sleep(e.orderLatency)
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Sequence != e.report.Load.Sequence || e.report.Load.Busy || fence == 0 {
		return scaling.OutcomeConflict, nil
	}
	e.recordReportLocked()
	e.acceptedOrders = append(e.acceptedOrders, o)
	e.report.Load.Sequence++
	outcome := e.acceptLocked(o)
	if held, pending := len(e.adaptersLocked()), len(e.report.Load.Pending); held+pending > adapterSlots {
		e.t.Errorf("%d adapters loaded and %d pending exceed the endpoint's limit of %d", held, pending, adapterSlots)
	}
	if e.lostReplies > 0 {
		e.lostReplies--
		return scaling.OutcomeUnknown, context.DeadlineExceeded
	}
	return outcome, nil
}

func (e *fakeEngine) acceptLocked(o scaling.Order) scaling.Outcome {
	a := endpoint.Adapter{Model: o.Model, Name: o.Adapter}
	switch {
	case o.Adapter == "":
		e.report.Load.Busy = true
		time.AfterFunc(copyTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.recordReportLocked()
			e.report.Load.Busy = false
			e.report.Models = append(slices.Clone(e.report.Models), endpoint.Model{Name: o.Model})
		})
	case o.Unload && slices.Contains(e.inUse, o.Adapter):
	case o.Unload:
		e.report.Models = endpoint.WithoutAdapter(e.report.Models, a)
		return scaling.OutcomeAlreadyApplied
	default:
		e.report.Load.Pending = append(slices.Clone(e.report.Load.Pending), a)
		time.AfterFunc(adapterTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.recordReportLocked()
			e.report.Load.Pending = slices.DeleteFunc(slices.Clone(e.report.Load.Pending), func(p endpoint.Adapter) bool { return p == a })
			e.report.Models = endpoint.WithAdapter(e.report.Models, a)
		})
	}
	return scaling.OutcomeAccepted
}

func (e *fakeEngine) adaptersLocked() []string {
	var all []string
	for _, m := range e.report.Models {
		all = append(all, m.Adapters...)
	}
	return all
}

// adapters returns the adapters that are loaded now.
func (e *fakeEngine) adapters() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.adaptersLocked()
}

// orders returns the number of accepted orders.
func (e *fakeEngine) orders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.acceptedOrders)
}

// adapterSlots is the maximum number of adapters of the engine.
const adapterSlots = 2

func newHolder(t *testing.T, e *fakeEngine, options ...Option) *Holder {
	t.Helper()
	table, err := route.New(1, nil, []route.Service{{Name: testService, Engine: &route.Engine{
		MemoryMB: 70_000, AdapterSlots: adapterSlots,
		Models: []route.Model{{Name: "m1", WeightsMB: 30_000, AdapterMB: 40, Adapters: 9}, {Name: "m2", WeightsMB: 30_000}},
	}}}, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	config := Config{Endpoint: "e:1", Assignment: Assignment{Fence: 1, Settled: true}, Lease: 3 * time.Second}
	return New(config, append([]Option{WithFetchReport(e.read), WithSendOrder(e.handleOrder), WithEngine(func(name string) *route.Engine {
		found, _ := table.Service(name)
		return found.Engine
	})}, options...)...)
}

// startHolder runs a holder until the returned function is called.
func startHolder(t *testing.T, h *Holder) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := h.Run(ctx)
	time.Sleep(reportInterval)
	return func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

func loadModel(h *Holder, term uint64, model string) scaling.Outcome {
	outcome, _ := h.ExecuteOrder(context.Background(), &wirepb.EndpointOrder{
		Service: testService, Model: model, Term: term, TakesMs: uint32(copyTime.Milliseconds()), FromCopy: true,
	})
	return outcome
}

func loadAdapter(h *Holder, adapter string) scaling.Verdict {
	verdict, _ := h.LoadAdapter(context.Background(), &wirepb.AdapterCall{Service: testService, Model: "m1", Adapter: adapter})
	return verdict
}

// TestOlderLeaderIsRefused checks that a holder refuses an order of an earlier term once it has seen a later one.
func TestOlderLeaderIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHolder(t, newEngine(t))
		defer startHolder(t, h)()
		var got []scaling.Outcome
		for _, order := range []struct {
			term  uint64
			model string
		}{{5, "m1"}, {4, "m2"}, {5, "m1"}, {6, "m2"}} {
			got = append(got, loadModel(h, order.term, order.model))
			time.Sleep(time.Second)
		}
		want := []scaling.Outcome{scaling.OutcomeAccepted, scaling.OutcomeRefused, scaling.OutcomeAlreadyApplied, scaling.OutcomeAccepted}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}

// TestAdapterOrdersUseCurrentSequence guards against wrong sequence numbers when adapters are requested faster than reports show
// them: each order must use the sequence number that the previous one left, so that each adapter takes one load and at most one
// unload.
func TestAdapterOrdersUseCurrentSequence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, endpoint.Model{Name: "m1"})
		e.orderLatency = 5 * time.Millisecond
		h := newHolder(t, e)
		defer startHolder(t, h)()
		const calls = 12
		for i := range calls {
			if verdict := loadAdapter(h, string(rune('a'+i))); verdict != scaling.VerdictLoading {
				t.Errorf("adapter %d: %v", i, verdict)
			}
			time.Sleep(adapterLoadTime)
		}
		time.Sleep(time.Second)
		if held := len(e.adapters()); held != adapterSlots || e.orders() != 2*calls-adapterSlots {
			t.Errorf("%d adapters loaded after %d orders", held, e.orders())
		}
	})
}

// TestAdapterInUseStays checks that the oldest adapter is not unloaded while in use; the other one is unloaded instead.
func TestAdapterInUseStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, endpoint.Model{Name: "m1", Adapters: []string{"a1", "a2"}})
		e.inUse = []string{"a1"}
		h := newHolder(t, e)
		defer startHolder(t, h)()
		h.SetUsedAdapters([]endpoint.Adapter{{Model: "m1", Name: "a1"}})
		verdict := loadAdapter(h, "a3")
		time.Sleep(time.Second)
		if diff := cmp.Diff([]string{"a1", "a3"}, e.adapters()); diff != "" || verdict != scaling.VerdictLoading {
			t.Errorf("%v\n%s", verdict, diff)
		}
	})
}

// TestLoadFromCopyIsPublishedOnTime checks that a model loaded from a copy is published as loaded at the expected end of the load,
// before a report shows it.
func TestLoadFromCopyIsPublishedOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var held time.Time
		h := newHolder(t, newEngine(t), WithStateListener(func(s endpoint.State, _ bool) {
			mu.Lock()
			defer mu.Unlock()
			if held.IsZero() && s.Holds("m1") {
				held = time.Now()
			}
		}))
		defer startHolder(t, h)()
		began := time.Now()
		if outcome := loadModel(h, 1, "m1"); outcome != scaling.OutcomeAccepted {
			t.Fatal(outcome)
		}
		time.Sleep(2 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		if took := held.Sub(began); took < copyTime || took > copyTime+2*busyReportInterval {
			t.Errorf("the model was published as loaded after %v", took)
		}
	})
}

// TestLostReply loses the reply to an order that was carried out: the next order must wait until reports show its effect.
func TestLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, endpoint.Model{Name: "m1", Adapters: []string{"a1"}})
		e.lostReplies = 1
		h := newHolder(t, e)
		defer startHolder(t, h)()
		var got []scaling.Verdict
		for range 3 {
			got = append(got, loadAdapter(h, "a2"), loadAdapter(h, "a3"))
			time.Sleep(time.Second)
		}
		want := []scaling.Verdict{
			scaling.VerdictUnavailable, scaling.VerdictBusy, scaling.VerdictLoaded, scaling.VerdictLoading, scaling.VerdictLoaded, scaling.VerdictLoaded,
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}

// TestNewHolderWaits takes over an endpoint from another steward: no order may be sent before the former holder's lease has
// expired, nor without a proof that this steward is the holder.
func TestNewHolderWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, endpoint.Model{Name: "m1"})
		proven := true
		h := New(Config{Endpoint: "e:1", Assignment: Assignment{Fence: 2}, Lease: 3 * time.Second}, WithFetchReport(e.read), WithSendOrder(e.handleOrder),
			WithEngine(newHolder(t, e).engine), WithVerifyHolder(func(context.Context) bool { return proven }))
		defer startHolder(t, h)()
		for time.Sleep(3 * time.Second); !h.Ready(); time.Sleep(pollTick) {
			if verdict := loadAdapter(h, "a1"); verdict != scaling.VerdictUnavailable {
				t.Fatalf("before the former lease expired: %v", verdict)
			}
		}
		proven = false
		if verdict := loadAdapter(h, "a1"); verdict != scaling.VerdictUnavailable || e.orders() != 0 {
			t.Errorf("without proof: %v, %d orders", verdict, e.orders())
		}
		proven = true
		if verdict := loadAdapter(h, "a1"); verdict != scaling.VerdictLoading {
			t.Errorf("after the former lease expired: %v", verdict)
		}
	})
}

// TestPausedEndpointGetsNoCalls checks that a holder neither reads reports from an endpoint nor sends it orders while the endpoint
// wants none, apart from the call that it turned away.
func TestPausedEndpointGetsNoCalls(t *testing.T) {
	const pause = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		e, pausedUntil := newEngine(t), time.Now().Add(pause)
		var turnedAway atomic.Int32
		turnAway := func() error {
			if left := time.Until(pausedUntil); left > 0 {
				turnedAway.Add(1)
				return endpoint.ErrPaused{Pause: left}
			}
			return nil
		}
		h := newHolder(t, e, WithFetchReport(func(ctx context.Context, address string) (endpoint.Report, error) {
			if err := turnAway(); err != nil {
				return endpoint.Report{}, err
			}
			return e.read(ctx, address)
		}), WithSendOrder(func(ctx context.Context, s endpoint.State, o scaling.Order, fence uint64) (scaling.Outcome, error) {
			if err := turnAway(); err != nil {
				return scaling.OutcomeRefused, err
			}
			return e.handleOrder(ctx, s, o, fence)
		}))
		defer startHolder(t, h)()
		for time.Now().Before(pausedUntil) {
			if outcome := loadModel(h, 1, "m1"); outcome == scaling.OutcomeAccepted {
				t.Error("an order was accepted in the pause")
			}
			if verdict := loadAdapter(h, "a1"); verdict != scaling.VerdictUnavailable {
				t.Errorf("adapter in the pause: %v", verdict)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if n := turnedAway.Load(); n != 1 {
			t.Errorf("%d calls in the pause", n)
		}
		time.Sleep(2 * reportInterval)
		if outcome := loadModel(h, 1, "m1"); outcome != scaling.OutcomeAccepted {
			t.Errorf("after the pause: %v", outcome)
		}
	})
}

// TestRefusalOfAnotherOrderKeepsLimit answers orders that are carried out with refusals of earlier ones: the holder must neither exceed the
// endpoint's limit nor stop loading.
func TestRefusalOfAnotherOrderKeepsLimit(t *testing.T) {
	refusals := []scaling.Outcome{scaling.OutcomeConflict, scaling.OutcomeFenced, scaling.OutcomeRefused}
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			e, faulty := newEngine(t, endpoint.Model{Name: "m1", Adapters: []string{"a1"}}), true
			h := newHolder(t, e, WithSendOrder(func(ctx context.Context, s endpoint.State, o scaling.Order, fence uint64) (scaling.Outcome, error) {
				outcome, err := e.handleOrder(ctx, s, o, fence)
				if faulty && random.IntN(3) == 0 {
					return refusals[random.IntN(len(refusals))], err
				}
				return outcome, err
			}))
			defer startHolder(t, h)()
			for range 60 {
				loadAdapter(h, "a"+strconv.Itoa(random.IntN(9)))
				time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
			}
			faulty = false
			time.Sleep(2 * time.Second)
			loadAdapter(h, "last")
			time.Sleep(2 * time.Second)
			if held := e.adapters(); !slices.Contains(held, "last") {
				t.Errorf("seed %d: %v loaded", seed, held)
			}
		})
	}
}
