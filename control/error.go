package control

import "errors"

// ErrNotCommitted tells that a command was not committed in time; Never that it never will be.
type ErrNotCommitted struct {
	Never bool
	Cause error
}

// Error implements error.
func (e ErrNotCommitted) Error() string {
	if e.Never {
		return "not committed, and never will be: " + e.Cause.Error()
	}
	return "not committed in time, but may be: " + e.Cause.Error()
}

// Unwrap returns the last try's error.
func (e ErrNotCommitted) Unwrap() error { return e.Cause }

// AsErrNotCommitted returns the ErrNotCommitted in an error.
func AsErrNotCommitted(err error) (ErrNotCommitted, bool) {
	var notCommitted ErrNotCommitted
	ok := errors.As(err, &notCommitted)
	return notCommitted, ok
}
