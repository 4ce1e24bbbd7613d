package wire

import (
	"errors"
	"net"
)

// ErrStreamBroken reports that a stream failed; frames that were sent may or may not have arrived.
type ErrStreamBroken struct {
	Peer  string
	Step  string
	Cause error
}

// Error implements error.
func (e ErrStreamBroken) Error() string {
	return "stream with " + e.Peer + " broken at " + e.Step + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e ErrStreamBroken) Unwrap() error { return e.Cause }

// IsErrStreamBroken reports whether an error is an ErrStreamBroken.
func IsErrStreamBroken(err error) bool {
	var broken ErrStreamBroken
	return errors.As(err, &broken)
}

// IsTimeout reports whether an error is a network timeout.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// ErrNotReached reports that no stream to an address could be opened, so nothing was sent.
type ErrNotReached struct {
	Address string
	Cause   error
}

// Error implements error.
func (e ErrNotReached) Error() string {
	return "cannot reach " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e ErrNotReached) Unwrap() error { return e.Cause }

// IsErrNotReached reports whether an error is an ErrNotReached.
func IsErrNotReached(err error) bool {
	var notReached ErrNotReached
	return errors.As(err, &notReached)
}

// ErrUnexpectedFrame reports that a peer sent a frame of a type that is not valid at this point of a call.
type ErrUnexpectedFrame struct {
	Peer string
	Want string
}

// Error implements error.
func (e ErrUnexpectedFrame) Error() string {
	return "unexpected frame from " + e.Peer + ", want " + e.Want
}

// ErrPoolClosed reports that a pool was closed.
type ErrPoolClosed struct{}

// Error implements error.
func (ErrPoolClosed) Error() string { return "the pool is closed" }
