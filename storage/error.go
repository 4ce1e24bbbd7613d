package storage

import (
	"errors"
	"strconv"
)

// ErrDamaged is returned when a file no longer contains what was synced to it.
type ErrDamaged struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e ErrDamaged) Error() string {
	return e.File + " is corrupt at offset " + strconv.FormatInt(e.Offset, 10) + ": " + e.Reason
}

// IsErrDamaged reports whether err wraps an ErrDamaged.
func IsErrDamaged(err error) bool {
	var e ErrDamaged
	return errors.As(err, &e)
}

// ErrLocked is returned when another process holds the lock on the data directory.
type ErrLocked struct{ Folder string }

// Error implements error.
func (e ErrLocked) Error() string {
	return "data directory " + e.Folder + " is in use by another process"
}

// IsErrLocked reports whether err wraps an ErrLocked.
func IsErrLocked(err error) bool {
	var e ErrLocked
	return errors.As(err, &e)
}

// ErrDead is returned once a storage operation has failed; from then on nothing is written or acknowledged.
type ErrDead struct {
	Step  string
	File  string
	Cause error
}

// Error implements error.
func (e ErrDead) Error() string {
	return "storage is dead since " + e.Step + " of " + e.File + ": " + e.Cause.Error()
}

func (e ErrDead) Unwrap() error { return e.Cause }

// IsErrDead reports whether err wraps an ErrDead.
func IsErrDead(err error) bool {
	var e ErrDead
	return errors.As(err, &e)
}

// ErrNoIdentity is returned when the data directory does not belong to a member yet.
type ErrNoIdentity struct{ Folder string }

// Error implements error.
func (e ErrNoIdentity) Error() string {
	return "data directory " + e.Folder + " has no member identity"
}

// IsErrNoIdentity reports whether err wraps an ErrNoIdentity.
func IsErrNoIdentity(err error) bool {
	var e ErrNoIdentity
	return errors.As(err, &e)
}
