package storage_test

import (
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"burdocksaddle/storage"
)

// faultDisk keeps what is synced apart from what is not, and fails on demand.
type faultDisk struct {
	random           *rand.Rand
	visible, durable map[string]*faultFile
	// failIn is how many operations go well before one fails, negative for all.
	failIn     int
	cause      error
	failed     string
	operations []string
	lockedBy   int
}

type faultFile struct{ data, synced []byte }

func newFaultDisk(seed uint64) *faultDisk {
	return &faultDisk{
		random: rand.New(rand.NewPCG(seed, 1)), failIn: -1, cause: syscall.EIO,
		visible: map[string]*faultFile{}, durable: map[string]*faultFile{},
	}
}

// step counts an operation; it returns the fault that is due.
func (d *faultDisk) step(operation, name string) error {
	d.operations = append(d.operations, operation)
	if d.failed != "" {
		return d.cause
	}
	if d.failIn == 0 {
		d.failed = operation
		return &fs.PathError{Op: operation, Path: name, Err: d.cause}
	}
	if d.failIn > 0 {
		d.failIn--
	}
	return nil
}

func (d *faultDisk) heal() { d.failIn, d.failed = -1, "" }

// crash loses power: what was not synced is dropped, torn or kept, file by file and name by name.
func (d *faultDisk) crash() {
	d.heal()
	names := map[string]bool{}
	for name := range d.visible {
		names[name] = true
	}
	for name := range d.durable {
		names[name] = true
	}
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	after := map[string]*faultFile{}
	torn := map[*faultFile]bool{}
	for _, name := range sorted {
		f := d.durable[name]
		if d.random.IntN(2) == 0 {
			f = d.visible[name]
		}
		if f == nil {
			continue
		}
		if !torn[f] {
			torn[f] = true
			f.tear(d.random)
		}
		after[name] = f
	}
	d.visible, d.durable = after, map[string]*faultFile{}
	for name, f := range after {
		d.durable[name] = f
	}
}

func (f *faultFile) tear(random *rand.Rand) {
	if len(f.data) > len(f.synced) {
		unsynced := slices.Clone(f.data[len(f.synced):])
		unsynced = unsynced[:random.IntN(len(unsynced)+1)]
		if len(unsynced) > 0 && random.IntN(3) == 0 {
			unsynced[random.IntN(len(unsynced))] ^= 0xff
		}
		f.data = append(slices.Clone(f.synced), unsynced...)
	}
	f.synced = slices.Clone(f.data)
}

func (d *faultDisk) files() storage.FileSystem {
	return storage.FileSystem{
		MakeFolder: func(name string) error { return d.step("makeFolder", name) },
		Lock: func(string) (func() error, error) {
			if d.lockedBy > 0 {
				return nil, storage.ErrLocked{}
			}
			d.lockedBy++
			return func() error { d.lockedBy--; return nil }, nil
		},
		Create: func(name string) (storage.File, error) {
			if err := d.step("create", name); err != nil {
				return storage.File{}, err
			}
			if d.visible[name] != nil {
				return storage.File{}, fs.ErrExist
			}
			d.visible[name] = &faultFile{}
			return d.open(name), nil
		},
		Read: func(name string) ([]byte, error) {
			if err := d.step("read", name); err != nil {
				return nil, err
			}
			f := d.visible[name]
			if f == nil {
				return nil, fs.ErrNotExist
			}
			return slices.Clone(f.data), nil
		},
		List: d.list,
		Truncate: func(name string, size int64) error {
			if err := d.step("truncate", name); err != nil {
				return err
			}
			f := d.visible[name]
			f.data = slices.Clone(f.data[:size])
			f.synced = slices.Clone(f.data)
			return nil
		},
		Rename: func(from, to string) error {
			if err := d.step("rename", from); err != nil {
				return err
			}
			d.visible[to] = d.visible[from]
			delete(d.visible, from)
			return nil
		},
		Remove: func(name string) error {
			if err := d.step("remove", name); err != nil {
				return err
			}
			delete(d.visible, name)
			return nil
		},
		SyncFolder: func(name string) error {
			if err := d.step("syncFolder", name); err != nil {
				return err
			}
			d.durable = map[string]*faultFile{}
			for name, f := range d.visible {
				d.durable[name] = f
			}
			return nil
		},
	}
}

func (d *faultDisk) open(name string) storage.File {
	f := d.visible[name]
	return storage.File{
		Write: func(p []byte) (int, error) {
			if err := d.step("write", name); err != nil {
				part := d.random.IntN(len(p) + 1)
				f.data = append(f.data, p[:part]...)
				return part, err
			}
			f.data = append(f.data, p...)
			return len(p), nil
		},
		Sync: func() error {
			if err := d.step("sync", name); err != nil {
				return err
			}
			f.synced = slices.Clone(f.data)
			return nil
		},
		Close: func() error { return nil },
	}
}

func (d *faultDisk) list(folder string) ([]string, error) {
	if err := d.step("list", folder); err != nil {
		return nil, err
	}
	var names []string
	for name := range d.visible {
		if in, ok := strings.CutPrefix(name, filepath.Clean(folder)+"/"); ok && !strings.Contains(in, "/") {
			names = append(names, in)
		}
	}
	slices.Sort(names)
	return names, nil
}
