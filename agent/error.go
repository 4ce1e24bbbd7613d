package agent

import (
	"errors"
	"strconv"
	"time"
)

// ErrEngineRefused tells that an engine answered a call with an HTTP error.
type ErrEngineRefused struct {
	Path   string
	Status int
}

// Error implements error.
func (e ErrEngineRefused) Error() string {
	return "engine refused " + e.Path + " with status " + strconv.Itoa(e.Status)
}

// isRefused returns the engine's refusal that err holds, if any.
func isRefused(err error) (ErrEngineRefused, bool) {
	var refusal ErrEngineRefused
	return refusal, errors.As(err, &refusal)
}

// ErrEngineSilent tells that an engine said nothing for a while.
type ErrEngineSilent struct{ For time.Duration }

// Error implements error.
func (e ErrEngineSilent) Error() string { return "engine silent for " + e.For.String() }

// IsErrEngineSilent tells whether an error is an ErrEngineSilent.
func IsErrEngineSilent(err error) bool {
	var silent ErrEngineSilent
	return errors.As(err, &silent)
}

// ErrModelNotLoaded tells that an engine no longer holds the model that was asked for.
type ErrModelNotLoaded struct{ Detail string }

// Error implements error.
func (e ErrModelNotLoaded) Error() string { return "engine holds no such model: " + e.Detail }

// IsErrModelNotLoaded tells whether an error is an ErrModelNotLoaded.
func IsErrModelNotLoaded(err error) bool {
	var missing ErrModelNotLoaded
	return errors.As(err, &missing)
}
