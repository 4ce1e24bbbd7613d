package consensus

import "math"

// NoProof is the age of a proof of quorum that does not exist.
const NoProof = math.MaxUint64

// Role is what a member is in its term.
type Role uint8

// The roles of a member.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// EntryKind tells what an entry holds.
type EntryKind uint8

// The kinds of entries; a leader opens its term with an empty one.
const (
	EntryEmpty EntryKind = iota
	EntryCommand
	EntryConfiguration
)

// Entry is one entry of the log.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
}

// HardState must be on disk before a vote or an acknowledgement leaves; Commit may lag.
type HardState struct {
	Term   uint64
	Vote   uint64
	Commit uint64
}

// Snapshot is the whole state as of an index.
type Snapshot struct {
	Index         uint64
	Term          uint64
	Configuration Configuration
	State         []byte
}

// Kind tells what a message asks or answers.
type Kind uint8

// The kinds of messages.
const (
	KindAppend Kind = iota + 1
	KindAppendReply
	KindHeartbeat
	KindHeartbeatReply
	KindPreVote
	KindPreVoteReply
	KindVote
	KindVoteReply
	KindSnapshot
	KindSnapshotReply
	KindRead
	KindReadReply
	KindTimeoutNow
	kindEnd
)

// Message is one message between two members.
type Message struct {
	Kind Kind
	From uint64
	To   uint64
	Term uint64

	// Index and LogTerm name the entry before Entries, the last one of a candidate, or a snapshot's.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Entries []Entry
	Reject  bool
	// Hint is the index from which a rejecting follower may match.
	Hint uint64
	// Transfer lets a candidate in before the last leader's lease ran out.
	Transfer bool

	// Round and SentTick come back in a heartbeat's reply, EchoTick in the next heartbeat.
	Round    uint64
	SentTick uint64
	EchoTick uint64
	// ProofAge is the age in ticks of the leader's proof of quorum, NoProof without any.
	ProofAge uint64
	Token    uint64

	Offset        uint64
	Chunk         []byte
	LastChunk     bool
	Configuration Configuration
}

// fromLeader tells whether only a leader sends this kind.
func (k Kind) fromLeader() bool {
	return k == KindAppend || k == KindHeartbeat || k == KindSnapshot
}

// ReadState answers one Read: once Index is applied the read may be served; a failed one must be asked again.
type ReadState struct {
	Token  uint64
	Index  uint64
	Failed bool
}
