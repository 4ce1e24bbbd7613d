package storage

import (
	"errors"
	"strconv"
)

// ErrCorrupt is returned when a file no longer contains what was synced to it.
type ErrCorrupt struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e ErrCorrupt) Error() string {
	return e.File + " is corrupt at offset " + strconv.FormatInt(e.Offset, 10) + ": " + e.Reason
}

// IsErrCorrupt reports whether err wraps an ErrCorrupt.
func IsErrCorrupt(err error) bool {
	var e ErrCorrupt
	return errors.As(err, &e)
}

// ErrLocked is returned when another process holds the lock on the data directory.
type ErrLocked struct{ Dir string }

// Error implements error.
func (e ErrLocked) Error() string {
	return "data directory " + e.Dir + " is in use by another process"
}

// IsErrLocked reports whether err wraps an ErrLocked.
func IsErrLocked(err error) bool {
	var e ErrLocked
	return errors.As(err, &e)
}

// ErrFailed is returned once a storage operation has failed; nothing is written or acknowledged until Storage.Recover succeeds.
type ErrFailed struct {
	Step  string
	File  string
	Cause error
}

// Error implements error.
func (e ErrFailed) Error() string {
	return "storage has failed at " + e.Step + " of " + e.File + ": " + e.Cause.Error()
}

func (e ErrFailed) Unwrap() error { return e.Cause }

// IsErrFailed reports whether err wraps an ErrFailed.
func IsErrFailed(err error) bool {
	var e ErrFailed
	return errors.As(err, &e)
}

// ErrNoIdentity is returned when the data directory does not belong to a member yet.
type ErrNoIdentity struct{ Dir string }

// Error implements error.
func (e ErrNoIdentity) Error() string {
	return "data directory " + e.Dir + " has no member identity"
}

// IsErrNoIdentity reports whether err wraps an ErrNoIdentity.
func IsErrNoIdentity(err error) bool {
	var e ErrNoIdentity
	return errors.As(err, &e)
}
