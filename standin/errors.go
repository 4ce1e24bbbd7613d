package standin

import (
	"net/http"

	"burdocksaddle/engineapi"
)

// Error codes in the responses of the simulated servers.
const (
	CodeBadRequest     = "BadRequest"
	CodeModelNotLoaded = "ModelNotLoaded"
	CodeRunNotExist    = "RunNotExist"
	CodeOldFence       = "OldFence"
	CodeOutOfMemory    = "OutOfMemory"
	CodeQueueFull      = "QueueFull"
	CodeCancelled      = "Cancelled"
	CodeRateLimited    = "RateLimited"
	CodeNotCached      = "NotCached"
)

// httpError is an error response. It is only written once no lock is held.
type httpError struct {
	status  int
	problem engineapi.Problem
}

func newHTTPError(status int, code, detail string) *httpError {
	return &httpError{status: status, problem: engineapi.Problem{Code: code, Detail: detail}}
}

func (e *httpError) write(w http.ResponseWriter) {
	if e.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, e.status, e.problem)
}
