package agent

import (
	"errors"
	"strconv"
	"time"
)

// ErrEngineRefused represents an HTTP error status returned by the engine or the platform.
type ErrEngineRefused struct {
	Path   string
	Status int
}

// Error implements the error interface.
func (e ErrEngineRefused) Error() string {
	return "engine refused " + e.Path + " with status " + strconv.Itoa(e.Status)
}

// asEngineRefused extracts an ErrEngineRefused from err's chain.
func asEngineRefused(err error) (ErrEngineRefused, bool) {
	var refusal ErrEngineRefused
	return refusal, errors.As(err, &refusal)
}

// ErrTooManyValues represents a response of the engine or the platform with more values than any real one has.
type ErrTooManyValues struct{ Path string }

// Error implements the error interface.
func (e ErrTooManyValues) Error() string { return "response of " + e.Path + " has too many values" }

// ErrNotEventStream represents a successful response that is no stream although a stream was requested.
type ErrNotEventStream struct{ ContentType string }

// Error implements the error interface.
func (e ErrNotEventStream) Error() string {
	return "engine answered a streaming request with content type " + strconv.Quote(e.ContentType)
}

// ErrStreamFailed represents an event by which the engine ended an incomplete stream.
type ErrStreamFailed struct{ Detail string }

// Error implements the error interface.
func (e ErrStreamFailed) Error() string { return "engine ended the stream with an error: " + e.Detail }

// ErrEngineSilent represents a read timeout: the engine sent no data for the given duration.
type ErrEngineSilent struct{ For time.Duration }

// Error implements the error interface.
func (e ErrEngineSilent) Error() string { return "engine silent for " + e.For.String() }

// IsErrEngineSilent reports whether err is an ErrEngineSilent.
func IsErrEngineSilent(err error) bool {
	var silent ErrEngineSilent
	return errors.As(err, &silent)
}

// ErrModelNotLoaded is returned when the engine doesn't have the requested model loaded.
type ErrModelNotLoaded struct{ Detail string }

// Error implements the error interface.
func (e ErrModelNotLoaded) Error() string { return "engine holds no such model: " + e.Detail }

// IsErrModelNotLoaded reports whether err is an ErrModelNotLoaded.
func IsErrModelNotLoaded(err error) bool {
	var missing ErrModelNotLoaded
	return errors.As(err, &missing)
}
