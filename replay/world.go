package replay

import (
	"container/heap"
	"maps"
	"slices"

	"burdocksaddle/catalog"
	"burdocksaddle/fleet"
	"burdocksaddle/placement"
)

const (
	pollMS   = 5000
	unloadMS = 500
	// A caller waits this long for a cold model before it is refused.
	deadlineMS = 60_000
	// Speeds in MB a second and caches in MB of one worker's VM.
	remoteSpeed = 1000.0
	diskSpeed   = 2500.0
	memorySpeed = 10_000.0
	startMS     = 1500
	memoryCache = 64_000
	diskCache   = 400_000
	storeRate   = 5
	storeSlots  = 4
)

// event is something that happens at a time.
type event struct {
	atMS int64
	// order keeps events of one moment in the order in which they were made.
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].atMS < e[j].atMS || e[i].atMS == e[j].atMS && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is one run of a trace: the real fleet and policy, and engines and store as functions of time.
type world struct {
	now      int64
	fromMS   int64
	order    int
	events   events
	catalog  catalog.Catalog
	fleet    *fleet.Fleet
	policy   *placement.Policy
	caches   map[string]*cache
	models   map[string]*modelState
	fetching int
	result   Result
	colds    []float64
	// holders counts what each replica holds idle from a moment on.
	holders map[uint64]*holder
	decided bool
	wakeMS  int64
	// replaced counts the workers replaced so far.
	replaced int
}

// modelState is what waits and runs for one model.
type modelState struct {
	waiting []Arrival
	running int
}

// holder is the memory that one replica holds.
type holder struct {
	share   float64
	sinceMS int64
	busy    bool
}

func newWorld(c catalog.Catalog, workers int, policy *placement.Policy) *world {
	w := &world{catalog: c, fleet: fleet.New(), policy: policy, caches: map[string]*cache{}, models: map[string]*modelState{}, holders: map[uint64]*holder{}}
	for i := range workers {
		w.register(i, 0)
	}
	for _, model := range c.Models {
		w.models[model.Name] = &modelState{}
	}
	return w
}

func (w *world) at(ms int64, do func()) {
	w.order++
	heap.Push(&w.events, event{atMS: ms, order: w.order, do: do})
}

// run plays the whole trace and lets the last cold starts end.
func (w *world) run(trace []Arrival, replaced []Replacement, endMS int64) {
	next := 0
	for _, one := range replaced {
		w.at(one.AtMS, func() { w.replace(one.Worker) })
	}
	w.at(0, w.poll(endMS))
	for w.now < endMS {
		for next < len(trace) && (len(w.events) == 0 || trace[next].AtMS <= w.events[0].atMS) {
			w.now = max(w.now, trace[next].AtMS)
			w.arrive(trace[next])
			next++
		}
		if len(w.events) == 0 {
			break
		}
		one := heap.Pop(&w.events).(event)
		w.now = max(w.now, one.atMS)
		one.do()
	}
	w.now = endMS
	for _, id := range slices.Sorted(maps.Keys(w.holders)) {
		w.release(id)
	}
}

func (w *world) poll(endMS int64) func() {
	return func() {
		w.decide()
		if w.now+pollMS < endMS {
			w.at(w.now+pollMS, w.poll(endMS))
		}
	}
}

func (w *world) arrive(a Arrival) {
	state, known := w.models[a.Model]
	if !known {
		w.result.Unknown++
		return
	}
	w.policy.Arrive(a.Model, 1, w.now)
	if w.serves(a.Model) {
		w.cold(a, 0)
		w.start(a)
		return
	}
	state.waiting = append(state.waiting, a)
	w.at(w.now+deadlineMS, func() { w.expire(a) })
	w.decideSoon()
}

// decideSoon lets all arrivals of one moment reach one decision.
func (w *world) decideSoon() {
	if !w.decided {
		w.decided = true
		w.at(w.now+1, w.decide)
	}
}

func (w *world) serves(model string) bool {
	for _, replica := range w.fleet.OfModel(model) {
		if replica.State == fleet.Loaded {
			return true
		}
	}
	return false
}

// start runs a request on the loaded replicas of its model.
func (w *world) start(a Arrival) {
	state := w.models[a.Model]
	state.running++
	if state.running == 1 {
		w.mark(a.Model, true)
	}
	w.at(w.now+a.RunMS, func() {
		state.running--
		if state.running == 0 {
			w.mark(a.Model, false)
			if len(state.waiting) == 0 {
				w.policy.Rest(a.Model, w.now)
			}
		}
	})
}

// expire refuses a request whose model did not come in time.
func (w *world) expire(a Arrival) {
	state := w.models[a.Model]
	for i, one := range state.waiting {
		if one == a {
			state.waiting = append(state.waiting[:i:i], state.waiting[i+1:]...)
			if a.AtMS >= w.fromMS {
				w.result.Refused++
			}
			w.cold(a, deadlineMS)
			return
		}
	}
}

// cold counts the cold start of a request, 0 for a warm one.
func (w *world) cold(a Arrival, ms int64) {
	if a.AtMS < w.fromMS {
		return
	}
	w.result.Requests++
	if ms > 0 {
		w.result.Cold++
	}
	w.colds = append(w.colds, float64(ms)/1000)
	w.result.ColdSeconds += float64(ms) / 1000
}

// mark counts one loaded replica of a model as busy, or the busy one as idle, from now on.
func (w *world) mark(model string, busy bool) {
	for _, replica := range w.fleet.OfModel(model) {
		if h := w.holders[replica.ID]; h != nil && h.busy != busy && (replica.State == fleet.Loaded || !busy) {
			w.account(h)
			h.busy = busy
			return
		}
	}
}

// account adds the idle time of a holder up to now.
func (w *world) account(h *holder) {
	if since := max(h.sinceMS, w.fromMS); !h.busy && w.now > since {
		w.result.IdleHours += h.share * float64(w.now-since) / hourMS
	}
	h.sinceMS = w.now
}

func (w *world) release(id uint64) {
	if h := w.holders[id]; h != nil {
		w.account(h)
		delete(w.holders, id)
	}
}

func (w *world) decide() {
	w.decided = false
	var demands []placement.Demand
	for _, model := range w.catalog.Models {
		state := w.models[model.Name]
		if len(state.waiting)+state.running == 0 {
			continue
		}
		demand := placement.Demand{Model: model.Name, Waiting: len(state.waiting), Running: state.running, EarliestMS: w.now + deadlineMS}
		if demand.Waiting > 0 {
			demand.EarliestMS = state.waiting[0].AtMS + deadlineMS
		}
		demands = append(demands, demand)
	}
	decisions := w.policy.Decide(placement.Situation{NowMS: w.now, Catalog: w.catalog, Fleet: w.fleet, Demands: demands, Cached: w.cached})
	for _, decision := range decisions {
		w.carryOut(decision)
	}
	w.wakeUp()
}

// wakeUp asks again when the policy's plans change next.
func (w *world) wakeUp() {
	next, ok := w.policy.NextMS()
	if ok && next > w.now && (w.wakeMS <= w.now || next < w.wakeMS) {
		w.wakeMS = next
		w.at(next, func() {
			if w.wakeMS == next {
				w.decide()
			}
		})
	}
}

func (w *world) cached(endpoint, model, _ string) placement.Source {
	return w.caches[endpoint].find(model)
}
