package consensus_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/consensus"
)

// replaceAfter is the silence in ticks after which the tests' groups replace a voter.
const replaceAfter = 100

// memberState is what a leader knows about a voter.
type memberState int

const (
	staying memberState = iota
	leaving
	leftForGood
	silent
	lost
	memberStates
)

func (m memberState) String() string {
	return [memberStates]string{"staying", "leaving", "left", "silent", "lost"}[m]
}

func (m memberState) isLive() bool { return m == staying || m == leaving }

// votersOf returns a status in which the first member leads voters in the given states, with caught-up learners.
func votersOf(states []memberState, learners int) consensus.Status {
	s := consensus.Status{ID: 1, Role: consensus.RoleLeader, ConfigurationCommitted: true}
	s.Configuration.Target = uint32(len(states))
	add := func(p consensus.PeerStatus) {
		p.ID = uint64(len(s.Peers)) + 1
		p.Name = fmt.Sprint("m", p.ID)
		s.Peers = append(s.Peers, p)
	}
	for _, state := range states {
		p := consensus.PeerStatus{Member: consensus.Member{Voter: true}, CaughtUp: state.isLive(), Leaving: state == leaving || state == leftForGood}
		p.SilentTicks = map[memberState]uint64{leftForGood: 10, silent: 10, lost: replaceAfter}[state]
		add(p)
	}
	for range learners {
		add(consensus.PeerStatus{CaughtUp: true})
	}
	return withMembers(s)
}

func withMembers(s consensus.Status) consensus.Status {
	s.Configuration.Members = nil
	for _, p := range s.Peers {
		s.Configuration.Members = append(s.Configuration.Members, p.Member)
	}
	s.Departure = consensus.DepartureNone
	if s.Peers[indexOf(s, s.ID)].Leaving {
		s.Departure = consensus.DeparturePending
	}
	return s
}

func indexOf(s consensus.Status, id uint64) int {
	return slices.IndexFunc(s.Peers, func(p consensus.PeerStatus) bool { return p.ID == id })
}

// withConfiguration returns the status once a configuration is in effect.
func withConfiguration(s consensus.Status, c consensus.Configuration) consensus.Status {
	var peers []consensus.PeerStatus
	for _, m := range c.Members {
		p := s.Peers[indexOf(s, m.ID)]
		p.Member = m
		peers = append(peers, p)
	}
	s.Peers = peers
	return withMembers(s)
}

// spareLosses returns how many more voters the group may lose without losing its quorum.
func spareLosses(s consensus.Status) int {
	voters, live := 0, 0
	for _, p := range s.Peers {
		if p.Voter {
			voters++
			if p.SilentTicks == 0 {
				live++
			}
		}
	}
	return live - voters/2 - 1
}

// checkLosses checks that a configuration on the way of a replacement keeps its quorum wherever the one before does: with any members lost for
// good, whether the leader knows or not, as many as the group bears beside the member that is replaced. Those that the leader does not hear from
// are either lost, too, or back.
func checkLosses(t *testing.T, s consensus.Status, change consensus.Change, next consensus.Configuration, group string) {
	t.Helper()
	bears := int(s.Configuration.Target) / 2
	for set := range 1 << len(s.Peers) {
		for _, absentAreBack := range []bool{false, true} {
			kept, lost := map[uint64]bool{}, 0
			for i, p := range s.Peers {
				switch {
				case set>>i&1 == 1:
					lost++
				case p.SilentTicks == 0 || absentAreBack:
					kept[p.ID] = true
				case p.ID != change.Member.ID:
					lost++
				}
			}
			if lost <= bears && s.Configuration.HasQuorum(kept) && !next.HasQuorum(kept) {
				t.Fatalf("%s: %+v has no quorum of the members %v, which the voters %v have", group, next, kept, s.Configuration.Voters())
			}
		}
	}
}

// TestNoStepOfAReplacementCostsLosses guards against departures and replacements that cost the quorum: it goes through them in all combinations of
// states of the voters, in which no configuration on the way, committed or not, may reduce the losses that the group bears.
func TestNoStepOfAReplacementCostsLosses(t *testing.T) {
	cases := 0
	for _, voters := range []int{1, 3, 5} {
		combinations := 1
		for range voters {
			combinations *= int(memberStates)
		}
		for combination := range combinations {
			states := make([]memberState, voters)
			for i, rest := 0, combination; i < voters; i++ {
				states[i], rest = memberState(rest%int(memberStates)), rest/int(memberStates)
			}
			for learners := range voters + 1 {
				if s := votersOf(states, learners); states[0].isLive() && spareLosses(s) >= 0 {
					cases++
					replaceAll(t, s, fmt.Sprint(states, " and ", learners, " learners"))
				}
			}
		}
	}
	t.Log(cases, "groups")
}

