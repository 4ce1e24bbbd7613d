package endpoint

import (
	"errors"
	"fmt"
	"time"
)

// ErrPaused reports that an endpoint wants no requests from this process for a time.
type ErrPaused struct{ Pause time.Duration }

// Error implements error.
func (e ErrPaused) Error() string {
	return fmt.Sprintf("the endpoint wants no requests for %v", e.Pause)
}

// AsErrPaused returns the ErrPaused that an error wraps, if any.
func AsErrPaused(err error) (ErrPaused, bool) {
	var e ErrPaused
	return e, errors.As(err, &e)
}
