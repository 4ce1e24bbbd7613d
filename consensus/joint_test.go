package consensus_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/consensus"
)

// groupOf returns a configuration of voters followed by learners, with IDs from 1 on.
func groupOf(voters, learners int) consensus.Configuration {
	c := consensus.Configuration{Group: 1, Target: uint32(voters)}
	for i := range voters + learners {
		c = c.WithMember(consensus.Member{ID: uint64(i) + 1, Name: fmt.Sprint("m", i), Voter: i < voters})
	}
	return c
}

// quorums returns which sets of the members 1 to n, as bits, are quorums.
func quorums(c consensus.Configuration, n int) []bool {
	out := make([]bool, 1<<n)
	for set := range out {
		members := map[uint64]bool{}
		for i := range n {
			members[uint64(i)+1] = set>>i&1 == 1
		}
		out[set] = c.HasQuorum(members)
	}
	return out
}

// asBefore returns a configuration as software before transitions reads it.
func asBefore(t *testing.T, c consensus.Configuration) consensus.Configuration {
	t.Helper()
	w := c.ToWire()
	for _, m := range w.GetMembers() {
		m.Transition = 0
	}
	read, err := consensus.ConfigurationFromWire(w)
	if err != nil {
		t.Fatal(err)
	}
	return read
}

// TestQuorumsOverlapOnTheWay guards against two leaders, or two histories: quorums of any two configurations that may be in effect at the same time
// share a member, also if some members run software that does not know joint configurations.
func TestQuorumsOverlapOnTheWay(t *testing.T) {
	for voters := 1; voters <= 6; voters++ {
		first, successor := consensus.Member{ID: uint64(voters) + 1}, consensus.Member{ID: uint64(voters) + 2}
		changes := []consensus.Change{
			{Kind: consensus.ChangePromote, Member: first},
			{Kind: consensus.ChangePromotePair, Member: first, Successor: successor},
			{Kind: consensus.ChangeReplace, Member: consensus.Member{ID: 1}, Successor: successor},
			{Kind: consensus.ChangeRelieve, Member: consensus.Member{ID: 1}, Successor: successor},
		}
		if voters > 1 {
			changes = append(changes, consensus.Change{Kind: consensus.ChangeRemove, Member: consensus.Member{ID: 1}},
				consensus.Change{Kind: consensus.ChangeDemote, Member: consensus.Member{ID: 1}})
		}
		for _, change := range changes {
			t.Run(fmt.Sprint("change ", change.Kind, " of ", voters), func(t *testing.T) {
				before := groupOf(voters, 2)
				next := before.WithChange(change)
				step := before.StepTo(next)
				if diff := cmp.Diff(next, step.Completed()); diff != "" {
					t.Errorf("completed: %s", diff)
				}
				all := voters + 2
				together := map[string][]consensus.Configuration{
					"while the step is not committed": {before, step, asBefore(t, step)},
					"once it is":                      {step, asBefore(t, step), next},
				}
				for when, configurations := range together {
					for _, a := range configurations {
						for _, b := range configurations {
							checkOverlap(t, when, quorums(a, all), quorums(b, all))
						}
					}
				}
				for set, is := range quorums(before, all) {
					if is && !step.IsJoint() && !quorums(next, all)[set] {
						t.Errorf("quorum %b of the present voters is none of the next, which are in effect at once", set)
					}
				}
			})
		}
	}
}

func checkOverlap(t *testing.T, when string, a, b []bool) {
	t.Helper()
	for i := range a {
		for j := range b {
			if a[i] && b[j] && i&j == 0 {
				t.Fatalf("%s: the quorums %b and %b have no member in common", when, i, j)
			}
		}
	}
}

// jointGroup returns a configuration in which the third member is replaced by a new one.
func jointGroup() consensus.Configuration {
	before := threeVoters().WithMember(consensus.Member{ID: newMember, Name: "new"})
	change := consensus.Change{Kind: consensus.ChangeReplace, Member: consensus.Member{ID: third}, Successor: consensus.Member{ID: newMember}}
	return before.StepTo(before.WithChange(change))
}

// TestJointConfigurationInStorageAndMessages checks that a joint configuration survives a restart, a snapshot and the wire, and that unknown
// transitions are refused.
func TestJointConfigurationInStorageAndMessages(t *testing.T) {
	joint := jointGroup()
	message, err := consensus.MessageFromWire(self, second, consensus.Message{Kind: consensus.KindSnapshot, From: self, Configuration: joint}.ToWire())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(joint, message.Configuration); diff != "" {
		t.Errorf("message: %s", diff)
	}
	logged := newCore(t, consensus.HardState{Term: 1}, append(logEntries(), consensus.ConfigurationEntry(2, 1, joint)))
	restored, err := consensus.New(consensus.DefaultConfig(self, 7), consensus.HardState{Term: 1}, consensus.Snapshot{Index: 5, Term: 1, Configuration: joint}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]*consensus.Core{"log": logged, "snapshot": restored} {
		if s := c.Status(); !cmp.Equal(joint, s.Configuration) || s.ConfigurationCommitted {
			t.Errorf("%s: %+v", name, s)
		}
	}
	wire := joint.ToWire()
	wire.Members[0].Transition = 99
	if _, err := consensus.ConfigurationFromWire(wire); err == nil {
		t.Error("an unknown transition was accepted")
	}
}

