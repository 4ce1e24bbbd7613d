package quorum

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"math"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"burdocksaddle/consensus"
	"burdocksaddle/storage"
	"burdocksaddle/wire"
)

// NoProof is the value of QuorumProofAge while this member has no proof of a quorum.
const NoProof = time.Duration(math.MaxInt64)

// Capacities of the channels between the loops, and the directory name of a log in memory.
const (
	inboxSize      = 1024
	callQueueSize  = 256
	writeQueueSize = 64
	applyQueueSize = 16
	memoryDir      = "memory"
)

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
	files    *storage.FileSystem
	// observeWrite is called with the time that each batch of writes took to become durable.
	observeWrite func(time.Duration)
	// observeFailure is called with the error of each write that failed.
	observeFailure func(storage.ErrFailed)
	// maxWritesPerSync limits the writes that one fsync makes durable.
	maxWritesPerSync int

	id uint64
	// firstStart is set if this member was created at the first start of its group, which it may start then.
	firstStart bool
	store      *storage.Storage
	core       *consensus.Core
	peers      *peers

	inbox     chan inboundMessage
	proposals chan *proposal
	reads     chan *reader
	requests  chan coreRequest
	writes    chan write
	persisted chan uint64
	applies   chan applyTask
	snapshots chan stateSnapshot

	// configuredPeers are the peers in the settings, which may change at run time.
	configuredPeers atomic.Pointer[[]Peer]

	published atomic.Pointer[publishedStatus]
	applied   atomic.Uint64
	// writingSince is when the write in progress began, or nil if there is none. diskBytes is the size of the data directory.
	writingSince atomic.Pointer[time.Time]
	diskBytes    atomic.Int64
	// provenAt is the time of the last proof of a quorum, or nil if there was none.
	provenAt atomic.Pointer[time.Time]
	// stopped is closed when the member stops; cause is set before.
	stopped chan struct{}
	cause   error
}

// Open opens the data directory, or creates a new member ID if it is empty or corrupt; it fails with
// storage.ErrLocked, storage.ErrFailed or consensus.ErrMalformed.
func Open(config Config, options ...Option) (*Log, error) {
	l := &Log{
		config: config, log: logr.Discard(), tick: defaultTick, maxWritesPerSync: writeQueueSize,
		apply: func(uint64, []byte) any { return nil }, observeWrite: func(time.Duration) {}, observeFailure: func(storage.ErrFailed) {},
		inbox: make(chan inboundMessage, inboxSize), proposals: make(chan *proposal, callQueueSize),
		reads: make(chan *reader, callQueueSize), requests: make(chan coreRequest, callQueueSize),
		writes: make(chan write, writeQueueSize), persisted: make(chan uint64, 1),
		applies: make(chan applyTask, applyQueueSize), snapshots: make(chan stateSnapshot, 1), stopped: make(chan struct{}),
	}
	if l.config.SnapshotEntries == 0 {
		l.config.SnapshotEntries = defaultSnapshotEntries
	}
	if l.config.SnapshotBytes == 0 {
		l.config.SnapshotBytes = defaultSnapshotBytes
	}
	for _, option := range options {
		option(l)
	}
	if l.pool == nil {
		l.pool = wire.NewPool()
	}
	l.peers = newPeers(l)
	l.SetPeers(config.Bootstrap)
	state, err := l.openStorage()
	if err != nil {
		return nil, err
	}
	l.id, l.firstStart = state.Identity.ID, state.Identity.FirstStart || !config.JoinOnly
	// The seed differs between starts so that the tick counters of two starts do not overlap.
	coreConfig := consensus.DefaultConfig(l.id, l.seed^uint64(time.Now().UnixNano()))
	l.core, err = consensus.New(coreConfig, state.Hard, state.Snapshot, state.Entries)
	if err != nil {
		l.store.Close()
		return nil, err
	}
	l.publish()
	return l, nil
}

