package scaling

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
)

// coldObjective is within which a first event is on time for two of three kinds of generations on the sheets.
const coldObjective = 1500 * time.Millisecond

// TestRareModelComesFromItsCopy asks for a model that nobody holds and one endpoint has a copy of: loading it elsewhere takes
// six seconds, in which its callers give up.
func TestRareModelComesFromItsCopy(t *testing.T) {
	w := newWorld(t, 4, 12)
	for i := range 4 {
		w.hold(i, modelName(2*i))
		w.hold(i, modelName(2*i+1))
	}
	w.copyAt(3, modelName(9))
	w.run(time.Second, func(time.Duration) {})
	w.waiting[modelName(9)] = 1
	w.run(coldObjective, func(time.Duration) {})
	if w.held(modelName(9)) != 1 || w.running[modelName(9)] != 1 {
		t.Errorf("held by %d endpoints after %v", w.held(modelName(9)), coldObjective)
	}
	if diff := cmp.Diff(map[Source]int{SourceDisk: 1}, w.loads); diff != "" {
		t.Error(diff)
	}
}

// TestBusyModelKeepsItsReplicas has many rare models asked for at once beside a busy one that needs every replica it has.
func TestBusyModelKeepsItsReplicas(t *testing.T) {
	w := newWorld(t, 6, 20)
	for i := range 6 {
		w.hold(i, modelName(0))
		w.hold(i, modelName(1+i))
		w.copyAt(i, modelName(7+i))
	}
	busy := 6 * int(replicaLoad)
	w.running[modelName(0)] = busy
	w.run(2*time.Second, func(time.Duration) {})
	w.run(7*time.Second, func(passed time.Duration) {
		if at := int(passed / worldStep); at%20 == 0 && at/20 < 6 {
			w.waiting[modelName(7+at/20)]++
		}
		if w.held(modelName(0)) < 4 {
			t.Fatalf("%d replicas for %d requests after %v", w.held(modelName(0)), busy, passed)
		}
	})
	for i := range 6 {
		if w.running[modelName(7+i)] == 0 {
			t.Errorf("%s was never served", modelName(7+i))
		}
	}
}

// TestDemandMoves moves the demand of a busy model to one that a single endpoint holds: within the time that its copies and
// four loads from the store take, it has several replicas.
func TestDemandMoves(t *testing.T) {
	w := newWorld(t, 8, 8)
	for i := range 8 {
		w.hold(i, modelName(0))
	}
	w.hold(0, modelName(1))
	w.running[modelName(0)] = 40
	w.run(3*time.Second, func(time.Duration) {})
	w.running[modelName(0)], w.running[modelName(1)] = 2, 40
	w.run(7*time.Second, func(time.Duration) {})
	if got := w.held(modelName(1)); got < 4 {
		t.Errorf("%d replicas for 40 requests, loads %v", got, w.loads)
	}
}

// TestStoreIsNotFlooded asks for more models without copies than the store loads at full speed.
func TestStoreIsNotFlooded(t *testing.T) {
	w := newWorld(t, 10, 10)
	for i := range 10 {
		w.waiting[modelName(i)] = 1
	}
	w.run(time.Second, func(time.Duration) {
		loading := 0
		for _, m := range w.machines {
			if m.state.Load.Busy && m.doing.Source == SourceStore {
				loading++
			}
		}
		if loading > storeSlots {
			t.Fatalf("%d loads from the store at once", loading)
		}
	})
	if w.loads[SourceStore] != storeSlots {
		t.Errorf("%d loads began", w.loads[SourceStore])
	}
}

