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

// Identity says which member a data folder is.
type Identity struct {
	ID   uint64
	Name string
}

// State is what a data folder holds.
type State struct {
	Identity Identity
	Hard     consensus.HardState
	Snapshot consensus.Snapshot
	Entries  []consensus.Entry
	// CutBytes is the length of the torn tail that was cut off.
	CutBytes int64
}

// Batch is what one fsync makes durable; Install replaces the log before Entries follow.
type Batch struct {
	Install *consensus.Snapshot
	Hard    *consensus.HardState
	Entries []consensus.Entry
}

// Storage is an open data folder; it is not safe for concurrent use.
type Storage struct {
	folder       string
	files        FileSystem
	segmentBytes int64
	unlock       func() error

	dead error
	hard consensus.HardState
	// snapshot is the index of the last one, segments the closed ones in order.
	snapshot uint64
	segments []segment
	active   File
	name     string
	number   uint64
	size     int64
	last     uint64
	syncs    uint64
	// restartAfter is the index of a snapshot that replaced a log whose entries still stand in older segments.
	restartAfter uint64
}

// segment is a closed one with the last index that it holds.
type segment struct {
	name string
	last uint64
}

// Option sets one property of a Storage.
type Option func(*Storage)

// WithFileSystem replaces the machine's disk.
func WithFileSystem(files FileSystem) Option { return func(s *Storage) { s.files = files } }

// WithSegmentBytes sets the size from which a new segment is begun.
func WithSegmentBytes(size int64) Option { return func(s *Storage) { s.segmentBytes = size } }

// Open locks and reads a data folder; it fails with ErrLocked, ErrNoIdentity when it is empty, or ErrDamaged.
func Open(folder string, options ...Option) (*Storage, State, error) {
	s := newStorage(folder, options)
	if err := s.lock(); err != nil {
		return nil, State{}, err
	}
	state, err := s.load()
	if err == nil {
		err = s.begin()
	}
	if err != nil {
		return nil, State{}, s.closeAfter(err)
	}
	return s, state, nil
}

// Create makes a member in an empty data folder; it fails with ErrLocked, or ErrDamaged when the folder is not empty.
func Create(folder string, identity Identity, options ...Option) (*Storage, error) {
	s := newStorage(folder, options)
	if err := s.lock(); err != nil {
		return nil, err
	}
	if err := s.create(identity); err != nil {
		return nil, s.closeAfter(err)
	}
	return s, nil
}

func newStorage(folder string, options []Option) *Storage {
	s := &Storage{folder: folder, files: Disk(), segmentBytes: defaultSegmentBytes}
	for _, option := range options {
		option(s)
	}
	return s
}

func (s *Storage) lock() error {
	if err := s.files.MakeFolder(s.folder); err != nil {
		return s.fail("making", s.folder, err)
	}
	unlock, err := s.files.Lock(s.path(lockName))
	if IsErrLocked(err) {
		return ErrLocked{Folder: s.folder}
	}
	if err != nil {
		return s.fail("locking", lockName, err)
	}
	s.unlock = unlock
	return nil
}

func (s *Storage) closeAfter(err error) error {
	s.Close()
	return err
}

func (s *Storage) create(identity Identity) error {
	names, err := s.files.List(s.folder)
	if err != nil {
		return s.fail("listing", s.folder, err)
	}
	for _, name := range names {
		if isOwn(name) {
			return ErrDamaged{File: s.path(name), Reason: "it stands in a folder that should be empty"}
		}
	}
	// The identity comes last: it never stands without a log, which would forget votes.
	if err := s.begin(); err != nil {
		return err
	}
	payload, err := proto.Marshal(&wirepb.LogIdentity{Id: identity.ID, Name: identity.Name})
	if err != nil {
		return s.fail("encoding", identityName, err)
	}
	return s.writeWhole(identityName, payload)
}

// writeWhole writes a file so that it is there whole or not at all, also after a loss of power.
func (s *Storage) writeWhole(name string, payload []byte) error {
	temporary := s.path(name + temporarySuffix)
	if err := s.removeOld(name + temporarySuffix); err != nil {
		return err
	}
	f, err := s.files.Create(temporary)
	if err != nil {
		return s.fail("creating", name, err)
	}
	if _, err := f.Write(appendRecord(nil, payload)); err != nil {
		return s.fail("writing", name, err)
	}
	if err := f.Sync(); err != nil {
		return s.fail("syncing", name, err)
	}
	if err := f.Close(); err != nil {
		return s.fail("closing", name, err)
	}
	if err := s.files.Rename(temporary, s.path(name)); err != nil {
		return s.fail("renaming", name, err)
	}
	return s.syncFolder()
}

func (s *Storage) removeOld(name string) error {
	names, err := s.files.List(s.folder)
	if err != nil {
		return s.fail("listing", s.folder, err)
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

func (s *Storage) syncFolder() error {
	if err := s.files.SyncFolder(s.folder); err != nil {
		return s.fail("syncing", s.folder, err)
	}
	return nil
}

// Close releases the data folder; what was not synced is not acknowledged either.
func (s *Storage) Close() {
	if s.active.Close != nil {
		_ = s.active.Close()
	}
	if s.unlock != nil {
		_ = s.unlock()
	}
	if s.dead == nil {
		s.dead = ErrDead{Step: "closing", File: s.folder, Cause: ErrNoIdentity{Folder: s.folder}}
	}
}

// Syncs returns how many times appended records were synced.
func (s *Storage) Syncs() uint64 { return s.syncs }

// fail makes the storage dead.
func (s *Storage) fail(step, file string, cause error) error {
	if s.dead == nil {
		s.dead = ErrDead{Step: step, File: file, Cause: cause}
	}
	return s.dead
}

func (s *Storage) path(name string) string { return filepath.Join(s.folder, name) }

func numbered(prefix string, number uint64) string {
	digits := strconv.FormatUint(number, 16)
	return prefix + strings.Repeat("0", numberDigits-len(digits)) + digits
}

func numberOf(prefix, name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) != numberDigits {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}
