package route

import (
	"errors"
	"fmt"
)

// ErrInvalid tells which part of a configuration is invalid, and why.
type ErrInvalid struct {
	What   string
	Name   string
	Reason string
}

// Error implements error.
func (e ErrInvalid) Error() string {
	return fmt.Sprintf("%s %q is invalid: %s", e.What, e.Name, e.Reason)
}

// IsErrInvalid tells whether an error is an ErrInvalid.
func IsErrInvalid(err error) bool {
	var e ErrInvalid
	return errors.As(err, &e)
}
