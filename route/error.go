package route

import (
	"errors"
	"fmt"
)

// ErrInvalid is returned for an invalid part of a configuration. PartType is the type of the part, such as a route.
type ErrInvalid struct {
	PartType string
	Name     string
	Reason   string
}

// Error implements error.
func (e ErrInvalid) Error() string {
	return fmt.Sprintf("%s %q is invalid: %s", e.PartType, e.Name, e.Reason)
}

// IsErrInvalid reports whether err wraps an ErrInvalid.
func IsErrInvalid(err error) bool {
	var e ErrInvalid
	return errors.As(err, &e)
}
