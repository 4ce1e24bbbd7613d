package storage

import (
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"sync"
)

// memoryFiles holds the contents of files by path.
type memoryFiles struct {
	mu    sync.Mutex
	files map[string][]byte
}

// MemoryFileSystem returns a file system in memory, for demos and tests; its files are lost when the process ends.
func MemoryFileSystem() FileSystem {
	d := &memoryFiles{files: map[string][]byte{}}
	noop := func(string) error { return nil }
	return FileSystem{
		MakeDir:  noop,
		Lock:     func(string) (func() error, error) { return func() error { return nil }, nil },
		Create:   d.open,
		Read:     d.read,
		List:     d.list,
		Truncate: d.truncate,
		Rename:   d.rename,
		Remove:   d.remove,
		SyncDir:  noop,
	}
}

func (d *memoryFiles) open(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name] = append(d.files[name], []byte{}...)
	noop := func() error { return nil }
	return File{Sync: noop, Close: noop, Write: func(p []byte) (int, error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.files[name] = append(d.files[name], p...)
		return len(p), nil
	}}, nil
}

func (d *memoryFiles) read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	data, ok := d.files[name]
	if !ok {
		return nil, &fs.PathError{Op: "read", Path: name, Err: fs.ErrNotExist}
	}
	return slices.Clone(data), nil
}

func (d *memoryFiles) list(dir string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name := range d.files {
		if base, ok := strings.CutPrefix(name, filepath.Clean(dir)+"/"); ok && !strings.Contains(base, "/") {
			names = append(names, base)
		}
	}
	slices.Sort(names)
	return names, nil
}

func (d *memoryFiles) truncate(name string, size int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name] = d.files[name][:size:size]
	return nil
}

func (d *memoryFiles) rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *memoryFiles) remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.files, name)
	return nil
}
