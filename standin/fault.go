package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"burdocksaddle/engineapi"
)

// Fault is how a stand-in misbehaves; the zero value is none.
type Fault = engineapi.Fault

// faults holds the fault in force and imposes it on requests.
type faults struct {
	mu    sync.Mutex
	fault Fault
	// stall is closed when all that is open now stalls for good.
	stall chan struct{}
	ended <-chan struct{}
	onSet func(Fault)
}

type connKey struct{}

func (f *faults) init(ctx context.Context) {
	f.stall = make(chan struct{})
	f.ended = ctx.Done()
}

// SetFault puts a fault in force in place of the one before.
func (f *faults) SetFault(fault Fault) {
	f.mu.Lock()
	f.fault = fault
	if fault.StallOpen {
		close(f.stall)
		f.stall = make(chan struct{})
	}
	onSet := f.onSet
	f.mu.Unlock()
	if onSet != nil {
		onSet(fault)
	}
}

// Fault returns the fault in force.
func (f *faults) Fault() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

// ConnContext is for http.Server: with it StallOpen stalls whole connections,
// without it only the requests open at the time.
func (f *faults) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, f.stallSignal())
}

func (f *faults) stallSignal() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stall
}

func (f *faults) scale(d time.Duration) time.Duration {
	if slow := f.Fault().Slow; slow > 1 {
		return time.Duration(float64(d) * slow)
	}
	return d
}

// serve imposes the fault in force on a request to next.
func (f *faults) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	if r.URL.Path == engineapi.PathFault {
		f.serveFault(w, r)
		return
	}
	stall, ok := r.Context().Value(connKey{}).(<-chan struct{})
	if !ok {
		stall = f.stallSignal()
	}
	fw := &faultWriter{ResponseWriter: w, faults: f, request: r, stall: stall}
	if f.Fault().Refuse {
		panic(http.ErrAbortHandler)
	}
	if fw.stalled() {
		// The server sees a lost connection only once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		fw.hang()
	}
	next.ServeHTTP(fw, r)
	if fw.stalled() {
		fw.hang()
	}
}

func (f *faults) serveFault(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var fault Fault
		if !readJSON(w, r, &fault) {
			return
		}
		f.SetFault(fault)
	}
	writeJSON(w, http.StatusOK, f.Fault())
}

// faultWriter stalls or resets an answer as the fault in force says.
type faultWriter struct {
	http.ResponseWriter
	faults  *faults
	request *http.Request
	stall   <-chan struct{}
	writes  int
}

// Write passes on to the caller what the fault in force lets through.
func (w *faultWriter) Write(p []byte) (int, error) {
	if w.stalled() {
		w.hang()
	}
	fault := w.faults.Fault()
	if fault.LoseAnswer || fault.ResetAfter > 0 && w.writes >= fault.ResetAfter {
		panic(http.ErrAbortHandler)
	}
	w.writes++
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the server's writer.
func (w *faultWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

func (w *faultWriter) stalled() bool {
	select {
	case <-w.stall:
		return true
	default:
		return w.faults.Fault().Silent
	}
}

// hang keeps the connection open without a word until either end closes.
func (w *faultWriter) hang() {
	select {
	case <-w.request.Context().Done():
	case <-w.faults.ended:
	}
	panic(http.ErrAbortHandler)
}
