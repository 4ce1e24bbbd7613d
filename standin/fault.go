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

// Fault describes the faults that a simulated server injects; the zero value injects none.
type Fault = engineapi.Fault

// faultInjector holds the active fault and applies it to requests.
type faultInjector struct {
	mu    sync.Mutex
	fault Fault
	// stall is closed to stall permanently whatever is open at that time.
	stall chan struct{}
	done  <-chan struct{}
	onSet func(Fault)
}

type stallSignalKey struct{}

func (f *faultInjector) init(ctx context.Context) {
	f.stall = make(chan struct{})
	f.done = ctx.Done()
}

// SetFault replaces the active fault.
func (f *faultInjector) SetFault(fault Fault) {
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

// Fault returns the active fault.
func (f *faultInjector) Fault() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

// ConnContext is meant for the field of the same name in http.Server. If it is set, StallOpen stalls whole
// connections, otherwise only the requests that are open at the time.
func (f *faultInjector) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, stallSignalKey{}, f.stallSignal())
}

func (f *faultInjector) stallSignal() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stall
}

func (f *faultInjector) scale(d time.Duration) time.Duration {
	if slow := f.Fault().Slow; slow > 1 {
		return time.Duration(float64(d) * slow)
	}
	return d
}

// serve passes a request to next and applies the active fault to it.
func (f *faultInjector) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	if r.URL.Path == engineapi.PathFault {
		f.serveFault(w, r)
		return
	}
	stall, ok := r.Context().Value(stallSignalKey{}).(<-chan struct{})
	if !ok {
		stall = f.stallSignal()
	}
	fw := &faultWriter{ResponseWriter: w, injector: f, request: r, stall: stall}
	if f.Fault().Refuse {
		panic(http.ErrAbortHandler)
	}
	if fw.stalled() {
		// The server detects a closed connection only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		fw.hang()
	}
	next.ServeHTTP(fw, r)
	if fw.stalled() {
		fw.hang()
	}
}

func (f *faultInjector) serveFault(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var fault Fault
		if !readJSON(w, r, &fault) {
			return
		}
		f.SetFault(fault)
	}
	writeJSON(w, http.StatusOK, f.Fault())
}

// faultWriter stalls or resets a response according to the active fault.
type faultWriter struct {
	http.ResponseWriter
	injector *faultInjector
	request  *http.Request
	stall    <-chan struct{}
	writes   int
}

// Write writes p unless the active fault stalls or aborts the response.
func (w *faultWriter) Write(p []byte) (int, error) {
	if w.stalled() {
		w.hang()
	}
	fault := w.injector.Fault()
	if fault.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	if fault.ResetAfter > 0 && w.writes >= fault.ResetAfter {
		// An aborted handler discards what the server has buffered, such as events that were written faster than they were flushed.
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		panic(http.ErrAbortHandler)
	}
	w.writes++
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *faultWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

func (w *faultWriter) stalled() bool {
	select {
	case <-w.stall:
		return true
	default:
		return w.injector.Fault().Silent
	}
}

// hang keeps the connection open without sending anything until the client disconnects or the server is closed.
func (w *faultWriter) hang() {
	select {
	case <-w.request.Context().Done():
	case <-w.injector.done:
	}
	panic(http.ErrAbortHandler)
}
