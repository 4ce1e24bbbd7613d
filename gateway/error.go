package gateway

import (
	"errors"
	"fmt"
)

// ErrNotSent reports that a request has certainly not reached its endpoint.
type ErrNotSent struct {
	Endpoint string
	Cause    error
}

// Error implements error.
func (e ErrNotSent) Error() string {
	return fmt.Sprintf("endpoint %s could not be reached: %v", e.Endpoint, e.Cause)
}

// Unwrap returns the cause.
func (e ErrNotSent) Unwrap() error { return e.Cause }

// IsErrNotSent reports whether an error is an ErrNotSent.
func IsErrNotSent(err error) bool {
	var e ErrNotSent
	return errors.As(err, &e)
}

// ErrIncompleteResponse reports a response that is incomplete or could not be read; the request may have been executed.
type ErrIncompleteResponse struct {
	Endpoint string
	Cause    error
}

// Error implements error.
func (e ErrIncompleteResponse) Error() string {
	return fmt.Sprintf("response of endpoint %s ended early: %v", e.Endpoint, e.Cause)
}

// Unwrap returns the cause.
func (e ErrIncompleteResponse) Unwrap() error { return e.Cause }

// IsErrIncompleteResponse reports whether an error is an ErrIncompleteResponse.
func IsErrIncompleteResponse(err error) bool {
	var e ErrIncompleteResponse
	return errors.As(err, &e)
}

// ErrAdapterNotLoaded reports an endpoint that could not be made to load a request's adapter.
type ErrAdapterNotLoaded struct{ Model, Adapter string }

// Error implements error.
func (e ErrAdapterNotLoaded) Error() string {
	return "adapter " + e.Adapter + " of model " + e.Model + " could not be loaded"
}

// IsErrAdapterNotLoaded reports whether an error is an ErrAdapterNotLoaded.
func IsErrAdapterNotLoaded(err error) bool {
	var e ErrAdapterNotLoaded
	return errors.As(err, &e)
}

// ErrUnsigned reports a success response without the endpoint's signature.
type ErrUnsigned struct{ Endpoint string }

// Error implements error.
func (e ErrUnsigned) Error() string {
	return "endpoint " + e.Endpoint + " sent a success response without a signature"
}

// ErrNotEventStream reports a response that is not an event stream where a stream was to be resumed.
type ErrNotEventStream struct{ Status int }

// Error implements error.
func (e ErrNotEventStream) Error() string {
	return fmt.Sprintf("response is not an event stream, status %d", e.Status)
}

// ErrEventOrder reports an event of a stream that can't come after the previous one; ID is "" for a first event without one.
type ErrEventOrder struct{ Previous, ID string }

// Error implements error.
func (e ErrEventOrder) Error() string {
	return fmt.Sprintf("event %q cannot follow event %q", e.ID, e.Previous)
}

// ErrSlowClient reports that a response was ended because its client does not read it.
type ErrSlowClient struct{ Reason string }

// Error implements error.
func (e ErrSlowClient) Error() string { return "the client is too slow: " + e.Reason }

// IsErrSlowClient reports whether an error is an ErrSlowClient.
func IsErrSlowClient(err error) bool {
	var e ErrSlowClient
	return errors.As(err, &e)
}
