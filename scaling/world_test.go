package scaling

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
)

// world is a set of endpoints that carry the planner's orders out, stepped by a clock of its own.
type world struct {
	t        *testing.T
	now      time.Time
	planner  *Planner
	engine   *route.Engine
	machines []*machine
	// waiting counts the requests that wait for a model, running those that run.
	waiting, running map[string]int
	loads            map[Source]int
	// missed counts the requests to be told of as refused; storeAtOnce is how many loads the store takes at full speed.
	missed      map[string]int
	storeAtOnce int
	// at are the endpoints that run requests for a model; unloadTime is how long an unload takes.
	at         map[string][]string
	unloadTime time.Duration
	// mute are endpoints that nobody hears of, unheld those that nobody may give orders to, by address.
	mute, unheld map[string]bool
}

// machine is one endpoint.
type machine struct {
	state endpoint.State
	// doing is the order under way, done when it ends.
	doing Order
	done  time.Time
}

const (
	worldService = "engines"
	worldStep    = 50 * time.Millisecond
	worldMemory  = 80_000.0
	worldWeights = 30_000.0
)

func newWorld(t *testing.T, endpoints, models int) *world {
	t.Helper()
	engine := route.Engine{Slots: 32, MemoryMB: worldMemory, AdapterSlots: 2, LoadsPerSecond: 5}
	for i := range models {
		engine.Models = append(engine.Models, route.Model{
			Name: modelName(i), WeightsMB: worldWeights, Adapters: 4, AdapterMB: 40,
			FromStore: 6 * time.Second, FromDisk: 500 * time.Millisecond, FromMemory: 400 * time.Millisecond,
		})
	}
	table, err := route.New(1, nil, []route.Service{{Name: worldService, Engine: &engine}}, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	w := &world{
		t: t, now: time.Unix(1000, 0), planner: New(), engine: &engine,
		waiting: map[string]int{}, running: map[string]int{}, loads: map[Source]int{}, missed: map[string]int{}, storeAtOnce: storeSlots,
		at: map[string][]string{}, unloadTime: worldStep, mute: map[string]bool{}, unheld: map[string]bool{},
	}
	for i := range endpoints {
		w.machines = append(w.machines, &machine{state: endpoint.State{
			ID: fmt.Sprintf("w%02d", i), Address: fmt.Sprintf("w%02d", i), Service: worldService, Slots: 32, Load: &endpoint.Load{},
		}})
	}
	w.planner.Configure(table)
	return w
}

func modelName(i int) string { return fmt.Sprintf("m%02d", i) }

// hold puts a model on an endpoint, with a copy on its disk.
func (w *world) hold(at int, model string) {
	m := w.machines[at]
	m.state.Models = append(m.state.Models, endpoint.Model{Name: model})
	w.copyAt(at, model)
}

func (w *world) copyAt(at int, model string) {
	m := w.machines[at]
	m.state.Load.OnDisk = append(m.state.Load.OnDisk, model)
}

// run steps the world for a time; each is called before each step.
func (w *world) run(length time.Duration, each func(passed time.Duration)) {
	for passed := time.Duration(0); passed < length; passed += worldStep {
		each(passed)
		w.step()
	}
}

func (w *world) step() {
	w.now = w.now.Add(worldStep)
	var listed []endpoint.State
	for _, m := range w.machines {
		m.finish(w)
		listed = append(listed, m.state)
	}
	w.planner.List(listed)
	w.planner.Prior(w.now)
	w.planner.Hold(func(address string) string {
		if w.unheld[address] {
			return ""
		}
		return "holder"
	})
	for _, m := range w.machines {
		if w.mute[m.state.Address] {
			continue
		}
		w.planner.Report(m.state.ID, endpoint.Report{Models: slices.Clone(m.state.Models), Load: *m.state.Load}, w.now)
	}
	var demand []Demand
	for _, m := range w.engine.Models {
		if w.held(m.Name) > 0 {
			w.running[m.Name] += w.waiting[m.Name]
			w.waiting[m.Name] = 0
		}
		if w.waiting[m.Name]+w.running[m.Name]+w.missed[m.Name] > 0 {
			demand = append(demand, Demand{
				Service: worldService, Model: m.Name, Waiting: w.waiting[m.Name], Running: w.running[m.Name], Missed: w.missed[m.Name],
				At: w.at[m.Name],
			})
			w.missed[m.Name] = 0
		}
	}
	w.planner.Demand(demand, w.now)
	for _, o := range w.planner.Plan(w.now) {
		w.planner.Answered(o, w.give(o), w.now)
	}
}

// give is what a holder and its endpoint make of an order.
func (w *world) give(o Order) Outcome {
	at := slices.IndexFunc(w.machines, func(m *machine) bool { return m.state.ID == o.Endpoint })
	m := w.machines[at]
	engine := w.planner.engines[worldService]
	_, outcome := Weights(engine, endpoint.Report{Models: m.state.Models, Load: *m.state.Load}, o.Model, o.Unload)
	if outcome != OutcomeAccepted {
		w.t.Errorf("order %+v: %v", o, outcome)
		return outcome
	}
	m.doing, m.state.Load.Busy = o, true
	m.done = w.now.Add(w.unloadTime)
	if !o.Unload {
		source := (&tracked{state: m.state}).sourceOf(o.Model)
		if source != o.Source {
			w.t.Errorf("%s loads %s from %v, planned from %v", o.Endpoint, o.Model, source, o.Source)
		}
		w.loads[source]++
		model, _ := engine.Model(o.Model)
		slower := 1
		if source == SourceStore {
			slower = max(1, w.fromStore()/w.storeAtOnce)
		}
		m.done = w.now.Add(time.Duration(slower) * loadTime(model, source))
	}
	return OutcomeAccepted
}

// fromStore counts the loads from the store under way.
func (w *world) fromStore() int {
	n := 0
	for _, m := range w.machines {
		if m.state.Load.Busy && !m.doing.Unload && m.doing.Source == SourceStore {
			n++
		}
	}
	return n
}

func (m *machine) finish(w *world) {
	if !m.state.Load.Busy || w.now.Before(m.done) {
		return
	}
	m.state.Load.Busy = false
	m.state.Load.Sequence++
	if m.doing.Unload {
		m.state.Models = slices.DeleteFunc(m.state.Models, func(one endpoint.Model) bool { return one.Name == m.doing.Model })
		return
	}
	m.state.Models = append(m.state.Models, endpoint.Model{Name: m.doing.Model})
	if !slices.Contains(m.state.Load.OnDisk, m.doing.Model) {
		m.state.Load.OnDisk = append(m.state.Load.OnDisk, m.doing.Model)
	}
	if used := float64(len(m.state.Models)) * worldWeights; used > worldMemory {
		w.t.Errorf("%s holds %v, %.0f MB", m.state.ID, m.state.Models, used)
	}
}

// held counts the endpoints that hold a model.
func (w *world) held(model string) int {
	n := 0
	for _, m := range w.machines {
		if m.state.Holds(model) {
			n++
		}
	}
	return n
}
