package gateway

import (
	"errors"
	"fmt"
)

// ErrNotSent tells that a request has certainly not reached its endpoint.
type ErrNotSent struct {
	Endpoint string
	Cause    error
}

// Error implements error.
func (e ErrNotSent) Error() string {
	return fmt.Sprintf("endpoint %s was not reached: %v", e.Endpoint, e.Cause)
}

// Unwrap returns the cause.
func (e ErrNotSent) Unwrap() error { return e.Cause }

// IsErrNotSent tells whether an error is an ErrNotSent.
func IsErrNotSent(err error) bool {
	var e ErrNotSent
	return errors.As(err, &e)
}

// ErrBroken tells that an answer broke off or could not be read; the request may have run.
type ErrBroken struct {
	Endpoint string
	Cause    error
}

// Error implements error.
func (e ErrBroken) Error() string {
	return fmt.Sprintf("the answer of endpoint %s broke off: %v", e.Endpoint, e.Cause)
}

// Unwrap returns the cause.
func (e ErrBroken) Unwrap() error { return e.Cause }

// ErrUnsigned tells that a success came without the endpoint's signature.
type ErrUnsigned struct{ Endpoint string }

// Error implements error.
func (e ErrUnsigned) Error() string {
	return "endpoint " + e.Endpoint + " sent a success without a signature"
}

// ErrSilent tells that an endpoint sent nothing for too long.
type ErrSilent struct{ Endpoint string }

// Error implements error.
func (e ErrSilent) Error() string { return "endpoint " + e.Endpoint + " is silent" }

// ErrNoEvents tells that what should go on as a stream was answered by something else.
type ErrNoEvents struct{ Status int }

// Error implements error.
func (e ErrNoEvents) Error() string {
	return fmt.Sprintf("no events in the answer, status %d", e.Status)
}
