package consensus

import (
	"math/rand/v2"
	"slices"
)

// Limits bounds the memory and the message sizes used by the core.
type Limits struct {
	// AppendBytes limits the entry data of one append message.
	AppendBytes int
	// InflightMessages and InflightBytes limit what may be sent to a peer without acknowledgement.
	InflightMessages int
	InflightBytes    int
	// ChunkBytes is the size of a snapshot chunk.
	ChunkBytes int
	// UncommittedEntries limits the uncommitted entries that a leader accepts.
	UncommittedEntries int
	// PendingReads limits the reads that wait for a quorum.
	PendingReads int
	// QueuedMessages limits the messages that wait to be sent, and those that wait for one write; others are dropped, as by a
	// network.
	QueuedMessages int
	// ApplyBytes limits the committed entry data of one Ready.
	ApplyBytes int
	// TrailingEntries and TrailingBytes limit the entries kept in the log before a snapshot, for peers that lag behind.
	TrailingEntries uint64
	TrailingBytes   int
}

// DefaultLimits returns limits suitable for a control member with 256 MB of memory.
func DefaultLimits() Limits {
	return Limits{
		AppendBytes: 256 << 10, InflightMessages: 64, InflightBytes: 4 << 20, ChunkBytes: 256 << 10,
		UncommittedEntries: 4096, PendingReads: 1024, QueuedMessages: 4096, ApplyBytes: 1 << 20, TrailingEntries: 1000, TrailingBytes: 16 << 20,
	}
}

// Config holds the settings of one member.
type Config struct {
	ID uint64
	// ElectionTicks is the minimum time without a leader before an election. A leader steps down after LeaseTicks
	// without a quorum; LeaseTicks must be less than ElectionTicks.
	ElectionTicks  uint64
	LeaseTicks     uint64
	HeartbeatTicks uint64
	Limits         Limits
	// Seed makes the election timeouts reproducible; it must differ between starts of a member.
	Seed uint64
}

// DefaultConfig returns the default ticks and limits.
func DefaultConfig(id, seed uint64) Config {
	return Config{ID: id, ElectionTicks: 10, LeaseTicks: 8, HeartbeatTicks: 2, Limits: DefaultLimits(), Seed: seed}
}

// Core is one member of a group. It is not safe for concurrent use and panics with ErrInvariantBroken if an invariant is
// violated.
type Core struct {
	id     uint64
	config Config
	random *rand.Rand

	role               Role
	term, vote, leader uint64
	log                *entryLog
	snapshot           Snapshot

	tick uint64
	// leaderContactTick is when a leader was last heard from; no vote is granted for ElectionTicks after it.
	leaderContactTick uint64
	// electionTimerTick and electionTimeout determine when to start an election.
	electionTimerTick, electionTimeout uint64
	campaignTick                       uint64
	votes                              map[uint64]bool
	// knownLeader is the leader of the term knownLeaderTerm; it is kept for as long as the term lasts.
	knownLeaderTerm, knownLeader uint64
	// leaderProofTick is the tick at which the leader is known to have had a quorum, or 0 without a proof.
	leaderProofTick uint64

	peers        map[uint64]*progress
	round        uint64
	transferee   uint64
	transferTick uint64
	reads        readQueue
	// electedTick is when this leader was elected.
	electedTick uint64
	departure   Departure
	// absences are what the last known leader told about others, as of absencesTick.
	absences     []Absence
	absencesTick uint64

	incoming incomingSnapshot
	outbox   outbox
}

// The tick counter starts at a random multiple of 1<<startTickShift, so that the ticks of different starts of a member
// are unlikely to overlap.
const startTickBits, startTickShift = 24, 24

// New creates a member from its persisted state; it fails with ErrMalformed.
func New(config Config, hard HardState, snapshot Snapshot, entries []Entry) (*Core, error) {
	log, err := newEntryLog(snapshot, entries)
	if err != nil {
		return nil, err
	}
	log.committed = max(log.committed, min(hard.Commit, log.lastIndex()))
	c := &Core{
		id: config.ID, config: config, random: rand.New(rand.NewPCG(config.Seed, config.ID)),
		term: hard.Term, vote: hard.Vote, log: log, snapshot: snapshot,
	}
	if log.lastTerm() > c.term {
		return nil, ErrMalformed{What: "hard state: its term is behind the log"}
	}
	c.tick = (c.random.Uint64N(1<<startTickBits) + 1) << startTickShift
	c.outbox.persistedHard = HardState{Term: c.term, Vote: c.vote}
	c.outbox.issuedHard = c.outbox.persistedHard
	if snapshot.Index > 0 {
		c.outbox.restore = &snapshot
	}
	c.leaderContactTick = c.tick
	if c.term == 0 {
		c.leaderContactTick -= config.ElectionTicks // a new member cannot have supported a lease before this start
	}
	c.becomeFollower(c.term, 0)
	if voters := c.configuration().Voters(); len(voters) == 1 && voters[0] == c.id {
		c.electionTimeout = 1 // the only voter has no other leader to wait for
	}
	return c, nil
}

// Tick advances the member's clock by one tick.
func (c *Core) Tick() {
	c.tick++
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.leader != 0 && c.tick-c.leaderContactTick >= c.electionTimeout {
		c.leader = 0
		c.failReads()
	}
	if c.tick%c.config.HeartbeatTicks == 0 {
		c.announceDeparture()
	}
	if c.tick-c.electionTimerTick < c.electionTimeout {
		return
	}
	c.resetTimer()
	if c.mayLead() {
		c.campaign(RolePreCandidate, false)
	}
}

