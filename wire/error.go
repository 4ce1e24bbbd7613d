package wire

import (
	"errors"
	"net"
)

// ErrStreamBroken tells that a stream failed; what was sent may or may not have arrived.
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

// IsErrStreamBroken tells whether an error is an ErrStreamBroken.
func IsErrStreamBroken(err error) bool {
	var broken ErrStreamBroken
	return errors.As(err, &broken)
}

// IsTimeout tells whether an error is a timeout of the connection.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// ErrNotReached tells that no stream to an address could be opened, so nothing was sent.
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

// IsErrNotReached tells whether an error is an ErrNotReached.
func IsErrNotReached(err error) bool {
	var notReached ErrNotReached
	return errors.As(err, &notReached)
}

// ErrUnexpectedFrame tells that a peer sent a frame that does not belong there.
type ErrUnexpectedFrame struct {
	Peer string
	Want string
}

// Error implements error.
func (e ErrUnexpectedFrame) Error() string {
	return "unexpected frame from " + e.Peer + ", want " + e.Want
}

// ErrPoolClosed tells that the pool was closed.
type ErrPoolClosed struct{}

// Error implements error.
func (ErrPoolClosed) Error() string { return "the pool is closed" }
