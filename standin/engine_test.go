package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/engineapi"
)

// sendRequest sends a request to a handler. If the handler aborts the response, its status is 0.
func sendRequest(ctx context.Context, h http.Handler, method, path, body string, header http.Header) (w *httptest.ResponseRecorder) {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	for key := range header {
		r.Header.Set(key, header.Get(key))
	}
	w = httptest.NewRecorder()
	defer func() {
		cause := recover()
		if err, _ := cause.(error); errors.Is(err, http.ErrAbortHandler) {
			w.Code = 0
		} else if cause != nil {
			panic(cause)
		}
	}()
	h.ServeHTTP(w, r)
	return w
}

func sendOrder(t *testing.T, e *Engine, path string, o engineapi.Order) int {
	t.Helper()
	body, err := json.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	return sendRequest(t.Context(), e, http.MethodPost, path, string(body), nil).Code
}

func newLoadedEngine(t *testing.T, options ...EngineOption) *Engine {
	t.Helper()
	e := NewEngine(t.Context(), options...)
	if got := sendOrder(t, e, engineapi.PathLoad, engineapi.Order{Model: "m", Version: "1", MemoryMB: 10, Fence: 5}); got != http.StatusAccepted {
		t.Fatalf("load: status %d", got)
	}
	time.Sleep(2 * remoteLoadTime)
	return e
}

const (
	completionBody = `{"model":"m","messages":[{"role":"user","content":"hose A is torn"}]}`
	streamBody     = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hose A is torn"}]}`
	wantText       = "echo m: hose A is torn"
	wantEvents     = 8
)

// parseStream returns the text and the number of events of an SSE response, and whether it ended with StreamDone.
func parseStream(t *testing.T, body string) (text string, events int, done bool) {
	t.Helper()
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		events++
		if done = data == engineapi.StreamDone; done {
			continue
		}
		var chunk engineapi.ChatCompletion
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatal(err)
		}
		for _, choice := range chunk.Choices {
			text += choice.Delta.Content
		}
	}
	return text, events, done
}

func TestEngineCompletions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newLoadedEngine(t)
		defer e.Close()
		w := sendRequest(t.Context(), e, http.MethodPost, engineapi.PathCompletions, completionBody, http.Header{"X-Request-Id": {"a"}})
		var response engineapi.ChatCompletion
		if err := json.Unmarshal(w.Body.Bytes(), &response); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(wantText, response.Choices[0].Message.Content); diff != "" {
			t.Error(diff)
		}
		w = sendRequest(t.Context(), e, http.MethodPost, engineapi.PathCompletions, streamBody, http.Header{"X-Request-Id": {"b"}})
		text, events, done := parseStream(t, w.Body.String())
		if text != wantText || events != wantEvents || !done {
			t.Errorf("stream: %q, %d events, done %t", text, events, done)
		}
		if diff := cmp.Diff(map[string]int{"a": 1, "b": 1}, e.Counts().Runs); diff != "" {
			t.Error(diff)
		}
		missing := sendRequest(t.Context(), e, http.MethodPost, engineapi.PathCompletions, `{"model":"other"}`, nil)
		if missing.Code != http.StatusNotFound {
			t.Errorf("model that is not loaded: status %d", missing.Code)
		}
	})
}

func TestEngineResumesAfterLostConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newLoadedEngine(t, PrefillSteps(0), TokenTime(time.Second))
		defer e.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		first := sendRequest(ctx, e, http.MethodPost, engineapi.PathCompletions, streamBody, http.Header{"X-Request-Id": {"a"}})
		head, events, done := parseStream(t, first.Body.String())
		if events != 2 || done {
			t.Fatalf("interrupted stream has %d events, done %t", events, done)
		}
		second := sendRequest(t.Context(), e, http.MethodPost, engineapi.PathCompletions, streamBody,
			http.Header{"X-Request-Id": {"a"}, "X-Resume-Offset": {"2"}})
		tail, events, done := parseStream(t, second.Body.String())
		if head+tail != wantText || events != wantEvents-2 || !done {
			t.Errorf("resumed: %q + %q, %d events, done %t", head, tail, events, done)
		}
		if got := e.Counts().Runs["a"]; got != 1 {
			t.Errorf("runs: %d", got)
		}
		unknown := sendRequest(t.Context(), e, http.MethodPost, engineapi.PathCompletions, streamBody,
			http.Header{"X-Request-Id": {"z"}, "X-Resume-Offset": {"0"}})
		if unknown.Code != http.StatusNotFound {
			t.Errorf("unknown run: status %d", unknown.Code)
		}
	})
}

