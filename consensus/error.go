package consensus

import (
	"errors"
	"strconv"
)

// ErrInvariantBroken is the panic value when a promise of the log no longer holds; the member's role must stop.
type ErrInvariantBroken struct {
	Invariant string
	Member    uint64
	Term      uint64
	Index     uint64
	Detail    string
}

// Error implements error.
func (e ErrInvariantBroken) Error() string {
	return "invariant broken: " + e.Invariant + " (member " + id(e.Member) + ", term " + number(e.Term) +
		", index " + number(e.Index) + "): " + e.Detail
}

// IsErrInvariantBroken tells whether an error is an ErrInvariantBroken.
func IsErrInvariantBroken(err error) bool {
	var e ErrInvariantBroken
	return errors.As(err, &e)
}

// ErrNotLeader tells that this member does not lead; Leader is 0 while none is known.
type ErrNotLeader struct{ Leader uint64 }

// Error implements error.
func (e ErrNotLeader) Error() string { return "not the leader, which is " + id(e.Leader) }

// IsErrNotLeader tells whether an error is an ErrNotLeader.
func IsErrNotLeader(err error) bool {
	var e ErrNotLeader
	return errors.As(err, &e)
}

// ErrBusy tells that a bounded queue of the core is full; nothing was taken in.
type ErrBusy struct {
	Queue string
	Limit int
}

// Error implements error.
func (e ErrBusy) Error() string { return "too many " + e.Queue + ", limit " + strconv.Itoa(e.Limit) }

// IsErrBusy tells whether an error is an ErrBusy.
func IsErrBusy(err error) bool {
	var e ErrBusy
	return errors.As(err, &e)
}

// ErrTransferring tells that the lead is being handed over; nothing was taken in.
type ErrTransferring struct{ To uint64 }

// Error implements error.
func (e ErrTransferring) Error() string { return "the lead is being handed to " + id(e.To) }

// ErrChangeRefused tells why a change of the members was not taken in.
type ErrChangeRefused struct {
	Member uint64
	Reason string
}

// Error implements error.
func (e ErrChangeRefused) Error() string {
	return "change of member " + id(e.Member) + " refused: " + e.Reason
}

// IsErrChangeRefused tells whether an error is an ErrChangeRefused.
func IsErrChangeRefused(err error) bool {
	var e ErrChangeRefused
	return errors.As(err, &e)
}

// ErrMalformed tells that bytes are no valid message, entry or state.
type ErrMalformed struct {
	What  string
	Cause error
}

// Error implements error.
func (e ErrMalformed) Error() string {
	if e.Cause == nil {
		return "malformed " + e.What
	}
	return "malformed " + e.What + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e ErrMalformed) Unwrap() error { return e.Cause }

func id(v uint64) string     { return strconv.FormatUint(v, 16) }
func number(v uint64) string { return strconv.FormatUint(v, 10) }
