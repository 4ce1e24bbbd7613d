package storage

import (
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"sync"
)

// memoryDisk holds files by their path for as long as the process lives.
type memoryDisk struct {
	mu    sync.Mutex
	files map[string][]byte
}

// Memory returns a file system that lasts as long as the process, for demos and tests.
func Memory() FileSystem {
	d := &memoryDisk{files: map[string][]byte{}}
	none := func(string) error { return nil }
	return FileSystem{
		MakeFolder: none,
		Lock:       func(string) (func() error, error) { return func() error { return nil }, nil },
		Create:     d.open,
		Read:       d.read,
		List:       d.list,
		Truncate:   d.truncate,
		Rename:     d.rename,
		Remove:     d.remove,
		SyncFolder: none,
	}
}

func (d *memoryDisk) open(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name] = append(d.files[name], []byte{}...)
	none := func() error { return nil }
	return File{Sync: none, Close: none, Write: func(p []byte) (int, error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.files[name] = append(d.files[name], p...)
		return len(p), nil
	}}, nil
}

func (d *memoryDisk) read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	data, ok := d.files[name]
	if !ok {
		return nil, &fs.PathError{Op: "read", Path: name, Err: fs.ErrNotExist}
	}
	return slices.Clone(data), nil
}

func (d *memoryDisk) list(folder string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name := range d.files {
		if in, ok := strings.CutPrefix(name, filepath.Clean(folder)+"/"); ok && !strings.Contains(in, "/") {
			names = append(names, in)
		}
	}
	slices.Sort(names)
	return names, nil
}

func (d *memoryDisk) truncate(name string, size int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name] = d.files[name][:size:size]
	return nil
}

func (d *memoryDisk) rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *memoryDisk) remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.files, name)
	return nil
}