// TestJointConfigurationNeedsBothQuorums guards against decisions of one of two sets of voters: a member is elected, commits, and proves its leadership
// only with a quorum of each. Whoever leads then completes the change.
func TestJointConfigurationNeedsBothQuorums(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4, Commit: 1}, append(logEntries(), consensus.ConfigurationEntry(2, 1, jointGroup())))
	advanceTicks(c, 20)
	drainReady(c)
	term := c.Status().Term
	vote := func(from uint64, kind consensus.MessageKind, term uint64) {
		c.Step(consensus.Message{Kind: kind, From: from, To: self, Term: term})
		drainReady(c)
	}
	vote(third, consensus.KindPreVoteReply, term+1)
	if s := c.Status(); s.Role != consensus.RolePreCandidate {
		t.Fatalf("role %d after the pre-votes of two previous voters", s.Role)
	}
	vote(newMember, consensus.KindPreVoteReply, term+1)
	term = c.Status().Term
	vote(newMember, consensus.KindVoteReply, term)
	if s := c.Status(); s.Role != consensus.RoleCandidate {
		t.Fatalf("role %d after the votes of two next voters", s.Role)
	}
	vote(third, consensus.KindVoteReply, term)
	if s := c.Status(); s.Role != consensus.RoleLeader {
		t.Fatalf("role %d after the votes of both", s.Role)
	}
	index := c.Status().Last
	reply := func(from uint64) {
		c.Step(consensus.Message{Kind: consensus.KindAppendReply, From: from, To: self, Term: term, Index: index})
		c.Step(consensus.Message{Kind: consensus.KindHeartbeatReply, From: from, To: self, Term: term, SentTick: 1, EchoTick: 1 << 24, Round: 1})
		drainReady(c)
	}
	reply(third)
	if s := c.Status(); s.Committed >= index {
		t.Errorf("committed by two previous voters")
	}
	if err := c.ProposeChange(consensus.Change{Kind: consensus.ChangeRemove, Member: consensus.Member{ID: third}}); err == nil {
		t.Error("another change was accepted")
	}
	reply(newMember)
	s := c.Status()
	if s.Committed != index || s.Last != index+1 {
		t.Fatalf("committed %d of %d, which completes the change: %+v", s.Committed, s.Last, s)
	}
	if diff := cmp.Diff(jointGroup().Completed(), s.Configuration); diff != "" {
		t.Errorf("completed: %s", diff)
	}
}

// TestProofNeedsBothQuorums guards against a lease, or reads, of a leader whom only one of two sets of voters follows.
func TestProofNeedsBothQuorums(t *testing.T) {
	for name, test := range map[string]struct {
		answers []uint64
		proven  bool
	}{
		"previous voters": {[]uint64{third}, false},
		"next voters":     {[]uint64{newMember}, false},
		"both":            {[]uint64{third, newMember}, true},
		"a shared voter":  {[]uint64{second}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCore(t, consensus.HardState{Term: 4, Commit: 1}, append(logEntries(), consensus.ConfigurationEntry(2, 1, jointGroup())))
			advanceTicks(c, 20)
			drainReady(c)
			for _, kind := range []consensus.MessageKind{consensus.KindPreVoteReply, consensus.KindVoteReply} {
				term := c.Status().Term
				if kind == consensus.KindPreVoteReply {
					term++
				}
				c.Step(consensus.Message{Kind: kind, From: second, To: self, Term: term})
				drainReady(c)
			}
			c.Tick()
			c.Tick()
			heartbeats := messagesOfKind(drainReady(c), consensus.KindHeartbeat)
			if len(heartbeats) == 0 {
				t.Fatal("no heartbeats")
			}
			for _, from := range test.answers {
				for _, h := range heartbeats {
					if h.To == from {
						c.Step(consensus.Message{Kind: consensus.KindHeartbeatReply, From: from, To: self, Term: h.Term, SentTick: h.SentTick, Round: h.Round, EchoTick: 1 << 24})
					}
				}
			}
			if proven := c.Status().ProofAge != consensus.NoProof; proven != test.proven {
				t.Errorf("proven %t, want %t", proven, test.proven)
			}
		})
	}
}
