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
	// The policy decides at least once per pollMS.
	pollMS   = 5000
	unloadMS = 500
	// A caller waits this long for a model to be loaded before its request is refused.
	deadlineMS = 60_000
	// Speeds of reading a checkpoint in MB per second, and sizes of the caches of one worker's VM in MB.
	remoteSpeed = 1000.0
	diskSpeed   = 2500.0
	memorySpeed = 10_000.0
	// startMS is the part of a load's duration that does not depend on the size.
	startMS     = 1500
	memoryCache = 64_000
	diskCache   = 400_000
	// storeRate is the number of loads per second that the weight store allows, storeSlots that of downloads at full speed.
	storeRate  = 5
	storeSlots = 4
)

// event is a function that runs at a time of the simulation.
type event struct {
	atMS int64
	// sequence orders events with the same time by their creation.
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].atMS < e[j].atMS || e[i].atMS == e[j].atMS && e[i].sequence < e[j].sequence
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

// simulation runs one trace with the real fleet and policy. Engines and the store are simulated as functions of time.
type simulation struct {
	nowMS        int64
	fromMS       int64
	nextSequence int
	events       events
	catalog      catalog.Catalog
	fleet        *fleet.Fleet
	policy       *placement.Policy
	caches       map[string]*cache
	models       map[string]*modelState
	downloads    int
	result       Result
	coldSeconds  []float64
	// memoryUses holds the memory use of each replica, with the time since which it has been idle or busy.
	memoryUses        map[uint64]*memoryUse
	decisionScheduled bool
	nextDecisionMS    int64
	// replacements counts the workers replaced so far.
	replacements int
}

// modelState holds the waiting and running requests of one model.
type modelState struct {
	waiting []Arrival
	running int
}

// memoryUse is the share of a worker's memory that one replica occupies.
type memoryUse struct {
	memoryShare float64
	sinceMS     int64
	busy        bool
}

func newSimulation(c catalog.Catalog, workers int, policy *placement.Policy) *simulation {
	s := &simulation{catalog: c, fleet: fleet.New(), policy: policy, caches: map[string]*cache{}, models: map[string]*modelState{}, memoryUses: map[uint64]*memoryUse{}}
	for i := range workers {
		s.registerWorker(i, 0)
	}
	for _, model := range c.Models {
		s.models[model.Name] = &modelState{}
	}
	return s
}

func (s *simulation) schedule(ms int64, run func()) {
	s.nextSequence++
	heap.Push(&s.events, event{atMS: ms, sequence: s.nextSequence, run: run})
}

// run simulates the whole trace until endMS.
func (s *simulation) run(trace []Arrival, replacements []Replacement, endMS int64) {
	next := 0
	for _, one := range replacements {
		s.schedule(one.AtMS, func() { s.replaceWorker(one.Worker) })
	}
	s.schedule(0, s.poll(endMS))
	for s.nowMS < endMS {
		for next < len(trace) && (len(s.events) == 0 || trace[next].AtMS <= s.events[0].atMS) {
			s.nowMS = max(s.nowMS, trace[next].AtMS)
			s.handleArrival(trace[next])
			next++
		}
		if len(s.events) == 0 {
			break
		}
		one := heap.Pop(&s.events).(event)
		s.nowMS = max(s.nowMS, one.atMS)
		one.run()
	}
	s.nowMS = endMS
	for _, id := range slices.Sorted(maps.Keys(s.memoryUses)) {
		s.endMemoryUse(id)
	}
}

func (s *simulation) poll(endMS int64) func() {
	return func() {
		s.decide()
		if s.nowMS+pollMS < endMS {
			s.schedule(s.nowMS+pollMS, s.poll(endMS))
		}
	}
}

func (s *simulation) handleArrival(a Arrival) {
	state, known := s.models[a.Model]
	if !known {
		s.result.Unknown++
		return
	}
	s.policy.RecordArrivals(a.Model, 1, s.nowMS)
	if s.hasLoadedReplica(a.Model) {
		s.recordRequest(a, 0)
		s.startRequest(a)
		return
	}
	state.waiting = append(state.waiting, a)
	s.schedule(s.nowMS+deadlineMS, func() { s.expireRequest(a) })
	s.scheduleDecision()
}

