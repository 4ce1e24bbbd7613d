package agent

import (
	"encoding/json"
	"net/http"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/engineapi"
	"burdocksaddle/setting"
	"burdocksaddle/wire"
)

// TestCacheEventsAfterRestartOfEngine guards against an engine whose cache is not learned of any more after it was started again, since its
// sequence numbers start again, too.
func TestCacheEventsAfterRestartOfEngine(t *testing.T) {
	running, newest, prefix := true, uint64(0), uint64(0)
	engine := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !running {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			t.Error(err)
		}
		events := []engineapi.CacheEvent{}
		for sequence := after + 1; sequence <= newest; sequence++ {
			events = append(events, engineapi.CacheEvent{Sequence: sequence, Model: "m", Prefix: prefix + sequence})
		}
		if err := json.NewEncoder(w).Encode(events); err != nil {
			t.Error(err)
		}
	})
	a := New(setting.Settings{}, wire.NewPool(), "p", WithHTTP(&http.Client{Transport: handlerTransport{engine}}))
	a.settings.Agent.EndpointURL = "http://engine"
	var position eventPosition
	var got [][2]uint64
	poll := func() {
		t.Helper()
		position = a.fetchCacheEvents(t.Context(), position)
		got = nil
		for _, event := range a.cacheEvents {
			got = append(got, [2]uint64{event.GetSequence(), event.GetPrefix()})
		}
	}
	newest = 3
	poll()
	running = false
	poll()
	running, newest = true, 4 // the engine was only unreachable
	poll()
	if diff := cmp.Diff([][2]uint64{{1, 1}, {2, 2}, {3, 3}, {4, 4}}, got); diff != "" {
		t.Error(diff)
	}
	running = false
	poll()
	running, newest, prefix = true, 0, 100 // it was started again
	poll()
	newest = 2
	poll()
	if diff := cmp.Diff([][2]uint64{{1, 1}, {2, 2}, {3, 3}, {4, 4}, {5, 101}, {6, 102}}, got); diff != "" {
		t.Error(diff)
	}
}
