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
	// streamEndEvents is the number of events after the tokens: the finish chunk and StreamDone.
	streamEndEvents = 2
	// defaultUrgency and maxUrgency are defined by RFC 9218.
	defaultUrgency = 3
	maxUrgency     = 7
)

// progress is a snapshot of the state of a run.
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
	offset, err := strconv.Atoi(r.Header.Get(engineapi.HeaderResumeOffset))
	resumed := err == nil && offset >= 0
	var (
		run     *run
		httpErr *httpError
	)
	if resumed {
		run, httpErr = e.findRun(r.Header.Get(engineapi.HeaderRequestID))
	} else {
		offset = 0
		run, httpErr = e.startRun(r, request)
	}
	switch {
	case httpErr != nil:
		httpErr.write(w)
	case request.Stream:
		e.streamRun(w, r, run, offset)
	default:
		e.sendCompletion(w, r, run)
	}
}

// startRun creates and enqueues a run, or returns why the request is refused.
func (e *Engine) startRun(r *http.Request, request engineapi.ChatRequest) (*run, *httpError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	index := slices.IndexFunc(e.replicas, func(candidate *replica) bool { return candidate.serves(request.Model) })
	if index < 0 {
		return nil, newHTTPError(http.StatusNotFound, CodeModelNotLoaded, request.Model)
	}
	if len(e.waiting) >= e.maxWaiting {
		return nil, newHTTPError(http.StatusServiceUnavailable, CodeQueueFull, "too many waiting requests")
	}
	id := r.Header.Get(engineapi.HeaderRequestID)
	if id == "" {
		id = "anonymous-" + strconv.FormatUint(e.arrivals+1, 10)
	}
	newRun := &run{
		id: id, model: request.Model, replica: e.replicas[index], created: time.Now(),
		priority: urgency(r.Header.Get(engineapi.HeaderPriority)), changed: make(chan struct{}),
	}
	newRun.tokens, newRun.finishReason = e.responseTokens(request)
	for _, message := range request.Messages {
		newRun.promptTokens += len(strings.Fields(message.Content))
	}
	if !e.prefixes.touch(request.Model, engineapi.PrefixHash(request.Model, request.Messages)) {
		newRun.prefillSteps = e.prefillSteps
	}
	e.runs[id] = newRun
	e.runCount.add(id)
	e.enqueue(newRun)
	return newRun, nil
}

// findRun returns a run that was started before and has not expired.
func (e *Engine) findRun(id string) (*run, *httpError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	if found := e.runs[id]; found != nil {
		return found, nil
	}
	return nil, newHTTPError(http.StatusNotFound, CodeRunNotExist, id)
}

func (e *Engine) progressOf(r *run) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{emitted: r.emitted, state: r.state, changed: r.changed}
}

// waitForChange waits until a run has changed since p. It reports whether that happened before the client disconnected.
func (e *Engine) waitForChange(r *http.Request, p progress) bool {
	select {
	case <-p.changed:
		return true
	case <-r.Context().Done():
		return false
	case <-e.ctx.Done():
		// Aborts the connection, so that a response truncated by the shutdown does not look complete.
		panic(http.ErrAbortHandler)
	}
}

// streamRun sends the events of a run, starting at offset.
func (e *Engine) streamRun(w http.ResponseWriter, r *http.Request, run *run, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	for {
		p := e.progressOf(run)
		available := p.emitted
		if p.state == runFinished {
			available += streamEndEvents
		}
		for ; offset < available; offset++ {
			if _, err := w.Write(run.event(offset)); err != nil {
				return
			}
		}
		_ = controller.Flush()
		if p.state == runFinished {
			return
		}
		if p.state == runCancelled {
			_, _ = w.Write(sseEvent(engineapi.StreamError{Error: engineapi.Problem{Code: CodeCancelled, Detail: run.id}}))
			return
		}
		if !e.waitForChange(r, p) {
			return
		}
	}
}

// sendCompletion waits until the run has ended and sends the complete response.
func (e *Engine) sendCompletion(w http.ResponseWriter, r *http.Request, run *run) {
	p := e.progressOf(run)
	for p.state == runWaiting || p.state == runRunning {
		if !e.waitForChange(r, p) {
			return
		}
		p = e.progressOf(run)
	}
	if p.state == runCancelled {
		writeProblem(w, http.StatusConflict, CodeCancelled, run.id)
		return
	}
	message := engineapi.ChatMessage{Role: engineapi.RoleAssistant, Content: strings.Join(run.tokens, "")}
	completion := run.completion(engineapi.ObjectCompletion, engineapi.ChatChoice{Message: &message, FinishReason: &run.finishReason})
	completion.Usage = &engineapi.ChatUsage{
		PromptTokens: run.promptTokens, CompletionTokens: len(run.tokens), TotalTokens: run.promptTokens + len(run.tokens),
	}
	writeJSON(w, http.StatusOK, completion)
}

// event returns the event at an offset of a run's stream.
func (r *run) event(offset int) []byte {
	switch {
	case offset > len(r.tokens):
		return []byte("data: " + engineapi.StreamDone + "\n\n")
	case offset == len(r.tokens):
		return sseEvent(r.completion(engineapi.ObjectChunk, engineapi.ChatChoice{Delta: &engineapi.ChatDelta{}, FinishReason: &r.finishReason}))
	}
	delta := engineapi.ChatDelta{Content: r.tokens[offset]}
	if offset == 0 {
		delta.Role = engineapi.RoleAssistant
	}
	return sseEvent(r.completion(engineapi.ObjectChunk, engineapi.ChatChoice{Delta: &delta}))
}

func (r *run) completion(object string, choice engineapi.ChatChoice) engineapi.ChatCompletion {
	return engineapi.ChatCompletion{
		ID: "chatcmpl-" + r.id, Object: object, Created: r.created.Unix(), Model: r.model,
		Choices: []engineapi.ChatChoice{choice},
	}
}

func sseEvent(value any) []byte {
	data, _ := json.Marshal(value)
	return append(append([]byte("data: "), data...), "\n\n"...)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	run, httpErr := e.findRun(r.PathValue("id"))
	if httpErr != nil {
		httpErr.write(w)
		return
	}
	e.cancelRun(run)
	w.WriteHeader(http.StatusNoContent)
}

// urgency parses the u parameter of an RFC 9218 Priority header.
func urgency(header string) int {
	for part := range strings.SplitSeq(header, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "u=")
		if n, err := strconv.Atoi(value); found && err == nil && n >= 0 && n <= maxUrgency {
			return n
		}
	}
	return defaultUrgency
}
