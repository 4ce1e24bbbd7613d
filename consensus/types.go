package consensus

import "math"

// NoProof is the proof age of a member that has no proof that its leader had a quorum.
const NoProof = math.MaxUint64

// Role is the role of a member in the current term.
type Role uint8

// Member roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// EntryKind identifies the content of an entry.
type EntryKind uint8

// Entry kinds. A leader appends an empty entry at the start of its term.
const (
	EntryEmpty EntryKind = iota
	EntryCommand
	EntryConfiguration
)

// Entry is a log entry.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
}

// HardState must be on disk before a vote or an acknowledgement is sent; Commit may lag behind.
type HardState struct {
	Term   uint64
	Vote   uint64
	Commit uint64
}

// Snapshot is the complete state at an index.
type Snapshot struct {
	Index         uint64
	Term          uint64
	Configuration Configuration
	State         []byte
}

// MessageKind identifies the type of a message.
type MessageKind uint8

// Message kinds.
const (
	KindAppend MessageKind = iota + 1
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
	// KindLeave announces that a member is about to stop, KindLeaveReply tells it that it may.
	KindLeave
	KindLeaveReply
	kindEnd
)

// Message is a message between two members.
type Message struct {
	Kind MessageKind
	From uint64
	To   uint64
	Term uint64

	// Index and LogTerm identify the entry before Entries, a candidate's last entry, or the last entry of a snapshot.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Entries []Entry
	Reject  bool
	// Hint is the highest index at which the log of a rejecting follower may match.
	Hint uint64
	// Transfer allows a candidate to be elected before the lease of the previous leader has expired.
	Transfer bool

	// Round and SentTick are returned in the heartbeat reply, EchoTick in the next heartbeat.
	Round    uint64
	SentTick uint64
	EchoTick uint64
	// ProofAge is the age in ticks of the leader's proof of a quorum, or NoProof.
	ProofAge uint64
	Token    uint64

	Offset        uint64
	Chunk         []byte
	LastChunk     bool
	Configuration Configuration

	// Leaving is set while the sender is about to stop.
	Leaving bool
	// Absences are the members that the leader does not hear from, or that are about to stop.
	Absences []Absence
}

// fromLeader reports whether only a leader sends messages of this kind.
func (k MessageKind) fromLeader() bool {
	return k == KindAppend || k == KindHeartbeat || k == KindSnapshot
}

// ReadState is the result of a Read. The read may be served once Index is applied; a failed read must be retried.
type ReadState struct {
	Token  uint64
	Index  uint64
	Failed bool
}
