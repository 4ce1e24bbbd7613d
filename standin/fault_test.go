package standin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/engineapi"
)

// handlerTransport is an http.RoundTripper that calls a handler directly.
type handlerTransport struct{ http.Handler }

func (d handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := sendRequest(r.Context(), d, r.Method, r.URL.RequestURI(), "", r.Header)
	if w.Code == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	return w.Result(), nil
}

func TestSilentStallsOpenStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newLoadedEngine(t, PrefillSteps(0), TokenTime(time.Second))
		defer e.Close()
		time.AfterFunc(2500*time.Millisecond, func() { e.SetFault(Fault{Silent: true}) })
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		w := sendRequest(ctx, e, http.MethodPost, engineapi.PathCompletions, streamBody, nil)
		if _, events, done := parseStream(t, w.Body.String()); events != 2 || done || ctx.Err() == nil {
			t.Errorf("the stalled stream has %d events, done %t, its context ends with %v", events, done, ctx.Err())
		}
	})
}

func TestStallOpenStallsOldConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newLoadedEngine(t, PrefillSteps(0), TokenTime(time.Second))
		defer e.Close()
		oldConn := e.ConnContext(t.Context(), nil)
		ctx, cancel := context.WithTimeout(oldConn, time.Hour)
		defer cancel()
		time.AfterFunc(1500*time.Millisecond, func() { e.SetFault(Fault{StallOpen: true}) })
		w := sendRequest(ctx, e, http.MethodPost, engineapi.PathCompletions, streamBody, http.Header{"X-Request-Id": {"a"}})
		if _, events, _ := parseStream(t, w.Body.String()); events != 1 || ctx.Err() == nil {
			t.Errorf("the stalled stream has %d events, its context ends with %v", events, ctx.Err())
		}
		ctx, cancel = context.WithTimeout(oldConn, time.Hour)
		defer cancel()
		if got := sendRequest(ctx, e, http.MethodGet, engineapi.PathState, "", nil).Code; got != 0 {
			t.Errorf("new request on the old connection: status %d", got)
		}
		newConn := e.ConnContext(t.Context(), nil)
		if got := sendRequest(newConn, e, http.MethodGet, engineapi.PathState, "", nil).Code; got != http.StatusOK {
			t.Errorf("request on a new connection: status %d", got)
		}
	})
}

func TestSlowLengthensEveryStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newLoadedEngine(t, PrefillSteps(0))
		defer e.Close()
		w := sendRequest(t.Context(), e, http.MethodPost, engineapi.PathFault, `{"Slow":3}`, nil)
		if diff := cmp.Diff(Fault{Slow: 3}, getJSON[Fault](t, e, engineapi.PathFault)); diff != "" || w.Code != http.StatusOK {
			t.Errorf("status %d: %s", w.Code, diff)
		}
		start := time.Now()
		sendRequest(t.Context(), e, http.MethodPost, engineapi.PathCompletions, chat("x"), nil)
		if got, want := time.Since(start), 3*3*defaultTokenTime; got != want {
			t.Errorf("3 tokens took %v, want %v", got, want)
		}
	})
}

func TestResetDuringStream(t *testing.T) {
	e := NewEngine(t.Context(), TokenTime(time.Millisecond), UnloadTime(0),
		LoadTime(func(engineapi.Order, string) time.Duration { return 0 }))
	defer e.Close()
	sendOrder(t, e, engineapi.PathLoad, engineapi.Order{Model: "m"})
	for len(e.State().Held) == 0 || e.State().Held[0].State != engineapi.HeldLoaded {
		time.Sleep(time.Millisecond)
	}
	server := httptest.NewServer(e)
	defer server.Close()
	for _, test := range []struct {
		fault  Fault
		events int
		err    error
	}{
		{events: wantEvents},
		{fault: Fault{ResetAfter: 3}, events: 3, err: io.ErrUnexpectedEOF},
	} {
		e.SetFault(test.fault)
		response, err := server.Client().Post(server.URL+engineapi.PathCompletions, "application/json", strings.NewReader(streamBody))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if _, events, _ := parseStream(t, string(body)); events != test.events || !errors.Is(err, test.err) {
			t.Errorf("%+v: %d events, error %v", test.fault, events, err)
		}
	}
}

