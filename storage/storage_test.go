package storage_test

import (
	"errors"
	"math/rand/v2"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/consensus"
	"burdocksaddle/storage"
)

const folder = "data"

var who = storage.Identity{ID: 7, Name: "a"}

func entry(term, index uint64, data string) consensus.Entry {
	return consensus.Entry{Term: term, Index: index, Kind: consensus.EntryCommand, Data: []byte(data)}
}

func appended(term uint64, entries ...consensus.Entry) storage.Batch {
	return storage.Batch{Hard: &consensus.HardState{Term: term, Vote: 7}, Entries: entries}
}

func create(t *testing.T, d *faultDisk) *storage.Storage {
	t.Helper()
	s, err := storage.Create(folder, who, storage.WithFileSystem(d.files()))
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
	s, state, err := storage.Open(folder, storage.WithFileSystem(d.files()))
	must(t, err)
	return s, state
}

func TestStateComesBack(t *testing.T) {
	snapshot := consensus.Snapshot{Index: 2, Term: 1, State: []byte("two"), Configuration: consensus.Configuration{Group: 5}}
	tests := map[string]struct {
		do   func(t *testing.T, s *storage.Storage)
		want storage.State
	}{
		"empty": {func(*testing.T, *storage.Storage) {}, storage.State{Identity: who}},
		"entries and a replaced tail": {func(t *testing.T, s *storage.Storage) {
			must(t, s.Append(appended(1, entry(1, 1, "x"), entry(1, 2, "y"), entry(1, 3, "z"))))
			must(t, s.Append(appended(2, entry(2, 2, "w"))))
		}, storage.State{Identity: who, Hard: consensus.HardState{Term: 2, Vote: 7},
			Entries: []consensus.Entry{entry(1, 1, "x"), entry(2, 2, "w")}}},
		"snapshot and tail": {func(t *testing.T, s *storage.Storage) {
			must(t, s.Append(appended(1, entry(1, 1, "x"), entry(1, 2, "y"), entry(1, 3, "z"))))
			must(t, s.SaveSnapshot(snapshot))
			must(t, s.Append(appended(1, entry(1, 4, "t"))))
		}, storage.State{Identity: who, Hard: consensus.HardState{Term: 1, Vote: 7}, Snapshot: snapshot,
			Entries: []consensus.Entry{entry(1, 3, "z"), entry(1, 4, "t")}}},
		"installed snapshot voids the log": {func(t *testing.T, s *storage.Storage) {
			must(t, s.Append(appended(1, entry(1, 1, "old"), entry(1, 2, "old"), entry(1, 3, "old"))))
			install := snapshot
			install.Term = 2
			must(t, s.Append(storage.Batch{Install: &install, Hard: &consensus.HardState{Term: 2}, Entries: []consensus.Entry{entry(2, 3, "n")}}))
		}, storage.State{Identity: who, Hard: consensus.HardState{Term: 2},
			Snapshot: consensus.Snapshot{Index: 2, Term: 2, State: []byte("two"), Configuration: consensus.Configuration{Group: 5}},
			Entries:  []consensus.Entry{entry(2, 3, "n")}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newFaultDisk(1)
			s := create(t, d)
			test.do(t, s)
			s.Close()
			d.crash()
			_, got := reopen(t, d)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestGroupTakesOneSync(t *testing.T) {
	s := create(t, newFaultDisk(1))
	before := s.Syncs()
	var batches []storage.Batch
	for i := range uint64(50) {
		batches = append(batches, appended(1, entry(1, i+1, "x")))
	}
	must(t, s.Append(batches...))
	if got := s.Syncs() - before; got != 1 {
		t.Errorf("50 appends took %d syncs, want 1", got)
	}
}

func TestOneProcessAFolder(t *testing.T) {
	folder := t.TempDir()
	s, err := storage.Create(folder, who)
	must(t, err)
	if _, _, err := storage.Open(folder); !storage.IsErrLocked(err) {
		t.Errorf("second open gave %v, want ErrLocked", err)
	}
	s.Close()
	again, state, err := storage.Open(folder)
	must(t, err)
	defer again.Close()
	if diff := cmp.Diff(who, state.Identity); diff != "" {
		t.Error(diff)
	}
}

func TestDamageIsRefused(t *testing.T) {
	const first, second = "data/segment-0000000000000001", "data/segment-0000000000000002"
	tests := map[string]struct {
		file   string
		damage func(d *faultDisk, f *faultFile)
		cut    bool
	}{
		"torn tail is cut":              {first, func(_ *faultDisk, f *faultFile) { f.data = f.data[:len(f.data)-3] }, true},
		"garbage behind the tail":       {first, func(_ *faultDisk, f *faultFile) { f.data = append(f.data, "garbage"...) }, true},
		"flipped byte in the middle":    {first, func(_ *faultDisk, f *faultFile) { f.data[len(f.data)/2] ^= 1 }, false},
		"flipped length in the middle":  {first, func(_ *faultDisk, f *faultFile) { f.data[5] ^= 1 }, false},
		"flipped byte in the snapshot":  {"data/snapshot-0000000000000001", func(_ *faultDisk, f *faultFile) { f.data[14] ^= 1 }, false},
		"flipped byte in the identity":  {"data/identity", func(_ *faultDisk, f *faultFile) { f.data[13] ^= 1 }, false},
		"identity gone":                 {"data/identity", func(d *faultDisk, _ *faultFile) { delete(d.visible, "data/identity") }, false},
		"closed segment cut":            {second, func(_ *faultDisk, f *faultFile) { f.data = f.data[:len(f.data)-3] }, false},
		"closed segment gone":           {second, func(d *faultDisk, _ *faultFile) { delete(d.visible, second) }, false},
		"identity without any segments": {first, func(d *faultDisk, _ *faultFile) { delete(d.visible, first) }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newFaultDisk(1)
			s := create(t, d)
			must(t, s.Append(appended(1, entry(1, 1, "aaaaaaaa"), entry(1, 2, "bbbbbbbb"))))
			must(t, s.Append(appended(1, entry(1, 3, "cccccccc"))))
			if test.file != first {
				must(t, s.SaveSnapshot(consensus.Snapshot{Index: 1, Term: 1, State: []byte("state")}))
				must(t, s.Append(appended(1, entry(1, 4, "dddddddd"))))
				s.Close()
				s, _ = reopen(t, d)
			}
			s.Close()
			test.damage(d, d.visible[test.file])
			_, state, err := storage.Open(folder, storage.WithFileSystem(d.files()))
			var damaged storage.ErrDamaged
			switch {
			case test.cut && (err != nil || state.CutBytes == 0):
				t.Errorf("cut %d bytes, err %v, want a cut tail", state.CutBytes, err)
			case !test.cut && (!errors.As(err, &damaged) || damaged.File == ""):
				t.Errorf("err %v, want ErrDamaged with a file", err)
			}
		})
	}
}

// TestFaultsKillTheStorage fails each operation in turn: what was acknowledged comes back, and nothing is after a fault.
func TestFaultsKillTheStorage(t *testing.T) {
	for _, cause := range []error{syscall.EIO, syscall.ENOSPC} {
		for failIn := range 60 {
			d := newFaultDisk(uint64(failIn))
			s := create(t, d)
			d.failIn, d.cause = failIn, cause
			var acknowledged []consensus.Entry
			var failure error
			for i := uint64(1); i <= 8; i++ {
				e := entry(1, i, "data")
				err := s.Append(appended(1, e))
				if err == nil {
					acknowledged = append(acknowledged, e)
				}
				if err == nil && i%3 == 0 {
					err = s.SaveSnapshot(consensus.Snapshot{Index: i, Term: 1})
				}
				if failure != nil && err == nil {
					t.Fatalf("acknowledged after %v", failure)
				}
				if err != nil && (!storage.IsErrDead(err) || !errors.Is(err, cause)) {
					t.Fatalf("err %v, want ErrDead because of %v", err, cause)
				}
				if failure == nil {
					failure = err
				}
				if failure != nil {
					d.heal()
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

// TestCrashesLoseNothing writes, crashes at a random operation and reopens, over and over.
func TestCrashesLoseNothing(t *testing.T) {
	for seed := range uint64(200) {
		d, random := newFaultDisk(seed), rand.New(rand.NewPCG(seed, 2))
		s := create(t, d)
		var last, durable uint64
		for range 20 {
			d.failIn = random.IntN(30)
			for s.Append(appended(1, entry(1, last+1, "data"))) == nil {
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

// TestTornInstallVoidsTheLog crashes between a leader's snapshot and the record behind it, with the old log shorter and
// longer than the snapshot, and writes on.
func TestTornInstallVoidsTheLog(t *testing.T) {
	for name, length := range map[string]uint64{"shorter": 2, "longer": 9} {
		t.Run(name, func(t *testing.T) {
			d := newFaultDisk(1)
			s := create(t, d)
			for i := range length {
				must(t, s.Append(appended(1, entry(1, i+1, "old"))))
			}
			snapshot := consensus.Snapshot{Index: 5, Term: 2, State: []byte("five")}
			d.failIn = 6 // list, create, write, sync, rename and syncFolder of the snapshot
			if err := s.Append(storage.Batch{Install: &snapshot, Hard: &consensus.HardState{Term: 2}}); !storage.IsErrDead(err) {
				t.Fatalf("err %v, want ErrDead", err)
			}
			if diff := cmp.Diff("write", d.failed); diff != "" {
				t.Fatal(diff)
			}
			s.Close()
			d.crash()
			s, state := reopen(t, d)
			state.CutBytes = 0 // the tear's length is random
			if diff := cmp.Diff(storage.State{Identity: who, Hard: consensus.HardState{Term: 2}, Snapshot: snapshot}, state); diff != "" {
				t.Error(diff)
			}
			must(t, s.Append(storage.Batch{Hard: &consensus.HardState{Term: 2}, Entries: []consensus.Entry{entry(2, 6, "new")}}))
			s.Close()
			_, state = reopen(t, d)
			if diff := cmp.Diff([]consensus.Entry{entry(2, 6, "new")}, state.Entries); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestSetAsideMakesRoom(t *testing.T) {
	d := newFaultDisk(1)
	s := create(t, d)
	must(t, s.Append(appended(1, entry(1, 1, "aaaaaaaa"))))
	must(t, s.Append(appended(1, entry(1, 2, "aaaaaaaa"))))
	s.Close()
	d.visible["data/segment-0000000000000001"].data[30] ^= 1
	if _, _, err := storage.Open(folder, storage.WithFileSystem(d.files())); !storage.IsErrDamaged(err) {
		t.Fatalf("err %v, want ErrDamaged", err)
	}
	must(t, storage.SetAside(folder, storage.WithFileSystem(d.files())))
	if _, _, err := storage.Open(folder, storage.WithFileSystem(d.files())); !storage.IsErrNoIdentity(err) {
		t.Errorf("err %v, want ErrNoIdentity", err)
	}
	if d.visible["data/damaged/identity"] == nil {
		t.Error("the damaged files are gone")
	}
}