// TestStoreRate has a store that allows one load in two seconds, and many models that load fast.
func TestStoreRate(t *testing.T) {
	w := newWorld(t, 12, 24)
	for i := range w.engine.Models {
		w.engine.Models[i].FromStore = 2 * worldStep
	}
	const perSecond, seconds = 0.5, 10
	w.engine.LoadsPerSecond = perSecond
	table, err := route.New(2, nil, []route.Service{{Name: worldService, Engine: w.engine}}, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	w.planner.Configure(table)
	for i := range 24 {
		w.waiting[modelName(i)] = 1
	}
	w.run(seconds*time.Second, func(time.Duration) {})
	if n := w.loads[SourceStore]; n > perSecond*seconds+storeBurst || n == 0 {
		t.Errorf("%d loads from the store in %d s", n, seconds)
	}
}

// TestStoreTellsItsSpeed has a store that loads one model at a time at full speed, where the first guess is four: of what is
// asked for, each load after the first few has the store for itself.
func TestStoreTellsItsSpeed(t *testing.T) {
	w := newWorld(t, 8, 16)
	w.storeAtOnce = 1
	for i := range 8 {
		w.waiting[modelName(i)] = 1
	}
	w.run(40*time.Second, func(time.Duration) {})
	for i := range 8 {
		w.waiting[modelName(8+i)] = 1
	}
	w.run(time.Minute, func(time.Duration) {
		loading := 0
		for _, m := range w.machines {
			if m.state.Load.Busy && !m.doing.Unload && m.doing.Source == SourceStore {
				loading++
			}
		}
		if loading > 1 {
			t.Fatalf("%d loads at once, slots %d", loading, w.planner.slots)
		}
	})
}

// TestOneRequestMakesRoomOnce asks for one model while every endpoint is full: one other model gives way, not one at each
// planning until the room is there.
func TestOneRequestMakesRoomOnce(t *testing.T) {
	w := newWorld(t, 4, 9)
	w.unloadTime = time.Second
	for i := range 4 {
		w.hold(i, modelName(2*i))
		w.hold(i, modelName(2*i+1))
		w.copyAt(i, modelName(8))
	}
	w.run(2*time.Second, func(time.Duration) {})
	w.waiting[modelName(8)] = 1
	w.run(3*time.Second, func(time.Duration) {})
	held := 0
	for i := range 8 {
		held += w.held(modelName(i))
	}
	if held != 7 || w.held(modelName(8)) != 1 {
		t.Errorf("%d of 8 models stay, %d replicas of the one that was asked for", held, w.held(modelName(8)))
	}
}

// TestOnlyServingReplicasCount loads further replicas of a busy model from the store while a rare one is asked for: the only
// replica that serves stays.
func TestOnlyServingReplicasCount(t *testing.T) {
	w := newWorld(t, 3, 6)
	w.hold(0, modelName(0))
	w.hold(0, modelName(1))
	w.copyAt(0, modelName(5))
	w.running[modelName(0)], w.running[modelName(1)] = 30, 1
	w.run(4*time.Second, func(passed time.Duration) {
		if passed == time.Second {
			w.waiting[modelName(5)] = 1
		}
		if w.held(modelName(0)) == 0 {
			t.Fatalf("no replica serves 30 requests after %v", passed)
		}
	})
}

// TestCrowdedPlaceIsNotEnough has a model of a few requests share its only endpoint with busy ones that fill the batch.
func TestCrowdedPlaceIsNotEnough(t *testing.T) {
	w := newWorld(t, 3, 6)
	w.hold(0, modelName(0))
	w.hold(0, modelName(1))
	w.copyAt(1, modelName(1))
	w.running[modelName(1)] = 4
	w.machines[0].state.Load.Running, w.machines[0].state.Load.Waiting = 32, 5
	w.run(2*time.Second, func(time.Duration) {})
	if w.held(modelName(1)) < 2 {
		t.Error("no second place")
	}
}

// TestVictimsDontRun asks for a model where one endpoint's idle model and another's running one could give way.
func TestVictimsDontRun(t *testing.T) {
	w := newWorld(t, 2, 6)
	for i := range 2 {
		w.hold(i, modelName(0))
		w.hold(i, modelName(1+i))
		w.copyAt(i, modelName(3))
	}
	w.running[modelName(0)] = 2
	w.at[modelName(0)] = []string{"w00"}
	w.run(2*time.Second, func(time.Duration) {})
	w.waiting[modelName(3)] = 1
	w.run(time.Second, func(time.Duration) {})
	if !w.machines[0].state.Holds(modelName(0)) || w.machines[1].state.Holds(modelName(0)) {
		t.Errorf("left: %v and %v", w.machines[0].state.Models, w.machines[1].state.Models)
	}
}

// TestPriorLasts leaves the platform's placement as it is for as long as nobody asks for anything.
func TestPriorLasts(t *testing.T) {
	w := newWorld(t, 4, 8)
	for i := range 4 {
		w.hold(i, modelName(0))
		w.hold(i, modelName(1+i))
		w.copyAt(i, modelName(6))
	}
	w.run(20*time.Second, func(time.Duration) {})
	if w.held(modelName(0)) != 4 {
		t.Errorf("%d replicas of the busy model are left", w.held(modelName(0)))
	}
}

// TestMissedRequestsBringTheirModel refuses every request for a model that nobody can load in time: it must be there when
// the clients come back.
func TestMissedRequestsBringTheirModel(t *testing.T) {
	w := newWorld(t, 2, 3)
	w.hold(0, modelName(0))
	w.missed[modelName(2)] = 1
	w.run(6500*time.Millisecond, func(time.Duration) {})
	if w.held(modelName(2)) != 1 {
		t.Error("the model was not loaded")
	}
}

// TestSpareRoom lets models that nobody holds take what room there is, from their copies only.
func TestSpareRoom(t *testing.T) {
	w := newWorld(t, 3, 5)
	for i := range 3 {
		w.hold(i, modelName(0))
		w.copyAt(i, modelName(1+i))
	}
	w.running[modelName(0)] = 3
	w.run(5*time.Second, func(time.Duration) {})
	for i := range 3 {
		if w.held(modelName(1+i)) == 0 {
			t.Errorf("%s is held by nobody", modelName(1+i))
		}
	}
	if w.held(modelName(0)) == 0 || w.loads[SourceStore] > 0 {
		t.Errorf("%d replicas of the busy model, loads %v", w.held(modelName(0)), w.loads)
	}
}

// TestRoomForAdapters fills an endpoint with models whose weights alone would fit: requests for adapters would never be served.
func TestRoomForAdapters(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.engine.MemoryMB = 2 * worldWeights
	w.hold(0, modelName(0))
	w.copyAt(0, modelName(1))
	w.run(2*time.Second, func(time.Duration) {})
	w.waiting[modelName(1)] = 1
	w.run(coldObjective, func(time.Duration) {})
	if w.held(modelName(1)) != 1 || w.held(modelName(0)) != 0 {
		t.Errorf("the endpoint holds %v", w.machines[0].state.Models)
	}
}

func TestExpect(t *testing.T) {
	w := newWorld(t, 2, 3)
	w.copyAt(1, modelName(2))
	w.run(time.Second, func(time.Duration) {})
	for model, want := range map[string]time.Duration{modelName(1): 6 * time.Second, modelName(2): 500 * time.Millisecond} {
		if got, ok := w.planner.Expect(worldService, model, w.now); !ok || got.In != want+planLag {
			t.Errorf("%s: %v, %v", model, got, ok)
		}
	}
	if _, ok := w.planner.Expect(worldService, "unknown", w.now); ok {
		t.Error("an unknown model is expected")
	}
}

func TestAdapter(t *testing.T) {
	engine := &route.Engine{MemoryMB: worldMemory, AdapterSlots: 2, Models: []route.Model{{Name: "m", WeightsMB: worldWeights, AdapterMB: 40}}}
	a := func(name string) endpoint.Adapter { return endpoint.Adapter{Model: "m", Name: name} }
	holds := func(names ...string) []endpoint.Model { return []endpoint.Model{{Name: "m", Adapters: names}} }
	early, late := time.Unix(1, 0), time.Unix(2, 0)
	tests := map[string]struct {
		report  endpoint.Report
		inUse   []endpoint.Adapter
		order   Order
		verdict Verdict
	}{
		"no such model": {endpoint.Report{}, nil, Order{}, VerdictNo},
		"there":         {endpoint.Report{Models: holds("a1")}, nil, Order{}, VerdictHeld},
		"coming":        {endpoint.Report{Models: holds(), Load: endpoint.Load{Pending: []endpoint.Adapter{a("a1")}}}, nil, Order{}, VerdictComing},
		"weights first": {endpoint.Report{Models: holds(), Load: endpoint.Load{Busy: true}}, nil, Order{}, VerdictBusy},
		"room": {endpoint.Report{Models: holds("a2"), Load: endpoint.Load{Sequence: 7}}, nil,
			Order{Model: "m", Adapter: "a1", Sequence: 7, Reason: "a request waits for it"}, VerdictOrder},
		"full: the oldest goes": {endpoint.Report{Models: holds("a2", "a3")}, nil,
			Order{Model: "m", Adapter: "a3", Unload: true, Reason: "room for adapter a1"}, VerdictOrder},
		"full: one in use stays": {endpoint.Report{Models: holds("a2", "a3")}, []endpoint.Adapter{a("a3")},
			Order{Model: "m", Adapter: "a2", Unload: true, Reason: "room for adapter a1"}, VerdictOrder},
		"full: all in use": {endpoint.Report{Models: holds("a2", "a3")}, []endpoint.Adapter{a("a2"), a("a3")},
			Order{Model: "m", Adapter: "a3", Unload: true, Reason: "room for adapter a1"}, VerdictOrder},
		"what comes takes room": {endpoint.Report{Models: holds("a2"), Load: endpoint.Load{Pending: []endpoint.Adapter{a("a4")}}}, nil,
			Order{Model: "m", Adapter: "a2", Unload: true, Reason: "room for adapter a1"}, VerdictOrder},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			engine := indexed(t, engine)
			brought := map[endpoint.Adapter]time.Time{a("a2"): late, a("a3"): early}
			order, verdict := Adapter(engine, test.report, a("a1"), brought, test.inUse)
			if diff := cmp.Diff(test.order, order); diff != "" || verdict != test.verdict {
				t.Errorf("verdict %d, want %d\n%s", verdict, test.verdict, diff)
			}
		})
	}
}

