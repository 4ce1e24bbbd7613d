package storage_test

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/go-cmp/cmp"

	"burdocksaddle/consensus"
)

// checker observes all nodes at once and checks the guarantees of the group.
type checker struct {
	sim     *simulation
	leaders map[uint64]uint64
	// elected is the time at which each term's leader was first seen.
	elected   map[uint64]int64
	committed map[uint64]consensus.Entry
	states    map[uint64]string
	// configuration is the latest committed configuration that any node applied.
	configuration     consensus.Configuration
	configurationAt   uint64
	uncommittedValues map[string]bool
	violations        []string
}

func newChecker(sim *simulation) *checker {
	return &checker{
		sim: sim, leaders: map[uint64]uint64{}, elected: map[uint64]int64{}, committed: map[uint64]consensus.Entry{}, states: map[uint64]string{},
		uncommittedValues: map[string]bool{},
	}
}

func (c *checker) fail(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("at %d: ", c.sim.now)+fmt.Sprintf(format, args...))
}

func (c *checker) checkStatus(n *node, before consensus.Status) {
	now := n.status
	if now.Committed < before.Committed || now.Term < before.Term {
		c.fail("%s went back from commit %d, term %d to commit %d, term %d", n.name, before.Committed, before.Term, now.Committed, now.Term)
	}
	c.checkQuorumProof(n)
	if now.Role != consensus.RoleLeader || before.Role == consensus.RoleLeader && before.Term == now.Term {
		return
	}
	c.sim.counts["elections"]++
	if other := c.leaders[now.Term]; other != 0 && other != n.id {
		c.fail("two leaders in term %d", now.Term)
	}
	c.leaders[now.Term] = n.id
	c.elected[now.Term] = c.sim.now
	if c.sim.transferTerms[now.Term] {
		return // the old leader transferred leadership before its lease ended
	}
	for _, other := range c.sim.nodes {
		// A leader without any heartbeat reply holds no lease yet, so it does not count.
		if other != n && other.up && other.status.Role == consensus.RoleLeader && other.status.ProofAge != consensus.NoProof {
			c.fail("%s leads term %d while %s still leads %d", n.name, now.Term, other.name, other.status.Term)
		}
	}
}

// checkQuorumProof checks that no member holds a quorum proof of its leader that is more recent than the election of a
// later leader.
func (c *checker) checkQuorumProof(n *node) {
	// A heartbeat echo from before the node's restart makes a proof look older than the history; it proves nothing.
	if n.status.ProofAge > faultUnits {
		return
	}
	const slack = 2
	since := c.sim.now - int64(n.status.ProofAge+slack)*tickUnits*(1000+driftPermille)/1000
	for term, elected := range c.elected {
		if term > n.status.Term && elected < since {
			c.fail("%s holds a quorum proof of term %d since %d, but term %d was won at %d", n.name, n.status.Term, since, term, elected)
		}
	}
	c.sim.counts["proofs"]++
}

func (c *checker) checkApplied(n *node, e consensus.Entry) {
	if e.Index != n.applied+1 {
		c.fail("%s applied %d after %d", n.name, e.Index, n.applied)
	}
	if known, ok := c.committed[e.Index]; ok {
		if diff := cmp.Diff(known, e); diff != "" {
			c.fail("%s committed a different entry %d: %s", n.name, e.Index, diff)
		}
		return
	}
	c.committed[e.Index] = e
	if e.Kind == consensus.EntryConfiguration && e.Index > c.configurationAt {
		c.configuration, c.configurationAt = n.status.Configuration, e.Index
		for _, other := range c.sim.nodes {
			if s, ok := configurationOf(other, e.Index); ok {
				c.configuration = s
			}
		}
	}
}

// configurationOf returns the configuration that a node has at an index.
func configurationOf(n *node, index uint64) (consensus.Configuration, bool) {
	if !n.up {
		return consensus.Configuration{}, false
	}
	s, ok := n.core.SnapshotAt(index, nil)
	return s.Configuration, ok
}

func (c *checker) checkState(n *node) {
	state := string(marshalState(n.state))
	if known, ok := c.states[n.applied]; ok && known != state {
		c.fail("%s has a different state at index %d: %s", n.name, n.applied, cmp.Diff(known, state))
	}
	c.states[n.applied] = state
}

func (c *checker) checkRestored(n *node, s consensus.Snapshot) {
	if known, ok := c.states[s.Index]; ok && known != string(s.State) && len(s.State) > 0 {
		c.fail("%s restored a different state at index %d: %s", n.name, s.Index, cmp.Diff(known, string(s.State)))
	}
}

