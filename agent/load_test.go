package agent

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/catalog"
	"burdocksaddle/engineapi"
	"burdocksaddle/fleet"
	"burdocksaddle/setting"
	"burdocksaddle/standin"
	"burdocksaddle/wirepb"
)

const (
	benchMB       = 80_000
	benchLifetime = 10 * time.Second
	benchEndpoint = "lm-1"
)

// direct hands requests to a handler without a network.
type direct struct{ handler http.Handler }

// RoundTrip implements http.RoundTripper.
func (d direct) RoundTrip(r *http.Request) (response *http.Response, err error) {
	defer func() {
		if recover() != nil {
			response, err = nil, context.DeadlineExceeded
		}
	}()
	recorder := httptest.NewRecorder()
	d.handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// bench joins the fleet, one agent's holding duty and a stand-in engine.
type bench struct {
	t        *testing.T
	fleet    *fleet.Fleet
	engine   *standin.Engine
	checks   bool
	agent    *Agent
	holder   *holder
	process  int
	sequence uint64
	// late are reports that arrive after later ones.
	late []fleet.Inventory
}

func newBench(t *testing.T, checksFencing bool) *bench {
	b := &bench{t: t, fleet: fleet.New(), checks: checksFencing}
	b.engine = standin.NewEngine(context.Background(), standin.Memory(benchMB), standin.CheckFencing(checksFencing))
	b.restart()
	return b
}

// restart begins a new process of the agent, which knows nothing of the old one's orders.
func (b *bench) restart() {
	b.process++
	settings := setting.Defaults()
	settings.Agent.Endpoint, settings.Agent.EndpointURL, settings.Agent.Kind = benchEndpoint, "http://engine", string(setting.KindModel)
	b.agent = New(settings, nil, strconv.Itoa(b.process), WithHTTP(&http.Client{Transport: direct{b.engine}}))
	b.agent.facts = func() catalog.Endpoint { return catalog.Endpoint{ChecksFencing: b.checks} }
	b.agent.incarnation = b.fleet.Register(fleet.Endpoint{
		Name: benchEndpoint, Service: "lm", Process: b.agent.process, MemoryMB: benchMB,
	}, uint64(b.process), time.Now().UnixMilli())
	b.holder = newHolder(time.Now())
	b.sequence = 0
}

// step lets the agent look at its engine once; the report reaches the fleet unless it is lost.
func (b *bench) step(lost bool) {
	b.holder.take(b.orders(), b.agent.incarnation, time.Now())
	asked := time.Now()
	var state engineapi.State
	if err := b.agent.get(b.t.Context(), engineapi.PathState, &state); err != nil {
		return
	}
	b.agent.carryOut(b.t.Context(), b.holder, state, asked)
	report := b.agent.report(b.holder, state, asked)
	b.sequence++
	inventory := fleet.Inventory{Endpoint: benchEndpoint, Incarnation: b.agent.incarnation, Sequence: b.sequence}
	for _, view := range report.GetReplicas() {
		inventory.Held = append(inventory.Held, fleet.Held{
			ID: view.GetId(), Model: view.GetModel(), Version: view.GetVersion(), MemoryMB: view.GetMemoryMb(),
			Fence: view.GetFence(), State: states[view.GetState()],
		})
	}
	if lost {
		b.late = append(b.late, inventory)
		return
	}
	if err := b.fleet.Report(inventory, time.Now().UnixMilli()); err != nil {
		b.t.Error(err)
	}
}

var states = map[wirepb.ReplicaState]fleet.State{
	wirepb.ReplicaState_REPLICA_DECIDED: fleet.Decided, wirepb.ReplicaState_REPLICA_LOADING: fleet.Loading,
	wirepb.ReplicaState_REPLICA_LOADED: fleet.Loaded, wirepb.ReplicaState_REPLICA_UNLOADING: fleet.Unloading,
	wirepb.ReplicaState_REPLICA_GONE: fleet.Gone,
}

func (b *bench) orders() []*wirepb.ReplicaOrder {
	var orders []*wirepb.ReplicaOrder
	for _, r := range b.fleet.Replicas(benchEndpoint) {
		if r.State != fleet.Loaded {
			orders = append(orders, &wirepb.ReplicaOrder{
				Replica: r.ID, Model: r.Model, Version: r.Version, Fence: r.Fence, Incarnation: b.agent.incarnation, MemoryMb: r.MemoryMB,
				Unload: r.State == fleet.Unloading, Verify: r.State == fleet.Unknown, LifetimeMs: uint64(benchLifetime.Milliseconds()),
			})
		}
	}
	return orders
}

// runFor lets the agent poll for so long.
func (b *bench) runFor(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); {
		b.step(false)
		time.Sleep(pollBusy)
	}
}

