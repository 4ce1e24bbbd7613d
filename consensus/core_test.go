package consensus_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/consensus"
)

// self and two peers are the voters of most tests.
const self, second, third, stranger = 1, 2, 3, 9

func threeVoters() consensus.Configuration {
	c := consensus.Configuration{Group: 1, Target: 3}
	for _, id := range []uint64{self, second, third} {
		c = c.WithMember(consensus.Member{ID: id, Name: string(rune('a' + id)), Voter: true})
	}
	return c
}

// log returns a log that opens with the configuration and goes on with empty entries of some terms.
func log(terms ...uint64) []consensus.Entry {
	entries := []consensus.Entry{consensus.ConfigurationEntry(1, 1, threeVoters())}
	for _, term := range terms {
		entries = append(entries, consensus.Entry{Term: term, Index: uint64(len(entries)) + 1})
	}
	return entries
}

func newCore(t *testing.T, hard consensus.HardState, entries []consensus.Entry) *consensus.Core {
	t.Helper()
	c, err := consensus.New(consensus.DefaultConfig(self, 7), hard, consensus.Snapshot{}, entries)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// drain does what the core asks for and returns its messages, with everything on disk at once.
func drain(c *consensus.Core) []consensus.Message {
	var out []consensus.Message
	for {
		r, ok := c.Ready()
		if !ok {
			return out
		}
		out = append(out, r.Messages...)
		if r.Sequence != 0 {
			c.Persisted(r.Sequence)
		}
	}
}

func ticks(c *consensus.Core, n int) {
	for range n {
		c.Tick()
	}
}

// kinds returns the messages of a kind.
func kinds(messages []consensus.Message, kind consensus.Kind) []consensus.Message {
	var out []consensus.Message
	for _, m := range messages {
		if m.Kind == kind {
			out = append(out, m)
		}
	}
	return out
}

// elect makes the core leader by the votes of the second member.
func elect(t *testing.T, c *consensus.Core) uint64 {
	t.Helper()
	for range 20 {
		c.Tick()
		asked := kinds(drain(c), consensus.KindPreVote)
		if len(asked) == 0 {
			continue
		}
		term := asked[0].Term
		c.Step(consensus.Message{Kind: consensus.KindPreVoteReply, From: second, To: self, Term: term})
		drain(c)
		c.Step(consensus.Message{Kind: consensus.KindVoteReply, From: second, To: self, Term: term})
		if c.Status().Role != consensus.RoleLeader {
			t.Fatalf("not elected: %+v", c.Status())
		}
		return term
	}
	t.Fatal("no campaign")
	return 0
}

func TestVotes(t *testing.T) {
	vote, preVote := consensus.KindVote, consensus.KindPreVote
	// The voter's log ends at index 3 in term 2; it is in term 4.
	tests := map[string]struct {
		hard    consensus.HardState
		heard   bool
		message consensus.Message
		granted bool
		silent  bool
	}{
		"longer log":                         {message: consensus.Message{Kind: vote, Term: 5, Index: 4, LogTerm: 2}, granted: true},
		"equal log":                          {message: consensus.Message{Kind: vote, Term: 5, Index: 3, LogTerm: 2}, granted: true},
		"shorter log of a later term":        {message: consensus.Message{Kind: vote, Term: 5, Index: 2, LogTerm: 3}, granted: true},
		"shorter log":                        {message: consensus.Message{Kind: vote, Term: 5, Index: 2, LogTerm: 2}},
		"longer log of an older term":        {message: consensus.Message{Kind: vote, Term: 5, Index: 9, LogTerm: 1}},
		"vote is given to another":           {hard: consensus.HardState{Vote: third}, message: consensus.Message{Kind: vote, Term: 4, Index: 3, LogTerm: 2}},
		"vote is given to the same":          {hard: consensus.HardState{Vote: second}, message: consensus.Message{Kind: vote, Term: 4, Index: 3, LogTerm: 2}, granted: true},
		"older term":                         {message: consensus.Message{Kind: vote, Term: 3, Index: 3, LogTerm: 2}, silent: true},
		"a leader is heard":                  {heard: true, message: consensus.Message{Kind: vote, Term: 5, Index: 3, LogTerm: 2}, silent: true},
		"a leader is heard but hands over":   {heard: true, message: consensus.Message{Kind: vote, Term: 5, Index: 3, LogTerm: 2, Transfer: true}, granted: true},
		"pre-vote, equal log":                {message: consensus.Message{Kind: preVote, Term: 5, Index: 3, LogTerm: 2}, granted: true},
		"pre-vote, shorter log":              {message: consensus.Message{Kind: preVote, Term: 5, Index: 2, LogTerm: 2}},
		"pre-vote while a leader is heard":   {heard: true, message: consensus.Message{Kind: preVote, Term: 5, Index: 3, LogTerm: 2}},
		"pre-vote of a term that is over":    {message: consensus.Message{Kind: preVote, Term: 4, Index: 3, LogTerm: 2}},
		"pre-vote despite a vote given away": {hard: consensus.HardState{Vote: third}, message: consensus.Message{Kind: preVote, Term: 5, Index: 3, LogTerm: 2}, granted: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.hard.Term = 4
			c := newCore(t, test.hard, log(1, 2))
			ticks(c, 10) // the lease that it may have propped up before its start is over
			drain(c)
			if test.heard {
				c.Step(consensus.Message{Kind: consensus.KindHeartbeat, From: third, To: self, Term: 4})
				drain(c)
			}
			test.message.From, test.message.To = second, self
			c.Step(test.message)
			replies := kinds(drain(c), test.message.Kind+1) // a reply's kind follows its request's
			if test.silent {
				if len(replies) != 0 {
					t.Errorf("answered %+v", replies)
				}
				return
			}
			if len(replies) != 1 || replies[0].Reject == test.granted {
				t.Errorf("replies %+v, want granted %v", replies, test.granted)
			}
		})
	}
}

