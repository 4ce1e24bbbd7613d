package standin

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"burdocksaddle/engineapi"
)

const (
	maxBodyBytes = 1 << 20
	// maxCountedIDs limits the number of IDs whose runs are counted individually.
	maxCountedIDs = 1 << 20
)

// base is the common part of all simulated servers: lifecycle, goroutines and fault injection.
type base struct {
	faultInjector
	ctx     context.Context
	cancel  context.CancelFunc
	startMu sync.Mutex
	wg      sync.WaitGroup
	stopped chan struct{}
}

func (b *base) init(ctx context.Context) {
	b.ctx, b.cancel = context.WithCancel(ctx)
	b.stopped = make(chan struct{})
	b.faultInjector.init(b.ctx)
	go b.waitForShutdown(b.ctx)
}

func (b *base) waitForShutdown(ctx context.Context) {
	<-ctx.Done()
	// Once the lock is acquired, a concurrent spawn has added its goroutine to wg.
	b.startMu.Lock()
	b.startMu.Unlock() //nolint:staticcheck // the empty critical section acts as a barrier
	b.wg.Wait()
	close(b.stopped)
}

// spawn runs fn in a goroutine unless the server has been closed.
func (b *base) spawn(fn func(ctx context.Context)) {
	b.startMu.Lock()
	defer b.startMu.Unlock()
	if b.ctx.Err() != nil {
		return
	}
	b.wg.Go(func() { fn(b.ctx) })
}

// Done returns a channel that is closed once all goroutines of the server have ended.
func (b *base) Done() <-chan struct{} {
	return b.stopped
}

// Close stops the server and waits for its goroutines.
func (b *base) Close() {
	b.cancel()
	<-b.stopped
}

// sleep waits for d, scaled by the active fault, and reports whether ctx is still active.
func (b *base) sleep(ctx context.Context, d time.Duration) bool {
	return sleepContext(ctx, b.scale(d))
}

func sleepContext(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runCounter counts runs by ID, for at most maxCountedIDs IDs.
type runCounter struct {
	runs      map[string]int
	uncounted int
}

func (c *runCounter) add(id string) int {
	if c.runs == nil {
		c.runs = map[string]int{}
	}
	if _, known := c.runs[id]; !known && len(c.runs) >= maxCountedIDs {
		c.uncounted++
		return 0
	}
	c.runs[id]++
	return c.runs[id]
}

func (c *runCounter) copy() map[string]int {
	out := maps.Clone(c.runs)
	if out == nil {
		out = map[string]int{}
	}
	return out
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func writeProblem(w http.ResponseWriter, status int, code, detail string) {
	writeJSON(w, status, engineapi.Problem{Code: code, Detail: detail})
}

// readJSON decodes the request body into value and reports whether it succeeded. If not, it responds with status 400.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, value)
	}
	if err != nil {
		writeProblem(w, http.StatusBadRequest, CodeBadRequest, err.Error())
	}
	return err == nil
}