func TestLoadTimeByCheckpointLocation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(t.Context(), LoadRate(1, 1))
		defer store.Close()
		e := NewEngine(t.Context(), Checkpoints(1, 1), UnloadTime(0),
			WeightStore("http://store", &http.Client{Transport: handlerTransport{store}}))
		defer e.Close()
		tests := []struct {
			model    string
			cachedIn string
			want     time.Duration
		}{
			{"a", engineapi.CacheRemote, 2*time.Second + remoteLoadTime/memoryLoadDivisor},
			{"a", engineapi.CacheMemory, remoteLoadTime / memoryLoadDivisor},
			{"b", engineapi.CacheRemote, 2*time.Second + remoteLoadTime/memoryLoadDivisor},
			{"a", engineapi.CacheDisk, remoteLoadTime / diskLoadDivisor},
		}
		for i, test := range tests {
			start := time.Now()
			o := engineapi.Order{Model: test.model, Version: "1", MemoryMB: 10, CheckpointMB: 2000, Fence: uint64(i)}
			sendOrder(t, e, engineapi.PathLoad, o)
			for e.State().Held[0].State != engineapi.HeldLoaded {
				time.Sleep(time.Millisecond)
			}
			held := e.State().Held[0]
			if got := time.Since(start).Round(10 * time.Millisecond); got != test.want || held.CachedIn != test.cachedIn {
				t.Errorf("%d: loaded from %s in %v, want %s in %v", i, held.CachedIn, got, test.cachedIn, test.want)
			}
			sendOrder(t, e, engineapi.PathUnload, o)
			time.Sleep(time.Second)
		}
		if got := store.Counts().Finished; got != 2 {
			t.Errorf("%d checkpoints read from the store", got)
		}
	})
}

func TestLoadRetriesAfterRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(t.Context(), LoadRate(1, 1))
		defer store.Close()
		client := &http.Client{Transport: handlerTransport{store}}
		e := NewEngine(t.Context(), WeightStore("http://store", client))
		defer e.Close()
		for _, model := range []string{"a", "b"} {
			sendOrder(t, e, engineapi.PathLoad, engineapi.Order{Model: model, Version: "1", MemoryMB: 3000})
		}
		time.Sleep(time.Minute)
		for _, held := range e.State().Held {
			if held.State != engineapi.HeldLoaded {
				t.Errorf("%s is %s", held.Model, held.State)
			}
		}
		if diff := cmp.Diff(StoreCounts{Loads: 2, Finished: 2, Refused: 1, PeakActive: 2}, store.Counts()); diff != "" {
			t.Error(diff)
		}
	})
}

func TestAdapterTransfersSlowBeyondLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transfers := NewAdapterTransfers(6*time.Millisecond, 2)
		var got []time.Duration
		for range 4 {
			got = append(got, transfers.TransferTime(engineapi.Order{}))
		}
		time.Sleep(time.Second)
		got = append(got, transfers.TransferTime(engineapi.Order{}))
		ms := time.Millisecond
		if diff := cmp.Diff([]time.Duration{6 * ms, 6 * ms, 9 * ms, 12 * ms, 6 * ms}, got); diff != "" || transfers.Peak() != 4 {
			t.Errorf("peak %d: %s", transfers.Peak(), diff)
		}
	})
}

func TestAdapterIsServedByName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newLoadedEngine(t)
		defer e.Close()
		body := strings.Replace(completionBody, `"m"`, `"tuned"`, 1)
		for _, want := range []int{http.StatusNotFound, http.StatusOK} {
			if got := sendRequest(t.Context(), e, http.MethodPost, engineapi.PathCompletions, body, nil).Code; got != want {
				t.Errorf("status %d, want %d", got, want)
			}
			sendOrder(t, e, engineapi.PathAdapter, engineapi.Order{Model: "m", Adapter: "tuned", Fence: 5})
			time.Sleep(time.Second)
		}
	})
}

func TestDelayedOrderWithOldFence(t *testing.T) {
	for fencing, want := range map[bool]int{false: 0, true: 1} {
		synctest.Test(t, func(t *testing.T) {
			e := newLoadedEngine(t, CheckFencing(fencing))
			defer e.Close()
			e.SetFault(Fault{LateOrderMS: 1000})
			sendOrder(t, e, engineapi.PathUnload, engineapi.Order{Model: "m", Version: "1", Fence: 6})
			e.SetFault(Fault{})
			sendOrder(t, e, engineapi.PathRole, engineapi.Order{Role: "draft", Fence: 7})
			time.Sleep(time.Minute)
			counts, state := e.Counts(), e.State()
			if len(state.Held) != want || counts.RefusedOrders != want || counts.OldOrders != 1-want {
				t.Errorf("fencing %t: %d held, %+v", fencing, len(state.Held), counts)
			}
			if state.Role != "draft" || state.HighestFence != 7 {
				t.Errorf("role %q, fence %d", state.Role, state.HighestFence)
			}
		})
	}
}
