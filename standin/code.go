package standin

import (
	"net/http"

	"burdocksaddle/engineapi"
)

// Codes of the problems that the stand-ins answer with.
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

// refusal is why a request isn't carried out; it is written only once no lock is held.
type refusal struct {
	status  int
	problem engineapi.Problem
}

func refuse(status int, code, detail string) *refusal {
	return &refusal{status: status, problem: engineapi.Problem{Code: code, Detail: detail}}
}

func (f *refusal) write(w http.ResponseWriter) {
	if f.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, f.status, f.problem)
}