// mayLead reports whether this member is a voter. A change that demotes it may be on no other live member, which then don't vote for
// each other, as their logs are shorter; it may lead until the change is committed.
func (c *Core) mayLead() bool {
	return c.configuration().IsVoter(c.id) || c.log.configurationAt(c.log.committed).IsVoter(c.id)
}

// Step processes a message from another member.
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
	case m.Kind == KindVote && !m.Transfer && m.Term >= c.term && c.hasActiveLeader():
		return
	case m.Term > c.term:
		c.becomeFollower(m.Term, 0)
	case m.Term < c.term:
		if m.Kind.fromLeader() {
			c.send(Message{Kind: KindAppendReply, To: m.From, Reject: true, Index: m.Index})
		}
		return
	}
	c.handleMessage(m)
}

func (c *Core) handleMessage(m Message) {
	if m.Kind.fromLeader() {
		c.acceptLeader(m)
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
		c.onTimeoutNow(m)
	case KindLeaveReply:
		c.onLeaveReply(m)
	default:
		c.handleAsLeader(m)
	}
}

func (c *Core) handleAsLeader(m Message) {
	p := c.peers[m.From]
	if c.role != RoleLeader || p == nil {
		return
	}
	p.lastReceivedTick, p.inherited.SilentTicks = c.tick, 0
	p.observeDeparture(m)
	switch m.Kind {
	case KindLeave:
		c.answerDeparture(m.From, c.departureOf(m.From))
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

// acceptLeader records the sender as the leader of the current term.
func (c *Core) acceptLeader(m Message) {
	if c.role == RoleLeader || c.knownLeaderTerm == c.term && c.knownLeader != m.From {
		c.failInvariant("one leader a term", m.Index, "a second leader is "+formatID(m.From))
	}
	c.knownLeaderTerm, c.knownLeader = c.term, m.From
	if c.role != RoleFollower || c.leader != m.From {
		c.becomeFollower(c.term, m.From)
		c.announceDeparture()
	}
	c.leaderContactTick, c.electionTimerTick = c.tick, c.tick
}

func (c *Core) becomeFollower(term, leader uint64) {
	if term < c.term {
		c.failInvariant("terms never go back", 0, "to "+formatNumber(term))
	}
	if term > c.term {
		c.term, c.vote = term, 0
		c.incoming = incomingSnapshot{}
	}
	if c.role == RoleLeader {
		c.absences, c.absencesTick = c.currentAbsences(), c.tick
	}
	if c.leader != leader || c.role == RoleLeader {
		c.failReads()
		c.leaderProofTick = 0
	}
	c.role, c.leader, c.votes, c.peers, c.transferee = RoleFollower, leader, nil, nil, 0
	c.resetTimer()
}

func (c *Core) resetTimer() {
	c.electionTimerTick = c.tick
	c.electionTimeout = c.config.ElectionTicks + c.random.Uint64N(c.config.ElectionTicks)
}

// hasActiveLeader reports whether a leader may still rely on this member not voting for another candidate.
func (c *Core) hasActiveLeader() bool {
	return c.role == RoleLeader || c.tick-c.leaderContactTick < c.config.ElectionTicks
}

func (c *Core) configuration() Configuration { return c.log.configuration().configuration }

// Propose appends a command; it fails without side effects with ErrNotLeader, ErrTransferring or ErrBusy.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != RoleLeader {
		return 0, 0, ErrNotLeader{Leader: c.leader}
	}
	if c.transferee != 0 {
		return 0, 0, ErrTransferring{To: c.transferee}
	}
	if c.log.lastIndex()-c.log.committed >= uint64(c.config.Limits.UncommittedEntries) {
		return 0, 0, ErrBusy{Queue: "uncommitted entries", Limit: c.config.Limits.UncommittedEntries}
	}
	c.appendAsLeader(Entry{Kind: EntryCommand, Data: data})
	return c.log.lastIndex(), c.term, nil
}

// Compact records a snapshot of the applied state and discards the entries before it, except for the trailing ones.
func (c *Core) Compact(s Snapshot) {
	if s.Index <= c.snapshot.Index || s.Index > c.log.applying {
		return
	}
	c.snapshot = s
	c.log.compact(min(c.log.trailingStart(s.Index, c.config.Limits), c.log.stable))
}

// SnapshotAt returns a snapshot of the given state at an applied index, or false if the log no longer holds the index.
func (c *Core) SnapshotAt(index uint64, state []byte) (Snapshot, bool) {
	term, ok := c.log.term(index)
	return Snapshot{Index: index, Term: term, Configuration: c.log.configurationAt(index), State: state}, ok
}

func (c *Core) failInvariant(invariant string, index uint64, detail string) {
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

// Bootstrap puts the first configuration into an empty log; it fails with ErrChangeRefused if there is a log already.
func (c *Core) Bootstrap(configuration Configuration) error {
	if c.term != 0 || c.log.lastIndex() != 0 {
		return ErrChangeRefused{Member: c.id, Reason: "the member already has a log"}
	}
	c.becomeFollower(1, 0)
	c.log.append(ConfigurationEntry(1, 1, configuration))
	c.electionTimeout = 1
	return nil
}
