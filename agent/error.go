package agent

import "strconv"

// ErrEngineRefused tells that an engine answered a call with an HTTP error.
type ErrEngineRefused struct {
	Path   string
	Status int
}

// Error implements error.
func (e ErrEngineRefused) Error() string {
	return "engine refused " + e.Path + " with status " + strconv.Itoa(e.Status)
}
