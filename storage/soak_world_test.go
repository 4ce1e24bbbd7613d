package storage_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"burdocksaddle/consensus"
)

// Virtual time is counted in units; one tick of a member is about 100.
const (
	tickUnits     = 100
	usualDelay    = 40
	longDelay     = 1500
	diskDelay     = 30
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

// world is one randomised history in virtual time.
type world struct {
	random  *rand.Rand
	now     int64
	order   int64
	events  events
	nodes   []*node
	voters  int
	blocked map[[2]int]bool
	// lossPermille, doublePermille and latePermille say what the network does to messages.
	lossPermille, doublePermille, latePermille int
	// handedOver holds the terms in which a member campaigned because a leader handed over, which cuts a lease short.
	handedOver map[uint64]bool
	quiet      bool
	check      *checker
	clients    *clients
	counts     map[string]int
}

func newWorld(seed uint64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 99)), blocked: map[[2]int]bool{}, counts: map[string]int{},
		handedOver: map[uint64]bool{},
	}
	w.check = newChecker(w)
	w.clients = &clients{world: w}
	w.voters = 3 + 2*w.random.IntN(2)
	for slot := range w.voters + 1 + w.random.IntN(2) {
		n := &node{world: w, slot: slot, name: fmt.Sprintf("n%d", slot), standing: slot >= w.voters}
		n.period = int64(tickUnits * (1000 - driftPermille + w.random.IntN(2*driftPermille)) / 1000)
		w.nodes = append(w.nodes, n)
		n.wipe()
	}
	w.bootstrap()
	for _, n := range w.nodes {
		n.start()
		w.after(w.between(1, n.period), n.tick)
	}
	return w
}

// bootstrap gives the first node the log that names the voters.
func (w *world) bootstrap() {
	configuration := consensus.Configuration{Group: 1, Target: uint32(w.voters)}
	for _, n := range w.nodes[:w.voters] {
		configuration = configuration.WithMember(consensus.Member{ID: n.id, Name: n.name, Address: n.name, Voter: true})
	}
	w.nodes[0].bootstrap(configuration)
}

func (w *world) after(delay int64, run func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + delay, order: w.order, run: run})
}

func (w *world) between(least, most int64) int64 { return least + w.random.Int64N(most-least+1) }

func (w *world) runUntil(at int64) {
	for len(w.events) > 0 && w.events[0].at <= at {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = at
}

func (w *world) chance(permille int) bool { return w.random.IntN(1000) < permille }

// deliver carries a message as the network of the moment does.
func (w *world) deliver(from *node, m consensus.Message) {
	if m.Kind == consensus.KindVote && m.Transfer {
		w.handedOver[m.Term] = true
	}
	copies := 1
	if w.chance(w.doublePermille) {
		copies = 2
		w.counts["doubled"]++
	}
	for range copies {
		delay := w.between(2, usualDelay)
		if w.chance(w.latePermille) {
			delay = w.between(2, longDelay)
			w.counts["late"]++
		}
		if w.chance(w.lossPermille) {
			w.counts["lost"]++
			continue
		}
		w.after(delay, func() { w.arrive(from.slot, m) })
	}
}

func (w *world) arrive(from int, m consensus.Message) {
	for _, n := range w.nodes {
		if n.id != m.To || !n.up {
			continue
		}
		if w.blocked[[2]int{from, n.slot}] {
			w.counts["blocked"]++
			return
		}
		// Messages cross a codec on the way.
		decoded, err := consensus.MessageFromWire(m.From, m.To, m.ToWire())
		if err != nil {
			panic(err)
		}
		n.core.Step(decoded)
		n.process()
		return
	}
}

// someNode returns a random node.
func (w *world) someNode() *node { return w.nodes[w.random.IntN(len(w.nodes))] }

// leader returns the node that leads in the highest term, nil if none.
func (w *world) leader() *node {
	var found *node
	for _, n := range w.nodes {
		if n.up && n.status.Role == consensus.RoleLeader && (found == nil || n.status.Term > found.status.Term) {
			found = n
		}
	}
	return found
}

func (w *world) reaches(a, b *node) bool {
	return !w.blocked[[2]int{a.slot, b.slot}] && !w.blocked[[2]int{b.slot, a.slot}]
}