func (b *bench) decide(model string, mb uint64) (fleet.Replica, error) {
	return b.fleet.Decide(fleet.Replica{
		Endpoint: benchEndpoint, Incarnation: b.agent.incarnation, Model: model, Version: "1", MemoryMB: mb,
	}, 1, time.Now().UnixMilli())
}

func (b *bench) state(id uint64) fleet.State {
	if replica, ok := b.fleet.Replica(id); ok {
		return replica.State
	}
	return fleet.Gone
}

// close ends the engine and checks that it never held more than it has.
func (b *bench) close() {
	counts := b.engine.Counts()
	if counts.Overcommits > 0 || counts.PeakMB > benchMB {
		b.t.Errorf("engine overcommitted %d times, peak %d MB", counts.Overcommits, counts.PeakMB)
	}
	for model, peak := range counts.PeakReplicas {
		if peak > 1 {
			b.t.Errorf("engine held %d replicas of %s", peak, model)
		}
	}
	b.engine.Close()
}

// TestFaultsInLoads says where a replica stands after each fault, on engines that check fencing numbers and that do not.
func TestFaultsInLoads(t *testing.T) {
	type step struct {
		do   func(*bench, uint64)
		wait time.Duration
		// want is the state with and without fencing checks.
		want, loose fleet.State
	}
	unload := func(b *bench, id uint64) { _ = b.fleet.Unload(id, "Idle", time.Now().UnixMilli()) }
	restart := func(b *bench, _ uint64) { b.restart() }
	fault := func(f engineapi.Fault) func(*bench, uint64) {
		return func(b *bench, _ uint64) { b.engine.SetFault(f) }
	}
	none := func(*bench, uint64) {}
	cases := []struct {
		name  string
		steps []step
	}{
		{"load and unload", []step{
			{none, 100 * time.Millisecond, fleet.Loading, fleet.Loading}, {none, 6 * time.Second, fleet.Loaded, fleet.Loaded},
			{unload, time.Second, fleet.Gone, fleet.Unloading}, {none, benchLifetime, fleet.Gone, fleet.Gone},
		}},
		{"load dies and is ordered anew", []step{
			{none, time.Second, fleet.Loading, fleet.Loading}, {fault(engineapi.Fault{DieInLoad: true}), 100 * time.Millisecond, fleet.Loading, fleet.Loading},
			{fault(engineapi.Fault{}), 10 * time.Second, fleet.Loaded, fleet.Loaded},
		}},
		{"agent restarts in mid-load", []step{
			{none, time.Second, fleet.Loading, fleet.Loading}, {restart, 0, fleet.Unknown, fleet.Unknown},
			{none, 100 * time.Millisecond, fleet.Loading, fleet.Loading}, {none, 6 * time.Second, fleet.Loaded, fleet.Loaded},
		}},
		{"agent restarts, load dies meanwhile", []step{
			{none, time.Second, fleet.Loading, fleet.Loading}, {fault(engineapi.Fault{DieInLoad: true}), 0, fleet.Loading, fleet.Loading}, {restart, 0, fleet.Unknown, fleet.Unknown},
			{none, time.Second, fleet.Gone, fleet.Unknown}, {none, benchLifetime, fleet.Gone, fleet.Gone},
		}},
		{"order carried out late, after the unload", []step{
			{fault(engineapi.Fault{LateOrderMS: 5000}), 200 * time.Millisecond, fleet.Decided, fleet.Decided},
			{unload, time.Second, fleet.Unloading, fleet.Unloading}, {none, 30 * time.Second, fleet.Gone, fleet.Gone},
		}},
		{"engine silent", []step{
			{none, 6 * time.Second, fleet.Loaded, fleet.Loaded}, {fault(engineapi.Fault{Silent: true}), time.Second, fleet.Loaded, fleet.Loaded},
			{unload, time.Minute, fleet.Unloading, fleet.Unloading}, {fault(engineapi.Fault{}), 15 * time.Second, fleet.Gone, fleet.Gone},
		}},
	}
	for _, c := range cases {
		for _, checks := range []bool{true, false} {
			t.Run(c.name+", checks "+strconv.FormatBool(checks), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newBench(t, checks)
					replica, err := b.decide("m", 50_000)
					if err != nil {
						t.Fatal(err)
					}
					for i, s := range c.steps {
						s.do(b, replica.ID)
						b.runFor(s.wait)
						want := s.want
						if !checks {
							want = s.loose
						}
						if diff := cmp.Diff(want, b.state(replica.ID)); diff != "" {
							t.Errorf("step %d (-want +got):\n%s", i, diff)
						}
					}
					b.close()
				})
			})
		}
	}
}

