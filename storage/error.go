package storage

import (
	"errors"
	"strconv"
)

// ErrDamaged tells that what was synced to a file is not what it holds now.
type ErrDamaged struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e ErrDamaged) Error() string {
	return e.File + " is damaged at offset " + strconv.FormatInt(e.Offset, 10) + ": " + e.Reason
}

// IsErrDamaged tells whether an error is an ErrDamaged.
func IsErrDamaged(err error) bool {
	var e ErrDamaged
	return errors.As(err, &e)
}

// ErrLocked tells that another process holds the data folder.
type ErrLocked struct{ Folder string }

// Error implements error.
func (e ErrLocked) Error() string { return "data folder " + e.Folder + " is in use by another process" }

// IsErrLocked tells whether an error is an ErrLocked.
func IsErrLocked(err error) bool {
	var e ErrLocked
	return errors.As(err, &e)
}

// ErrDead tells that an earlier step failed, so that nothing is written or acknowledged any more.
type ErrDead struct {
	Step  string
	File  string
	Cause error
}

// Error implements error.
func (e ErrDead) Error() string {
	return "storage is dead since " + e.Step + " of " + e.File + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e ErrDead) Unwrap() error { return e.Cause }

// IsErrDead tells whether an error is an ErrDead.
func IsErrDead(err error) bool {
	var e ErrDead
	return errors.As(err, &e)
}

// ErrNoIdentity tells that the data folder holds no member yet.
type ErrNoIdentity struct{ Folder string }

// Error implements error.
func (e ErrNoIdentity) Error() string { return "data folder " + e.Folder + " holds no identity" }

// IsErrNoIdentity tells whether an error is an ErrNoIdentity.
func IsErrNoIdentity(err error) bool {
	var e ErrNoIdentity
	return errors.As(err, &e)
}
