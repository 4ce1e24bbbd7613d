package sidecar

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
	"burdocksaddle/scaling"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const service = "engines"

// engine is an endpoint that carries orders out at once, and notes them.
type engine struct {
	mu     sync.Mutex
	report endpoint.Report
	given  []scaling.Order
	// inUse are adapters whose unloads wait for runs.
	inUse []string
	slow  time.Duration
}

func (e *engine) read(context.Context, string) (endpoint.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.report
	r.Models = slices.Clone(r.Models)
	return r, nil
}

func (e *engine) give(_ context.Context, _ endpoint.State, o scaling.Order, fence uint64) (scaling.Outcome, error) {
	time.Sleep(e.slow)
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Sequence != e.report.Load.Sequence || fence == 0 {
		return scaling.OutcomeConflict, nil
	}
	e.given = append(e.given, o)
	if o.Unload && slices.Contains(e.inUse, o.Adapter) {
		return scaling.OutcomeAccepted, nil
	}
	e.report.Load.Sequence++
	if o.Adapter == "" {
		e.report.Models = append(e.report.Models, endpoint.Model{Name: o.Model})
		return scaling.OutcomeAccepted, nil
	}
	m := &e.report.Models[0]
	if o.Unload {
		m.Adapters = slices.DeleteFunc(slices.Clone(m.Adapters), func(name string) bool { return name == o.Adapter })
		return scaling.OutcomeHolds, nil
	}
	m.Adapters = append(slices.Clone(m.Adapters), o.Adapter)
	return scaling.OutcomeAccepted, nil
}

func newSidecar(t *testing.T, e *engine) *Sidecar {
	t.Helper()
	table, err := route.New(1, nil, []route.Service{{Name: service, Engine: &route.Engine{
		MemoryMB: 70_000, AdapterSlots: 2, Models: []route.Model{{Name: "m1", WeightsMB: 30_000, AdapterMB: 40, Adapters: 9}, {Name: "m2", WeightsMB: 30_000}},
	}}}, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Node: "side", Endpoint: "e:1"}, wire.NewPool(), WithReport(e.read), WithGive(e.give))
	s.table.Store(table)
	return s
}

func outcome(f *wirepb.Frame) scaling.Outcome {
	return scaling.Outcome(f.GetEndpointOrderReply().GetOutcome())
}

// TestOlderLeaderIsRefused gives an order of a leader that another has followed.
func TestOlderLeaderIsRefused(t *testing.T) {
	e := &engine{}
	s := newSidecar(t, e)
	order := func(term uint64, model string) scaling.Outcome {
		return outcome(s.order(t.Context(), &wirepb.EndpointOrder{Service: service, Model: model, Term: term}))
	}
	got := []scaling.Outcome{order(5, "m1"), order(4, "m2"), order(5, "m1"), order(6, "m2")}
	want := []scaling.Outcome{scaling.OutcomeAccepted, scaling.OutcomeRefused, scaling.OutcomeHolds, scaling.OutcomeAccepted}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestAdaptersComeInTurn asks for many adapters at once: each is brought with the sequence that the one before left.
func TestAdaptersComeInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{report: endpoint.Report{Models: []endpoint.Model{{Name: "m1"}}}, slow: 5 * time.Millisecond}
		s := newSidecar(t, e)
		const calls = 12
		accepted := make(chan bool, calls)
		for i := range calls {
			go func() {
				reply := s.adapter(t.Context(), &wirepb.AdapterCall{Service: service, Model: "m1", Adapter: string(rune('a' + i))})
				accepted <- reply.GetAdapterReply().GetAccepted()
			}()
		}
		for range calls {
			if !<-accepted {
				t.Error("an adapter was not brought")
			}
		}
		if held := len(e.report.Models[0].Adapters); held != 2 || len(e.given) != 2*calls-2 {
			t.Errorf("%d adapters held after %d orders", held, len(e.given))
		}
	})
}

// TestAdapterInUseStays has the oldest adapter in use: the other one gives way.
func TestAdapterInUseStays(t *testing.T) {
	e := &engine{report: endpoint.Report{Models: []endpoint.Model{{Name: "m1", Adapters: []string{"a1", "a2"}}}}, inUse: []string{"a1"}}
	s := newSidecar(t, e)
	reply := s.adapter(t.Context(), &wirepb.AdapterCall{Service: service, Model: "m1", Adapter: "a3"}).GetAdapterReply()
	if diff := cmp.Diff([]string{"a1", "a3"}, e.report.Models[0].Adapters); diff != "" || !reply.GetAccepted() {
		t.Errorf("%v\n%s", reply, diff)
	}
}
