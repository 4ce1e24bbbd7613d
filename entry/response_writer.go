package entry

import (
	"errors"
	"strconv"
	"sync"

	"burdocksaddle/wirepb"
)

// responseWriter writes the response of an attempt to the caller and records whether the request ran. After close,
// nothing is dispatched or written, so that the run state reported to the caller stays correct.
type responseWriter struct {
	sink Sink

	mu      sync.Mutex
	closed  bool
	started bool
	status  int
	chunks  uint64
	run     wirepb.Run
	// mayHaveRunEarlier is set if an earlier request with the same key may have run.
	mayHaveRunEarlier bool
}

// beginDispatch reports whether a dispatch is allowed; if so, the request may have run from then on.
func (w *responseWriter) beginDispatch() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	w.run = wirepb.Run_RUN_UNKNOWN
	return true
}

// setRun records whether the last dispatch ran.
func (w *responseWriter) setRun(run wirepb.Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.run = run
}

// setMayHaveRunEarlier records whether an earlier request with the same key may have run.
func (w *responseWriter) setMayHaveRunEarlier(mayHaveRun bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mayHaveRunEarlier = mayHaveRun
}

// close prevents further dispatches and writes. It returns the run state and whether the response has started.
func (w *responseWriter) close() (run wirepb.Run, started bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.run == wirepb.Run_RUN_NOT_RUN && w.mayHaveRunEarlier {
		return wirepb.Run_RUN_UNKNOWN, w.started
	}
	return w.run, w.started
}

func (w *responseWriter) hasStarted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}

// writeStatus writes the status and content type unless they have been written already.
func (w *responseWriter) writeStatus(status int, contentType string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return ErrResponseClosed{}
	}
	if w.started && w.status != status {
		return ErrStatusChanged{From: w.status, To: status}
	}
	if w.started {
		return nil
	}
	w.started, w.status = true, status
	return w.sink.Start(status, contentType)
}

func (w *responseWriter) writeChunk(data []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return ErrResponseClosed{}
	}
	w.chunks++
	return w.sink.Chunk(data)
}

// chunksWritten returns the number of chunks passed to the sink.
func (w *responseWriter) chunksWritten() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.chunks
}

// writeAnswer writes a complete recorded answer.
func (w *responseWriter) writeAnswer(a *wirepb.Answer) error {
	if err := w.writeStatus(int(a.GetStatus()), a.GetContentType()); err != nil {
		return err
	}
	if len(a.GetBody()) == 0 {
		return nil
	}
	return w.writeChunk(a.GetBody())
}

// ErrResponseClosed is returned after the request has ended: the caller got another response or disconnected.
type ErrResponseClosed struct{}

// Error implements the error interface.
func (ErrResponseClosed) Error() string { return "the caller was answered otherwise" }

// ErrStatusChanged is returned if a later attempt's status differs from the one already sent to the caller.
type ErrStatusChanged struct {
	From int
	To   int
}

// Error implements the error interface.
func (e ErrStatusChanged) Error() string {
	return "the answer began with status " + strconv.Itoa(e.From) + " and went on with " + strconv.Itoa(e.To)
}

// IsErrStatusChanged reports whether the error's chain contains an ErrStatusChanged.
func IsErrStatusChanged(err error) bool {
	var changed ErrStatusChanged
	return errors.As(err, &changed)
}
