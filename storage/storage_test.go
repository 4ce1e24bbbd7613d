package storage_test

import (
	"errors"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/consensus"
	"burdocksaddle/storage"
)

const dataDir = "data"

var testIdentity = storage.Identity{ID: 7, Name: "a"}

func newEntry(term, index uint64, data string) consensus.Entry {
	return consensus.Entry{Term: term, Index: index, Kind: consensus.EntryCommand, Data: []byte(data)}
}

func newBatch(term uint64, entries ...consensus.Entry) storage.Batch {
	return storage.Batch{Hard: &consensus.HardState{Term: term, Vote: 7}, Entries: entries}
}

func create(t *testing.T, d *faultDisk) *storage.Storage {
	t.Helper()
	s, err := storage.Create(dataDir, testIdentity, storage.WithFileSystem(d.files()))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func reopen(t *testing.T, d *faultDisk) (*storage.Storage, storage.State) {
	t.Helper()
	s, state, err := storage.Open(dataDir, storage.WithFileSystem(d.files()))
	must(t, err)
	return s, state
}

func TestReopenRestoresState(t *testing.T) {
	snapshot := consensus.Snapshot{Index: 2, Term: 1, State: []byte("two"), Configuration: consensus.Configuration{Group: 5}}
	tests := map[string]struct {
		run  func(t *testing.T, s *storage.Storage)
		want storage.State
	}{
		"empty": {func(*testing.T, *storage.Storage) {}, storage.State{Identity: testIdentity}},
		"entries with an overwritten tail": {func(t *testing.T, s *storage.Storage) {
			must(t, s.Append(newBatch(1, newEntry(1, 1, "x"), newEntry(1, 2, "y"), newEntry(1, 3, "z"))))
			must(t, s.Append(newBatch(2, newEntry(2, 2, "w"))))
		}, storage.State{Identity: testIdentity, Hard: consensus.HardState{Term: 2, Vote: 7},
			Entries: []consensus.Entry{newEntry(1, 1, "x"), newEntry(2, 2, "w")}}},
		"snapshot and tail": {func(t *testing.T, s *storage.Storage) {
			must(t, s.Append(newBatch(1, newEntry(1, 1, "x"), newEntry(1, 2, "y"), newEntry(1, 3, "z"))))
			must(t, s.SaveSnapshot(snapshot))
			must(t, s.Append(newBatch(1, newEntry(1, 4, "t"))))
		}, storage.State{Identity: testIdentity, Hard: consensus.HardState{Term: 1, Vote: 7}, Snapshot: snapshot,
			Entries: []consensus.Entry{newEntry(1, 3, "z"), newEntry(1, 4, "t")}}},
		"installed snapshot replaces the log": {func(t *testing.T, s *storage.Storage) {
			must(t, s.Append(newBatch(1, newEntry(1, 1, "old"), newEntry(1, 2, "old"), newEntry(1, 3, "old"))))
			install := snapshot
			install.Term = 2
			must(t, s.Append(storage.Batch{Install: &install, Hard: &consensus.HardState{Term: 2}, Entries: []consensus.Entry{newEntry(2, 3, "n")}}))
		}, storage.State{Identity: testIdentity, Hard: consensus.HardState{Term: 2},
			Snapshot: consensus.Snapshot{Index: 2, Term: 2, State: []byte("two"), Configuration: consensus.Configuration{Group: 5}},
			Entries:  []consensus.Entry{newEntry(2, 3, "n")}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newFaultDisk(1)
			s := create(t, d)
			test.run(t, s)
			s.Close()
			d.crash()
			_, got := reopen(t, d)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestAppendSyncsOnce(t *testing.T) {
	s := create(t, newFaultDisk(1))
	before := s.Syncs()
	var batches []storage.Batch
	for i := range uint64(50) {
		batches = append(batches, newBatch(1, newEntry(1, i+1, "x")))
	}
	must(t, s.Append(batches...))
	if got := s.Syncs() - before; got != 1 {
		t.Errorf("50 appends took %d syncs, want 1", got)
	}
}

func TestOpenRefusesLockedDirectory(t *testing.T) {
	dir := t.TempDir()
	s, err := storage.Create(dir, testIdentity)
	must(t, err)
	if _, _, err := storage.Open(dir); !storage.IsErrLocked(err) {
		t.Errorf("second open gave %v, want ErrLocked", err)
	}
	s.Close()
	again, state, err := storage.Open(dir)
	must(t, err)
	defer again.Close()
	if diff := cmp.Diff(testIdentity, state.Identity); diff != "" {
		t.Error(diff)
	}
}

func TestOpenDetectsCorruption(t *testing.T) {
	const first, second = "data/segment-0000000000000001", "data/segment-0000000000000002"
	tests := map[string]struct {
		file          string
		corruptFile   func(d *faultDisk, f *faultFile)
		wantTruncated bool
	}{
		"torn tail":                     {first, func(_ *faultDisk, f *faultFile) { f.data = f.data[:len(f.data)-3] }, true},
		"garbage after the tail":        {first, func(_ *faultDisk, f *faultFile) { f.data = append(f.data, "garbage"...) }, true},
		"flipped byte in the middle":    {first, func(_ *faultDisk, f *faultFile) { f.data[len(f.data)/2] ^= 1 }, false},
		"flipped length in the middle":  {first, func(_ *faultDisk, f *faultFile) { f.data[5] ^= 1 }, false},
		"flipped byte in the snapshot":  {"data/snapshot-0000000000000001", func(_ *faultDisk, f *faultFile) { f.data[14] ^= 1 }, false},
		"flipped byte in the identity":  {"data/identity", func(_ *faultDisk, f *faultFile) { f.data[13] ^= 1 }, false},
		"missing identity":              {"data/identity", func(d *faultDisk, _ *faultFile) { delete(d.visible, "data/identity") }, false},
		"truncated closed segment":      {second, func(_ *faultDisk, f *faultFile) { f.data = f.data[:len(f.data)-3] }, false},
		"missing closed segment":        {second, func(d *faultDisk, _ *faultFile) { delete(d.visible, second) }, false},
		"identity without any segments": {first, func(d *faultDisk, _ *faultFile) { delete(d.visible, first) }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newFaultDisk(1)
			s := create(t, d)
			must(t, s.Append(newBatch(1, newEntry(1, 1, "aaaaaaaa"), newEntry(1, 2, "bbbbbbbb"))))
			must(t, s.Append(newBatch(1, newEntry(1, 3, "cccccccc"))))
			if test.file != first {
				must(t, s.SaveSnapshot(consensus.Snapshot{Index: 1, Term: 1, State: []byte("state")}))
				must(t, s.Append(newBatch(1, newEntry(1, 4, "dddddddd"))))
				s.Close()
				s, _ = reopen(t, d)
			}
			s.Close()
			test.corruptFile(d, d.visible[test.file])
			_, state, err := storage.Open(dataDir, storage.WithFileSystem(d.files()))
			var corrupt storage.ErrCorrupt
			switch {
			case test.wantTruncated && (err != nil || state.TruncatedBytes == 0):
				t.Errorf("truncated %d bytes, err %v, want a truncated tail", state.TruncatedBytes, err)
			case !test.wantTruncated && (!errors.As(err, &corrupt) || corrupt.File == ""):
				t.Errorf("err %v, want ErrCorrupt with a file", err)
			}
		})
	}
}

// TestFailureIsPermanent fails each disk operation in turn: nothing may be acknowledged after the failure, and
// acknowledged entries must be there after a restart.
func TestFailureIsPermanent(t *testing.T) {
	for _, cause := range []error{syscall.EIO, syscall.ENOSPC} {
		for failIn := range 60 {
			d := newFaultDisk(uint64(failIn))
			s := create(t, d)
			d.failIn, d.cause = failIn, cause
			var acknowledged []consensus.Entry
			var failure error
			for i := uint64(1); i <= 8; i++ {
				e := newEntry(1, i, "data")
				err := s.Append(newBatch(1, e))
				if err == nil {
					acknowledged = append(acknowledged, e)
				}
				if err == nil && i%3 == 0 {
					err = s.SaveSnapshot(consensus.Snapshot{Index: i, Term: 1})
				}
				if failure != nil && err == nil {
					t.Fatalf("acknowledged after %v", failure)
				}
				if err != nil && (!storage.IsErrFailed(err) || !errors.Is(err, cause)) {
					t.Fatalf("err %v, want ErrFailed because of %v", err, cause)
				}
				if failure == nil {
					failure = err
				}
				if failure != nil {
					d.clearFaults()
				}
			}
			s.Close()
			d.crash()
			_, state := reopen(t, d)
			if got := state.Snapshot.Index + uint64(len(state.Entries)); got < uint64(len(acknowledged)) {
				t.Errorf("failing operation %d lost entries: %d left of %d", failIn, got, len(acknowledged))
			}
		}
	}
}

// TestRecoverRepeatsFailedOperation fails each disk operation in turn, and one of the operations of Recover, and repeats what failed.
func TestRecoverRepeatsFailedOperation(t *testing.T) {
	for _, cause := range []error{syscall.EIO, syscall.ENOSPC} {
		for failIn := range 60 {
			for failAgainIn := range 9 {
				testRecoverRepeatsFailedOperation(t, cause, failIn, failAgainIn, false)
				testRecoverRepeatsFailedOperation(t, cause, failIn, failAgainIn, true)
			}
		}
	}
}

func testRecoverRepeatsFailedOperation(t *testing.T, cause error, failIn, failAgainIn int, installs bool) {
	d := newFaultDisk(uint64(failIn*100 + failAgainIn))
	s := create(t, d)
	d.failIn, d.cause = failIn, cause
	failedAgain := false
	repeat := func(operation func() error) {
		t.Helper()
		for operation() != nil {
			d.clearFaults()
			if !failedAgain {
				d.failIn, failedAgain = failAgainIn, true
			}
			for s.Recover() != nil {
				d.clearFaults()
			}
		}
	}
	want := storage.State{Identity: testIdentity, Hard: consensus.HardState{Term: 3, Vote: 7}}
	for i := uint64(1); i <= 8; i++ {
		term := 1 + i/4
		repeat(func() error { return s.Append(newBatch(term, newEntry(term, i, "data"))) })
		if i%3 == 0 {
			want.Snapshot = consensus.Snapshot{Index: i, Term: term}
			repeat(func() error { return s.SaveSnapshot(want.Snapshot) })
		}
	}
	want.Entries = []consensus.Entry{newEntry(2, 7, "data"), newEntry(3, 8, "data")}
	if installs {
		want.Snapshot, want.Hard = consensus.Snapshot{Index: 20, Term: 5}, consensus.HardState{Term: 5, Vote: 7}
		want.Entries = []consensus.Entry{newEntry(5, 21, "n"), newEntry(5, 22, "n")}
		repeat(func() error {
			return s.Append(storage.Batch{Install: &want.Snapshot, Hard: &want.Hard, Entries: want.Entries[:1]})
		})
		repeat(func() error { return s.Append(newBatch(5, want.Entries[1])) })
	}
	s.Close()
	if err := s.Recover(); !storage.IsErrFailed(err) {
		t.Errorf("a closed storage recovered: %v", err)
	}
	d.crash()
	_, state := reopen(t, d)
	if diff := cmp.Diff(want, state); diff != "" {
		t.Errorf("%v, operations %d and %d: %s", cause, failIn, failAgainIn, diff)
	}
}

// TestRecoveredStorageCommitsNothingThatTheRefusedBatchReplaces ends the process, or the power, before the batch is repeated.
func TestRecoveredStorageCommitsNothingThatTheRefusedBatchReplaces(t *testing.T) {
	for _, powerLoss := range []bool{false, true} {
		d := newFaultDisk(1)
		s := create(t, d)
		must(t, s.Append(storage.Batch{
			Hard: &consensus.HardState{Term: 1, Commit: 1}, Entries: []consensus.Entry{newEntry(1, 1, "committed"), newEntry(1, 2, "replaced"), newEntry(1, 3, "replaced")},
		}))
		d.failIn = 0
		replacement := storage.Batch{Hard: &consensus.HardState{Term: 2, Commit: 3}, Entries: []consensus.Entry{newEntry(2, 2, "committed"), newEntry(2, 3, "committed")}}
		if err := s.Append(replacement); !storage.IsErrFailed(err) {
			t.Fatal(err)
		}
		d.clearFaults()
		must(t, s.Recover())
		s.Close()
		if powerLoss {
			d.crash()
		}
		_, state := reopen(t, d)
		for _, e := range state.Entries {
			if e.Index <= state.Hard.Commit && string(e.Data) == "replaced" {
				t.Errorf("power loss %v: entry %d of term %d is committed after a restart with %+v", powerLoss, e.Index, e.Term, state.Hard)
			}
		}
	}
}

func TestNearlyFullDiskIsNotFilledWithSegments(t *testing.T) {
	d := newFaultDisk(1)
	files := d.files()
	create := files.Create
	const maxBytes = 1000
	files.Create = func(name string) (storage.File, error) {
		f, err := create(name)
		write := f.Write
		f.Write = func(p []byte) (int, error) {
			if len(p) > maxBytes {
				return 0, syscall.ENOSPC
			}
			return write(p)
		}
		return f, err
	}
	s, err := storage.Create(dataDir, testIdentity, storage.WithFileSystem(files))
	must(t, err)
	must(t, s.Append(newBatch(1, newEntry(1, 1, "x"))))
	must(t, s.SaveSnapshot(consensus.Snapshot{Index: 1, Term: 1}))
	before := len(d.visible)
	for range 100 {
		if err := s.Append(newBatch(1, newEntry(1, 2, strings.Repeat("x", maxBytes)))); !storage.IsErrFailed(err) {
			t.Fatal(err)
		}
		must(t, s.Recover())
	}
	if grown := len(d.visible) - before; grown > 1 {
		t.Errorf("100 refused attempts left %d more files", grown)
	}
	must(t, s.Append(newBatch(1, newEntry(1, 2, "y"))))
	s.Close()
	d.crash()
	_, state := reopen(t, d)
	if diff := cmp.Diff([]consensus.Entry{newEntry(1, 2, "y")}, state.Entries); diff != "" {
		t.Error(diff)
	}
}

// TestPowerLossDuringRecoveryKeepsAcknowledgedEntries loses power after Recover has failed at two operations.
func TestPowerLossDuringRecoveryKeepsAcknowledgedEntries(t *testing.T) {
	for seed := range uint64(2) {
		for failIn := range 30 {
			for first := range 9 {
				for second := range 9 {
					testPowerLossDuringRecovery(t, seed, failIn, first, second)
				}
			}
		}
	}
}

func testPowerLossDuringRecovery(t *testing.T, seed uint64, failIn, first, second int) {
	d := newFaultDisk(seed)
	s := create(t, d)
	must(t, s.Append(newBatch(1, newEntry(1, 1, "data"))))
	d.failIn = failIn
	acknowledged := uint64(1)
	var err error
	for err == nil {
		if err = s.Append(newBatch(1, newEntry(1, acknowledged+1, "data"))); err == nil {
			acknowledged++
			if acknowledged%3 == 0 {
				err = s.SaveSnapshot(consensus.Snapshot{Index: acknowledged, Term: 1})
			}
		}
	}
	for _, operation := range []int{first, second} {
		d.clearFaults()
		d.failIn = operation
		_ = s.Recover()
	}
	s.Close()
	d.crash()
	_, state := reopen(t, d)
	last := state.Snapshot.Index + uint64(len(state.Entries))
	if last < acknowledged || last > acknowledged+1 {
		t.Errorf("seed %d, operations %d, %d and %d: %d entries left, %d acknowledged", seed, failIn, first, second, last, acknowledged)
	}
}

// TestCrashKeepsAcknowledgedEntries appends, crashes at a random disk operation and reopens, repeatedly.
func TestCrashKeepsAcknowledgedEntries(t *testing.T) {
	for seed := range uint64(200) {
		d, random := newFaultDisk(seed), rand.New(rand.NewPCG(seed, 2))
		s := create(t, d)
		var last, durable uint64
		for range 20 {
			d.failIn = random.IntN(30)
			for s.Append(newBatch(1, newEntry(1, last+1, "data"))) == nil {
				last++
				durable = last
				if random.IntN(4) == 0 && s.SaveSnapshot(consensus.Snapshot{Index: last, Term: 1}) != nil {
					break
				}
			}
			s.Close()
			d.crash()
			var state storage.State
			s, state = reopen(t, d)
			last = state.Snapshot.Index + uint64(len(state.Entries))
			if last < durable || last > durable+1 {
				t.Fatalf("seed %d: %d entries left, %d acknowledged", seed, last, durable)
			}
			durable = last
		}
	}
}

// TestRecordsOfKilledProcessOutliveLaterPowerLoss kills a process at each operation, which keeps its files as they are, starts the
// next one, and loses power.
func TestRecordsOfKilledProcessOutliveLaterPowerLoss(t *testing.T) {
	for seed := range uint64(20) {
		for failIn := range 40 {
			testRecordsOfKilledProcess(t, seed, failIn)
		}
	}
}

func testRecordsOfKilledProcess(t *testing.T, seed uint64, failIn int) {
	d := newFaultDisk(seed)
	s := create(t, d)
	d.failIn = failIn
	for i := uint64(1); s.Append(newBatch(1, newEntry(1, i, "data"))) == nil; i++ {
		if i%3 == 0 && s.SaveSnapshot(consensus.Snapshot{Index: i, Term: 1}) != nil {
			break
		}
	}
	s.Close()
	d.clearFaults()
	s, relied := reopen(t, d)
	last := relied.Snapshot.Index + uint64(len(relied.Entries))
	acknowledged := last
	if seed%2 == 0 {
		acknowledged++
		must(t, s.Append(newBatch(1, newEntry(1, acknowledged, "next"))))
	}
	s.Close()
	d.crash()
	_, state := reopen(t, d)
	if got := state.Snapshot.Index + uint64(len(state.Entries)); got != acknowledged || state.Hard.Term < relied.Hard.Term {
		t.Errorf("seed %d, killed at operation %d: %d entries left, the process after it had read %d and appended %d", seed, failIn, got, last, acknowledged-last)
	}
}

// TestCrashDuringSnapshotInstall crashes after a leader's snapshot was written but before the record after it, with the
// old log shorter and longer than the snapshot. The old log must be discarded, and later appends must be readable.
func TestCrashDuringSnapshotInstall(t *testing.T) {
	for name, length := range map[string]uint64{"shorter": 2, "longer": 9} {
		t.Run(name, func(t *testing.T) {
			d := newFaultDisk(1)
			s := create(t, d)
			for i := range length {
				must(t, s.Append(newBatch(1, newEntry(1, i+1, "old"))))
			}
			snapshot := consensus.Snapshot{Index: 5, Term: 2, State: []byte("five")}
			d.failIn = 6 // list, create, write, sync, rename and syncDir of the snapshot
			if err := s.Append(storage.Batch{Install: &snapshot, Hard: &consensus.HardState{Term: 2}}); !storage.IsErrFailed(err) {
				t.Fatalf("err %v, want ErrFailed", err)
			}
			if diff := cmp.Diff("write", d.failedOperation); diff != "" {
				t.Fatal(diff)
			}
			s.Close()
			d.crash()
			s, state := reopen(t, d)
			state.TruncatedBytes = 0 // the length of the torn tail is random
			if diff := cmp.Diff(storage.State{Identity: testIdentity, Hard: consensus.HardState{Term: 2}, Snapshot: snapshot}, state); diff != "" {
				t.Error(diff)
			}
			must(t, s.Append(storage.Batch{Hard: &consensus.HardState{Term: 2}, Entries: []consensus.Entry{newEntry(2, 6, "new")}}))
			s.Close()
			_, state = reopen(t, d)
			if diff := cmp.Diff([]consensus.Entry{newEntry(2, 6, "new")}, state.Entries); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestQuarantineAllowsNewMember(t *testing.T) {
	d := newFaultDisk(1)
	s := create(t, d)
	must(t, s.Append(newBatch(1, newEntry(1, 1, "aaaaaaaa"))))
	must(t, s.Append(newBatch(1, newEntry(1, 2, "aaaaaaaa"))))
	s.Close()
	d.visible["data/segment-0000000000000001"].data[30] ^= 1
	if _, _, err := storage.Open(dataDir, storage.WithFileSystem(d.files())); !storage.IsErrCorrupt(err) {
		t.Fatalf("err %v, want ErrCorrupt", err)
	}
	must(t, storage.Quarantine(dataDir, storage.WithFileSystem(d.files())))
	if _, _, err := storage.Open(dataDir, storage.WithFileSystem(d.files())); !storage.IsErrNoIdentity(err) {
		t.Errorf("err %v, want ErrNoIdentity", err)
	}
	if d.visible["data/damaged/identity"] == nil {
		t.Error("the corrupt files were not kept")
	}
}
