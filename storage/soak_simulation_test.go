package storage_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"burdocksaddle/consensus"
)

// Virtual time is counted in units; a member ticks about every 100 units.
const (
	tickUnits     = 100
	maxDelay      = 40
	maxLateDelay  = 1500
	maxDiskDelay  = 30
	driftPermille = 30
)

type event struct {
	at, order int64
	run       func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is one random history in virtual time.
type simulation struct {
	random    *rand.Rand
	now       int64
	lastOrder int64
	events    events
	nodes     []*node
	voters    int
	blocked   map[[2]int]bool
	// lossPermille, duplicatePermille and delayPermille are the probabilities of network faults for each message.
	lossPermille, duplicatePermille, delayPermille int
	// transferTerms holds the terms in which a member campaigned because of a leadership transfer, which ends a lease
	// early.
	transferTerms map[uint64]bool
	// changeLossPermille is the probability that a disk is lost during a membership change.
	changeLossPermille int
	faultsStopped      bool
	check              *checker
	clients            *clients
	counts             map[string]int
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 99)), blocked: map[[2]int]bool{}, counts: map[string]int{},
		transferTerms: map[uint64]bool{},
	}
	s.check = newChecker(s)
	s.clients = &clients{sim: s}
	s.voters = 3 + 2*s.random.IntN(2)
	for slot := range s.voters + 1 + s.random.IntN(2) {
		n := &node{sim: s, slot: slot, name: fmt.Sprintf("n%d", slot), standing: slot >= s.voters}
		n.tickInterval = int64(tickUnits * (1000 - driftPermille + s.random.IntN(2*driftPermille)) / 1000)
		s.nodes = append(s.nodes, n)
		n.wipe()
	}
	s.bootstrap()
	for _, n := range s.nodes {
		n.start()
		s.after(s.between(1, n.tickInterval), n.tick)
	}
	return s
}

// bootstrap gives the first node a log with the configuration that lists the voters.
func (s *simulation) bootstrap() {
	configuration := consensus.Configuration{Group: 1, Target: uint32(s.voters)}
	for _, n := range s.nodes[:s.voters] {
		configuration = configuration.WithMember(consensus.Member{ID: n.id, Name: n.name, Address: n.name, Voter: true})
	}
	s.nodes[0].bootstrap(configuration)
}

func (s *simulation) after(delay int64, run func()) {
	s.lastOrder++
	heap.Push(&s.events, event{at: s.now + delay, order: s.lastOrder, run: run})
}

func (s *simulation) between(low, high int64) int64 { return low + s.random.Int64N(high-low+1) }

func (s *simulation) runUntil(at int64) {
	for len(s.events) > 0 && s.events[0].at <= at {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = at
}

func (s *simulation) chance(permille int) bool { return s.random.IntN(1000) < permille }

// send delivers a message with the current network faults.
func (s *simulation) send(from *node, m consensus.Message) {
	if m.Kind == consensus.KindVote && m.Transfer {
		s.transferTerms[m.Term] = true
	}
	copies := 1
	if s.chance(s.duplicatePermille) {
		copies = 2
		s.counts["duplicated"]++
	}
	for range copies {
		delay := s.between(2, maxDelay)
		if s.chance(s.delayPermille) {
			delay = s.between(2, maxLateDelay)
			s.counts["delayed"]++
		}
		if s.chance(s.lossPermille) {
			s.counts["lost"]++
			continue
		}
		s.after(delay, func() { s.receive(from.slot, m) })
	}
}

func (s *simulation) receive(from int, m consensus.Message) {
	for _, n := range s.nodes {
		if n.id != m.To || !n.up {
			continue
		}
		if s.blocked[[2]int{from, n.slot}] {
			s.counts["blocked"]++
			return
		}
		// Encode and decode the message as on a real network.
		decoded, err := consensus.MessageFromWire(m.From, m.To, m.ToWire())
		if err != nil {
			panic(err)
		}
		n.core.Step(decoded)
		n.process()
		return
	}
}

func (s *simulation) randomNode() *node { return s.nodes[s.random.IntN(len(s.nodes))] }

// leader returns the node that leads in the highest term, or nil if there is none.
func (s *simulation) leader() *node {
	var found *node
	for _, n := range s.nodes {
		if n.up && n.status.Role == consensus.RoleLeader && (found == nil || n.status.Term > found.status.Term) {
			found = n
		}
	}
	return found
}

func (s *simulation) connected(a, b *node) bool {
	return !s.blocked[[2]int{a.slot, b.slot}] && !s.blocked[[2]int{b.slot, a.slot}]
}
