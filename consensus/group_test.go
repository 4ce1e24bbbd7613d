package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"burdocksaddle/consensus"
)

const (
	// restartTicks is how long a member that is killed, or loses its disk, takes to start again.
	restartTicks = 5
	// pauseTicks is how long a member stands still that is suspended beside a replacement.
	pauseTicks = 35
	// recoverTicks is how long a group may take to serve again once all members are back.
	recoverTicks = 120
	// replaceSilentTicks is the silence after which these groups replace a voter.
	replaceSilentTicks = 20
)

// machine is a core with its disk. A machine that loses its disk continues as another member of the same name.
type machine struct {
	group *machineGroup
	name  string
	id    uint64
	core  *consensus.Core

	hard    consensus.HardState
	entries []consensus.Entry
	applied []string

	// downUntil and pausedUntil are ticks; suspended machines process what has arrived once they go on.
	up, removed            bool
	downUntil, pausedUntil int
	missed                 []consensus.Message
	// onLeft ends a process that is about to stop, once it may.
	onLeft func()
}

// machineGroup is a group of machines. One event happens at a time: a message arrives, or the time advances by one tick.
type machineGroup struct {
	t        *testing.T
	machines []*machine
	lastID   uint64
	random   *rand.Rand
	inFlight []consensus.Message
	tick     int
	events   int
	acked    []string
	proposed int
}

// newMachineGroup starts a group whose learners have caught up, or of which those that are late have not started yet. Its messages arrive in the
// order sent if the seed is 0, else in a random one.
func newMachineGroup(t *testing.T, voters, target, learners, late int, seed uint64) *machineGroup {
	t.Helper()
	g := &machineGroup{t: t}
	if seed != 0 {
		g.random = rand.New(rand.NewPCG(seed, 1))
	}
	configuration := consensus.Configuration{Group: 1, Target: uint32(target)}
	for i := range voters + learners + late {
		m := &machine{group: g, name: fmt.Sprint("m", i), id: g.nextID()}
		if i < voters {
			configuration = configuration.WithMember(consensus.Member{ID: m.id, Name: m.name, Address: m.name, Voter: true})
		}
		g.machines = append(g.machines, m)
	}
	for i, m := range g.machines {
		if i < voters {
			m.hard, m.entries = consensus.HardState{Term: 1, Commit: 1}, []consensus.Entry{consensus.ConfigurationEntry(1, 1, configuration)}
		}
		m.start()
		if i >= voters+learners {
			m.remove()
		}
	}
	g.runUntil("the learners have caught up", 100, func() bool {
		leader := g.leader()
		if leader == nil || len(leader.core.Status().Peers) != voters+learners {
			return false
		}
		return !slices.ContainsFunc(leader.core.Status().Peers, func(p consensus.PeerStatus) bool { return !p.CaughtUp })
	})
	g.mustAcknowledge("at the start", 50)
	return g
}

func (g *machineGroup) nextID() uint64 {
	g.lastID++
	return g.lastID
}

func (m *machine) start() {
	config := consensus.DefaultConfig(m.id, m.id+uint64(m.group.tick))
	config.Limits.TrailingEntries = 1 << 20
	core, err := consensus.New(config, m.hard, consensus.Snapshot{}, slices.Clone(m.entries))
	if err != nil {
		m.group.t.Fatal(err)
	}
	m.core, m.up, m.applied = core, true, nil
	m.process()
}

// kill ends the process; it starts again with its disk.
func (m *machine) kill() {
	m.up, m.missed, m.onLeft, m.downUntil, m.pausedUntil = false, nil, nil, m.group.tick+restartTicks, 0
}

// loseDisk ends the process; it starts again as a new member.
func (m *machine) loseDisk() {
	m.kill()
	m.id, m.hard, m.entries = m.group.nextID(), consensus.HardState{}, nil
}

// remove ends the process for good.
func (m *machine) remove() {
	m.kill()
	m.removed = true
}

func (m *machine) pause() { m.pausedUntil = m.group.tick + pauseTicks }

// leave announces that the process is about to stop, and ends it once it may.
func (m *machine) leave(end func(*machine)) {
	m.onLeft = func() { end(m) }
	m.core.Leave()
	m.process()
}

func (m *machine) runs() bool { return m.up && !m.removed && m.pausedUntil <= m.group.tick }

func (m *machine) status() consensus.Status { return m.core.Status() }

// process handles the output of the core. Each write is on disk before the next event.
func (m *machine) process() {
	for {
		r, ok := m.core.Ready()
		if !ok {
			return
		}
		if r.Hard != nil {
			m.hard = *r.Hard
		}
		for _, e := range r.Entries {
			m.entries = append(m.entries[:e.Index-1:e.Index-1], e)
		}
		for _, e := range r.Committed {
			if e.Kind == consensus.EntryCommand {
				m.applied = append(m.applied, string(e.Data))
			}
		}
		if r.Sequence != 0 {
			m.core.Persisted(r.Sequence)
		}
		m.group.inFlight = append(m.group.inFlight, r.Messages...)
	}
}