// TestPreVoteChangesNothing lets a partitioned member ask over and over: its term and vote stay.
func TestPreVoteChangesNothing(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4}, log(1, 2))
	ticks(c, 1000)
	drain(c)
	if got := c.Status().Term; got != 4 {
		t.Errorf("an isolated member went to term %d", got)
	}
}

func TestRestartedMemberWaitsOutALease(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4}, log(1, 2))
	ticks(c, 9)
	c.Step(consensus.Message{Kind: consensus.KindVote, From: second, To: self, Term: 5, Index: 9, LogTerm: 4})
	if replies := kinds(drain(c), consensus.KindVoteReply); len(replies) != 0 {
		t.Errorf("voted %+v within a lease that it may have propped up", replies)
	}
}

// TestVoteWaitsForTheDisk holds every answer back until what it promises is on disk.
func TestVoteWaitsForTheDisk(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4}, log(1, 2))
	ticks(c, 10)
	drain(c)
	c.Step(consensus.Message{Kind: consensus.KindVote, From: second, To: self, Term: 5, Index: 9, LogTerm: 4})
	r, _ := c.Ready()
	if diff := cmp.Diff(&consensus.HardState{Term: 5, Vote: second}, r.Hard); diff != "" || len(r.Messages) != 0 {
		t.Fatalf("%s, messages %+v", diff, r.Messages)
	}
	if _, more := c.Ready(); more {
		t.Fatal("something left before the disk was done")
	}
	c.Persisted(r.Sequence)
	if replies := kinds(drain(c), consensus.KindVoteReply); len(replies) != 1 || replies[0].Reject {
		t.Errorf("replies %+v", replies)
	}
}

// TestVotesAreNoProof: a voter may vote again at once, so only a heartbeat that came back proves a quorum.
func TestVotesAreNoProof(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4}, log(1, 2))
	term := elect(t, c)
	if got := c.ProofAge(); got != consensus.NoProof {
		t.Errorf("proof %d ticks old by votes alone", got)
	}
	beats := kinds(drain(c), consensus.KindHeartbeat)
	for _, beat := range beats {
		if got := beat.ProofAge; got != consensus.NoProof {
			t.Errorf("told a proof %d ticks old by votes alone", got)
		}
	}
	ticks(c, 3)
	c.Step(consensus.Message{Kind: consensus.KindHeartbeatReply, From: second, To: self, Term: term, Round: beats[0].Round, SentTick: beats[0].SentTick})
	if diff := cmp.Diff(uint64(3), c.ProofAge()); diff != "" {
		t.Error(diff)
	}
}

