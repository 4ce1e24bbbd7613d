package quorum

import "errors"

// ErrNotLeader tells that this member does not lead; the address is empty while no leader is known.
type ErrNotLeader struct{ LeaderAddress string }

// Error implements error.
func (e ErrNotLeader) Error() string {
	if e.LeaderAddress == "" {
		return "not the leader, and no leader is known"
	}
	return "not the leader, which is at " + e.LeaderAddress
}

// IsErrNotLeader tells whether an error is an ErrNotLeader.
func IsErrNotLeader(err error) bool {
	var e ErrNotLeader
	return errors.As(err, &e)
}

// ErrNeverCommitted tells that a command is certainly not in the log and never will be.
type ErrNeverCommitted struct{ Reason string }

// Error implements error.
func (e ErrNeverCommitted) Error() string { return "the command was never committed: " + e.Reason }

// IsErrNeverCommitted tells whether an error is an ErrNeverCommitted.
func IsErrNeverCommitted(err error) bool {
	var e ErrNeverCommitted
	return errors.As(err, &e)
}

// ErrOutcomeUnknown tells that a command may be or may become committed.
type ErrOutcomeUnknown struct{ Reason string }

// Error implements error.
func (e ErrOutcomeUnknown) Error() string { return "the command's outcome is unknown: " + e.Reason }

// IsErrOutcomeUnknown tells whether an error is an ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool {
	var e ErrOutcomeUnknown
	return errors.As(err, &e)
}

// ErrNoQuorum tells that a read found no leader with a quorum in time.
type ErrNoQuorum struct{ Reason string }

// Error implements error.
func (e ErrNoQuorum) Error() string { return "no quorum: " + e.Reason }

// IsErrNoQuorum tells whether an error is an ErrNoQuorum.
func IsErrNoQuorum(err error) bool {
	var e ErrNoQuorum
	return errors.As(err, &e)
}

// ErrStopped tells that the member's role has ended, with the cause if it failed.
type ErrStopped struct{ Cause error }

// Error implements error.
func (e ErrStopped) Error() string {
	if e.Cause == nil {
		return "the member has stopped"
	}
	return "the member has stopped: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e ErrStopped) Unwrap() error { return e.Cause }

// IsErrStopped tells whether an error is an ErrStopped.
func IsErrStopped(err error) bool {
	var e ErrStopped
	return errors.As(err, &e)
}
