package quorum

import (
	"time"

	"github.com/go-logr/logr"

	"burdocksaddle/storage"
	"burdocksaddle/wire"
)

// Peer is a member as the settings name it.
type Peer struct {
	Name    string
	Address string
}

// Config says who this member is and which group it belongs to.
type Config struct {
	// DataFolder holds the log; empty keeps it in memory.
	DataFolder string
	Name       string
	Address    string
	// Bootstrap lists the first voters in the same order on every member; empty means this member alone.
	Bootstrap []Peer
	// Voters is how many voters the group aims at: learners are promoted up to it. The first voters are the least.
	Voters int
	// Rejoin makes a member with an empty folder join a group that is there and never start one.
	Rejoin bool
	// Standing makes this member a learner that replaces a voter which stays gone.
	Standing bool
	// ReplaceAfter is how long a voter may be silent before a standing learner replaces it; 0 never replaces.
	ReplaceAfter time.Duration
	// SnapshotEntries is how many applied entries lie between two snapshots; 0 takes the default.
	SnapshotEntries int
}

const (
	defaultTick            = 100 * time.Millisecond
	defaultSnapshotEntries = 10_000
)

// Option sets one property of a Log.
type Option func(*Log)

// WithApply sets what carries a committed command out; its result goes to the proposer.
func WithApply(apply func(index uint64, command []byte) any) Option {
	return func(l *Log) { l.apply = apply }
}

// WithSnapshot sets what returns the whole state as of the last applied command.
func WithSnapshot(snapshot func() ([]byte, error)) Option {
	return func(l *Log) { l.snapshot = snapshot }
}

// WithRestore sets what replaces the whole state by a snapshot taken at an index.
func WithRestore(restore func(index uint64, state []byte) error) Option {
	return func(l *Log) { l.restore = restore }
}

// WithFileSystem replaces the disk under the data folder.
func WithFileSystem(files storage.FileSystem) Option { return func(l *Log) { l.files = &files } }

// WithPool sets the sessions to the other members.
func WithPool(pool *wire.Pool) Option { return func(l *Log) { l.pool = pool } }

// WithLog sets where events are logged.
func WithLog(log logr.Logger) Option { return func(l *Log) { l.log = log } }

// WithTick sets the length of one tick; an election takes 10 ticks or more.
func WithTick(tick time.Duration) Option { return func(l *Log) { l.tick = tick } }

// WithWrote sets what hears how long each group of writes took to be durable.
func WithWrote(wrote func(took time.Duration)) Option { return func(l *Log) { l.wrote = wrote } }

// WithSeed makes election timeouts repeatable as far as the clock is; identities never repeat.
func WithSeed(seed uint64) Option { return func(l *Log) { l.seed = seed } }
