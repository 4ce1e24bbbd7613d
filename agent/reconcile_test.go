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
	engineMemoryMB = 80_000
	orderLifetime  = 10 * time.Second
	testEndpoint   = "lm-1"
)

// handlerTransport serves HTTP requests by calling a handler directly.
type handlerTransport struct{ handler http.Handler }

// RoundTrip implements http.RoundTripper.
func (transport handlerTransport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	defer func() {
		if recover() != nil {
			response, err = nil, context.DeadlineExceeded
		}
	}()
	recorder := httptest.NewRecorder()
	transport.handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// testEnv connects a fleet, an agent's reconciler and a simulated engine.
type testEnv struct {
	t             *testing.T
	fleet         *fleet.Fleet
	engine        *standin.Engine
	checksFencing bool
	agent         *Agent
	reconciler    *reconciler
	process       int
	sequence      uint64
	// lateReports are delivered after newer ones.
	lateReports []fleet.Inventory
}

func newTestEnv(t *testing.T, checksFencing bool) *testEnv {
	env := &testEnv{t: t, fleet: fleet.New(), checksFencing: checksFencing}
	env.engine = standin.NewEngine(context.Background(), standin.Memory(engineMemoryMB), standin.CheckFencing(checksFencing))
	env.restart()
	return env
}

// restart replaces the agent by a new process that has no record of earlier orders.
func (env *testEnv) restart() {
	env.process++
	settings := setting.Defaults()
	settings.Agent.Endpoint, settings.Agent.EndpointURL, settings.Agent.Kind = testEndpoint, "http://engine", string(setting.KindModel)
	env.agent = New(settings, nil, strconv.Itoa(env.process), WithHTTP(&http.Client{Transport: handlerTransport{env.engine}}))
	env.agent.endpointConfig = func() catalog.Endpoint { return catalog.Endpoint{ChecksFencing: env.checksFencing} }
	env.agent.incarnation = env.fleet.Register(fleet.Endpoint{
		Name: testEndpoint, Service: "lm", Process: env.agent.process, MemoryMB: engineMemoryMB,
	}, uint64(env.process), time.Now().UnixMilli())
	env.reconciler = newReconciler(time.Now())
	env.sequence = 0
}

// step runs one reconciliation. With dropReport, the report is kept for late delivery instead of reaching the fleet.
func (env *testEnv) step(dropReport bool) {
	env.reconciler.replaceOrders(env.orders(), env.agent.incarnation, time.Now())
	queriedAt := time.Now()
	var state engineapi.State
	if err := env.agent.getEngine(env.t.Context(), engineapi.PathState, &state); err != nil {
		return
	}
	env.agent.applyOrders(env.t.Context(), env.reconciler, state, queriedAt)
	report := env.agent.buildReport(env.reconciler, state, queriedAt)
	env.sequence++
	inventory := fleet.Inventory{Endpoint: testEndpoint, Incarnation: env.agent.incarnation, Sequence: env.sequence}
	for _, view := range report.GetReplicas() {
		inventory.Held = append(inventory.Held, fleet.ReportedReplica{
			ID: view.GetId(), Model: view.GetModel(), Version: view.GetVersion(), MemoryMB: view.GetMemoryMb(),
			Fence: view.GetFence(), State: fleetStates[view.GetState()],
		})
	}
	if dropReport {
		env.lateReports = append(env.lateReports, inventory)
		return
	}
	if err := env.fleet.Report(inventory, time.Now().UnixMilli()); err != nil {
		env.t.Error(err)
	}
}

var fleetStates = map[wirepb.ReplicaState]fleet.State{
	wirepb.ReplicaState_REPLICA_DECIDED: fleet.Decided, wirepb.ReplicaState_REPLICA_LOADING: fleet.Loading,
	wirepb.ReplicaState_REPLICA_LOADED: fleet.Loaded, wirepb.ReplicaState_REPLICA_UNLOADING: fleet.Unloading,
	wirepb.ReplicaState_REPLICA_GONE: fleet.Gone,
}

func (env *testEnv) orders() []*wirepb.ReplicaOrder {
	var orders []*wirepb.ReplicaOrder
	for _, r := range env.fleet.Replicas(testEndpoint) {
		if r.State != fleet.Loaded {
			orders = append(orders, &wirepb.ReplicaOrder{
				Replica: r.ID, Model: r.Model, Version: r.Version, Fence: r.Fence, Incarnation: env.agent.incarnation, MemoryMb: r.MemoryMB,
				Unload: r.State == fleet.Unloading, Verify: r.State == fleet.Unknown, LifetimeMs: uint64(orderLifetime.Milliseconds()),
			})
		}
	}
	return orders
}

// runFor runs reconciliations for the given duration.
func (env *testEnv) runFor(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); {
		env.step(false)
		time.Sleep(pendingPollInterval)
	}
}

