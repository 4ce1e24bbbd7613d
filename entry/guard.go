package entry

import (
	"errors"
	"strconv"
	"sync"

	"burdocksaddle/wirepb"
)

// guard stands between an attempt and its caller: once it is closed, nothing
// more is dispatched or written, so what the caller is told stays true.
type guard struct {
	sink Sink

	mu      sync.Mutex
	closed  bool
	started bool
	status  int
	parts   uint64
	run     wirepb.Run
	// earlier tells that an earlier send of the same key may have run.
	earlier bool
}

// begin permits a dispatch; from here on the request may run.
func (g *guard) begin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.run = wirepb.Run_RUN_UNKNOWN
	return true
}

// settle notes what is known of the last dispatch.
func (g *guard) settle(run wirepb.Run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.run = run
}

// suspect notes that an earlier send of the key may have run.
func (g *guard) suspect(earlier bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.earlier = earlier
}

// close ends the attempt's access to the caller and returns what is known of the run.
func (g *guard) close() (run wirepb.Run, started bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.run == wirepb.Run_RUN_NOT_RUN && g.earlier {
		return wirepb.Run_RUN_UNKNOWN, g.started
	}
	return g.run, g.started
}

func (g *guard) hasStarted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started
}

// start passes status and type on, once.
func (g *guard) start(status int, contentType string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return ErrCallerGone{}
	}
	if g.started && g.status != status {
		return ErrStatusChanged{From: g.status, To: status}
	}
	if g.started {
		return nil
	}
	g.started, g.status = true, status
	return g.sink.Start(status, contentType)
}

func (g *guard) part(data []byte) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return ErrCallerGone{}
	}
	g.parts++
	return g.sink.Part(data)
}

// delivered returns how many parts the caller has.
func (g *guard) delivered() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.parts
}

// answer passes a whole answer on.
func (g *guard) answer(a *wirepb.Answer) error {
	if err := g.start(int(a.GetStatus()), a.GetContentType()); err != nil {
		return err
	}
	if len(a.GetBody()) == 0 {
		return nil
	}
	return g.part(a.GetBody())
}

// ErrCallerGone tells that the caller was answered otherwise or left.
type ErrCallerGone struct{}

// Error implements error.
func (ErrCallerGone) Error() string { return "the caller was answered otherwise" }

// ErrStatusChanged tells that a second endpoint answered a begun answer with another status.
type ErrStatusChanged struct {
	From int
	To   int
}

// Error implements error.
func (e ErrStatusChanged) Error() string {
	return "the answer began with status " + strconv.Itoa(e.From) + " and went on with " + strconv.Itoa(e.To)
}

// IsErrStatusChanged tells whether an error is an ErrStatusChanged.
func IsErrStatusChanged(err error) bool {
	var changed ErrStatusChanged
	return errors.As(err, &changed)
}
