package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/engineapi"
)

// getJSON sends a GET request and decodes the response.
func getJSON[T any](t *testing.T, h http.Handler, path string) T {
	t.Helper()
	w := sendRequest(t.Context(), h, http.MethodGet, path, "", nil)
	var got T
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
		t.Fatalf("%s: status %d: %v", path, w.Code, err)
	}
	return got
}

func chat(user string) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}]}`, user)
}

func TestCancelEndsRun(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodDelete} {
		synctest.Test(t, func(t *testing.T) {
			e := newLoadedEngine(t, TokenTime(time.Second))
			defer e.Close()
			var stream *httptest.ResponseRecorder
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				stream = sendRequest(t.Context(), e, http.MethodPost, engineapi.PathCompletions, streamBody, http.Header{"X-Request-Id": {"a"}})
			}()
			synctest.Wait()
			if w := sendRequest(t.Context(), e, method, engineapi.PathCancel+"a", "", nil); w.Code != http.StatusNoContent {
				t.Errorf("%s: status %d", method, w.Code)
			}
			<-ended
			if _, _, done := parseStream(t, stream.Body.String()); done || !strings.Contains(stream.Body.String(), CodeCancelled) {
				t.Errorf("cancelled stream ends with %q", stream.Body)
			}
			if w := sendRequest(t.Context(), e, method, engineapi.PathCancel+"z", "", nil); w.Code != http.StatusNotFound {
				t.Errorf("%s of an unknown run: status %d", method, w.Code)
			}
			if got := e.Counts().Cancelled; got != 1 {
				t.Errorf("cancelled: %d", got)
			}
		})
	}
}

func TestWaitingRequestsRunByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newLoadedEngine(t, Slots(1), MaxWaiting(2))
		defer e.Close()
		var (
			mu        sync.Mutex
			completed []string
			group     sync.WaitGroup
		)
		for i, priority := range []string{"u=3", "u=7", "u=1, i", "u=0"} {
			group.Go(func() {
				w := sendRequest(t.Context(), e, http.MethodPost, engineapi.PathCompletions, chat("x"), http.Header{"Priority": {priority}})
				mu.Lock()
				defer mu.Unlock()
				completed = append(completed, fmt.Sprintf("%s %d", priority, w.Code))
			})
			// The first request takes the only slot before the others arrive, so that those wait.
			if synctest.Wait(); i == 0 {
				time.Sleep(defaultTokenTime)
				synctest.Wait()
			}
		}
		group.Wait()
		if diff := cmp.Diff([]string{"u=0 503", "u=3 200", "u=1, i 200", "u=7 200"}, completed); diff != "" {
			t.Error(diff)
		}
	})
}

func TestReportIsDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newLoadedEngine(t, TokenTime(time.Second), ReportLag(500*time.Millisecond))
		defer e.Close()
		go sendRequest(t.Context(), e, http.MethodPost, engineapi.PathCompletions, chat("x"), nil)
		synctest.Wait()
		for _, want := range []engineapi.LoadReport{
			{Slots: defaultSlots, AgeMS: 500},
			{Slots: defaultSlots, AgeMS: 500, Waiting: 1},
			{Slots: defaultSlots, AgeMS: 500, Waiting: 1},
			{Slots: defaultSlots, AgeMS: 500, Running: 1},
		} {
			if diff := cmp.Diff(want, getJSON[engineapi.LoadReport](t, e, engineapi.PathReport)); diff != "" {
				t.Error(diff)
			}
			time.Sleep(500 * time.Millisecond)
			synctest.Wait()
		}
	})
}

func TestCacheEventsAreDelayedWithGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newLoadedEngine(t, Prefixes(2), EventLag(time.Hour), EventGap(3))
		defer e.Close()
		for _, user := range []string{"a", "b", "a", "c", "d"} {
			sendRequest(t.Context(), e, http.MethodPost, engineapi.PathCompletions, chat(user), nil)
		}
		if got := getJSON[[]engineapi.CacheEvent](t, e, engineapi.PathEvents); len(got) != 0 {
			t.Errorf("before the lag: %v", got)
		}
		time.Sleep(time.Hour)
		prefix := func(user string) uint64 {
			return engineapi.PrefixHash("m", []engineapi.ChatMessage{{Role: engineapi.RoleUser, Content: user}})
		}
		// Events 3 (c is added) and 6 (a is dropped) are omitted because of the gap.
		want := []engineapi.CacheEvent{
			{Sequence: 2, Model: "m", Prefix: prefix("b")},
			{Sequence: 4, Model: "m", Prefix: prefix("b"), Dropped: true},
			{Sequence: 5, Model: "m", Prefix: prefix("d")},
		}
		if diff := cmp.Diff(want, getJSON[[]engineapi.CacheEvent](t, e, engineapi.PathEvents+"?after=1")); diff != "" {
			t.Error(diff)
		}
	})
}

func TestKVExportImport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, to := newLoadedEngine(t), newLoadedEngine(t)
		defer from.Close()
		defer to.Close()
		sendRequest(t.Context(), from, http.MethodPost, engineapi.PathCompletions, chat("a"), nil)
		prefix := engineapi.PrefixHash("m", []engineapi.ChatMessage{{Role: engineapi.RoleUser, Content: "a"}})
		path := fmt.Sprint(engineapi.PathKV, prefix)
		if w := sendRequest(t.Context(), to, http.MethodGet, path, "", nil); w.Code != http.StatusNotFound {
			t.Errorf("before the import: status %d", w.Code)
		}
		exported := sendRequest(t.Context(), from, http.MethodGet, path, "", nil).Body.String()
		if w := sendRequest(t.Context(), to, http.MethodPut, path, exported, nil); w.Code != http.StatusNoContent {
			t.Errorf("import: status %d", w.Code)
		}
		if got := getJSON[engineapi.KV](t, to, path); got.Model != "m" || got.Prefix != prefix {
			t.Errorf("imported: %+v", got)
		}
		start := time.Now()
		sendRequest(t.Context(), to, http.MethodPost, engineapi.PathCompletions, chat("a"), nil)
		if got, want := time.Since(start), 3*defaultTokenTime; got != want {
			t.Errorf("a response of 3 tokens with a cached prefix took %v, want %v", got, want)
		}
	})
}

func TestUnloadWaitsForLastRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newLoadedEngine(t)
		defer e.Close()
		var w *httptest.ResponseRecorder
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			w = sendRequest(t.Context(), e, http.MethodPost, engineapi.PathCompletions, chat("x"), nil)
		}()
		synctest.Wait()
		sendOrder(t, e, engineapi.PathUnload, engineapi.Order{Model: "m", Version: "1", Fence: 6})
		if got := sendRequest(t.Context(), e, http.MethodPost, engineapi.PathCompletions, chat("y"), nil).Code; got != http.StatusNotFound {
			t.Errorf("new request while unloading: status %d", got)
		}
		// The response takes longer than the unload itself.
		time.Sleep(defaultUnloadTime + 1)
		if got := len(e.State().Held); got != 1 {
			t.Errorf("%d replicas held while a request runs", got)
		}
		<-ended
		time.Sleep(time.Second)
		if got := len(e.State().Held); got != 0 || w.Code != http.StatusOK {
			t.Errorf("%d replicas held at the end, status %d", got, w.Code)
		}
	})
}

func TestMaxTokensTruncatesCompletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newLoadedEngine(t)
		defer e.Close()
		body := strings.Replace(completionBody, "{", `{"max_tokens":3,`, 1)
		var got engineapi.ChatCompletion
		w := sendRequest(t.Context(), e, http.MethodPost, engineapi.PathCompletions, body, nil)
		if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
			t.Fatal(err)
		}
		choice := got.Choices[0]
		if choice.Message.Content != "echo m: hose " || *choice.FinishReason != engineapi.FinishLength {
			t.Errorf("%q, %s", choice.Message.Content, *choice.FinishReason)
		}
	})
}

func TestFinishedRunExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newLoadedEngine(t)
		defer e.Close()
		sendRequest(t.Context(), e, http.MethodPost, engineapi.PathCompletions, streamBody, http.Header{"X-Request-Id": {"a"}})
		for _, want := range []int{http.StatusOK, http.StatusNotFound} {
			time.Sleep(defaultRunRetention / 2)
			resumed := http.Header{"X-Request-Id": {"a"}, "X-Resume-Offset": {"0"}}
			if got := sendRequest(t.Context(), e, http.MethodPost, engineapi.PathCompletions, streamBody, resumed).Code; got != want {
				t.Errorf("status %d, want %d", got, want)
			}
			time.Sleep(time.Second)
		}
	})
}
