package entry_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/engineapi"
	"burdocksaddle/setting"
	"burdocksaddle/standin"
)

// brokenEngine breaks the first stream off after two events and answers the further calls of a completion as a test says.
type brokenEngine struct {
	*standin.Engine
	mu    sync.Mutex
	calls int
	next  func(w http.ResponseWriter, offset int)
}

// ServeHTTP implements http.Handler.
func (b *brokenEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != engineapi.PathCompletions {
		b.Engine.ServeHTTP(w, r)
		return
	}
	b.mu.Lock()
	b.calls++
	first, next := b.calls == 1, b.next
	b.mu.Unlock()
	if !first {
		offset, _ := strconv.Atoi(r.Header.Get(engineapi.HeaderResumeOffset)) // 0 without the header
		next(w, offset)
		return
	}
	sendEvents(w, 0, 2)
	panic(http.ErrAbortHandler)
}

func (b *brokenEngine) answer(next func(w http.ResponseWriter, offset int)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls, b.next = 0, next
}

// numberedEvents returns the events from first on, before the one with the number end.
func numberedEvents(first, end int) string {
	text := ""
	for n := first; n < end; n++ {
		text += fmt.Sprintf("data: {\"n\":%d}\n\n", n)
	}
	return text
}

const doneEvent = "data: " + engineapi.StreamDone + "\n\n"

func sendEvents(w http.ResponseWriter, first, end int) {
	w.Header().Set("Content-Type", "text/event-stream")
	sendText(w, numberedEvents(first, end))
}

func sendText(w http.ResponseWriter, text string) {
	_, _ = w.Write([]byte(text)) // the agent may have closed the connection
	_ = http.NewResponseController(w).Flush()
}

// TestErrorIsNotJoinedToBrokenStream guards against a stream that goes on with an error's text, or ends as if it were complete, after its
// engine broke it off.
func TestErrorIsNotJoinedToBrokenStream(t *testing.T) {
	t.Parallel()
	fail := func(status int, contentType, text string) func(http.ResponseWriter, int) {
		return func(w http.ResponseWriter, _ int) {
			w.Header().Set("Content-Type", contentType)
			w.WriteHeader(status)
			sendText(w, text)
		}
	}
	const stream, failure = "text/event-stream", "data: {\"error\":{\"Code\":\"Failed\"}}\n\n"
	tests := map[string]struct {
		next func(w http.ResponseWriter, offset int)
		// events is how many the caller gets.
		events int
	}{
		"500":                    {fail(http.StatusInternalServerError, "text/plain", "failed\n\n"), 2},
		"500 with events":        {fail(http.StatusInternalServerError, stream, numberedEvents(2, 4)+doneEvent), 2},
		"JSON":                   {fail(http.StatusOK, "application/json", "{}\n\n"), 2},
		"JSON with two parts":    {fail(http.StatusOK, "application/json", "{}\n\n{}\n\n"), 2},
		"text":                   {fail(http.StatusOK, "text/plain", "a\n\nb\n\nc\n\n"), 2},
		"empty":                  {fail(http.StatusOK, "application/json", ""), 2},
		"empty stream":           {fail(http.StatusOK, stream, ""), 2},
		"error event":            {fail(http.StatusOK, stream, failure), 2},
		"error event at its end": {func(w http.ResponseWriter, offset int) { sendEvents(w, offset, 3); sendText(w, failure) }, 3},
		"ends without its end":   {func(w http.ResponseWriter, offset int) { sendEvents(w, offset, 4) }, 4},
	}
	c := newCluster(t, clusterConfig{entries: 1})
	engine := &brokenEngine{Engine: standin.NewEngine(c.ctx, standin.LoadTime(func(engineapi.Order, string) time.Duration { return 10 * time.Millisecond }))}
	c.addAgent("engine-0", modelService, setting.KindModel, engine, 0)
	c.await("engine known to the entry", func() bool { return len(c.entries[0].Dump().Endpoints) == 1 })
	c.loadModelOnEngines(1)
	goOn := func(w http.ResponseWriter, offset int) { sendEvents(w, offset, 4); sendText(w, doneEvent) }
	for name, test := range tests {
		var got result
		c.await("a stream that goes on", func() bool { // the engine may be avoided because of its earlier errors
			engine.answer(goOn)
			got = c.chat(t.Context(), 0, "a few words", true, time.Second)
			return got.err == nil
		})
		if diff := cmp.Diff(numberedEvents(0, 4)+doneEvent, got.body); diff != "" {
			t.Error(diff)
		}
		engine.answer(test.next)
		got = c.chat(t.Context(), 0, "a few words", true, time.Second)
		if got.err == nil || got.body != numberedEvents(0, test.events) {
			t.Errorf("%s: %v, %q", name, got.err, got.body)
		}
	}
}
