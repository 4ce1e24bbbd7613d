package jsonc

import (
	"errors"
	"fmt"
	"os"
)

// ReadFile returns the contents of a file. A failure is returned as an ErrFileUnreadable.
func ReadFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err == nil {
		return data, nil
	}
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		err = pathErr.Err
	}
	return nil, ErrFileUnreadable{File: path, Cause: err}
}

// ErrFileUnreadable is returned if a file can't be read.
type ErrFileUnreadable struct {
	File  string
	Cause error
}

// Error returns the file's path and the cause.
func (err ErrFileUnreadable) Error() string {
	return fmt.Sprintf("%s: cannot be read: %v", err.File, err.Cause)
}

// Unwrap returns the underlying error.
func (err ErrFileUnreadable) Unwrap() error {
	return err.Cause
}

// IsErrFileUnreadable reports whether err wraps an ErrFileUnreadable.
func IsErrFileUnreadable(err error) bool {
	var unreadable ErrFileUnreadable
	return errors.As(err, &unreadable)
}