func replaceAll(t *testing.T, s consensus.Status, group string) {
	t.Helper()
	replacements := len(s.Peers) - int(s.Configuration.Target)
	for step := 0; ; step++ {
		if step > 4*len(s.Peers) {
			t.Fatalf("%s: changes without an end", group)
		}
		change, ok := consensus.NextRepair(s, replaceAfter)
		if !ok {
			to, handsOver := consensus.NextHandOver(s)
			if !handsOver {
				break
			}
			s.ID = to
			s = withMembers(s)
			continue
		}
		step := s.Configuration.StepTo(s.Configuration.WithChange(change))
		checkLosses(t, s, change, step, group)
		next := withConfiguration(s, step.Completed())
		checkLosses(t, s, change, next.Configuration, group)
		if before, after := spareLosses(s), spareLosses(next); after < before {
			t.Fatalf("%s: change %+v leaves %d losses of %d", group, change, after, before)
		}
		s = next
	}
	kept, used, voters := 0, 0, 0
	for _, p := range s.Peers {
		if !p.Voter {
			continue
		}
		voters++
		if p.Leaving || p.SilentTicks >= replaceAfter {
			kept++
		}
		if p.ID > uint64(s.Configuration.Target) {
			used++
		}
	}
	if voters != int(s.Configuration.Target) {
		t.Errorf("%s: %d voters", group, voters)
	}
	if kept > 0 && used < replacements {
		t.Errorf("%s: %d lost or leaving voters are left, with %d of %d learners promoted", group, kept, used, replacements)
	}
}

// TestVotesOfLeavers checks who takes the place of a voter that is about to stop, and in which order.
func TestVotesOfLeavers(t *testing.T) {
	peer := func(id uint64, voter, leaving bool, silent uint64) consensus.PeerStatus {
		return consensus.PeerStatus{Member: consensus.Member{ID: id, Name: fmt.Sprint("m", id), Voter: voter}, Leaving: leaving, SilentTicks: silent, CaughtUp: silent < 10}
	}
	voter := func(id uint64) consensus.PeerStatus { return peer(id, true, false, 0) }
	learner := func(id uint64) consensus.PeerStatus { return peer(id, false, false, 0) }
	lagging := learner(4)
	lagging.CaughtUp = false
	rejoined := learner(4)
	rejoined.Name = "m3"
	tests := map[string]struct {
		peers         []consensus.PeerStatus
		kind          consensus.ChangeKind
		id, successor uint64
	}{
		"a leaver is replaced at once":                {[]consensus.PeerStatus{voter(1), voter(2), peer(3, true, true, 0), learner(4)}, consensus.ChangeRelieve, 3, 4},
		"a leaver among four voters is demoted":       {[]consensus.PeerStatus{voter(1), voter(2), peer(3, true, true, 0), voter(4)}, consensus.ChangeDemote, 3, 0},
		"a leaver that is gone may be back":           {[]consensus.PeerStatus{voter(1), voter(2), peer(3, true, true, 10), learner(4)}, consensus.ChangeRelieve, 3, 4},
		"unless it is back as another member":         {[]consensus.PeerStatus{voter(1), voter(2), peer(3, true, true, 10), rejoined}, consensus.ChangeReplace, 3, 4},
		"it is lost after some time":                  {[]consensus.PeerStatus{voter(1), voter(2), peer(3, true, true, replaceAfter), learner(4)}, consensus.ChangeReplace, 3, 4},
		"the leader hands over before it is replaced": {[]consensus.PeerStatus{peer(1, true, true, 0), voter(2), voter(3), learner(4)}, 0, 0, 0},
		"no learner":                                   {[]consensus.PeerStatus{voter(1), voter(2), peer(3, true, true, 0)}, 0, 0, 0},
		"the learner leaves, too":                      {[]consensus.PeerStatus{voter(1), voter(2), peer(3, true, true, 0), peer(4, false, true, 0)}, 0, 0, 0},
		"the learner is not heard":                     {[]consensus.PeerStatus{voter(1), voter(2), peer(3, true, true, 0), peer(4, false, false, 6)}, 0, 0, 0},
		"the learner lags behind":                      {[]consensus.PeerStatus{voter(1), voter(2), peer(3, true, true, 0), lagging}, 0, 0, 0},
		"the leader leaves alone":                      {[]consensus.PeerStatus{peer(1, true, true, 0), voter(2), voter(3), voter(4)}, 0, 0, 0},
		"all leave":                                    {[]consensus.PeerStatus{peer(1, true, true, 0), peer(2, true, true, 0), peer(3, true, true, 0), learner(4)}, consensus.ChangeRelieve, 2, 4},
		"another leaver is demoted before the leader":  {[]consensus.PeerStatus{peer(1, true, true, 0), peer(2, true, true, 0), voter(3), voter(4)}, consensus.ChangeDemote, 2, 0},
		"a surplus voter that came back":               {[]consensus.PeerStatus{voter(1), voter(2), voter(3), voter(4)}, consensus.ChangeDemote, 4, 0},
		"no surplus voter is demoted beside a silence": {[]consensus.PeerStatus{voter(1), voter(2), peer(3, true, false, 10), voter(4)}, 0, 0, 0},
		"a learner that is gone is removed":            {[]consensus.PeerStatus{voter(1), voter(2), voter(3), peer(4, false, true, replaceAfter)}, consensus.ChangeRemove, 4, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := consensus.Status{ID: 1, Role: consensus.RoleLeader, ConfigurationCommitted: true, Peers: test.peers}
			s.Configuration.Target = 3
			change, ok := consensus.NextRepair(withMembers(s), replaceAfter)
			if diff := cmp.Diff([]uint64{uint64(test.kind), test.id, test.successor}, []uint64{uint64(change.Kind), change.Member.ID, change.Successor.ID}); ok != (test.kind != 0) || ok && diff != "" {
				t.Errorf("change %+v, %v: %s", change, ok, diff)
			}
		})
	}
}