func (l *Log) openStorage() (storage.State, error) {
	dir, files := l.config.DataDir, storage.WithFileSystem(storage.OSFileSystem())
	if dir == "" {
		dir, files = memoryDir, storage.WithFileSystem(storage.MemoryFileSystem())
	}
	if l.files != nil {
		files = storage.WithFileSystem(*l.files)
	}
	store, state, err := storage.Open(dir, files)
	if storage.IsErrCorrupt(err) {
		l.log.Error(err, "data directory is corrupt; moving it aside and joining as a new member")
		if err = storage.Quarantine(dir, files); err == nil {
			err = storage.ErrNoIdentity{Dir: dir}
		}
	}
	if storage.IsErrNoIdentity(err) {
		state.Identity = storage.Identity{ID: randomID(), Name: l.config.Name, FirstStart: !l.config.JoinOnly}
		store, err = storage.Create(dir, state.Identity, files)
		l.log.Info("new member identity", "member", state.Identity.ID, "folder", dir)
	}
	if err == nil && state.TruncatedBytes > 0 {
		l.log.Info("truncated an incomplete write at the end of the log", "folder", dir, "bytes", state.TruncatedBytes)
	}
	if err == nil {
		l.store = store
		l.diskBytes.Store(store.Bytes())
	}
	return state, err
}

// randomID returns a random ID other than 0. IDs must never repeat because each belongs to a single data directory.
func randomID() uint64 {
	var b [8]byte
	for binary.LittleEndian.Uint64(b[:]) == 0 {
		_, _ = rand.Read(b[:]) // never fails
	}
	return binary.LittleEndian.Uint64(b[:])
}

// Applied returns the index of the last applied entry.
func (l *Log) Applied() uint64 { return l.applied.Load() }

// Propose commits a command and returns the result of applying it on this member; it fails with ErrNotLeader,
// ErrNeverCommitted or ErrOutcomeUnknown.
func (l *Log) Propose(ctx context.Context, command []byte) (any, error) {
	p := &proposal{command: command, result: make(chan proposalResult, 1)}
	select {
	case l.proposals <- p:
	case <-ctx.Done():
		return nil, ErrNeverCommitted{Reason: ctx.Err().Error()}
	case <-l.stopped:
		return nil, ErrNeverCommitted{Reason: ErrStopped{Cause: l.cause}.Error()}
	}
	reason := ""
	select {
	case o := <-p.result:
		return o.value, o.err
	case <-ctx.Done():
		reason = ctx.Err().Error()
	case <-l.stopped:
		reason = ErrStopped{Cause: l.cause}.Error()
	}
	select {
	case o := <-p.result:
		return o.value, o.err
	default:
	}
	if p.claimed.CompareAndSwap(false, true) {
		return nil, ErrNeverCommitted{Reason: reason}
	}
	return nil, ErrOutcomeUnknown{Reason: reason}
}

// ReadBarrier returns an index that is applied on this member and covers every command committed before the call; it
// fails with ErrNoQuorum or ErrStopped.
func (l *Log) ReadBarrier(ctx context.Context) (uint64, error) {
	r := &reader{ctx: ctx, result: make(chan uint64, 1)}
	select {
	case l.reads <- r:
	case <-ctx.Done():
		return 0, ErrNoQuorum{Reason: ctx.Err().Error()}
	case <-l.stopped:
		return 0, ErrStopped{Cause: l.cause}
	}
	select {
	case index := <-r.result:
		return index, nil
	case <-ctx.Done():
		return 0, ErrNoQuorum{Reason: ctx.Err().Error()}
	case <-l.stopped:
		return 0, ErrStopped{Cause: l.cause}
	}
}

// TransferLeader transfers leadership to the most up-to-date reachable voter and waits until this member is no longer
// the leader; it fails with ErrNotLeader, ErrNoQuorum or ErrStopped.
func (l *Log) TransferLeader(ctx context.Context) error {
	errc := make(chan error, 1)
	if err := l.submitRequest(ctx, coreRequest{transfer: true, errc: errc}); err != nil {
		return err
	}
	ticker := time.NewTicker(l.tick)
	defer ticker.Stop()
	for {
		if _, self := l.Leader(); !self {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ErrNoQuorum{Reason: ctx.Err().Error()}
		case <-l.stopped:
			return ErrStopped{Cause: l.cause}
		}
	}
}

// submitRequest sends a request to the step loop and waits for the reply.
func (l *Log) submitRequest(ctx context.Context, r coreRequest) error {
	select {
	case l.requests <- r:
	case <-ctx.Done():
		return ErrNoQuorum{Reason: ctx.Err().Error()}
	case <-l.stopped:
		return ErrStopped{Cause: l.cause}
	}
	select {
	case err := <-r.errc:
		return err
	case <-ctx.Done():
		return ErrNoQuorum{Reason: ctx.Err().Error()}
	case <-l.stopped:
		return ErrStopped{Cause: l.cause}
	}
}