func (env *testEnv) decide(model string, mb uint64) (fleet.Replica, error) {
	return env.fleet.Decide(fleet.Replica{
		Endpoint: testEndpoint, Incarnation: env.agent.incarnation, Model: model, Version: "1", MemoryMB: mb,
	}, 1, time.Now().UnixMilli())
}

func (env *testEnv) state(id uint64) fleet.State {
	if replica, ok := env.fleet.Replica(id); ok {
		return replica.State
	}
	return fleet.Gone
}

// closeAndCheck stops the engine and checks that it never exceeded its memory or held a replica twice.
func (env *testEnv) closeAndCheck() {
	counts := env.engine.Counts()
	if counts.Overcommits > 0 || counts.PeakMB > engineMemoryMB {
		env.t.Errorf("engine overcommitted %d times, peak %d MB", counts.Overcommits, counts.PeakMB)
	}
	for model, peak := range counts.PeakReplicas {
		if peak > 1 {
			env.t.Errorf("engine held %d replicas of %s", peak, model)
		}
	}
	env.engine.Close()
}

// TestLoadFaults checks the replica's state after each fault, on engines with and without fencing checks.
func TestLoadFaults(t *testing.T) {
	type step struct {
		action   func(*testEnv, uint64)
		duration time.Duration
		// want is the expected state with fencing checks, wantUnchecked the one without.
		want, wantUnchecked fleet.State
	}
	unload := func(env *testEnv, id uint64) { _ = env.fleet.Unload(id, "Idle", time.Now().UnixMilli()) }
	restart := func(env *testEnv, _ uint64) { env.restart() }
	fault := func(f engineapi.Fault) func(*testEnv, uint64) {
		return func(env *testEnv, _ uint64) { env.engine.SetFault(f) }
	}
	noop := func(*testEnv, uint64) {}
	cases := []struct {
		name  string
		steps []step
	}{
		{"load and unload", []step{
			{noop, 100 * time.Millisecond, fleet.Loading, fleet.Loading}, {noop, 6 * time.Second, fleet.Loaded, fleet.Loaded},
			{unload, time.Second, fleet.Gone, fleet.Unloading}, {noop, orderLifetime, fleet.Gone, fleet.Gone},
		}},
		{"load fails and is ordered again", []step{
			{noop, time.Second, fleet.Loading, fleet.Loading}, {fault(engineapi.Fault{DieInLoad: true}), 100 * time.Millisecond, fleet.Loading, fleet.Loading},
			{fault(engineapi.Fault{}), 10 * time.Second, fleet.Loaded, fleet.Loaded},
		}},
		{"agent restarts during load", []step{
			{noop, time.Second, fleet.Loading, fleet.Loading}, {restart, 0, fleet.Unknown, fleet.Unknown},
			{noop, 100 * time.Millisecond, fleet.Loading, fleet.Loading}, {noop, 6 * time.Second, fleet.Loaded, fleet.Loaded},
		}},
		{"load fails during agent restart", []step{
			{noop, time.Second, fleet.Loading, fleet.Loading}, {fault(engineapi.Fault{DieInLoad: true}), 0, fleet.Loading, fleet.Loading}, {restart, 0, fleet.Unknown, fleet.Unknown},
			{noop, time.Second, fleet.Gone, fleet.Unknown}, {noop, orderLifetime, fleet.Gone, fleet.Gone},
		}},
		{"load executed late, after the unload", []step{
			{fault(engineapi.Fault{LateOrderMS: 5000}), 200 * time.Millisecond, fleet.Decided, fleet.Decided},
			{unload, time.Second, fleet.Unloading, fleet.Unloading}, {noop, 30 * time.Second, fleet.Gone, fleet.Gone},
		}},
		{"engine unresponsive", []step{
			{noop, 6 * time.Second, fleet.Loaded, fleet.Loaded}, {fault(engineapi.Fault{Silent: true}), time.Second, fleet.Loaded, fleet.Loaded},
			{unload, time.Minute, fleet.Unloading, fleet.Unloading}, {fault(engineapi.Fault{}), 15 * time.Second, fleet.Gone, fleet.Gone},
		}},
	}
	for _, c := range cases {
		for _, checksFencing := range []bool{true, false} {
			t.Run(c.name+", checks "+strconv.FormatBool(checksFencing), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					env := newTestEnv(t, checksFencing)
					replica, err := env.decide("m", 50_000)
					if err != nil {
						t.Fatal(err)
					}
					for i, s := range c.steps {
						s.action(env, replica.ID)
						env.runFor(s.duration)
						want := s.want
						if !checksFencing {
							want = s.wantUnchecked
						}
						if diff := cmp.Diff(want, env.state(replica.ID)); diff != "" {
							t.Errorf("step %d (-want +got):\n%s", i, diff)
						}
					}
					env.closeAndCheck()
				})
			})
		}
	}
}

