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
	// maxCountedIDs bounds the ids whose runs are counted one by one.
	maxCountedIDs = 1 << 20
)

// base is what all stand-ins share: an end, a set of goroutines and faults.
type base struct {
	faults
	ctx    context.Context
	cancel context.CancelFunc
	starts sync.Mutex
	group  sync.WaitGroup
	ended  chan struct{}
}

func (b *base) init(ctx context.Context) {
	b.ctx, b.cancel = context.WithCancel(ctx)
	b.ended = make(chan struct{})
	b.faults.init(b.ctx)
	go b.awaitEnd(b.ctx)
}

func (b *base) awaitEnd(ctx context.Context) {
	<-ctx.Done()
	// A start under way has been counted once the lock is free.
	b.starts.Lock()
	b.starts.Unlock() //nolint:staticcheck // the empty section is a barrier
	b.group.Wait()
	close(b.ended)
}

// start runs duty on a goroutine unless the stand-in has ended.
func (b *base) start(duty func(ctx context.Context)) {
	b.starts.Lock()
	defer b.starts.Unlock()
	if b.ctx.Err() != nil {
		return
	}
	b.group.Go(func() { duty(b.ctx) })
}

// Done is closed once every goroutine of the stand-in has ended.
func (b *base) Done() <-chan struct{} {
	return b.ended
}

// Close ends the stand-in and waits for its goroutines.
func (b *base) Close() {
	b.cancel()
	<-b.ended
}

// sleep waits for d, lengthened by the fault in force, and says whether ctx still holds.
func (b *base) sleep(ctx context.Context, d time.Duration) bool {
	return pause(ctx, b.scale(d))
}

func pause(ctx context.Context, d time.Duration) bool {
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

// runCounter counts runs by id, up to a bounded number of ids.
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

// readJSON decodes the body into value and answers 400 itself when it can't.
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
