package scaling

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
)

// simulation is a set of endpoints that execute the planner's orders, stepped by a simulated clock.
type simulation struct {
	t            *testing.T
	now          time.Time
	planner      *Planner
	engine       *route.Engine
	simEndpoints []*simEndpoint
	// waiting and running count the waiting and running requests by model.
	waiting, running map[string]int
	// arrivals counts the requests to report as new.
	arrivals map[string]int
	loads    map[Source]int
	// missed counts the refused requests to report; fullSpeedStoreLoads is how many concurrent loads the store serves at full speed.
	missed              map[string]int
	fullSpeedStoreLoads int
	// runningAt holds the endpoints that run requests for a model; unloadTime is the duration of an unload.
	runningAt  map[string][]string
	unloadTime time.Duration
	// withoutReport contains endpoints whose reports are lost, unheld those that nobody may give orders to, by address.
	withoutReport, unheld map[string]bool
	// resuming are the waiting resumed streams by model.
	resuming map[string][]Resuming
}

// simEndpoint is a simulated endpoint.
type simEndpoint struct {
	state endpoint.State
	// currentOrder is the order in progress, currentOrderEnd when it completes.
	currentOrder    Order
	currentOrderEnd time.Time
}

const (
	simService   = "engines"
	simStep      = 50 * time.Millisecond
	simMemoryMB  = 80_000.0
	simWeightsMB = 30_000.0
)

