package storage

import (
	"path/filepath"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"burdocksaddle/consensus"
	"burdocksaddle/wirepb"
)

const (
	lockName        = "LOCK"
	identityName    = "identity"
	temporarySuffix = ".tmp"
	segmentPrefix   = "segment-"
	snapshotPrefix  = "snapshot-"
	numberDigits    = 16

	defaultSegmentBytes = 16 << 20
)

// Identity identifies the member that a data directory belongs to.
type Identity struct {
	ID   uint64
	Name string
	// FirstStart is set if the directory was created at the first start of the member's group.
	FirstStart bool
}

// State is the content of a data directory when it is opened.
type State struct {
	Identity Identity
	Hard     consensus.HardState
	Snapshot consensus.Snapshot
	Entries  []consensus.Entry
	// TruncatedBytes is the length of the torn tail that was truncated.
	TruncatedBytes int64
}

// Batch is a set of changes to make durable together. Install replaces the log before Entries are appended.
type Batch struct {
	Install *consensus.Snapshot
	Hard    *consensus.HardState
	Entries []consensus.Entry
}

// Storage is an open data directory; it is not safe for concurrent use.
type Storage struct {
	dir          string
	files        FileSystem
	segmentBytes int64
	unlock       func() error

	failure   error
	closed    bool
	hardState consensus.HardState
	// snapshotIndex is the index of the latest snapshot; closedSegments are in ascending order.
	snapshotIndex  uint64
	closedSegments []closedSegment
	activeFile     File
	activeName     string
	activeNumber   uint64
	activeSize     int64
	// redundant is set while the active segment holds nothing that the segments before it do not hold.
	redundant    bool
	snapshotSize int64
	lastIndex    uint64
	syncCount    uint64
	// restartAfter is the index of a snapshot that replaced the log while older segments still contain its entries.
	restartAfter uint64
}

// closedSegment is a segment that is no longer written to, with the last index that it contains.
type closedSegment struct {
	name      string
	lastIndex uint64
	size      int64
}

// Option configures a Storage.
type Option func(*Storage)

// WithFileSystem replaces the file system of the operating system.
func WithFileSystem(files FileSystem) Option { return func(s *Storage) { s.files = files } }

// WithSegmentBytes sets the size from which a new segment is started.
func WithSegmentBytes(size int64) Option { return func(s *Storage) { s.segmentBytes = size } }

// Open locks and reads a data directory. It fails with ErrLocked, with ErrNoIdentity if the directory is empty, with ErrCorrupt, or
// with ErrFailed if it cannot be read. If the disk refuses writes, Append fails until Recover succeeds.
func Open(dir string, options ...Option) (*Storage, State, error) {
	s := newStorage(dir, options)
	if err := s.lock(); err != nil {
		return nil, State{}, err
	}
	state, err := s.load()
	if err != nil {
		return nil, State{}, s.closeWithError(err)
	}
	_ = s.startSegment() // Append returns the failure
	return s, state, nil
}

// Create initializes an empty data directory for a member. It fails with ErrLocked, or with ErrCorrupt if the directory
// is not empty.
func Create(dir string, identity Identity, options ...Option) (*Storage, error) {
	s := newStorage(dir, options)
	if err := s.lock(); err != nil {
		return nil, err
	}
	if err := s.create(identity); err != nil {
		return nil, s.closeWithError(err)
	}
	return s, nil
}

func newStorage(dir string, options []Option) *Storage {
	s := &Storage{dir: dir, files: OSFileSystem(), segmentBytes: defaultSegmentBytes}
	for _, option := range options {
		option(s)
	}
	return s
}

func (s *Storage) lock() error {
	if err := s.files.MakeDir(s.dir); err != nil {
		return s.fail("making", s.dir, err)
	}
	unlock, err := s.files.Lock(s.path(lockName))
	if IsErrLocked(err) {
		return ErrLocked{Dir: s.dir}
	}
	if err != nil {
		return s.fail("locking", lockName, err)
	}
	s.unlock = unlock
	return nil
}

func (s *Storage) closeWithError(err error) error {
	s.Close()
	return err
}

func (s *Storage) create(identity Identity) error {
	names, err := s.files.List(s.dir)
	if err != nil {
		return s.fail("listing", s.dir, err)
	}
	for _, name := range names {
		if isMemberFile(name) {
			return ErrCorrupt{File: s.path(name), Reason: "data directory is not empty"}
		}
	}
	// Write the identity last: a member with an identity but without a log would have forgotten its votes.
	if err := s.startSegment(); err != nil {
		return err
	}
	payload, err := proto.Marshal(&wirepb.LogIdentity{Id: identity.ID, Name: identity.Name, FirstStart: identity.FirstStart})
	if err != nil {
		return s.fail("encoding", identityName, err)
	}
	return s.writeFileAtomic(identityName, payload)
}

// writeFileAtomic writes a file that is either complete or absent, even after a power loss.
func (s *Storage) writeFileAtomic(name string, payload []byte) error {
	temporary := s.path(name + temporarySuffix)
	if err := s.removeIfExists(name + temporarySuffix); err != nil {
		return err
	}
	f, err := s.files.Create(temporary)
	if err != nil {
		return s.fail("creating", name, err)
	}
	if _, err := f.Write(appendRecord(nil, payload)); err != nil {
		_ = f.Close()
		return s.fail("writing", name, err)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return s.fail("syncing", name, err)
	}
	if err := f.Close(); err != nil {
		return s.fail("closing", name, err)
	}
	if err := s.files.Rename(temporary, s.path(name)); err != nil {
		return s.fail("renaming", name, err)
	}
	return s.syncDir()
}

func (s *Storage) removeIfExists(name string) error {
	names, err := s.files.List(s.dir)
	if err != nil {
		return s.fail("listing", s.dir, err)
	}
	for _, present := range names {
		if present == name {
			if err := s.files.Remove(s.path(name)); err != nil {
				return s.fail("removing", name, err)
			}
		}
	}
	return nil
}

func (s *Storage) syncDir() error {
	if err := s.files.SyncDir(s.dir); err != nil {
		return s.fail("syncing", s.dir, err)
	}
	return nil
}

// Close releases the data directory; data that was not synced has not been acknowledged either.
func (s *Storage) Close() {
	s.closed = true
	if s.activeFile.Close != nil {
		_ = s.activeFile.Close()
	}
	if s.unlock != nil {
		_ = s.unlock()
	}
	if s.failure == nil {
		s.failure = ErrFailed{Step: "closing", File: s.dir, Cause: ErrNoIdentity{Dir: s.dir}}
	}
}

// Bytes returns the size of the segments and of the latest snapshot.
func (s *Storage) Bytes() int64 {
	size := s.snapshotSize + s.activeSize
	for _, c := range s.closedSegments {
		size += c.size
	}
	return size
}

// Syncs returns the number of syncs of appended records.
func (s *Storage) Syncs() uint64 { return s.syncCount }

// fail records the first failure, after which every operation fails until Recover succeeds.
func (s *Storage) fail(step, file string, cause error) error {
	if s.failure == nil {
		s.failure = ErrFailed{Step: step, File: file, Cause: cause}
	}
	return s.failure
}

func (s *Storage) path(name string) string { return filepath.Join(s.dir, name) }

func numberedName(prefix string, number uint64) string {
	digits := strconv.FormatUint(number, 16)
	return prefix + strings.Repeat("0", numberDigits-len(digits)) + digits
}

func parseNumber(prefix, name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) != numberDigits {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}
