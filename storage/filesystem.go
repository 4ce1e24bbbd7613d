package storage

import (
	"errors"
	"io/fs"
	"os"
	"syscall"
)

// FileSystem is the file system interface of a Storage; tests replace its fields to inject faults.
type FileSystem struct {
	// MakeDir creates a directory and its parents.
	MakeDir func(name string) error
	// Lock acquires a lock that is released when the process ends; it fails with ErrLocked.
	Lock func(name string) (unlock func() error, err error)
	// Create creates an empty file; it fails if the file exists.
	Create func(name string) (File, error)
	Read   func(name string) ([]byte, error)
	List   func(dir string) ([]string, error)
	// Truncate sets the size of a file and syncs it.
	Truncate func(name string, size int64) error
	Rename   func(from, to string) error
	Remove   func(name string) error
	SyncDir  func(name string) error
}

// File is a file opened for writing.
type File struct {
	Write func([]byte) (int, error)
	Sync  func() error
	Close func() error
}

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// OSFileSystem returns the file system of the operating system.
func OSFileSystem() FileSystem {
	return FileSystem{
		MakeDir: func(name string) error { return os.MkdirAll(name, dirMode) },
		Lock:    lockFile,
		Create: func(name string) (File, error) {
			return openFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY)
		},
		Read:     os.ReadFile,
		List:     listDir,
		Truncate: truncateFile,
		Rename:   os.Rename,
		Remove:   os.Remove,
		SyncDir:  syncDir,
	}
}

func openFile(name string, flag int) (File, error) {
	f, err := os.OpenFile(name, flag, fileMode)
	if err != nil {
		return File{}, err
	}
	return File{Write: f.Write, Sync: f.Sync, Close: f.Close}, nil
}

func lockFile(name string) (func() error, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked{Dir: name}
		}
		return nil, err
	}
	return f.Close, nil
}

func listDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

func truncateFile(name string, size int64) error {
	f, err := os.OpenFile(name, os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	if err := f.Truncate(size); err != nil {
		_ = f.Close()
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func syncDir(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
