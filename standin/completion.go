package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"burdocksaddle/engineapi"
)

const (
	// streamTail is the events after the tokens: the finish chunk and StreamDone.
	streamTail = 2
	// defaultUrgency and maxUrgency are those of RFC 9218.
	defaultUrgency = 3
	maxUrgency     = 7
)

// progress is what a reader sees of a run at one moment.
type progress struct {
	emitted int
	state   runState
	changed <-chan struct{}
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request engineapi.ChatRequest
	if !readJSON(w, r, &request) {
		return
	}
	offset, err := strconv.Atoi(r.Header.Get(engineapi.HeaderOffset))
	resumed := err == nil && offset >= 0
	var (
		run    *run
		reason *refusal
	)
	if resumed {
		run, reason = e.find(r.Header.Get(engineapi.HeaderRequestID))
	} else {
		offset = 0
		run, reason = e.begin(r, request)
	}
	switch {
	case reason != nil:
		reason.write(w)
	case request.Stream:
		e.stream(w, r, run, offset)
	default:
		e.whole(w, r, run)
	}
}

// begin starts a run or says why it is refused.
func (e *Engine) begin(r *http.Request, request engineapi.ChatRequest) (*run, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	at := slices.IndexFunc(e.held, func(h *held) bool { return h.serves(request.Model) })
	if at < 0 {
		return nil, refuse(http.StatusNotFound, CodeModelNotLoaded, request.Model)
	}
	if len(e.waiting) >= e.maxWaiting {
		return nil, refuse(http.StatusServiceUnavailable, CodeQueueFull, "too many requests wait")
	}
	id := r.Header.Get(engineapi.HeaderRequestID)
	if id == "" {
		id = "anonymous-" + strconv.FormatUint(e.arrivals+1, 10)
	}
	started := &run{
		id: id, model: request.Model, held: e.held[at], created: time.Now(),
		priority: urgency(r.Header.Get(engineapi.HeaderPriority)), changed: make(chan struct{}),
	}
	started.tokens, started.reason = e.answer(request)
	for _, message := range request.Messages {
		started.prompt += len(strings.Fields(message.Content))
	}
	if !e.prefixes.touch(request.Model, engineapi.PrefixOf(request.Model, request.Messages)) {
		started.prefill = e.prefillSteps
	}
	e.runs[id] = started
	e.runCount.add(id)
	e.enqueue(started)
	return started, nil
}

// find returns a run that was begun before and is still kept.
func (e *Engine) find(id string) (*run, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	if found := e.runs[id]; found != nil {
		return found, nil
	}
	return nil, refuse(http.StatusNotFound, CodeRunNotExist, id)
}

func (e *Engine) progressOf(r *run) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{emitted: r.emitted, state: r.state, changed: r.changed}
}

// await waits until a run has changed since p and says whether the reader is still there.
func (e *Engine) await(r *http.Request, p progress) bool {
	select {
	case <-p.changed:
		return true
	case <-r.Context().Done():
		return false
	case <-e.ctx.Done():
		// An answer cut by the engine's end mustn't look whole.
		panic(http.ErrAbortHandler)
	}
}

// stream sends a run's events from an offset on.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, run *run, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	for {
		p := e.progressOf(run)
		available := p.emitted
		if p.state == runFinished {
			available += streamTail
		}
		for ; offset < available; offset++ {
			if _, err := w.Write(run.event(offset)); err != nil {
				return
			}
		}
		_ = control.Flush()
		if p.state == runFinished {
			return
		}
		if p.state == runCancelled {
			_, _ = w.Write(sse(engineapi.StreamError{Error: engineapi.Problem{Code: CodeCancelled, Detail: run.id}}))
			return
		}
		if !e.await(r, p) {
			return
		}
	}
}

// whole answers once the run has ended.
func (e *Engine) whole(w http.ResponseWriter, r *http.Request, run *run) {
	p := e.progressOf(run)
	for p.state == runWaiting || p.state == runRunning {
		if !e.await(r, p) {
			return
		}
		p = e.progressOf(run)
	}
	if p.state == runCancelled {
		writeProblem(w, http.StatusConflict, CodeCancelled, run.id)
		return
	}
	message := engineapi.ChatMessage{Role: engineapi.RoleAssistant, Content: strings.Join(run.tokens, "")}
	answer := run.completion(engineapi.ObjectCompletion, engineapi.ChatChoice{Message: &message, FinishReason: &run.reason})
	answer.Usage = &engineapi.ChatUsage{
		PromptTokens: run.prompt, CompletionTokens: len(run.tokens), TotalTokens: run.prompt + len(run.tokens),
	}
	writeJSON(w, http.StatusOK, answer)
}

// event returns the event at an offset of a finished or running stream.
func (r *run) event(offset int) []byte {
	switch {
	case offset > len(r.tokens):
		return []byte("data: " + engineapi.StreamDone + "\n\n")
	case offset == len(r.tokens):
		return sse(r.completion(engineapi.ObjectChunk, engineapi.ChatChoice{Delta: &engineapi.ChatDelta{}, FinishReason: &r.reason}))
	}
	delta := engineapi.ChatDelta{Content: r.tokens[offset]}
	if offset == 0 {
		delta.Role = engineapi.RoleAssistant
	}
	return sse(r.completion(engineapi.ObjectChunk, engineapi.ChatChoice{Delta: &delta}))
}

func (r *run) completion(object string, choice engineapi.ChatChoice) engineapi.ChatCompletion {
	return engineapi.ChatCompletion{
		ID: "chatcmpl-" + r.id, Object: object, Created: r.created.Unix(), Model: r.model,
		Choices: []engineapi.ChatChoice{choice},
	}
}

func sse(value any) []byte {
	data, _ := json.Marshal(value)
	return append(append([]byte("data: "), data...), "\n\n"...)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	run, reason := e.find(r.PathValue("id"))
	if reason != nil {
		reason.write(w)
		return
	}
	e.cancelRun(run)
	w.WriteHeader(http.StatusNoContent)
}

// urgency reads the u parameter of an RFC 9218 Priority header.
func urgency(header string) int {
	for part := range strings.SplitSeq(header, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "u=")
		if n, err := strconv.Atoi(value); found && err == nil && n >= 0 && n <= maxUrgency {
			return n
		}
	}
	return defaultUrgency
}
