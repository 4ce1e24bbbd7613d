package consensus_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/consensus"
)

// self, second and third are the voters in most tests.
const self, second, third, newMember = 1, 2, 3, 9

func threeVoters() consensus.Configuration {
	c := consensus.Configuration{Group: 1, Target: 3}
	for _, id := range []uint64{self, second, third} {
		c = c.WithMember(consensus.Member{ID: id, Name: string(rune('a' + id)), Voter: true})
	}
	return c
}

// logEntries returns a log that starts with the configuration, followed by empty entries of the given terms.
func logEntries(terms ...uint64) []consensus.Entry {
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

// drainReady performs the outstanding work of the core, persisting everything immediately, and returns its messages.
func drainReady(c *consensus.Core) []consensus.Message {
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

func advanceTicks(c *consensus.Core, n int) {
	for range n {
		c.Tick()
	}
}

func messagesOfKind(messages []consensus.Message, kind consensus.MessageKind) []consensus.Message {
	var out []consensus.Message
	for _, m := range messages {
		if m.Kind == kind {
			out = append(out, m)
		}
	}
	return out
}

// electLeader makes the core the leader with the vote of the second member.
func electLeader(t *testing.T, c *consensus.Core) uint64 {
	t.Helper()
	for range 20 {
		c.Tick()
		preVotes := messagesOfKind(drainReady(c), consensus.KindPreVote)
		if len(preVotes) == 0 {
			continue
		}
		term := preVotes[0].Term
		c.Step(consensus.Message{Kind: consensus.KindPreVoteReply, From: second, To: self, Term: term})
		drainReady(c)
		c.Step(consensus.Message{Kind: consensus.KindVoteReply, From: second, To: self, Term: term})
		if c.Status().Role != consensus.RoleLeader {
			t.Fatalf("not elected: %+v", c.Status())
		}
		return term
	}
	t.Fatal("no election was started")
	return 0
}

func TestVotes(t *testing.T) {
	vote, preVote := consensus.KindVote, consensus.KindPreVote
	// The voter's log ends at index 3 in term 2; it is in term 4.
	tests := map[string]struct {
		hard         consensus.HardState
		leaderActive bool
		message      consensus.Message
		granted      bool
		noReply      bool
	}{
		"longer log":                         {message: consensus.Message{Kind: vote, Term: 5, Index: 4, LogTerm: 2}, granted: true},
		"equal log":                          {message: consensus.Message{Kind: vote, Term: 5, Index: 3, LogTerm: 2}, granted: true},
		"shorter log of a later term":        {message: consensus.Message{Kind: vote, Term: 5, Index: 2, LogTerm: 3}, granted: true},
		"shorter log":                        {message: consensus.Message{Kind: vote, Term: 5, Index: 2, LogTerm: 2}},
		"longer log of an older term":        {message: consensus.Message{Kind: vote, Term: 5, Index: 9, LogTerm: 1}},
		"already voted for another":          {hard: consensus.HardState{Vote: third}, message: consensus.Message{Kind: vote, Term: 4, Index: 3, LogTerm: 2}},
		"already voted for the candidate":    {hard: consensus.HardState{Vote: second}, message: consensus.Message{Kind: vote, Term: 4, Index: 3, LogTerm: 2}, granted: true},
		"older term":                         {message: consensus.Message{Kind: vote, Term: 3, Index: 3, LogTerm: 2}, noReply: true},
		"active leader":                      {leaderActive: true, message: consensus.Message{Kind: vote, Term: 5, Index: 3, LogTerm: 2}, noReply: true},
		"active leader transfers leadership": {leaderActive: true, message: consensus.Message{Kind: vote, Term: 5, Index: 3, LogTerm: 2, Transfer: true}, granted: true},
		"pre-vote, equal log":                {message: consensus.Message{Kind: preVote, Term: 5, Index: 3, LogTerm: 2}, granted: true},
		"pre-vote, shorter log":              {message: consensus.Message{Kind: preVote, Term: 5, Index: 2, LogTerm: 2}},
		"pre-vote with an active leader":     {leaderActive: true, message: consensus.Message{Kind: preVote, Term: 5, Index: 3, LogTerm: 2}},
		"pre-vote of the current term":       {message: consensus.Message{Kind: preVote, Term: 4, Index: 3, LogTerm: 2}},
		"pre-vote after voting for another":  {hard: consensus.HardState{Vote: third}, message: consensus.Message{Kind: preVote, Term: 5, Index: 3, LogTerm: 2}, granted: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.hard.Term = 4
			c := newCore(t, test.hard, logEntries(1, 2))
			advanceTicks(c, 10) // a lease that it may have supported before its start has expired
			drainReady(c)
			if test.leaderActive {
				c.Step(consensus.Message{Kind: consensus.KindHeartbeat, From: third, To: self, Term: 4})
				drainReady(c)
			}
			test.message.From, test.message.To = second, self
			c.Step(test.message)
			replies := messagesOfKind(drainReady(c), test.message.Kind+1) // the kind of a reply follows the kind of its request
			if test.noReply {
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

// TestIsolatedMemberKeepsTerm checks that a partitioned member does not increase its term by requesting pre-votes
// repeatedly.
func TestIsolatedMemberKeepsTerm(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4}, logEntries(1, 2))
	advanceTicks(c, 1000)
	drainReady(c)
	if got := c.Status().Term; got != 4 {
		t.Errorf("the isolated member moved to term %d", got)
	}
}

func TestRestartedMemberRefusesVotesForALease(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4}, logEntries(1, 2))
	advanceTicks(c, 9)
	c.Step(consensus.Message{Kind: consensus.KindVote, From: second, To: self, Term: 5, Index: 9, LogTerm: 4})
	if replies := messagesOfKind(drainReady(c), consensus.KindVoteReply); len(replies) != 0 {
		t.Errorf("voted %+v within a lease that it may have supported before its restart", replies)
	}
}

// TestVoteReplyWaitsForPersistence checks that a vote reply is held back until the vote is on disk.
func TestVoteReplyWaitsForPersistence(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4}, logEntries(1, 2))
	advanceTicks(c, 10)
	drainReady(c)
	c.Step(consensus.Message{Kind: consensus.KindVote, From: second, To: self, Term: 5, Index: 9, LogTerm: 4})
	r, _ := c.Ready()
	if diff := cmp.Diff(&consensus.HardState{Term: 5, Vote: second}, r.Hard); diff != "" || len(r.Messages) != 0 {
		t.Fatalf("%s, messages %+v", diff, r.Messages)
	}
	if _, more := c.Ready(); more {
		t.Fatal("work was returned before the write was persisted")
	}
	c.Persisted(r.Sequence)
	if replies := messagesOfKind(drainReady(c), consensus.KindVoteReply); len(replies) != 1 || replies[0].Reject {
		t.Errorf("replies %+v", replies)
	}
}

