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

// Problem is an RFC 9457 problem with the project's own members.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Code names the refusal for programs.
	Code string
	// Run is NotRun, Unknown or Ran.
	Run string `json:",omitempty"`
	// RequestID names the request in logs.
	RequestID string `json:",omitempty"`
	// CurrentVersion and Holder explain a lost race between operators.
	CurrentVersion uint64 `json:",omitempty"`
	Holder         string `json:",omitempty"`

	// again is when the caller may come back.
	again time.Duration
}

const problemType = "application/problem+json"

var runNames = map[wirepb.Run]string{
	wirepb.Run_RUN_NOT_RUN: "NotRun", wirepb.Run_RUN_UNKNOWN: "Unknown", wirepb.Run_RUN_RAN: "Ran",
}

var statuses = map[string]int{
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
	entry.CodeAnswerTooLarge:   http.StatusBadGateway,
	agent.CodeEndpoint:         http.StatusBadGateway,
}

// refusalProblem renders a refusal.
func refusalProblem(refused entry.ErrRefused, requestID string) Problem {
	status, ok := statuses[refused.Code]
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