// TestStopDoesNotWaitForSuccessorWithoutProgress guards against stops that wait for a learner whose disk does not complete a write.
func TestStopDoesNotWaitForSuccessorWithoutProgress(t *testing.T) {
	s := votersOf([]memberState{leaving, leftForGood, silent}, 1)
	for stalled, want := range map[uint64]bool{0: false, 10: true} {
		s.Peers[3].StalledTicks = stalled
		if got := s.Irreplaceable(); got != want {
			t.Errorf("learner stalled for %d ticks: irreplaceable %t, want %t", stalled, got, want)
		}
	}
}

// TestDemotedMemberLeadsUntilOthersKnow guards against a group without a leader: a member has the change that demotes it, which the
// leader that proposed it was lost with, and the others need its vote, but their logs are shorter.
func TestDemotedMemberLeadsUntilOthersKnow(t *testing.T) {
	voters := threeVoters().WithMember(consensus.Member{ID: newMember, Name: "new", Voter: true})
	demoted, _ := voters.Member(self)
	demoted.Voter = false
	entries := []consensus.Entry{consensus.ConfigurationEntry(1, 1, voters), consensus.ConfigurationEntry(2, 2, voters.WithMember(demoted))}
	c, err := consensus.New(consensus.DefaultConfig(self, 7), consensus.HardState{Term: 2, Commit: 1}, consensus.Snapshot{}, entries)
	if err != nil {
		t.Fatal(err)
	}
	var asked []uint64
	for range 40 {
		c.Tick()
		for _, m := range messagesOfKind(drainReady(c), consensus.KindPreVote) {
			asked = append(asked, m.To)
		}
		if len(asked) > 0 {
			break
		}
	}
	if diff := cmp.Diff([]uint64{second, third, newMember}, asked); diff != "" {
		t.Fatalf("asked for votes: %s", diff)
	}
	for _, voter := range []uint64{second, newMember} {
		c.Step(consensus.Message{Kind: consensus.KindPreVoteReply, From: voter, To: self, Term: 3})
	}
	drainReady(c)
	for _, voter := range []uint64{second, newMember} {
		c.Step(consensus.Message{Kind: consensus.KindVoteReply, From: voter, To: self, Term: 3})
	}
	drainReady(c)
	if got := c.Status().Role; got != consensus.RoleLeader {
		t.Fatalf("role %d after the votes of two of three", got)
	}
	for _, voter := range []uint64{second, newMember} {
		c.Step(consensus.Message{Kind: consensus.KindAppendReply, From: voter, To: self, Term: 3, Index: c.Status().Last})
	}
	if s := c.Status(); s.Role == consensus.RoleLeader || !s.ConfigurationCommitted {
		t.Errorf("a member that is no voter leads on, or its demotion is not committed: %+v", s)
	}
}

// TestMemberThatStartsAgainStays guards against a member that is taken for one that is about to stop after it has started again, or for one
// that stays because of a late message.
func TestMemberThatStartsAgainStays(t *testing.T) {
	leavingOf := func(c *consensus.Core) bool {
		s := c.Status()
		return s.Peers[indexOf(s, third)].Leaving
	}
	c := newCore(t, consensus.HardState{Term: 4}, logEntries(1, 2))
	advanceTicks(c, 20) // until the first election is due
	term := electLeader(t, c)
	const firstStart, secondStart = 1 << 24, 2 << 24
	c.Step(consensus.Message{Kind: consensus.KindLeave, From: third, To: self, Term: term, EchoTick: firstStart + 9, Leaving: true})
	c.Step(consensus.Message{Kind: consensus.KindHeartbeatReply, From: third, To: self, Term: term, EchoTick: firstStart + 8})
	if !leavingOf(c) {
		t.Error("the leader does not know that a member is about to stop")
	}
	c.Step(consensus.Message{Kind: consensus.KindHeartbeatReply, From: third, To: self, Term: term, EchoTick: secondStart + 1})
	if leavingOf(c) {
		t.Error("a member that started again is about to stop")
	}
}
