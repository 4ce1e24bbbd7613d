package standin

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"burdocksaddle/engineapi"
)

// run is the generation of one answer; it goes on without a reader.
type run struct {
	id       string
	model    string
	held     *held
	priority int
	arrival  uint64
	created  time.Time
	endedAt  time.Time
	prompt   int
	prefill  int
	tokens   []string
	reason   string
	emitted  int
	state    runState
	// changed is closed and replaced at every step that concerns readers.
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

// generate takes one step per token time while any request is there.
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

// step emits one token for each running request and says whether any is left.
func (e *Engine) step() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fillSlots()
	left := make([]*run, 0, len(e.running))
	for _, r := range e.running {
		if r.advance(); r.state == runRunning {
			left = append(left, r)
			continue
		}
		e.keep(r)
	}
	e.running = left
	e.report()
	return len(e.running)+len(e.waiting) > 0
}

func (r *run) advance() {
	if r.prefill > 0 {
		r.prefill--
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

// enqueue places a run behind those of its own and of more urgent priority.
func (e *Engine) enqueue(r *run) {
	e.arrivals++
	r.arrival = e.arrivals
	at, _ := slices.BinarySearchFunc(e.waiting, r, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrival, b.arrival))
	})
	e.waiting = slices.Insert(e.waiting, at, r)
	e.report()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// keep holds an ended run for readers that come back and lets go of expired ones.
func (e *Engine) keep(r *run) {
	r.endedAt = time.Now()
	e.kept = append(e.kept, r)
	e.expire()
}

func (e *Engine) expire() {
	oldest := time.Now().Add(-e.keepRuns)
	for len(e.kept) > 0 && e.kept[0].endedAt.Before(oldest) {
		if gone := e.kept[0]; e.runs[gone.id] == gone {
			delete(e.runs, gone.id)
		}
		e.kept = e.kept[1:]
	}
}

// cancelRun ends a run that hasn't finished.
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
	e.keep(r)
	e.report()
}

// answer returns the tokens for a request, a function of the request alone, and why they end.
func (e *Engine) answer(request engineapi.ChatRequest) ([]string, string) {
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
