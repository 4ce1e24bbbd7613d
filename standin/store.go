package standin

import (
	"bytes"
	"context"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"burdocksaddle/engineapi"
)

const (
	defaultLoadsPerSecond = 5
	defaultFullSpeedLoads = 4
	defaultMBPerSecond    = 1000
	defaultCheckpointMB   = 1000
	storeChunks           = 20
	storeChunkBytes       = 64
)

// StoreCounts holds the counters of a Store.
type StoreCounts struct {
	Loads      int
	Refused    int
	Finished   int
	PeakActive int
}

// Store simulates the rate-limited weight store. It sends few bytes,
// but takes as long as a transfer of the whole checkpoint would.
type Store struct {
	base
	limiter     *rate.Limiter
	fullSpeed   int
	mbPerSecond float64
	mux         *http.ServeMux
	mu          sync.Mutex
	active      int
	counts      StoreCounts
}

// StoreOption configures a Store.
type StoreOption func(*Store)

// LoadRate sets how many loads may start per second, and the maximum burst.
func LoadRate(perSecond float64, burst int) StoreOption {
	return func(s *Store) { s.limiter = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// FullSpeedLoads sets the number of concurrent loads up to which each runs at full speed.
func FullSpeedLoads(n int) StoreOption {
	return func(s *Store) { s.fullSpeed = n }
}

// LoadSpeed sets the full speed of one load in MB per second.
func LoadSpeed(mbPerSecond float64) StoreOption {
	return func(s *Store) { s.mbPerSecond = mbPerSecond }
}

// NewStore returns a weight store that stops when ctx ends.
func NewStore(ctx context.Context, options ...StoreOption) *Store {
	s := &Store{
		limiter:     rate.NewLimiter(defaultLoadsPerSecond, defaultLoadsPerSecond),
		fullSpeed:   defaultFullSpeedLoads,
		mbPerSecond: defaultMBPerSecond,
		mux:         http.NewServeMux(),
	}
	for _, option := range options {
		option(s)
	}
	s.init(ctx)
	s.mux.HandleFunc("GET "+engineapi.PathWeights+"{checkpoint}", s.serveWeights)
	s.mux.HandleFunc("GET "+engineapi.PathCounts, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Counts())
	})
	return s
}

// ServeHTTP streams checkpoints.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, s.mux)
}

// Counts returns the store's counters.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Store) serveWeights(w http.ResponseWriter, r *http.Request) {
	mb, err := strconv.ParseFloat(r.URL.Query().Get("mb"), 64)
	if err != nil || mb <= 0 {
		mb = defaultCheckpointMB
	}
	if wait, ok := s.admit(); !ok {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		writeProblem(w, http.StatusTooManyRequests, CodeRateLimited, "load rate exceeded")
		return
	}
	defer s.release()
	w.Header().Set("Content-Length", strconv.Itoa(storeChunks*storeChunkBytes))
	s.stream(w, r, time.Duration(mb/s.mbPerSecond*float64(time.Second)))
}

func (s *Store) stream(w http.ResponseWriter, r *http.Request, duration time.Duration) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	chunk := bytes.Repeat([]byte{'w'}, storeChunkBytes)
	for range storeChunks {
		chunkTime := float64(duration) / storeChunks * s.slowdown()
		if !s.sleep(ctx, time.Duration(chunkTime)) {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(chunk); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
	s.mu.Lock()
	s.counts.Finished++
	s.mu.Unlock()
}

// admit registers a load, or returns the delay until the next load may start.
func (s *Store) admit() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reservation := s.limiter.Reserve()
	if wait := reservation.Delay(); !reservation.OK() || wait > 0 {
		reservation.Cancel()
		s.counts.Refused++
		return max(wait, time.Second), false
	}
	s.active++
	s.counts.Loads++
	s.counts.PeakActive = max(s.counts.PeakActive, s.active)
	return 0, true
}

func (s *Store) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// slowdown returns the factor by which concurrent loads slow each other down.
func (s *Store) slowdown() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, float64(s.active)/float64(s.fullSpeed))
}
