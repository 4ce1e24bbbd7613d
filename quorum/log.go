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

// NoProof is what Vouch returns while this member holds no proof of a quorum.
const NoProof = time.Duration(math.MaxInt64)

// Bounds of the channels between the duties.
const (
	inboxMessages = 1024
	queuedCalls   = 256
	queuedWrites  = 64
	queuedApplies = 16
	memoryFolder  = "memory"
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
	// wrote hears how long each group of writes took to be durable.
	wrote func(time.Duration)
	// groupWrites bounds what one fsync makes durable.
	groupWrites int

	id    uint64
	store *storage.Storage
	core  *consensus.Core
	peers *peers

	inbox     chan arrival
	proposals chan *proposal
	reads     chan *reader
	requests  chan request
	writes    chan write
	persisted chan uint64
	applies   chan work
	taken     chan taken

	// settings are the peers that the settings name, which may change.
	settings atomic.Pointer[[]Peer]

	view    atomic.Pointer[view]
	applied atomic.Uint64
	// stopped closes when the role ends; cause is set before.
	stopped chan struct{}
	cause   error
}

// Open opens the data folder, or makes a new identity in an empty or damaged one; it fails with storage.ErrLocked,
// storage.ErrDead or consensus.ErrMalformed.
func Open(config Config, options ...Option) (*Log, error) {
	l := &Log{
		config: config, log: logr.Discard(), tick: defaultTick, groupWrites: queuedWrites,
		apply: func(uint64, []byte) any { return nil }, wrote: func(time.Duration) {},
		inbox: make(chan arrival, inboxMessages), proposals: make(chan *proposal, queuedCalls),
		reads: make(chan *reader, queuedCalls), requests: make(chan request, queuedCalls),
		writes: make(chan write, queuedWrites), persisted: make(chan uint64, 1),
		applies: make(chan work, queuedApplies), taken: make(chan taken, 1), stopped: make(chan struct{}),
	}
	if l.config.SnapshotEntries == 0 {
		l.config.SnapshotEntries = defaultSnapshotEntries
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
	l.id = state.Identity.ID
	// The seed differs between starts, so that tick counters of two starts don't meet.
	start := consensus.DefaultConfig(l.id, l.seed^uint64(time.Now().UnixNano()))
	l.core, err = consensus.New(start, state.Hard, state.Snapshot, state.Entries)
	if err != nil {
		l.store.Close()
		return nil, err
	}
	l.publish()
	return l, nil
}

func (l *Log) openStorage() (storage.State, error) {
	folder, files := l.config.DataFolder, storage.WithFileSystem(storage.Disk())
	if folder == "" {
		folder, files = memoryFolder, storage.WithFileSystem(storage.Memory())
	}
	if l.files != nil {
		files = storage.WithFileSystem(*l.files)
	}
	store, state, err := storage.Open(folder, files)
	if storage.IsErrDamaged(err) {
		l.log.Error(err, "data folder set aside, joining as a new member")
		if err = storage.SetAside(folder, files); err == nil {
			err = storage.ErrNoIdentity{Folder: folder}
		}
	}
	if storage.IsErrNoIdentity(err) {
		state.Identity = storage.Identity{ID: randomID(), Name: l.config.Name}
		store, err = storage.Create(folder, state.Identity, files)
		l.log.Info("new identity", "member", state.Identity.ID, "folder", folder)
	}
	if err == nil && state.CutBytes > 0 {
		l.log.Info("torn tail cut", "folder", folder, "bytes", state.CutBytes)
	}
	l.store = store
	return state, err
}

// randomID never repeats: an identity belongs to one data folder.
func randomID() uint64 {
	var b [8]byte
	for binary.LittleEndian.Uint64(b[:]) == 0 {
		_, _ = rand.Read(b[:]) // never fails
	}
	return binary.LittleEndian.Uint64(b[:])
}

// Applied returns the index of the last applied entry.
func (l *Log) Applied() uint64 { return l.applied.Load() }

// Propose commits a command and returns the result of applying it here; it fails with ErrNotLeader, ErrNeverCommitted or
// ErrOutcomeUnknown.
func (l *Log) Propose(ctx context.Context, command []byte) (any, error) {
	p := &proposal{command: command, result: make(chan outcome, 1)}
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
	if p.decided.CompareAndSwap(false, true) {
		return nil, ErrNeverCommitted{Reason: reason}
	}
	return nil, ErrOutcomeUnknown{Reason: reason}
}

// ReadBarrier returns an index that this member has applied and that covers every command committed before the call; it
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

// TransferLeader hands the lead to the voter that is furthest on and waits for it; it fails with ErrNotLeader, ErrNoQuorum
// or ErrStopped.
func (l *Log) TransferLeader(ctx context.Context) error {
	answer := make(chan error, 1)
	if err := l.ask(ctx, request{transfer: true, answer: answer}); err != nil {
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

// ask hands a request to the step loop and waits for its answer.
func (l *Log) ask(ctx context.Context, r request) error {
	select {
	case l.requests <- r:
	case <-ctx.Done():
		return ErrNoQuorum{Reason: ctx.Err().Error()}
	case <-l.stopped:
		return ErrStopped{Cause: l.cause}
	}
	select {
	case err := <-r.answer:
		return err
	case <-ctx.Done():
		return ErrNoQuorum{Reason: ctx.Err().Error()}
	case <-l.stopped:
		return ErrStopped{Cause: l.cause}
	}
}