func TestMessagesHeldForARefusingDiskAreBounded(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4}, logEntries(1, 2))
	advanceTicks(c, 10)
	drainReady(c)
	limit := consensus.DefaultLimits().QueuedMessages
	append3 := consensus.Message{Kind: consensus.KindAppend, From: second, To: self, Term: 5, Index: 3, LogTerm: 2}
	c.Step(append3)
	r, _ := c.Ready()
	for range 10 * limit {
		c.Step(append3)
		c.Ready()
	}
	for range 10 * limit {
		c.Step(append3)
	}
	c.Persisted(r.Sequence)
	if got := len(drainReady(c)); got == 0 || got > 2*limit {
		t.Errorf("%d messages were held, want at most %d", got, 2*limit)
	}
	c.Step(append3)
	if replies := messagesOfKind(drainReady(c), consensus.KindAppendReply); len(replies) != 1 {
		t.Errorf("replies after the disk has recovered: %+v", replies)
	}
}

// TestVotesDoNotProveQuorum checks that only a heartbeat reply proves a quorum: a voter may grant another vote right
// away.
func TestVotesDoNotProveQuorum(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4}, logEntries(1, 2))
	term := electLeader(t, c)
	if got := c.ProofAge(); got != consensus.NoProof {
		t.Errorf("proof is %d ticks old after votes alone", got)
	}
	heartbeats := messagesOfKind(drainReady(c), consensus.KindHeartbeat)
	for _, heartbeat := range heartbeats {
		if got := heartbeat.ProofAge; got != consensus.NoProof {
			t.Errorf("heartbeat reports a proof %d ticks old after votes alone", got)
		}
	}
	advanceTicks(c, 3)
	c.Step(consensus.Message{Kind: consensus.KindHeartbeatReply, From: second, To: self, Term: term, Round: heartbeats[0].Round, SentTick: heartbeats[0].SentTick})
	if diff := cmp.Diff(uint64(3), c.ProofAge()); diff != "" {
		t.Error(diff)
	}
}