func newSimulation(t *testing.T, endpoints, models int) *simulation {
	t.Helper()
	engine := route.Engine{Slots: 32, MemoryMB: simMemoryMB, AdapterSlots: 2, LoadsPerSecond: 5}
	for i := range models {
		engine.Models = append(engine.Models, route.Model{
			Name: modelName(i), WeightsMB: simWeightsMB, Adapters: 4, AdapterMB: 40,
			StoreLoadTime: 6 * time.Second, DiskLoadTime: 500 * time.Millisecond, MemoryLoadTime: 400 * time.Millisecond,
		})
	}
	table, err := route.New(1, nil, []route.Service{{Name: simService, Engine: &engine}}, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	w := &simulation{
		t: t, now: time.Unix(1000, 0), planner: New(), engine: &engine,
		waiting: map[string]int{}, running: map[string]int{}, arrivals: map[string]int{}, loads: map[Source]int{}, missed: map[string]int{}, fullSpeedStoreLoads: initialStoreConcurrency,
		runningAt: map[string][]string{}, unloadTime: simStep, withoutReport: map[string]bool{}, unheld: map[string]bool{}, resuming: map[string][]Resuming{},
	}
	for i := range endpoints {
		w.simEndpoints = append(w.simEndpoints, &simEndpoint{state: endpoint.State{
			ID: fmt.Sprintf("w%02d", i), Address: fmt.Sprintf("w%02d", i), Service: simService, Slots: 32, Load: &endpoint.Load{},
		}})
	}
	w.planner.Configure(table)
	return w
}

func modelName(i int) string { return fmt.Sprintf("m%02d", i) }

// addModel puts a model on an endpoint, with a copy on its disk.
func (w *simulation) addModel(at int, model string) {
	m := w.simEndpoints[at]
	m.state.Models = append(m.state.Models, endpoint.Model{Name: model})
	w.addDiskCopy(at, model)
}

func (w *simulation) addDiskCopy(at int, model string) {
	m := w.simEndpoints[at]
	m.state.Load.OnDisk = append(m.state.Load.OnDisk, model)
}

// run steps the simulation for the given time and calls each before each step.
func (w *simulation) run(length time.Duration, each func(passed time.Duration)) {
	for passed := time.Duration(0); passed < length; passed += simStep {
		each(passed)
		w.step()
	}
}

func (w *simulation) step() {
	w.now = w.now.Add(simStep)
	var listed []endpoint.State
	for _, m := range w.simEndpoints {
		m.finish(w)
		listed = append(listed, m.state)
	}
	w.planner.UpdateEndpoints(listed)
	w.planner.InitDemand(w.now)
	w.planner.SetHolders(func(address string) string {
		if w.unheld[address] {
			return ""
		}
		return "holder"
	})
	for _, m := range w.simEndpoints {
		if w.withoutReport[m.state.Address] {
			continue
		}
		w.planner.RecordReport(m.state.ID, endpoint.Report{Models: slices.Clone(m.state.Models), Load: *m.state.Load}, w.now)
	}
	var demand []Demand
	for _, m := range w.engine.Models {
		if w.replicaCount(m.Name) > 0 {
			w.running[m.Name] += w.waiting[m.Name]
			w.waiting[m.Name] = 0
		}
		resumedStreams := 0
		for _, r := range w.resuming[m.Name] {
			resumedStreams += r.Waiting
		}
		if resumedStreams+w.waiting[m.Name]+w.running[m.Name]+w.missed[m.Name]+w.arrivals[m.Name] > 0 {
			demand = append(demand, Demand{
				Service: simService, Model: m.Name, Waiting: w.waiting[m.Name] + resumedStreams, Running: w.running[m.Name], Missed: w.missed[m.Name],
				Arrivals: w.arrivals[m.Name], RunningOn: w.runningAt[m.Name], Resuming: w.resuming[m.Name],
			})
			w.missed[m.Name], w.arrivals[m.Name] = 0, 0
		}
	}
	w.planner.RecordDemand(demand, w.now)
	for _, o := range w.planner.Plan(w.now) {
		w.planner.RecordOutcome(o, w.execute(o), w.now)
	}
}

// execute simulates how a holder and its endpoint handle an order.
func (w *simulation) execute(o Order) Outcome {
	at := slices.IndexFunc(w.simEndpoints, func(m *simEndpoint) bool { return m.state.ID == o.Endpoint })
	m := w.simEndpoints[at]
	engine := w.planner.engines[simService]
	_, outcome := PlanWeights(engine, endpoint.Report{Models: m.state.Models, Load: *m.state.Load}, o.Model, o.Unload)
	if outcome != OutcomeAccepted {
		w.t.Errorf("order %+v was not accepted: %v", o, outcome)
		return outcome
	}
	m.currentOrder, m.state.Load.Busy = o, true
	m.currentOrderEnd = w.now.Add(w.unloadTime)
	if !o.Unload {
		source := (&trackedEndpoint{state: m.state}).sourceOf(o.Model)
		if source != o.Source {
			w.t.Errorf("%s loads %s from %v, planned from %v", o.Endpoint, o.Model, source, o.Source)
		}
		w.loads[source]++
		model, _ := engine.Model(o.Model)
		slower := 1
		if source == SourceStore {
			slower = max(1, w.storeLoadCount()/w.fullSpeedStoreLoads)
		}
		m.currentOrderEnd = w.now.Add(time.Duration(slower) * loadTime(model, source))
	}
	return OutcomeAccepted
}

// storeLoadCount counts the loads from the store in progress.
func (w *simulation) storeLoadCount() int {
	n := 0
	for _, m := range w.simEndpoints {
		if m.state.Load.Busy && !m.currentOrder.Unload && m.currentOrder.Source == SourceStore {
			n++
		}
	}
	return n
}

func (m *simEndpoint) finish(w *simulation) {
	if !m.state.Load.Busy || w.now.Before(m.currentOrderEnd) {
		return
	}
	m.state.Load.Busy = false
	m.state.Load.Sequence++
	if m.currentOrder.Unload {
		m.state.Models = slices.DeleteFunc(m.state.Models, func(one endpoint.Model) bool { return one.Name == m.currentOrder.Model })
		return
	}
	m.state.Models = append(m.state.Models, endpoint.Model{Name: m.currentOrder.Model})
	if !slices.Contains(m.state.Load.OnDisk, m.currentOrder.Model) {
		m.state.Load.OnDisk = append(m.state.Load.OnDisk, m.currentOrder.Model)
	}
	if used := float64(len(m.state.Models)) * simWeightsMB; used > simMemoryMB {
		w.t.Errorf("%s exceeds its memory with models %v, %.0f MB", m.state.ID, m.state.Models, used)
	}
}

// replicaCount counts the endpoints that hold the model.
func (w *simulation) replicaCount(model string) int {
	n := 0
	for _, m := range w.simEndpoints {
		if m.state.Holds(model) {
			n++
		}
	}
	return n
}
