package control

import "errors"

// ErrNotCommitted is returned when a command was not committed before the timeout. Never is true if it is
// certain that the command will not be committed later either.
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

// Unwrap returns the error of the last attempt.
func (e ErrNotCommitted) Unwrap() error { return e.Cause }

// AsErrNotCommitted returns the ErrNotCommitted in err's chain, if there is one.
func AsErrNotCommitted(err error) (ErrNotCommitted, bool) {
	var notCommitted ErrNotCommitted
	ok := errors.As(err, &notCommitted)
	return notCommitted, ok
}