func TestIsolatedLeaderStepsDown(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4}, logEntries(1, 2))
	electLeader(t, c)
	advanceTicks(c, 8)
	if s := c.Status(); s.Role == consensus.RoleLeader {
		t.Errorf("still the leader after its lease expired: %+v", s)
	}
}

// TestOldTermsAreNotCommittedByCount covers figure 8 of the Raft paper: an entry of an older term that a quorum holds
// is committed only through an entry of the leader's own term.
func TestOldTermsAreNotCommittedByCount(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4}, logEntries(1, 2))
	term := electLeader(t, c)
	drainReady(c)
	c.Step(consensus.Message{Kind: consensus.KindAppendReply, From: second, To: self, Term: term, Index: 3})
	if got := c.Status().Committed; got != 0 {
		t.Errorf("committed up to entry %d by counting entries of older terms", got)
	}
	c.Step(consensus.Message{Kind: consensus.KindAppendReply, From: second, To: self, Term: term, Index: 4})
	if got := c.Status().Committed; got != 4 {
		t.Errorf("committed %d, want 4", got)
	}
}

func TestReadsNeedQuorumAndEntryOfCurrentTerm(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4, Commit: 1}, logEntries(1, 2))
	term := electLeader(t, c)
	drainReady(c)
	if err := c.Read(5); err != nil {
		t.Fatal(err)
	}
	readStates := func() []consensus.ReadState {
		var out []consensus.ReadState
		for {
			r, ok := c.Ready()
			if !ok {
				return out
			}
			out = append(out, r.Reads...)
			for _, m := range messagesOfKind(r.Messages, consensus.KindHeartbeat) {
				if m.To == second {
					c.Step(consensus.Message{Kind: consensus.KindHeartbeatReply, From: second, To: self, Term: term, Round: m.Round - 1, SentTick: m.SentTick})
				}
			}
		}
	}
	if got := readStates(); len(got) != 0 {
		t.Errorf("read %+v before an entry of the term was committed", got)
	}
	c.Step(consensus.Message{Kind: consensus.KindAppendReply, From: second, To: self, Term: term, Index: 4})
	if got := readStates(); len(got) != 0 {
		t.Errorf("read %+v confirmed by a round that started before it", got)
	}
	c.Step(consensus.Message{Kind: consensus.KindHeartbeatReply, From: second, To: self, Term: term, Round: 99})
	if diff := cmp.Diff([]consensus.ReadState{{Token: 5, Index: 4}}, readStates()); diff != "" {
		t.Error(diff)
	}
}

func TestOneChangeAtATime(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4}, logEntries(1, 2))
	term := electLeader(t, c)
	drainReady(c)
	add := func(id uint64) error {
		return c.ProposeChange(consensus.Change{Kind: consensus.ChangeAddLearner, Member: consensus.Member{ID: id, Name: "new"}})
	}
	commit := func() {
		c.Step(consensus.Message{Kind: consensus.KindAppendReply, From: second, To: self, Term: term, Index: c.Status().Last})
	}
	if err := add(newMember); !consensus.IsErrChangeRefused(err) {
		t.Errorf("before an entry of the term is committed: %v", err)
	}
	commit()
	if err := add(newMember); err != nil {
		t.Fatal(err)
	}
	if err := add(newMember + 1); !consensus.IsErrChangeRefused(err) {
		t.Errorf("before the previous change is committed: %v", err)
	}
	drainReady(c)
	commit()
	if err := c.ProposeChange(consensus.Change{Kind: consensus.ChangePromote, Member: consensus.Member{ID: newMember}}); !consensus.IsErrChangeRefused(err) {
		t.Errorf("a learner that lags behind was promoted: %v", err)
	}
	if err := add(newMember + 1); err != nil {
		t.Error(err)
	}
	if _, old := c.Status().Configuration.Member(newMember); old {
		t.Error("a learner of the same name was kept")
	}
}

