package standin

import (
	"context"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"time"

	"burdocksaddle/engineapi"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	defaultCallTime      = 10 * time.Millisecond
	maxStock             = 100
)

// ServiceAnswer is a plain service's response to a call.
type ServiceAnswer struct {
	Key  string `json:",omitempty"`
	Path string
	// Run is the number of runs with the key so far; 2 means that the call was executed twice.
	Run int `json:",omitempty"`
	// Body is the body of the call.
	Body string `json:",omitempty"`
	// Stock is the result of a lookup.
	Stock int `json:",omitempty"`
}

// Service simulates a plain service whose POST requests are not idempotent.
type Service struct {
	base
	callTime time.Duration
	mu       sync.Mutex
	runs     runCounter
}

// ServiceOption configures a Service.
type ServiceOption func(*Service)

// CallTime sets the duration of each call.
func CallTime(d time.Duration) ServiceOption {
	return func(s *Service) { s.callTime = d }
}

// NewService returns a plain service that stops when ctx ends.
func NewService(ctx context.Context, options ...ServiceOption) *Service {
	s := &Service{callTime: defaultCallTime}
	for _, option := range options {
		option(s)
	}
	s.init(ctx)
	return s
}

// ServeHTTP serves calls and lookups.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, http.HandlerFunc(s.route))
}

// Runs returns the number of runs by idempotency key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs.copy()
}

func (s *Service) route(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == engineapi.PathCounts:
		writeJSON(w, http.StatusOK, s.Runs())
	case r.URL.Path == engineapi.PathHealth:
		w.WriteHeader(http.StatusNoContent)
	case r.Method == http.MethodGet:
		s.serveLookup(w, r)
	case r.Method == http.MethodPost:
		s.serveCall(w, r)
	default:
		writeProblem(w, http.StatusMethodNotAllowed, CodeBadRequest, r.Method)
	}
}

func (s *Service) serveLookup(w http.ResponseWriter, r *http.Request) {
	if !s.sleep(s.ctx, s.callTime) {
		panic(http.ErrAbortHandler)
	}
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, r.URL.Path)
	stock := int(hash.Sum32()%maxStock) + 1
	writeJSON(w, http.StatusOK, ServiceAnswer{Path: r.URL.Path, Stock: stock})
}

// serveCall runs to completion even if the caller disconnects.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, CodeBadRequest, err.Error())
		return
	}
	key := r.Header.Get(headerIdempotencyKey)
	s.mu.Lock()
	run := s.runs.add(key)
	s.mu.Unlock()
	if !s.sleep(s.ctx, s.callTime) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, ServiceAnswer{Key: key, Path: r.URL.Path, Run: run, Body: string(body)})
}
