package consensus

import (
	"math/rand/v2"
	"slices"
)

// Limits bound what the core holds and sends.
type Limits struct {
	// AppendBytes bounds the entries of one message.
	AppendBytes int
	// InflightMessages and InflightBytes bound what a peer has not yet acknowledged.
	InflightMessages int
	InflightBytes    int
	// ChunkBytes is the size of one part of a snapshot.
	ChunkBytes int
	// Uncommitted bounds the entries that a leader takes in before they commit.
	Uncommitted int
	// Reads bounds the reads that wait for a quorum.
	Reads int
	// ApplyBytes bounds the committed entries of one Ready.
	ApplyBytes int
	// TrailingEntries stay in the log behind a snapshot for peers that lag.
	TrailingEntries uint64
}

// DefaultLimits fit a control member of 256 MB.
func DefaultLimits() Limits {
	return Limits{
		AppendBytes: 256 << 10, InflightMessages: 64, InflightBytes: 4 << 20, ChunkBytes: 256 << 10,
		Uncommitted: 4096, Reads: 1024, ApplyBytes: 1 << 20, TrailingEntries: 1000,
	}
}

// Config of one member.
type Config struct {
	ID uint64
	// ElectionTicks is the least time without a leader before an election; a leader gives up after LeaseTicks
	// without a quorum, which must be less.
	ElectionTicks  uint64
	LeaseTicks     uint64
	HeartbeatTicks uint64
	Limits         Limits
	// Seed makes the election timeouts repeatable; it must differ between starts of a member.
	Seed uint64
}

// DefaultConfig returns the ticks and limits in use.
func DefaultConfig(id, seed uint64) Config {
	return Config{ID: id, ElectionTicks: 10, LeaseTicks: 8, HeartbeatTicks: 2, Limits: DefaultLimits(), Seed: seed}
}

// Core is one member; it is not safe for concurrent use and panics with ErrInvariantBroken.
type Core struct {
	id     uint64
	config Config
	random *rand.Rand

	role               Role
	term, vote, leader uint64
	log                *entryLog
	snapshot           Snapshot

	tick uint64
	// contactTick is when a leader was last heard; no vote is given for ElectionTicks after it.
	contactTick uint64
	// timerTick and timeout say when to campaign.
	timerTick, timeout uint64
	campaignTick       uint64
	votes              map[uint64]bool
	// leaderTerm remembers the leader of a term for as long as the term lasts.
	leaderTerm, leaderOfTerm uint64
	// leaderProof is the tick at which the leader is known to have had a quorum, 0 without proof.
	leaderProof uint64

	peers        map[uint64]*progress
	round        uint64
	transferee   uint64
	transferTick uint64
	reads        reads

	incoming incoming
	out      outbox
}

// Tick counters of two starts of one member are kept apart by random high bits.
const startTickBits, startTickShift = 24, 24

// New makes a member from what its disk holds; it fails with ErrMalformed.
func New(config Config, hard HardState, snapshot Snapshot, entries []Entry) (*Core, error) {
	log, err := newEntryLog(snapshot, entries)
	if err != nil {
		return nil, err
	}
	log.committed = max(log.committed, min(hard.Commit, log.last()))
	c := &Core{
		id: config.ID, config: config, random: rand.New(rand.NewPCG(config.Seed, config.ID)),
		term: hard.Term, vote: hard.Vote, log: log, snapshot: snapshot,
	}
	if log.lastTerm() > c.term {
		return nil, ErrMalformed{What: "hard state: its term is behind the log"}
	}
	c.tick = (c.random.Uint64N(1<<startTickBits) + 1) << startTickShift
	c.out.persisted = HardState{Term: c.term, Vote: c.vote}
	c.out.hard = c.out.persisted
	if snapshot.Index > 0 {
		c.out.restore = &snapshot
	}
	c.contactTick = c.tick
	if c.term == 0 {
		c.contactTick -= config.ElectionTicks // it has propped up no lease before it restarted
	}
	c.becomeFollower(c.term, 0)
	if voters := c.configuration().Voters(); len(voters) == 1 && voters[0] == c.id {
		c.timeout = 1 // nobody else can lead
	}
	return c, nil
}

// Tick moves the member's time on by one tick.
func (c *Core) Tick() {
	c.tick++
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.leader != 0 && c.tick-c.contactTick >= c.timeout {
		c.leader = 0
		c.failReads()
	}
	if c.tick-c.timerTick < c.timeout {
		return
	}
	c.resetTimer()
	if c.configuration().IsVoter(c.id) {
		c.campaign(RolePreCandidate, false)
	}
}

// Step takes in a message from another member.
func (c *Core) Step(m Message) {
	if m.To != c.id || m.From == c.id {
		return
	}
	switch {
	case m.Kind == KindPreVote:
		c.onPreVote(m)
		return
	case m.Kind == KindPreVoteReply && !m.Reject:
		c.onVoteReply(m, RolePreCandidate, m.Term == c.term+1)
		return
	case m.Kind == KindVote && !m.Transfer && m.Term >= c.term && c.hearsLeader():
		return
	case m.Term > c.term:
		c.becomeFollower(m.Term, 0)
	case m.Term < c.term:
		if m.Kind.fromLeader() {
			c.send(Message{Kind: KindAppendReply, To: m.From, Reject: true, Index: m.Index})
		}
		return
	}
	c.dispatch(m)
}