// TestStaleWriteDoesNotPersistReplacedTail replaces the tail of the log while the old tail is still being written. The
// completion of the old write must not mark the new entries as stable.
func TestStaleWriteDoesNotPersistReplacedTail(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4}, logEntries())
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

func TestInvariantViolationsPanic(t *testing.T) {
	heartbeat := func(from, term, commit uint64) consensus.Message {
		return consensus.Message{Kind: consensus.KindHeartbeat, From: from, To: self, Term: term, Commit: commit}
	}
	tests := map[string][]consensus.Message{
		"two leaders in a term": {heartbeat(second, 5, 0), heartbeat(third, 5, 0)},
		"commit beyond the log": {heartbeat(second, 5, 99)},
		"committed entry overwritten": {heartbeat(second, 5, 3), {Kind: consensus.KindAppend, From: second, To: self, Term: 5, Index: 3,
			LogTerm: 2, Entries: []consensus.Entry{{Term: 5, Index: 3}}}},
		"two entries of one term": {{Kind: consensus.KindAppend, From: second, To: self, Term: 5, Index: 1, LogTerm: 1,
			Entries: []consensus.Entry{{Term: 1, Index: 2, Kind: consensus.EntryCommand, Data: []byte("other")}}}},
	}
	for name, messages := range tests {
		t.Run(name, func(t *testing.T) {
			defer func() {
				if _, ok := recover().(consensus.ErrInvariantBroken); !ok {
					t.Error("no violated invariant was reported")
				}
			}()
			c := newCore(t, consensus.HardState{Term: 4}, logEntries(1, 2))
			for _, m := range messages {
				c.Step(m)
				drainReady(c)
			}
		})
	}
}

// TestFlowControlBoundsInflightMessages checks the number of messages sent to a peer that stops responding while the
// leader accepts proposals.
func TestFlowControlBoundsInflightMessages(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4}, logEntries(1, 2))
	term := electLeader(t, c)
	drainReady(c)
	c.Step(consensus.Message{Kind: consensus.KindAppendReply, From: second, To: self, Term: term, Index: 4})
	sent := 0
	for range 500 {
		if _, _, err := c.Propose([]byte("x")); err != nil {
			t.Fatal(err)
		}
		for _, m := range messagesOfKind(drainReady(c), consensus.KindAppend) {
			if m.To == second && len(m.Entries) > 0 {
				sent++
			}
		}
	}
	if limit := consensus.DefaultLimits().InflightMessages; sent != limit {
		t.Errorf("%d messages in flight, want %d", sent, limit)
	}
}

// TestFollowerProofCountsFromItsOwnReply checks that a delayed heartbeat does not make the proof more recent.
func TestFollowerProofCountsFromItsOwnReply(t *testing.T) {
	c := newCore(t, consensus.HardState{Term: 4}, logEntries(1, 2))
	heartbeat := consensus.Message{Kind: consensus.KindHeartbeat, From: second, To: self, Term: 5, ProofAge: 2}
	c.Step(heartbeat)
	if got := c.ProofAge(); got != consensus.NoProof {
		t.Errorf("proof is %d ticks old before the leader answered a reply", got)
	}
	heartbeat.EchoTick = messagesOfKind(drainReady(c), consensus.KindHeartbeatReply)[0].EchoTick
	advanceTicks(c, 5)
	c.Step(heartbeat)
	if diff := cmp.Diff(uint64(7), c.ProofAge()); diff != "" {
		t.Error(diff)
	}
	advanceTicks(c, 3)
	heartbeat.ProofAge = consensus.NoProof
	c.Step(heartbeat)
	if diff := cmp.Diff(uint64(10), c.ProofAge()); diff != "" {
		t.Error(diff)
	}
}
