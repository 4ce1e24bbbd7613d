package wire

import (
	"errors"
	"net"
	"strconv"
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

// ErrNoMemory reports the length of a frame that there is no room for.
type ErrNoMemory struct{ Bytes int }

// Error returns the length.
func (err ErrNoMemory) Error() string {
	return "there is no memory left for a frame of " + strconv.Itoa(err.Bytes) + " bytes"
}

// IsErrNoMemory reports whether err wraps an ErrNoMemory.
func IsErrNoMemory(err error) bool {
	var e ErrNoMemory
	return errors.As(err, &e)
}

// ErrFrameTooLarge reports the length of a frame that exceeds MaxFrameBytes.
type ErrFrameTooLarge struct{ Bytes uint64 }

// Error implements error.
func (e ErrFrameTooLarge) Error() string {
	return "a frame of " + strconv.FormatUint(e.Bytes, 10) + " bytes is too large"
}

// ErrUnreachable reports that no stream to an address could be opened, so nothing was sent.
type ErrUnreachable struct {
	Address string
	Cause   error
}

// Error implements error.
func (e ErrUnreachable) Error() string {
	return "cannot reach " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e ErrUnreachable) Unwrap() error { return e.Cause }

// IsErrUnreachable reports whether an error is an ErrUnreachable.
func IsErrUnreachable(err error) bool {
	var unreachable ErrUnreachable
	return errors.As(err, &unreachable)
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