func TestEngineOrders(t *testing.T) {
	type step struct {
		path  string
		order engineapi.Order
		want  int
	}
	load := func(model string, mb, fence uint64, want int) step {
		return step{engineapi.PathLoad, engineapi.Order{Model: model, Version: "1", MemoryMB: mb, Fence: fence}, want}
	}
	unload := func(model string, fence uint64, want int) step {
		return step{engineapi.PathUnload, engineapi.Order{Model: model, Version: "1", Fence: fence}, want}
	}
	tests := []struct {
		name    string
		options []EngineOption
		fault   Fault
		steps   []step
		want    Counts
		held    []string
	}{
		{name: "old fence refused", options: []EngineOption{CheckFencing(true)},
			steps: []step{load("m", 10, 5, 202), unload("m", 4, 409), load("n", 10, 5, 202)},
			want:  Counts{Loads: 2, RefusedOrders: 1, PeakMB: 20, PeakReplicas: map[string]int{"m": 1, "n": 1}}, held: []string{"m", "n"}},
		{name: "old fence ignored",
			steps: []step{load("m", 10, 5, 202), unload("m", 4, 202)},
			want:  Counts{Loads: 1, Unloads: 1, OldOrders: 1, PeakMB: 10, PeakReplicas: map[string]int{"m": 1}}},
		{name: "overcommitted", options: []EngineOption{Memory(15)},
			steps: []step{load("m", 10, 1, 202), load("n", 10, 2, 202)},
			want:  Counts{Loads: 2, Overcommits: 1, PeakMB: 20, PeakReplicas: map[string]int{"m": 1, "n": 1}}, held: []string{"m", "n"}},
		{name: "overcommit refused", options: []EngineOption{Memory(15), RefuseOvercommit(true)},
			steps: []step{load("m", 10, 1, 202), load("n", 10, 2, 409), load("m", 10, 3, 202)},
			want:  Counts{Loads: 1, RefusedOrders: 1, PeakMB: 10, PeakReplicas: map[string]int{"m": 1}}, held: []string{"m"}},
		{name: "unloading replica occupies memory", options: []EngineOption{Memory(15)},
			steps: []step{load("m", 10, 1, 202), unload("m", 2, 202), load("m", 10, 3, 202)},
			want:  Counts{Loads: 2, Unloads: 1, Overcommits: 1, PeakMB: 20, PeakReplicas: map[string]int{"m": 2}}, held: []string{"m"}},
		{name: "crash during load", fault: Fault{DieInLoad: true}, steps: []step{load("m", 10, 1, 202)},
			want: Counts{Loads: 1, LostLoads: 1, PeakMB: 10, PeakReplicas: map[string]int{"m": 1}}},
		{name: "delayed order", fault: Fault{LateOrderMS: 60_000}, steps: []step{load("m", 10, 1, 202)},
			want: Counts{PeakReplicas: map[string]int{}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := NewEngine(t.Context(), test.options...)
				defer e.Close()
				e.SetFault(test.fault)
				for i, step := range test.steps {
					if got := sendOrder(t, e, step.path, step.order); got != step.want {
						t.Errorf("step %d: status %d, want %d", i, got, step.want)
					}
				}
				time.Sleep(2 * remoteLoadTime)
				test.want.Runs = map[string]int{}
				if diff := cmp.Diff(test.want, e.Counts()); diff != "" {
					t.Error(diff)
				}
				var held []string
				for _, h := range e.State().Held {
					held = append(held, h.Model)
					if h.State != engineapi.HeldLoaded {
						t.Errorf("%s is %s", h.Model, h.State)
					}
				}
				if diff := cmp.Diff(test.held, held); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}
