package web

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"burdocksaddle/agent"
	"burdocksaddle/entry"
	"burdocksaddle/wirepb"
)

// Problem is an RFC 9457 problem with extension members.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Code identifies the problem for programs.
	Code string
	// Run tells whether the request was run: NotRun, Unknown or Ran.
	Run string `json:",omitempty"`
	// RequestID identifies the request in the logs.
	RequestID string `json:",omitempty"`
	// CurrentVersion is the catalog's current version and Holder the operator who made its last change. They explain why a
	// change that is based on an older version was rejected.
	CurrentVersion uint64 `json:",omitempty"`
	Holder         string `json:",omitempty"`

	// retryAfter is the value of the Retry-After header; 0 omits the header.
	retryAfter time.Duration
}

const problemType = "application/problem+json"

var runNames = map[wirepb.Run]string{
	wirepb.Run_RUN_NOT_RUN: "NotRun", wirepb.Run_RUN_UNKNOWN: "Unknown", wirepb.Run_RUN_RAN: "Ran",
}

var statusByCode = map[string]int{
	entry.CodeModelNotExist:    http.StatusNotFound,
	entry.CodeAdapterNotExist:  http.StatusNotFound,
	entry.CodeServiceNotExist:  http.StatusNotFound,
	entry.CodeDeadlinePassed:   http.StatusGatewayTimeout,
	entry.CodeDeadlineTooShort: http.StatusServiceUnavailable,
	entry.CodeQueueFull:        http.StatusTooManyRequests,
	entry.CodeCallerLimit:      http.StatusTooManyRequests,
	entry.CodeKeyReused:        http.StatusUnprocessableEntity,
	entry.CodeOutcomeUnknown:   http.StatusConflict,
	entry.CodeAnswerNotKept:    http.StatusConflict,
	entry.CodeEndpointLost:     http.StatusBadGateway,
	entry.CodeStopped:          http.StatusBadGateway,
	entry.CodeAnswerTooLarge:   http.StatusBadGateway,
	agent.CodeEndpointFailed:   http.StatusBadGateway,
}

// refusalProblem returns the problem for a refused request.
func refusalProblem(refused entry.ErrRefused, requestID string) Problem {
	status, ok := statusByCode[refused.Code]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	return Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: refused.Detail,
		Code: refused.Code, Run: runNames[refused.Run], RequestID: requestID,
	}
}

func writeProblem(w http.ResponseWriter, p Problem, retryAfter time.Duration) {
	w.Header().Set("Content-Type", problemType)
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func badRequest(detail string) Problem {
	return Problem{Type: "about:blank", Title: "Bad Request", Status: http.StatusBadRequest, Detail: detail, Code: "BadRequest", Run: "NotRun"}
}
