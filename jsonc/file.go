package jsonc

import (
	"errors"
	"fmt"
	"os"
)

// ReadFile returns the bytes of a file; the error is ErrFileUnreadable.
func ReadFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err == nil {
		return data, nil
	}
	var at *os.PathError
	if errors.As(err, &at) {
		err = at.Err
	}
	return nil, ErrFileUnreadable{File: path, Cause: err}
}

// ErrFileUnreadable says that a file could not be read.
type ErrFileUnreadable struct {
	File  string
	Cause error
}

// Error names the file and the cause.
func (err ErrFileUnreadable) Error() string {
	return fmt.Sprintf("%s: cannot be read: %v", err.File, err.Cause)
}

// Unwrap returns the cause.
func (err ErrFileUnreadable) Unwrap() error {
	return err.Cause
}

// IsErrFileUnreadable reports whether err holds an ErrFileUnreadable.
func IsErrFileUnreadable(err error) bool {
	var unreadable ErrFileUnreadable
	return errors.As(err, &unreadable)
}