// TestWeights checks that no order overcommits an endpoint's memory, whatever the leader believed.
func TestWeights(t *testing.T) {
	engine := indexed(t, &route.Engine{MemoryMB: 2 * worldWeights, AdapterSlots: 2, Models: []route.Model{
		{Name: "a", WeightsMB: worldWeights, AdapterMB: 40}, {Name: "b", WeightsMB: worldWeights}, {Name: "c", WeightsMB: worldWeights},
	}})
	tests := map[string]struct {
		report endpoint.Report
		model  string
		unload bool
		want   Outcome
	}{
		"room":                   {endpoint.Report{Models: []endpoint.Model{{Name: "a"}}}, "b", false, OutcomeAccepted},
		"adapters take room":     {endpoint.Report{Models: []endpoint.Model{{Name: "a", Adapters: []string{"a1"}}}}, "b", false, OutcomeRefused},
		"so do those to come":    {endpoint.Report{Models: []endpoint.Model{{Name: "a"}}, Load: endpoint.Load{Pending: []endpoint.Adapter{{Model: "a", Name: "a1"}}}}, "b", false, OutcomeRefused},
		"full":                   {endpoint.Report{Models: []endpoint.Model{{Name: "a"}, {Name: "b"}}}, "c", false, OutcomeRefused},
		"unknown":                {endpoint.Report{}, "x", false, OutcomeRefused},
		"held":                   {endpoint.Report{Models: []endpoint.Model{{Name: "a"}}}, "a", false, OutcomeHolds},
		"busy":                   {endpoint.Report{Load: endpoint.Load{Busy: true}}, "a", false, OutcomeConflict},
		"unload":                 {endpoint.Report{Models: []endpoint.Model{{Name: "a"}}}, "a", true, OutcomeAccepted},
		"nothing to unload":      {endpoint.Report{}, "a", true, OutcomeHolds},
		"unload what is unknown": {endpoint.Report{Models: []endpoint.Model{{Name: "x"}}}, "x", true, OutcomeAccepted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if _, got := Weights(engine, test.report, test.model, test.unload); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}

// indexed returns an engine as a table holds it.
func indexed(t *testing.T, engine *route.Engine) *route.Engine {
	t.Helper()
	copied := *engine
	table, err := route.New(1, nil, []route.Service{{Name: worldService, Engine: &copied}}, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	s, _ := table.Service(worldService)
	return s.Engine
}

// TestNewLeaderTrustsTheList begins with the list alone, as every new leader does: busy models are not loaded again at the few
// endpoints that have reported already.
func TestNewLeaderTrustsTheList(t *testing.T) {
	w := newWorld(t, 8, 8)
	for i := range 8 {
		w.hold(i, modelName(i))
		w.copyAt(i, modelName((i+1)%8))
		w.running[modelName(i)] = 5
		w.mute[w.machines[i].state.Address] = i > 0
	}
	w.run(reportMost/2, func(time.Duration) {})
	w.mute = map[string]bool{}
	w.run(5*time.Second, func(time.Duration) {})
	if diff := cmp.Diff(map[Source]int{}, w.loads); diff != "" {
		t.Error(diff)
	}
}

// TestHolderIsReplaced loses the holder of a third of the endpoints for as long as its replacement takes: they are not planned
// with, and what they hold is not loaded elsewhere.
func TestHolderIsReplaced(t *testing.T) {
	w := newWorld(t, 6, 6)
	for i := range 6 {
		w.hold(i, modelName(i))
		w.copyAt(i, modelName((i+1)%6))
		w.running[modelName(i)] = 5
	}
	w.run(time.Second, func(time.Duration) {})
	for i := range 2 {
		w.mute[w.machines[i].state.Address], w.unheld[w.machines[i].state.Address] = true, true
	}
	w.run(6*time.Second, func(time.Duration) {})
	if diff := cmp.Diff(map[Source]int{}, w.loads); diff != "" {
		t.Error(diff)
	}
	w.mute, w.unheld = map[string]bool{}, map[string]bool{}
	w.run(time.Second, func(time.Duration) {})
	if diff := cmp.Diff(map[Source]int{}, w.loads); diff != "" {
		t.Error(diff)
	}
}

// TestStoreGoesWhereMostWait has a model become busy at its only endpoint while rare models that nobody has a copy of are asked
// for, one request each: its callers leave after 2 s, so its replicas must not queue behind those loads of 6 s.
func TestStoreGoesWhereMostWait(t *testing.T) {
	w := newWorld(t, 10, 40)
	for i := range 10 {
		w.hold(i, modelName(i))
		w.hold(i, modelName(10+i))
	}
	w.run(time.Second, func(time.Duration) {})
	w.running[modelName(0)] = 100
	w.at[modelName(0)] = []string{"w00"}
	for i := range 20 {
		w.waiting[modelName(20+i)] = 1
	}
	w.run(8*time.Second, func(time.Duration) {})
	if replicas := w.held(modelName(0)); replicas < 3 {
		t.Errorf("%d replicas for 100 requests after 8 s", replicas)
	}
}

// TestRefusedOrderGoesElsewhere has an endpoint refuse, as a new one at the address of a former one does until the list shows it:
// the model that is asked for is loaded elsewhere at once.
func TestRefusedOrderGoesElsewhere(t *testing.T) {
	w := newWorld(t, 2, 6)
	w.step()
	for _, m := range w.machines {
		w.planner.Report(m.state.ID, endpoint.Report{Load: endpoint.Load{OnDisk: []string{modelName(5)}}}, w.now)
	}
	w.planner.Demand([]Demand{{Service: worldService, Model: modelName(5), Waiting: 1}}, w.now)
	orders := w.planner.Plan(w.now)
	if len(orders) > 0 {
		w.planner.Answered(orders[0], OutcomeRefused, w.now)
	}
	later := w.now.Add(refusedFor / 2)
	w.planner.Demand([]Demand{{Service: worldService, Model: modelName(5), Waiting: 1}}, later)
	for _, m := range w.machines {
		w.planner.Report(m.state.ID, endpoint.Report{Load: endpoint.Load{OnDisk: []string{modelName(5)}}}, later)
	}
	again := w.planner.Plan(later)
	if len(orders) != 1 || len(again) != 1 || orders[0].Endpoint == again[0].Endpoint {
		t.Errorf("first %+v, then %+v", orders, again)
	}
}