// manage has a leader change the members, as package quorum does.
func (m *machine) manage() {
	if to, ok := consensus.NextHandOver(m.status()); ok {
		_ = m.core.Transfer(to) // refused while another one is in progress
	}
	if m.core.CanChange() {
		if change, ok := consensus.NextRepair(m.status(), replaceSilentTicks); ok {
			_ = m.core.ProposeChange(change)
		}
	}
	m.core.AnswerDepartures()
	m.process()
}

func (g *machineGroup) leader() *machine {
	var found *machine
	for _, m := range g.machines {
		if m.runs() && m.status().Role == consensus.RoleLeader && (found == nil || m.status().Term > found.status().Term) {
			found = m
		}
	}
	return found
}

// step runs the next event.
func (g *machineGroup) step() {
	g.events++
	g.deliver()
	for _, m := range g.machines {
		if m.onLeft == nil || !m.runs() {
			continue
		}
		s := m.status()
		released := s.Departure == consensus.DepartureReleased || s.Departure == consensus.DepartureIrreplaceable
		if released || s.Irreplaceable() && !s.MayHandOver() {
			m.onLeft()
		}
	}
}

// nextTick runs events until the time advances.
func (g *machineGroup) nextTick() {
	for tick := g.tick; g.tick == tick; {
		g.step()
	}
}

func (g *machineGroup) deliver() {
	if len(g.inFlight) == 0 || g.random != nil && g.random.IntN(20) == 0 {
		g.advance()
		return
	}
	at := 0
	if g.random != nil {
		at = g.random.IntN(len(g.inFlight))
	}
	message := g.inFlight[at]
	g.inFlight = slices.Delete(g.inFlight, at, at+1)
	for _, m := range g.machines {
		switch {
		case m.id != message.To || !m.up:
		case !m.runs():
			m.missed = append(m.missed, message)
		default:
			m.receive(message)
		}
	}
}

func (m *machine) receive(message consensus.Message) {
	decoded, err := consensus.MessageFromWire(message.From, message.To, message.ToWire())
	if err != nil {
		m.group.t.Fatal(err)
	}
	m.core.Step(decoded)
	m.process()
	if m.core.HasDepartures() {
		m.manage()
	}
}

// advance advances the time by one tick.
func (g *machineGroup) advance() {
	g.tick++
	for _, m := range g.machines {
		if !m.up && !m.removed && m.downUntil <= g.tick {
			m.start()
		}
		if !m.runs() {
			continue
		}
		missed := m.missed
		m.missed = nil
		for _, message := range missed {
			m.receive(message)
		}
		if m.pausedUntil > 0 {
			for range pauseTicks - 1 {
				m.core.Tick()
			}
			m.pausedUntil = 0
		}
		m.core.Tick()
		m.process()
		m.manage()
	}
	if leader := g.leader(); leader != nil && g.tick%restartTicks == 0 {
		g.join(leader)
	}
}

// join adds the machines that are no members to the group.
func (g *machineGroup) join(leader *machine) {
	for _, m := range g.machines {
		if _, known := leader.status().Configuration.Member(m.id); m.runs() && !known {
			member := consensus.Member{ID: m.id, Name: m.name, Address: m.name}
			_ = leader.core.ProposeChange(consensus.Change{Kind: consensus.ChangeAddLearner, Member: member}) // repeated until the machine is a member
			leader.process()
		}
	}
}

func (g *machineGroup) runUntil(what string, ticks int, done func() bool) {
	g.t.Helper()
	for end := g.tick + ticks; !done(); g.nextTick() {
		if g.tick >= end {
			g.t.Fatalf("%s: not within %d ticks", what, ticks)
		}
	}
}

// acknowledge has the group commit a command, and reports whether it did.
func (g *machineGroup) acknowledge(ticks int) bool {
	g.proposed++
	command := fmt.Sprint("c", g.proposed)
	for end, proposedAt := g.tick+ticks, -100; g.tick < end; g.nextTick() {
		leader := g.leader()
		if leader == nil {
			continue
		}
		if slices.Contains(leader.applied, command) {
			g.acked = append(g.acked, command)
			return true
		}
		if g.tick >= proposedAt+20 {
			if _, _, err := leader.core.Propose([]byte(command)); err == nil {
				proposedAt = g.tick
				leader.process()
			}
		}
	}
	return false
}

func (g *machineGroup) mustAcknowledge(when string, ticks int) {
	g.t.Helper()
	if !g.acknowledge(ticks) {
		g.t.Fatalf("no command was committed %s", when)
	}
}

// checkRecovered checks that the group serves, and has all that it acknowledged.
func (g *machineGroup) checkRecovered() string {
	if !g.acknowledge(recoverTicks) {
		return "no command is committed any more"
	}
	have := map[string]bool{}
	for _, command := range g.leader().applied {
		have[command] = true
	}
	for _, command := range g.acked {
		if !have[command] {
			return "acknowledged command " + command + " is gone"
		}
	}
	return ""
}
