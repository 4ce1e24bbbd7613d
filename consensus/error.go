package consensus

import (
	"errors"
	"strconv"
)

// ErrInvariantBroken is the panic value for a violated invariant of the log; the member must stop.
type ErrInvariantBroken struct {
	Invariant string
	Member    uint64
	Term      uint64
	Index     uint64
	Detail    string
}

// Error implements error.
func (e ErrInvariantBroken) Error() string {
	return "invariant broken: " + e.Invariant + " (member " + formatID(e.Member) + ", term " + formatNumber(e.Term) +
		", index " + formatNumber(e.Index) + "): " + e.Detail
}

// IsErrInvariantBroken reports whether an error is an ErrInvariantBroken.
func IsErrInvariantBroken(err error) bool {
	var e ErrInvariantBroken
	return errors.As(err, &e)
}

// ErrNotLeader indicates that this member is not the leader; Leader is 0 if no leader is known.
type ErrNotLeader struct{ Leader uint64 }

// Error implements error.
func (e ErrNotLeader) Error() string { return "not the leader; the leader is " + formatID(e.Leader) }

// IsErrNotLeader reports whether an error is an ErrNotLeader.
func IsErrNotLeader(err error) bool {
	var e ErrNotLeader
	return errors.As(err, &e)
}

// ErrBusy indicates that a bounded queue of the core is full and the call had no effect.
type ErrBusy struct {
	Queue string
	Limit int
}

// Error implements error.
func (e ErrBusy) Error() string { return "too many " + e.Queue + ", limit " + strconv.Itoa(e.Limit) }

// IsErrBusy reports whether an error is an ErrBusy.
func IsErrBusy(err error) bool {
	var e ErrBusy
	return errors.As(err, &e)
}

// ErrTransferring indicates that a leadership transfer is in progress and the call had no effect.
type ErrTransferring struct{ To uint64 }

// Error implements error.
func (e ErrTransferring) Error() string {
	return "the lead is being handed to " + formatID(e.To)
}

// ErrChangeRefused indicates why a membership change was refused.
type ErrChangeRefused struct {
	Member uint64
	Reason string
}

// Error implements error.
func (e ErrChangeRefused) Error() string {
	return "change of member " + formatID(e.Member) + " refused: " + e.Reason
}

// IsErrChangeRefused reports whether an error is an ErrChangeRefused.
func IsErrChangeRefused(err error) bool {
	var e ErrChangeRefused
	return errors.As(err, &e)
}

// ErrMalformed indicates that data is not a valid message, entry or state.
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

func formatID(v uint64) string     { return strconv.FormatUint(v, 16) }
func formatNumber(v uint64) string { return strconv.FormatUint(v, 10) }
