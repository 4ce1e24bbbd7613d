package steward

import (
	"errors"
	"fmt"
)

// ErrNotCommitted tells that a change has no clear outcome, or certainly none.
type ErrNotCommitted struct{ Cause error }

// Error implements error.
func (e ErrNotCommitted) Error() string {
	return fmt.Sprintf("the change is not known to be committed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e ErrNotCommitted) Unwrap() error { return e.Cause }

// ErrNoTable tells that no configuration was ever accepted.
type ErrNoTable struct{}

// Error implements error.
func (ErrNoTable) Error() string { return "no configuration was accepted yet" }

// IsErrNoTable tells whether an error is an ErrNoTable.
func IsErrNoTable(err error) bool {
	var e ErrNoTable
	return errors.As(err, &e)
}

// errReply is what another steward said of a call.
type errReply struct{ text string }

// Error implements error.
func (e errReply) Error() string { return e.text }