// canWipe reports whether every configuration that may be in use keeps the disks of a quorum if a node is wiped: of the previous and of the next
// voters, if it is joint.
func (c *checker) canWipe(n *node) bool {
	live := map[uint64]bool{}
	for _, other := range c.sim.nodes {
		live[other.id] = other != n
	}
	configurations := []consensus.Configuration{c.configuration}
	for _, other := range c.sim.nodes {
		if other.up {
			configurations = append(configurations, other.status.Configuration)
		}
	}
	for _, configuration := range configurations {
		if !configuration.HasQuorum(live) {
			return false
		}
	}
	return true
}

// input is an operation on one key of the state.
type input struct {
	Kind, Key, Value string
}

// applyCommand executes a committed operation and returns the previous value; a claim only takes effect if the key has
// no value yet.
func applyCommand(state map[string]string, data []byte) string {
	var in input
	if err := json.Unmarshal(data, &in); err != nil {
		panic(err)
	}
	before := state[in.Key]
	state[in.Key] = nextValue(before, in)
	return before
}

func nextValue(before string, in input) string {
	if in.Kind == "get" || in.Kind == "claim" && before != "" {
		return before
	}
	return in.Value
}

// registerModel is a single register that never fails; a put or claim returns the previous value.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(input).Key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		before := state.(string)
		fits := out == nil || out.(string) == before
		return fits, nextValue(before, in.(input))
	},
}

// clients issue operations and record their history.
type clients struct {
	sim     *simulation
	issued  int
	history []porcupine.Operation
}

// call is an operation in progress.
type call struct {
	clients *clients
	input   input
	started int64
	term    uint64
	done    bool
}

func (c *call) record(output any, returned int64) {
	if c.done {
		return
	}
	c.done = true
	c.clients.history = append(c.clients.history, porcupine.Operation{
		ClientId: len(c.clients.history), Input: c.input, Call: c.started, Output: output, Return: returned,
	})
}

func (c *call) complete(output string) {
	c.clients.sim.counts["answered"]++
	// Every event has a unique timestamp, so that an operation issued right after it counts as later.
	c.record(output, c.clients.timestamp())
}

func (c *call) unknown() {
	c.clients.sim.counts["unknown"]++
	c.record(nil, math.MaxInt64)
}

func (c *call) discard() { c.done = true }

func (c *call) notCommitted() {
	c.done = true
	c.clients.sim.counts["not committed"]++
	c.clients.sim.check.uncommittedValues[c.input.Value] = true
}

func (c *clients) timestamp() int64 {
	c.sim.lastOrder++
	return c.sim.now<<32 + c.sim.lastOrder
}

// issue starts a random operation at a random node, usually the leader.
func (c *clients) issue() {
	n := c.sim.randomNode()
	if leader := c.sim.leader(); leader != nil && !c.sim.chance(300) {
		n = leader
	}
	if !n.up {
		return
	}
	c.issued++
	o := &call{clients: c, started: c.timestamp(), input: input{
		Kind: []string{"put", "claim", "get"}[c.sim.random.IntN(3)], Key: fmt.Sprint("k", c.sim.random.IntN(5)),
		Value: fmt.Sprint("v", c.issued),
	}}
	if o.input.Kind == "claim" {
		o.input.Key = fmt.Sprint("claim", c.sim.random.IntN(10))
	}
	if o.input.Kind == "get" {
		token := uint64(c.issued)
		if n.core.Read(token) == nil {
			n.reads[token] = o
			n.process()
		}
		return
	}
	data, err := json.Marshal(o.input)
	if err != nil {
		panic(err)
	}
	index, term, err := n.core.Propose(data)
	if err != nil {
		return
	}
	o.term, n.writes[index] = term, o
	n.process()
}

// verify checks the whole history; a history that takes too long to check is a violation too.
func (c *checker) verify(history []porcupine.Operation) {
	for index, e := range c.committed {
		var in input
		if e.Kind == consensus.EntryCommand && json.Unmarshal(e.Data, &in) == nil && c.uncommittedValues[in.Value] {
			c.fail("entry %d was reported as not committed but is committed: %+v", index, in)
		}
	}
	switch porcupine.CheckOperationsTimeout(registerModel, history, 20*time.Second) {
	case porcupine.Illegal:
		c.fail("the history of %d operations is not linearizable", len(history))
	case porcupine.Unknown:
		c.fail("checking the history of %d operations timed out", len(history))
	}
}
