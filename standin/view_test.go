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

// read decodes the answer to a GET.
func read[T any](t *testing.T, h http.Handler, path string) T {
	t.Helper()
	w := ask(t.Context(), h, http.MethodGet, path, "", nil)
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
			e := loadedEngine(t, TokenTime(time.Second))
			defer e.Close()
			var stream *httptest.ResponseRecorder
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				stream = ask(t.Context(), e, http.MethodPost, engineapi.PathCompletions, streamBody, http.Header{"X-Request-Id": {"a"}})
			}()
			synctest.Wait()
			if w := ask(t.Context(), e, method, engineapi.PathCancel+"a", "", nil); w.Code != http.StatusNoContent {
				t.Errorf("%s: status %d", method, w.Code)
			}
			<-ended
			if _, _, done := streamed(t, stream.Body.String()); done || !strings.Contains(stream.Body.String(), CodeCancelled) {
				t.Errorf("a cancelled stream ends with %q", stream.Body)
			}
			if w := ask(t.Context(), e, method, engineapi.PathCancel+"z", "", nil); w.Code != http.StatusNotFound {
				t.Errorf("%s of an unknown run: status %d", method, w.Code)
			}
			if got := e.Counts().Cancelled; got != 1 {
				t.Errorf("cancelled: %d", got)
			}
		})
	}
}

func TestWaitingGoByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := loadedEngine(t, Slots(1), MaxWaiting(2))
		defer e.Close()
		var (
			mu    sync.Mutex
			order []string
			group sync.WaitGroup
		)
		for i, priority := range []string{"u=3", "u=7", "u=1, i", "u=0"} {
			group.Go(func() {
				w := ask(t.Context(), e, http.MethodPost, engineapi.PathCompletions, chat("x"), http.Header{"Priority": {priority}})
				mu.Lock()
				defer mu.Unlock()
				order = append(order, fmt.Sprintf("%s %d", priority, w.Code))
			})
			// The first has its slot before the others come; those wait.
			if synctest.Wait(); i == 0 {
				time.Sleep(defaultTokenTime)
				synctest.Wait()
			}
		}
		group.Wait()
		if diff := cmp.Diff([]string{"u=0 503", "u=3 200", "u=1, i 200", "u=7 200"}, order); diff != "" {
			t.Error(diff)
		}
	})
}

func TestReportIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := loadedEngine(t, TokenTime(time.Second), ReportLag(500*time.Millisecond))
		defer e.Close()
		go ask(t.Context(), e, http.MethodPost, engineapi.PathCompletions, chat("x"), nil)
		synctest.Wait()
		for _, want := range []engineapi.Report{
			{Slots: defaultSlots, AgeMS: 500},
			{Slots: defaultSlots, AgeMS: 500, Waiting: 1},
			{Slots: defaultSlots, AgeMS: 500, Waiting: 1},
			{Slots: defaultSlots, AgeMS: 500, Running: 1},
		} {
			if diff := cmp.Diff(want, read[engineapi.Report](t, e, engineapi.PathReport)); diff != "" {
				t.Error(diff)
			}
			time.Sleep(500 * time.Millisecond)
			synctest.Wait()
		}
	})
}

func TestCacheEventsAreLateWithGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := loadedEngine(t, Prefixes(2), EventLag(time.Hour), EventGap(3))
		defer e.Close()
		for _, user := range []string{"a", "b", "a", "c", "d"} {
			ask(t.Context(), e, http.MethodPost, engineapi.PathCompletions, chat(user), nil)
		}
		if got := read[[]engineapi.CacheEvent](t, e, engineapi.PathEvents); len(got) != 0 {
			t.Errorf("before the lag: %v", got)
		}
		time.Sleep(time.Hour)
		prefix := func(user string) uint64 {
			return engineapi.PrefixOf("m", []engineapi.ChatMessage{{Role: engineapi.RoleUser, Content: user}})
		}
		// Number 3, the entry of c, falls into the gap, and so does 6, which nothing has reached.
		want := []engineapi.CacheEvent{
			{Sequence: 2, Model: "m", Prefix: prefix("b")},
			{Sequence: 4, Model: "m", Prefix: prefix("b"), Dropped: true},
			{Sequence: 5, Model: "m", Prefix: prefix("d")},
		}
		if diff := cmp.Diff(want, read[[]engineapi.CacheEvent](t, e, engineapi.PathEvents+"?after=1")); diff != "" {
			t.Error(diff)
		}
	})
}

func TestKVMovesBetweenEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, to := loadedEngine(t), loadedEngine(t)
		defer from.Close()
		defer to.Close()
		ask(t.Context(), from, http.MethodPost, engineapi.PathCompletions, chat("a"), nil)
		prefix := engineapi.PrefixOf("m", []engineapi.ChatMessage{{Role: engineapi.RoleUser, Content: "a"}})
		path := fmt.Sprint(engineapi.PathKV, prefix)
		if w := ask(t.Context(), to, http.MethodGet, path, "", nil); w.Code != http.StatusNotFound {
			t.Errorf("before the import: status %d", w.Code)
		}
		exported := ask(t.Context(), from, http.MethodGet, path, "", nil).Body.String()
		if w := ask(t.Context(), to, http.MethodPut, path, exported, nil); w.Code != http.StatusNoContent {
			t.Errorf("import: status %d", w.Code)
		}
		if got := read[engineapi.KV](t, to, path); got.Model != "m" || got.Prefix != prefix {
			t.Errorf("imported: %+v", got)
		}
		start := time.Now()
		ask(t.Context(), to, http.MethodPost, engineapi.PathCompletions, chat("a"), nil)
		if got, want := time.Since(start), 3*defaultTokenTime; got != want {
			t.Errorf("an answer of 3 tokens on a cached prefix took %v, want %v", got, want)
		}
	})
}

func TestUnloadWaitsForLastRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := loadedEngine(t)
		defer e.Close()
		var w *httptest.ResponseRecorder
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			w = ask(t.Context(), e, http.MethodPost, engineapi.PathCompletions, chat("x"), nil)
		}()
		synctest.Wait()
		order(t, e, engineapi.PathUnload, engineapi.Order{Model: "m", Version: "1", Fence: 6})
		if got := ask(t.Context(), e, http.MethodPost, engineapi.PathCompletions, chat("y"), nil).Code; got != http.StatusNotFound {
			t.Errorf("a new request while unloading: status %d", got)
		}
		// The answer takes longer than the unload itself.
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

func TestMaxTokensCutsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := loadedEngine(t)
		defer e.Close()
		body := strings.Replace(wholeBody, "{", `{"max_tokens":3,`, 1)
		var got engineapi.ChatCompletion
		w := ask(t.Context(), e, http.MethodPost, engineapi.PathCompletions, body, nil)
		if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
			t.Fatal(err)
		}
		choice := got.Choices[0]
		if choice.Message.Content != "echo m: hose " || *choice.FinishReason != engineapi.FinishLength {
			t.Errorf("%q, %s", choice.Message.Content, *choice.FinishReason)
		}
	})
}

func TestEndedRunIsKeptForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := loadedEngine(t)
		defer e.Close()
		ask(t.Context(), e, http.MethodPost, engineapi.PathCompletions, streamBody, http.Header{"X-Request-Id": {"a"}})
		for _, want := range []int{http.StatusOK, http.StatusNotFound} {
			time.Sleep(defaultKeepRuns / 2)
			resumed := http.Header{"X-Request-Id": {"a"}, "X-Resume-Offset": {"0"}}
			if got := ask(t.Context(), e, http.MethodPost, engineapi.PathCompletions, streamBody, resumed).Code; got != want {
				t.Errorf("status %d, want %d", got, want)
			}
			time.Sleep(time.Second)
		}
	})
}
