package team

import (
	"errors"
	"fmt"
)

// ErrInvalid is returned for an invalid team.
type ErrInvalid struct{ Team, Reason string }

// Error implements error.
func (e ErrInvalid) Error() string { return fmt.Sprintf("team %q is invalid: %s", e.Team, e.Reason) }

// IsErrInvalid reports whether err wraps an ErrInvalid.
func IsErrInvalid(err error) bool {
	var e ErrInvalid
	return errors.As(err, &e)
}

// ErrSharedKey is returned if two teams have the same API key, which the error doesn't contain.
type ErrSharedKey struct{ Teams [2]string }

// Error implements error.
func (e ErrSharedKey) Error() string {
	return fmt.Sprintf("teams %q and %q share an API key", e.Teams[0], e.Teams[1])
}

// IsErrSharedKey reports whether err wraps an ErrSharedKey.
func IsErrSharedKey(err error) bool {
	var e ErrSharedKey
	return errors.As(err, &e)
}