func TestIsolatedLeaderStepsDown(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4}, log(1, 2))
	elect(t, c)
	ticks(c, 8)
	if s := c.Status(); s.Role == consensus.RoleLeader {
		t.Errorf("still leads after its lease: %+v", s)
	}
}

// TestOldTermsAreNotCommittedByCount is figure 8 of the Raft paper: an entry of an older term that a quorum holds is
// committed only under one of the leader's own term.
func TestOldTermsAreNotCommittedByCount(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4}, log(1, 2))
	term := elect(t, c)
	drain(c)
	c.Step(consensus.Message{Kind: consensus.KindAppendReply, From: second, To: self, Term: term, Index: 3})
	if got := c.Status().Committed; got != 0 {
		t.Errorf("committed %d entries of older terms by count", got)
	}
	c.Step(consensus.Message{Kind: consensus.KindAppendReply, From: second, To: self, Term: term, Index: 4})
	if got := c.Status().Committed; got != 4 {
		t.Errorf("committed %d, want 4", got)
	}
}

func TestReadsNeedAQuorumAndATermOfTheirOwn(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4, Commit: 1}, log(1, 2))
	term := elect(t, c)
	drain(c)
	if err := c.Read(5); err != nil {
		t.Fatal(err)
	}
	answers := func() []consensus.ReadState {
		var out []consensus.ReadState
		for {
			r, ok := c.Ready()
			if !ok {
				return out
			}
			out = append(out, r.Reads...)
			for _, m := range kinds(r.Messages, consensus.KindHeartbeat) {
				if m.To == second {
					c.Step(consensus.Message{Kind: consensus.KindHeartbeatReply, From: second, To: self, Term: term, Round: m.Round - 1, SentTick: m.SentTick})
				}
			}
		}
	}
	if got := answers(); len(got) != 0 {
		t.Errorf("read %+v before anything of the term was committed", got)
	}
	c.Step(consensus.Message{Kind: consensus.KindAppendReply, From: second, To: self, Term: term, Index: 4})
	if got := answers(); len(got) != 0 {
		t.Errorf("read %+v by a round that began before it", got)
	}
	c.Step(consensus.Message{Kind: consensus.KindHeartbeatReply, From: second, To: self, Term: term, Round: 99})
	if diff := cmp.Diff([]consensus.ReadState{{Token: 5, Index: 4}}, answers()); diff != "" {
		t.Error(diff)
	}
}

func TestOneChangeAtATime(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4}, log(1, 2))
	term := elect(t, c)
	drain(c)
	add := func(id uint64) error {
		return c.ProposeChange(consensus.Change{Kind: consensus.ChangeAddLearner, Member: consensus.Member{ID: id, Name: "new"}})
	}
	commit := func() {
		c.Step(consensus.Message{Kind: consensus.KindAppendReply, From: second, To: self, Term: term, Index: c.Status().Last})
	}
	if err := add(stranger); !consensus.IsErrChangeRefused(err) {
		t.Errorf("before an entry of the term is committed: %v", err)
	}
	commit()
	if err := add(stranger); err != nil {
		t.Fatal(err)
	}
	if err := add(stranger + 1); !consensus.IsErrChangeRefused(err) {
		t.Errorf("before the last change is committed: %v", err)
	}
	drain(c)
	commit()
	if err := c.ProposeChange(consensus.Change{Kind: consensus.ChangePromote, Member: consensus.Member{ID: stranger}}); !consensus.IsErrChangeRefused(err) {
		t.Errorf("a learner that lags may vote: %v", err)
	}
	if err := add(stranger + 1); err != nil {
		t.Error(err)
	}
	if _, old := c.Status().Configuration.Member(stranger); old {
		t.Error("a learner of the same name was kept")
	}
}

