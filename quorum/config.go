package quorum

import (
	"time"

	"github.com/go-logr/logr"

	"burdocksaddle/storage"
	"burdocksaddle/wire"
)

// Peer is a member listed in the settings.
type Peer struct {
	Name    string
	Address string
}

// Config identifies this member and configures its group.
type Config struct {
	// DataDir is the data directory; if empty, the log is kept in memory.
	DataDir string
	Name    string
	Address string
	// Bootstrap lists the initial voters, in the same order on every member; if empty, this member is the only one.
	Bootstrap []Peer
	// Voters is the intended number of voters: learners are promoted until it is reached. The number of initial voters
	// is its minimum.
	Voters int
	// JoinOnly makes a member with an empty data directory join an existing group instead of starting one. A member remembers that it was created
	// without it, so that it can start its group after a restart.
	JoinOnly bool
	// Standing makes this member a standby learner, which replaces a voter that stays unavailable.
	Standing bool
	// ReplaceAfter is how long a voter may be silent before a standby learner replaces it; 0 disables replacement.
	ReplaceAfter time.Duration
	// SnapshotEntries and SnapshotBytes are how many entries, and bytes of commands, are applied between two snapshots at most; 0
	// selects the default.
	SnapshotEntries int
	SnapshotBytes   int
}

const (
	defaultTick            = 100 * time.Millisecond
	defaultSnapshotEntries = 10_000
	defaultSnapshotBytes   = 32 << 20
)

// Option configures a Log.
type Option func(*Log)

// WithApply sets the function that applies a committed command; its result is returned to the proposer.
func WithApply(apply func(index uint64, command []byte) any) Option {
	return func(l *Log) { l.apply = apply }
}

// WithSnapshot sets the function that returns the complete state as of the last applied command.
func WithSnapshot(snapshot func() ([]byte, error)) Option {
	return func(l *Log) { l.snapshot = snapshot }
}

// WithRestore sets the function that replaces the complete state with a snapshot taken at an index.
func WithRestore(restore func(index uint64, state []byte) error) Option {
	return func(l *Log) { l.restore = restore }
}

// WithFailureObserver sets a function that is called with the error of each write that failed.
func WithFailureObserver(observe func(storage.ErrFailed)) Option {
	return func(l *Log) { l.observeFailure = observe }
}

// WithFileSystem sets the file system that holds the data directory.
func WithFileSystem(files storage.FileSystem) Option { return func(l *Log) { l.files = &files } }

// WithPool sets the pool of sessions to the other members.
func WithPool(pool *wire.Pool) Option { return func(l *Log) { l.pool = pool } }

// WithLog sets the logger.
func WithLog(log logr.Logger) Option { return func(l *Log) { l.log = log } }

// WithTick sets the length of a tick; an election takes at least 10 ticks.
func WithTick(tick time.Duration) Option { return func(l *Log) { l.tick = tick } }

// WithWriteObserver sets a function that is called with the time that each batch of writes took to become durable.
func WithWriteObserver(observe func(took time.Duration)) Option {
	return func(l *Log) { l.observeWrite = observe }
}

// WithSeed makes election timeouts reproducible as far as the clock permits; member IDs are random regardless.
func WithSeed(seed uint64) Option { return func(l *Log) { l.seed = seed } }
