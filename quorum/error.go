package quorum

import "errors"

// ErrNotLeader indicates that this member is not the leader; the address is empty if no leader is known.
type ErrNotLeader struct{ LeaderAddress string }

// Error implements error.
func (e ErrNotLeader) Error() string {
	if e.LeaderAddress == "" {
		return "not the leader, and no leader is known"
	}
	return "not the leader, which is at " + e.LeaderAddress
}

// IsErrNotLeader reports whether an error is an ErrNotLeader.
func IsErrNotLeader(err error) bool {
	var e ErrNotLeader
	return errors.As(err, &e)
}

// ErrNeverCommitted indicates that a command is not in the log and never will be.
type ErrNeverCommitted struct{ Reason string }

// Error implements error.
func (e ErrNeverCommitted) Error() string { return "the command was never committed: " + e.Reason }

// IsErrNeverCommitted reports whether an error is an ErrNeverCommitted.
func IsErrNeverCommitted(err error) bool {
	var e ErrNeverCommitted
	return errors.As(err, &e)
}

// ErrOutcomeUnknown indicates that a command may already be committed or may still become so.
type ErrOutcomeUnknown struct{ Reason string }

// Error implements error.
func (e ErrOutcomeUnknown) Error() string { return "the command's outcome is unknown: " + e.Reason }

// IsErrOutcomeUnknown reports whether an error is an ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool {
	var e ErrOutcomeUnknown
	return errors.As(err, &e)
}

// ErrNoQuorum indicates that no leader with a quorum was found in time.
type ErrNoQuorum struct{ Reason string }

// Error implements error.
func (e ErrNoQuorum) Error() string { return "no quorum: " + e.Reason }

// IsErrNoQuorum reports whether an error is an ErrNoQuorum.
func IsErrNoQuorum(err error) bool {
	var e ErrNoQuorum
	return errors.As(err, &e)
}

// ErrStopped indicates that the member has stopped; Cause is set if it failed.
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

// IsErrStopped reports whether an error is an ErrStopped.
func IsErrStopped(err error) bool {
	var e ErrStopped
	return errors.As(err, &e)
}
