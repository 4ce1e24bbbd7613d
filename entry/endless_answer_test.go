package entry_test

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"burdocksaddle/setting"
)

// TestAnswersWithoutEndTogether guards against an entry whose memory is used up by the answers that many requests get from a faulty endpoint,
// each of them within the size limit, and against other requests that end with it.
func TestAnswersWithoutEndTogether(t *testing.T) {
	// An entry may hold 256 MB for answers; as much is left for what is under way and for garbage.
	const requests, mostMemory = 24, 512 << 20
	block := []byte(strings.Repeat("a", 64<<10))
	c := newCluster(t, clusterConfig{entries: 1})
	c.addAgent("endless", plainService, setting.KindPlain, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/stock/1" {
			_, _ = io.WriteString(w, "ok")
			return
		}
		for _, err := w.Write(block); err == nil; {
			_, err = w.Write(block)
		}
	}), requests+4)
	c.await("endpoint known to the entry", func() bool { return len(c.entries[0].Dump().Endpoints) == 1 })
	var ended sync.WaitGroup
	for range requests {
		ended.Go(func() {
			if got := c.lookUpStock(t.Context(), 0, 8*time.Second); got.err == nil {
				t.Errorf("%d bytes were passed on", len(got.body))
			}
		})
	}
	done := make(chan struct{})
	go func() { ended.Wait(); close(done) }()
	most, sound := uint64(0), 0
	for waiting := true; waiting; {
		select {
		case <-done:
			waiting = false
		case <-time.After(20 * time.Millisecond):
		}
		r := newStockRequest(c.newRequestID())
		r.Path = "/stock/2"
		if got := c.serve(t.Context(), 0, r); got.err != nil || got.body != "ok" {
			t.Errorf("another request: %v, %q", got.err, got.body)
		}
		sound++
		var now runtime.MemStats
		runtime.GC() // only what is in use counts
		runtime.ReadMemStats(&now)
		most = max(most, now.HeapAlloc)
	}
	t.Logf("%d MB of memory, %d other requests", most>>20, sound)
	if most > mostMemory {
		t.Errorf("%d MB of memory", most>>20)
	}
}

// TestBookingWithoutEndIsNotReadOn guards against an agent that reads an answer without an end long after the entry has given it up.
func TestBookingWithoutEndIsNotReadOn(t *testing.T) {
	t.Parallel()
	block, ended := []byte(strings.Repeat("a", 64<<10)), make(chan struct{}, 1)
	c := newCluster(t, clusterConfig{entries: 1})
	c.addAgent("endless", plainService, setting.KindPlain, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for _, err := w.Write(block); err == nil; {
			_, err = w.Write(block)
		}
		ended <- struct{}{}
	}), 4)
	c.await("endpoint known to the entry", func() bool { return len(c.entries[0].Dump().Endpoints) == 1 })
	if got := c.book(t.Context(), 0, "key", 5*time.Second); got.outcomeName() != "Ran" {
		t.Errorf("%s: %v", got.outcomeName(), got.err)
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the answer is still read")
	}
}