// TestAdoption shows that what the engine holds on its own is counted.
func TestAdoption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, false)
		if err := b.agent.post(t.Context(), engineapi.PathLoad, engineapi.Order{Model: "stray", Version: "1", MemoryMB: 60_000}); err != nil {
			t.Fatal(err)
		}
		b.runFor(time.Second)
		if _, err := b.decide("m", 50_000); !fleet.IsErrMemoryExceeded(err) || b.fleet.ReservedMB(benchEndpoint) != 60_000 {
			t.Errorf("error %v, reserved %d MB", err, b.fleet.ReservedMB(benchEndpoint))
		}
		b.close()
	})
}

// TestRandomLoads lets decisions, unloads, restarts, lost and late reports and
// the engine's faults meet at random; the engine itself counts what it holds.
func TestRandomLoads(t *testing.T) {
	for seed := range uint64(20) {
		for _, checks := range []bool{true, false} {
			t.Run(strconv.FormatUint(seed, 10)+", checks "+strconv.FormatBool(checks), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { randomLoads(t, seed, checks) })
			})
		}
	}
}

func randomLoads(t *testing.T, seed uint64, checks bool) {
	const steps = 1500
	random := rand.New(rand.NewPCG(seed, 1))
	b := newBench(t, checks)
	loads := 0
	for range steps {
		b.happen(random)
		if _, err := b.decide("m"+strconv.Itoa(random.IntN(6)), uint64(10_000+random.IntN(40_000))); err == nil {
			loads++
		}
		b.step(random.IntN(10) == 0)
		time.Sleep(time.Duration(20+random.IntN(600)) * time.Millisecond)
	}
	b.engine.SetFault(engineapi.Fault{})
	for _, r := range b.fleet.Replicas(benchEndpoint) {
		_ = b.fleet.Unload(r.ID, "End", time.Now().UnixMilli())
	}
	b.runFor(4 * benchLifetime)
	if left := b.fleet.Replicas(benchEndpoint); len(left) > 0 || b.fleet.ReservedMB(benchEndpoint) > 0 {
		t.Errorf("left over: %+v", left)
	}
	if loads < steps/100 || b.engine.Counts().Loads == 0 {
		t.Errorf("%d loads decided, %d carried out", loads, b.engine.Counts().Loads)
	}
	b.close()
}

// happen lets one random thing go wrong, or nothing.
func (b *bench) happen(random *rand.Rand) {
	switch random.IntN(24) {
	case 0:
		b.restart()
	case 1:
		b.engine.SetFault(engineapi.Fault{DieInLoad: true})
	case 2:
		b.engine.SetFault(engineapi.Fault{LateOrderMS: int64(random.IntN(6000))})
	case 3:
		b.engine.SetFault(engineapi.Fault{LoseAnswer: true})
	case 4:
		b.engine.SetFault(engineapi.Fault{Slow: 3})
	case 5, 6, 7, 8:
		b.engine.SetFault(engineapi.Fault{})
	case 9, 10, 11:
		if all := b.fleet.Replicas(benchEndpoint); len(all) > 0 {
			_ = b.fleet.Unload(all[random.IntN(len(all))].ID, "Idle", time.Now().UnixMilli())
		}
	case 12:
		for _, one := range b.late {
			_ = b.fleet.Report(one, time.Now().UnixMilli())
		}
		b.late = nil
	}
}
