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

// faultDisk is a disk in memory that keeps synced data apart from unsynced data and injects faults.
type faultDisk struct {
	random           *rand.Rand
	visible, durable map[string]*faultFile
	// failIn is the number of operations that succeed before one fails; if negative, none fails.
	failIn          int
	cause           error
	failedOperation string
	operations      []string
	lockCount       int
}

type faultFile struct{ data, synced []byte }

func newFaultDisk(seed uint64) *faultDisk {
	return &faultDisk{
		random: rand.New(rand.NewPCG(seed, 1)), failIn: -1, cause: syscall.EIO,
		visible: map[string]*faultFile{}, durable: map[string]*faultFile{},
	}
}

// nextFault counts an operation and returns the error to inject, if any.
func (d *faultDisk) nextFault(operation, name string) error {
	d.operations = append(d.operations, operation)
	if d.failedOperation != "" {
		return d.cause
	}
	if d.failIn == 0 {
		d.failedOperation = operation
		return &fs.PathError{Op: operation, Path: name, Err: d.cause}
	}
	if d.failIn > 0 {
		d.failIn--
	}
	return nil
}

func (d *faultDisk) clearFaults() { d.failIn, d.failedOperation = -1, "" }

// crash simulates a power loss: for each file and each name, unsynced changes are dropped, torn or kept at random.
func (d *faultDisk) crash() {
	d.clearFaults()
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
			f.dropUnsynced(d.random)
		}
		after[name] = f
	}
	d.visible, d.durable = after, map[string]*faultFile{}
	for name, f := range after {
		d.durable[name] = f
	}
}

func (f *faultFile) dropUnsynced(random *rand.Rand) {
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
		MakeDir: func(name string) error { return d.nextFault("makeDir", name) },
		Lock: func(string) (func() error, error) {
			if d.lockCount > 0 {
				return nil, storage.ErrLocked{}
			}
			d.lockCount++
			return func() error { d.lockCount--; return nil }, nil
		},
		Create: func(name string) (storage.File, error) {
			if err := d.nextFault("create", name); err != nil {
				return storage.File{}, err
			}
			if d.visible[name] != nil {
				return storage.File{}, fs.ErrExist
			}
			d.visible[name] = &faultFile{}
			return d.open(name), nil
		},
		Read: func(name string) ([]byte, error) {
			if err := d.nextFault("read", name); err != nil {
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
			if err := d.nextFault("truncate", name); err != nil {
				return err
			}
			f := d.visible[name]
			f.data = slices.Clone(f.data[:size])
			f.synced = slices.Clone(f.data)
			return nil
		},
		Rename: func(from, to string) error {
			if err := d.nextFault("rename", from); err != nil {
				return err
			}
			d.visible[to] = d.visible[from]
			delete(d.visible, from)
			return nil
		},
		Remove: func(name string) error {
			if err := d.nextFault("remove", name); err != nil {
				return err
			}
			delete(d.visible, name)
			return nil
		},
		SyncDir: func(name string) error {
			if err := d.nextFault("syncDir", name); err != nil {
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
			if err := d.nextFault("write", name); err != nil {
				part := d.random.IntN(len(p) + 1)
				f.data = append(f.data, p[:part]...)
				return part, err
			}
			f.data = append(f.data, p...)
			return len(p), nil
		},
		Sync: func() error {
			if err := d.nextFault("sync", name); err != nil {
				return err
			}
			f.synced = slices.Clone(f.data)
			return nil
		},
		Close: func() error { return nil },
	}
}

func (d *faultDisk) list(dir string) ([]string, error) {
	if err := d.nextFault("list", dir); err != nil {
		return nil, err
	}
	var names []string
	for name := range d.visible {
		if base, ok := strings.CutPrefix(name, filepath.Clean(dir)+"/"); ok && !strings.Contains(base, "/") {
			names = append(names, base)
		}
	}
	slices.Sort(names)
	return names, nil
}
