package registers

import (
	"container/heap"
	"time"
)

const (
	replicas = 3
	majority = 2
	// Sizes in bytes: a message without a value, the claim of an idempotency key, the catalog of a small site, and one change of that catalog.
	headerBytes  = 64
	claimBytes   = 200
	catalogBytes = 12_000
	changeBytes  = 120
	// One-way delays between data centres and within one.
	interCentreDelay = 1500 * time.Microsecond
	intraCentreDelay = 100 * time.Microsecond
	// electionTime is how long a group has no leader after losing one.
	electionTime = 1500 * time.Millisecond
)

// network carries messages between replicas 0 to 2, one in each data centre, and clients. Clients have numbers
// from 10 on; the last digit is the number of their data centre.
type network struct {
	now      time.Duration
	events   events
	sequence int
	messages int
	bytes    int
	down     map[int]bool
	jitter   func() time.Duration
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].sequence < e[b].sequence
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(one any) { *e = append(*e, one.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newNetwork(down ...int) *network {
	n := &network{down: map[int]bool{}, jitter: func() time.Duration { return 0 }}
	for _, one := range down {
		n.down[one] = true
	}
	return n
}

func (n *network) send(from, to, size int, arrive func()) {
	n.messages++
	n.bytes += headerBytes + size
	if n.down[to] {
		return
	}
	delay := interCentreDelay
	if from%10 == to%10 {
		delay = intraCentreDelay
	}
	n.after(delay+n.jitter(), arrive)
}

func (n *network) after(delay time.Duration, run func()) {
	n.sequence++
	heap.Push(&n.events, event{at: n.now + delay, sequence: n.sequence, run: run})
}

func (n *network) run() {
	for n.events.Len() > 0 {
		next := heap.Pop(&n.events).(event)
		n.now = next.at
		next.run()
	}
}
