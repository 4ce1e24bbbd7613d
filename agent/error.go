package agent

import (
	"errors"
	"strconv"
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
