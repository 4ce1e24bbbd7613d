package standin

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"burdocksaddle/engineapi"
)

// run is the generation of one response. It continues if the client disconnects.
type run struct {
	id           string
	model        string
	replica      *replica
	priority     int
	arrival      uint64
	created      time.Time
	endedAt      time.Time
	promptTokens int
	prefillSteps int
	tokens       []string
	finishReason string
	emitted      int
	state        runState
	// changed is closed and replaced whenever a token is emitted or the run is cancelled.
	changed chan struct{}
}

type runState int

const (
	runWaiting runState = iota
	runRunning
	runFinished
	runCancelled
)

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// generate executes one step per tokenTime while any request is running or waiting.
func (e *Engine) generate(ctx context.Context) {
	for {
		select {
		case <-e.wake:
		case <-ctx.Done():
			return
		}
		for e.sleep(ctx, e.tokenTime) {
			if !e.step() {
				break
			}
		}
	}
}

// step emits one token for each running request, or advances its prefill, and reports whether any request is left.
func (e *Engine) step() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fillSlots()
	active := make([]*run, 0, len(e.running))
	for _, r := range e.running {
		if r.advance(); r.state == runRunning {
			active = append(active, r)
			continue
		}
		e.retain(r)
	}
	e.running = active
	e.recordReport()
	return len(e.running)+len(e.waiting) > 0
}

func (r *run) advance() {
	if r.prefillSteps > 0 {
		r.prefillSteps--
		return
	}
	r.emitted++
	if r.emitted >= len(r.tokens) {
		r.state = runFinished
	}
	r.notify()
}

func (e *Engine) fillSlots() {
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.state = runRunning
		e.running = append(e.running, r)
	}
}

// enqueue inserts a run after the waiting runs of the same or a more urgent priority.
func (e *Engine) enqueue(r *run) {
	e.arrivals++
	r.arrival = e.arrivals
	index, _ := slices.BinarySearchFunc(e.waiting, r, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrival, b.arrival))
	})
	e.waiting = slices.Insert(e.waiting, index, r)
	e.recordReport()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// retain keeps an ended run, so that clients can resume it, and removes expired runs.
func (e *Engine) retain(r *run) {
	r.endedAt = time.Now()
	e.retained = append(e.retained, r)
	e.expire()
}

// expire removes the runs that ended longer ago than the retention time.
func (e *Engine) expire() {
	cutoff := time.Now().Add(-e.retention)
	for len(e.retained) > 0 && e.retained[0].endedAt.Before(cutoff) {
		if expired := e.retained[0]; e.runs[expired.id] == expired {
			delete(e.runs, expired.id)
		}
		e.retained = e.retained[1:]
	}
}

// cancelRun cancels a run that has not ended.
func (e *Engine) cancelRun(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.state != runWaiting && r.state != runRunning {
		return
	}
	same := func(other *run) bool { return other == r }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
	r.state = runCancelled
	r.notify()
	e.counts.Cancelled++
	e.retain(r)
	e.recordReport()
}

// responseTokens returns the tokens of a response and the finish reason.
// For the same settings of the engine they depend only on the request.
func (e *Engine) responseTokens(request engineapi.ChatRequest) ([]string, string) {
	tokens := []string{"echo ", request.Model + ": "}
	if n := len(request.Messages); n > 0 {
		tokens = append(tokens, strings.SplitAfter(request.Messages[n-1].Content, " ")...)
	}
	for i := len(tokens); i < e.minTokens; i++ {
		tokens = append(tokens, " .")
	}
	limit := e.maxTokens
	if request.MaxTokens > 0 {
		limit = min(limit, request.MaxTokens)
	}
	if len(tokens) > limit {
		return tokens[:limit], engineapi.FinishLength
	}
	return tokens, engineapi.FinishStop
}
