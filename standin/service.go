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
	stockBound           = 100
)

// ServiceAnswer is a plain service's answer to a call.
type ServiceAnswer struct {
	Key  string `json:",omitempty"`
	Path string
	// Run counts the runs under the key so far; 2 means run twice.
	Run int `json:",omitempty"`
	// Body repeats the call's own body.
	Body string `json:",omitempty"`
	// Stock is the answer to a lookup.
	Stock int `json:",omitempty"`
}

// Service stands in for a plain service whose POSTs take effect each time they run.
type Service struct {
	base
	callTime time.Duration
	mu       sync.Mutex
	runs     runCounter
}

// ServiceOption sets up a Service.
type ServiceOption func(*Service)

// CallTime sets how long each call takes.
func CallTime(d time.Duration) ServiceOption {
	return func(s *Service) { s.callTime = d }
}

// NewService returns a plain service that ends with ctx.
func NewService(ctx context.Context, options ...ServiceOption) *Service {
	s := &Service{callTime: defaultCallTime}
	for _, option := range options {
		option(s)
	}
	s.init(ctx)
	return s
}

// ServeHTTP answers calls and lookups.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, http.HandlerFunc(s.route))
}

// Runs returns how often each idempotency key has run.
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
		s.lookUp(w, r)
	case r.Method == http.MethodPost:
		s.call(w, r)
	default:
		writeProblem(w, http.StatusMethodNotAllowed, CodeBadRequest, r.Method)
	}
}

func (s *Service) lookUp(w http.ResponseWriter, r *http.Request) {
	if !s.sleep(s.ctx, s.callTime) {
		panic(http.ErrAbortHandler)
	}
	sum := fnv.New32a()
	_, _ = io.WriteString(sum, r.URL.Path)
	stock := int(sum.Sum32()%stockBound) + 1
	writeJSON(w, http.StatusOK, ServiceAnswer{Path: r.URL.Path, Stock: stock})
}

// call runs to its end even when the caller's connection is lost.
func (s *Service) call(w http.ResponseWriter, r *http.Request) {
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