func (c *Core) dispatch(m Message) {
	if m.Kind.fromLeader() {
		c.follow(m)
	}
	switch m.Kind {
	case KindAppend:
		c.onAppend(m)
	case KindHeartbeat:
		c.onHeartbeat(m)
	case KindSnapshot:
		c.onSnapshot(m)
	case KindVote:
		c.onVote(m)
	case KindVoteReply:
		c.onVoteReply(m, RoleCandidate, !m.Reject)
	case KindReadReply:
		c.onReadReply(m)
	case KindTimeoutNow:
		c.onTimeoutNow()
	default:
		c.stepLeader(m)
	}
}

func (c *Core) stepLeader(m Message) {
	p := c.peers[m.From]
	if c.role != RoleLeader || p == nil {
		return
	}
	p.heardTick = c.tick
	switch m.Kind {
	case KindAppendReply:
		c.onAppendReply(m, p)
	case KindHeartbeatReply:
		c.onHeartbeatReply(m, p)
	case KindSnapshotReply:
		c.onSnapshotReply(m, p)
	case KindRead:
		c.onRead(readRequest{from: m.From, token: m.Token})
	}
}

// follow takes the sender as the leader of the term.
func (c *Core) follow(m Message) {
	if c.role == RoleLeader || c.leaderTerm == c.term && c.leaderOfTerm != m.From {
		c.broken("one leader a term", m.Index, "a second leader is "+id(m.From))
	}
	c.leaderTerm, c.leaderOfTerm = c.term, m.From
	if c.role != RoleFollower || c.leader != m.From {
		c.becomeFollower(c.term, m.From)
	}
	c.contactTick, c.timerTick = c.tick, c.tick
}

func (c *Core) becomeFollower(term, leader uint64) {
	if term < c.term {
		c.broken("terms never go back", 0, "to "+number(term))
	}
	if term > c.term {
		c.term, c.vote = term, 0
		c.incoming = incoming{}
	}
	if c.leader != leader || c.role == RoleLeader {
		c.failReads()
		c.leaderProof = 0
	}
	c.role, c.leader, c.votes, c.peers, c.transferee = RoleFollower, leader, nil, nil, 0
	c.resetTimer()
}

func (c *Core) resetTimer() {
	c.timerTick = c.tick
	c.timeout = c.config.ElectionTicks + c.random.Uint64N(c.config.ElectionTicks)
}

// hearsLeader tells whether a leader may still count on this member's silence towards others.
func (c *Core) hearsLeader() bool {
	return c.role == RoleLeader || c.tick-c.contactTick < c.config.ElectionTicks
}

func (c *Core) configuration() Configuration { return c.log.configuration().configuration }

// Propose appends a command; it fails with ErrNotLeader, ErrTransferring or ErrBusy, nothing taken in.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != RoleLeader {
		return 0, 0, ErrNotLeader{Leader: c.leader}
	}
	if c.transferee != 0 {
		return 0, 0, ErrTransferring{To: c.transferee}
	}
	if c.log.last()-c.log.committed >= uint64(c.config.Limits.Uncommitted) {
		return 0, 0, ErrBusy{Queue: "uncommitted entries", Limit: c.config.Limits.Uncommitted}
	}
	c.appendOwn(Entry{Kind: EntryCommand, Data: data})
	return c.log.last(), c.term, nil
}

// Compact takes a snapshot of the applied state in and drops the entries well behind it.
func (c *Core) Compact(s Snapshot) {
	if s.Index <= c.snapshot.Index || s.Index > c.log.given {
		return
	}
	c.snapshot = s
	if s.Index > c.config.Limits.TrailingEntries {
		c.log.compact(min(s.Index-c.config.Limits.TrailingEntries, c.log.stable))
	}
}

// SnapshotAt returns the snapshot that a state makes at an applied index that the log still holds.
func (c *Core) SnapshotAt(index uint64, state []byte) (Snapshot, bool) {
	term, ok := c.log.term(index)
	return Snapshot{Index: index, Term: term, Configuration: c.log.configurationAt(index), State: state}, ok
}

func (c *Core) broken(invariant string, index uint64, detail string) {
	panic(ErrInvariantBroken{Invariant: invariant, Member: c.id, Term: c.term, Index: index, Detail: detail})
}

func (c *Core) peerIDs() []uint64 {
	var ids []uint64
	for _, m := range c.configuration().Members {
		if m.ID != c.id {
			ids = append(ids, m.ID)
		}
	}
	return slices.Clip(ids)
}

// Bootstrap puts the first configuration into an empty log; it fails with ErrChangeRefused when there is a log already.
func (c *Core) Bootstrap(configuration Configuration) error {
	if c.term != 0 || c.log.last() != 0 {
		return ErrChangeRefused{Member: c.id, Reason: "there is a log already"}
	}
	c.becomeFollower(1, 0)
	c.log.append(ConfigurationEntry(1, 1, configuration))
	c.timeout = 1
	return nil
}