// scheduleDecision schedules one decision for all arrivals of the same time.
func (s *simulation) scheduleDecision() {
	if !s.decisionScheduled {
		s.decisionScheduled = true
		s.schedule(s.nowMS+1, s.decide)
	}
}

func (s *simulation) hasLoadedReplica(model string) bool {
	for _, replica := range s.fleet.ReplicasOfModel(model) {
		if replica.State == fleet.Loaded {
			return true
		}
	}
	return false
}

// startRequest runs a request on the loaded replicas of its model.
func (s *simulation) startRequest(a Arrival) {
	state := s.models[a.Model]
	state.running++
	if state.running == 1 {
		s.setBusy(a.Model, true)
	}
	s.schedule(s.nowMS+a.RunMS, func() {
		state.running--
		if state.running == 0 {
			s.setBusy(a.Model, false)
			if len(state.waiting) == 0 {
				s.policy.RecordIdle(a.Model, s.nowMS)
			}
		}
	})
}

// expireRequest refuses a request whose model was not loaded in time.
func (s *simulation) expireRequest(a Arrival) {
	state := s.models[a.Model]
	for i, one := range state.waiting {
		if one == a {
			state.waiting = append(state.waiting[:i:i], state.waiting[i+1:]...)
			if a.AtMS >= s.fromMS {
				s.result.Refused++
			}
			s.recordRequest(a, deadlineMS)
			return
		}
	}
}

// recordRequest counts a request and its cold start, which takes 0 ms for a warm one.
func (s *simulation) recordRequest(a Arrival, waitMS int64) {
	if a.AtMS < s.fromMS {
		return
	}
	s.result.Requests++
	if waitMS > 0 {
		s.result.Cold++
	}
	s.coldSeconds = append(s.coldSeconds, float64(waitMS)/1000)
	s.result.ColdSeconds += float64(waitMS) / 1000
}

// setBusy counts one loaded replica of a model as busy, or its busy one as idle, from now on.
func (s *simulation) setBusy(model string, busy bool) {
	for _, replica := range s.fleet.ReplicasOfModel(model) {
		if use := s.memoryUses[replica.ID]; use != nil && use.busy != busy && (replica.State == fleet.Loaded || !busy) {
			s.recordIdle(use)
			use.busy = busy
			return
		}
	}
}

// recordIdle adds the idle time of a replica up to now.
func (s *simulation) recordIdle(use *memoryUse) {
	if since := max(use.sinceMS, s.fromMS); !use.busy && s.nowMS > since {
		s.result.IdleHours += use.memoryShare * float64(s.nowMS-since) / hourMS
	}
	use.sinceMS = s.nowMS
}

func (s *simulation) endMemoryUse(id uint64) {
	if use := s.memoryUses[id]; use != nil {
		s.recordIdle(use)
		delete(s.memoryUses, id)
	}
}

func (s *simulation) decide() {
	s.decisionScheduled = false
	var demands []placement.Demand
	for _, model := range s.catalog.Models {
		state := s.models[model.Name]
		if len(state.waiting)+state.running == 0 {
			continue
		}
		demand := placement.Demand{Model: model.Name, Waiting: len(state.waiting), Running: state.running, EarliestDeadlineMS: s.nowMS + deadlineMS}
		if demand.Waiting > 0 {
			demand.EarliestDeadlineMS = state.waiting[0].AtMS + deadlineMS
		}
		demands = append(demands, demand)
	}
	decisions := s.policy.Decide(placement.Situation{NowMS: s.nowMS, Catalog: s.catalog, Fleet: s.fleet, Demands: demands, CheckpointSource: s.checkpointSource})
	for _, decision := range decisions {
		s.applyDecision(decision)
	}
	s.scheduleNextDecision()
}

// scheduleNextDecision schedules a decision for the next change of the policy's plans.
func (s *simulation) scheduleNextDecision() {
	next, ok := s.policy.NextMS()
	if ok && next > s.nowMS && (s.nextDecisionMS <= s.nowMS || next < s.nextDecisionMS) {
		s.nextDecisionMS = next
		s.schedule(next, func() {
			if s.nextDecisionMS == next {
				s.decide()
			}
		})
	}
}

func (s *simulation) checkpointSource(endpoint, model, _ string) placement.Source {
	return s.caches[endpoint].source(model)
}