// TestUnorderedReplicaIsCounted checks that memory is reserved for a replica that the engine loaded without an order.
func TestUnorderedReplicaIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, false)
		if err := env.agent.postEngine(t.Context(), engineapi.PathLoad, engineapi.Order{Model: "stray", Version: "1", MemoryMB: 60_000}); err != nil {
			t.Fatal(err)
		}
		env.runFor(time.Second)
		if _, err := env.decide("m", 50_000); !fleet.IsErrMemoryExceeded(err) || env.fleet.ReservedMB(testEndpoint) != 60_000 {
			t.Errorf("error %v, reserved %d MB", err, env.fleet.ReservedMB(testEndpoint))
		}
		env.closeAndCheck()
	})
}

// TestRandomLoads combines random decisions, unloads, restarts, lost and late reports and engine faults. The engine's own
// counters show whether it ever exceeded its memory or held a replica twice.
func TestRandomLoads(t *testing.T) {
	for seed := range uint64(20) {
		for _, checksFencing := range []bool{true, false} {
			t.Run(strconv.FormatUint(seed, 10)+", checks "+strconv.FormatBool(checksFencing), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testRandomLoads(t, seed, checksFencing) })
			})
		}
	}
}

func testRandomLoads(t *testing.T, seed uint64, checksFencing bool) {
	const steps = 1500
	random := rand.New(rand.NewPCG(seed, 1))
	env := newTestEnv(t, checksFencing)
	loads := 0
	for range steps {
		env.injectRandomFault(random)
		if _, err := env.decide("m"+strconv.Itoa(random.IntN(6)), uint64(10_000+random.IntN(40_000))); err == nil {
			loads++
		}
		env.step(random.IntN(10) == 0)
		time.Sleep(time.Duration(20+random.IntN(600)) * time.Millisecond)
	}
	env.engine.SetFault(engineapi.Fault{})
	for _, r := range env.fleet.Replicas(testEndpoint) {
		_ = env.fleet.Unload(r.ID, "End", time.Now().UnixMilli())
	}
	env.runFor(4 * orderLifetime)
	if left := env.fleet.Replicas(testEndpoint); len(left) > 0 || env.fleet.ReservedMB(testEndpoint) > 0 {
		t.Errorf("replicas left after unload: %+v", left)
	}
	if loads < steps/100 || env.engine.Counts().Loads == 0 {
		t.Errorf("%d loads decided, %d executed", loads, env.engine.Counts().Loads)
	}
	env.closeAndCheck()
}

// injectRandomFault injects a random fault, unloads a replica, delivers late reports or does nothing.
func (env *testEnv) injectRandomFault(random *rand.Rand) {
	switch random.IntN(24) {
	case 0:
		env.restart()
	case 1:
		env.engine.SetFault(engineapi.Fault{DieInLoad: true})
	case 2:
		env.engine.SetFault(engineapi.Fault{LateOrderMS: int64(random.IntN(6000))})
	case 3:
		env.engine.SetFault(engineapi.Fault{LoseAnswer: true})
	case 4:
		env.engine.SetFault(engineapi.Fault{Slow: 3})
	case 5, 6, 7, 8:
		env.engine.SetFault(engineapi.Fault{})
	case 9, 10, 11:
		if replicas := env.fleet.Replicas(testEndpoint); len(replicas) > 0 {
			_ = env.fleet.Unload(replicas[random.IntN(len(replicas))].ID, "Idle", time.Now().UnixMilli())
		}
	case 12:
		for _, inventory := range env.lateReports {
			_ = env.fleet.Report(inventory, time.Now().UnixMilli())
		}
		env.lateReports = nil
	}
}