// TestLateDiskDoesNotVouchForANewTail replaces a tail while the disk still writes the old one.
func TestLateDiskDoesNotVouchForANewTail(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4}, log())
	appendFrom := func(from, term, logTerm uint64) {
		c.Step(consensus.Message{Kind: consensus.KindAppend, From: from, To: self, Term: term, Index: 1, LogTerm: 1,
			Entries: []consensus.Entry{{Term: logTerm, Index: 2}}})
	}
	appendFrom(second, 4, 4)
	first, _ := c.Ready()
	appendFrom(third, 5, 5)
	later, _ := c.Ready()
	c.Persisted(first.Sequence)
	if got := c.Status().Stable; got != 1 {
		t.Errorf("stable %d while the new tail is not on disk, want 1", got)
	}
	c.Persisted(later.Sequence)
	if got := c.Status().Stable; got != 2 {
		t.Errorf("stable %d, want 2", got)
	}
}

func TestBrokenInvariantsStopTheMember(t *testing.T) {
	beat := func(from, term, commit uint64) consensus.Message {
		return consensus.Message{Kind: consensus.KindHeartbeat, From: from, To: self, Term: term, Commit: commit}
	}
	tests := map[string][]consensus.Message{
		"two leaders in a term": {beat(second, 5, 0), beat(third, 5, 0)},
		"commit beyond the log": {beat(second, 5, 99)},
		"committed entry overwritten": {beat(second, 5, 3), {Kind: consensus.KindAppend, From: second, To: self, Term: 5, Index: 3,
			LogTerm: 2, Entries: []consensus.Entry{{Term: 5, Index: 3}}}},
		"two entries of one term": {{Kind: consensus.KindAppend, From: second, To: self, Term: 5, Index: 1, LogTerm: 1,
			Entries: []consensus.Entry{{Term: 1, Index: 2, Kind: consensus.EntryCommand, Data: []byte("other")}}}},
	}
	for name, messages := range tests {
		t.Run(name, func(t *testing.T) {
			defer func() {
				if _, ok := recover().(consensus.ErrInvariantBroken); !ok {
					t.Error("nothing was noticed")
				}
			}()
			c := newCore(t, consensus.HardState{Term: 4}, log(1, 2))
			for _, m := range messages {
				c.Step(m)
				drain(c)
			}
		})
	}
}

// TestFlowControlBoundsWhatIsInFlight lets a peer fall silent while the leader goes on.
func TestFlowControlBoundsWhatIsInFlight(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4}, log(1, 2))
	term := elect(t, c)
	drain(c)
	c.Step(consensus.Message{Kind: consensus.KindAppendReply, From: second, To: self, Term: term, Index: 4})
	sent := 0
	for range 500 {
		if _, _, err := c.Propose([]byte("x")); err != nil {
			t.Fatal(err)
		}
		for _, m := range kinds(drain(c), consensus.KindAppend) {
			if m.To == second && len(m.Entries) > 0 {
				sent++
			}
		}
	}
	if limit := consensus.DefaultLimits().InflightMessages; sent != limit {
		t.Errorf("%d messages in flight, want %d", sent, limit)
	}
}

// TestFollowerProofCountsFromItsOwnReply lets heartbeats arrive late: a late one makes no proof fresher.
func TestFollowerProofCountsFromItsOwnReply(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4}, log(1, 2))
	beat := consensus.Message{Kind: consensus.KindHeartbeat, From: second, To: self, Term: 5, ProofAge: 2}
	c.Step(beat)
	if got := c.ProofAge(); got != consensus.NoProof {
		t.Errorf("proof %d ticks old from a leader that has not answered yet", got)
	}
	beat.EchoTick = kinds(drain(c), consensus.KindHeartbeatReply)[0].EchoTick
	ticks(c, 5)
	c.Step(beat)
	if diff := cmp.Diff(uint64(7), c.ProofAge()); diff != "" {
		t.Error(diff)
	}
	ticks(c, 3)
	beat.ProofAge = consensus.NoProof
	c.Step(beat)
	if diff := cmp.Diff(uint64(10), c.ProofAge()); diff != "" {
		t.Error(diff)
	}
}
