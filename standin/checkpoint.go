package standin

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"burdocksaddle/engineapi"
)

// shelf is a bounded cache of checkpoints, the last used first.
type shelf struct {
	limit       int
	checkpoints []string
}

// put adds a checkpoint and returns the one that had to go, if any.
func (s *shelf) put(checkpoint string) string {
	s.take(checkpoint)
	s.checkpoints = slices.Insert(s.checkpoints, 0, checkpoint)
	if len(s.checkpoints) <= s.limit {
		return ""
	}
	last := s.checkpoints[s.limit]
	s.checkpoints = s.checkpoints[:s.limit]
	return last
}

func (s *shelf) take(checkpoint string) {
	s.checkpoints = slices.DeleteFunc(s.checkpoints, func(c string) bool { return c == checkpoint })
}

func (s *shelf) has(checkpoint string) bool {
	return slices.Contains(s.checkpoints, checkpoint)
}

func (e *Engine) cachedIn(checkpoint string) string {
	switch {
	case e.memory.has(checkpoint):
		return engineapi.CacheMemory
	case e.disk.has(checkpoint):
		return engineapi.CacheDisk
	default:
		return engineapi.CacheRemote
	}
}

// shelve caches a checkpoint in memory and moves the one that it replaces to disk.
func (e *Engine) shelve(checkpoint string) {
	e.disk.take(checkpoint)
	if moved := e.memory.put(checkpoint); moved != "" {
		e.disk.put(moved)
	}
}

// fetch takes the time of a load and says whether it came through.
func (e *Engine) fetch(ctx context.Context, order engineapi.Order, cachedIn string) bool {
	rest := e.loadTime(order, cachedIn) / 2
	if e.storeURL != "" && cachedIn == engineapi.CacheRemote {
		if !e.fetchRemote(ctx, order) {
			return false
		}
		rest = e.loadTime(order, engineapi.CacheMemory)
	} else if !e.sleep(ctx, rest) {
		return false
	}
	if e.Fault().DieInLoad {
		e.loseLoads()
		return false
	}
	return e.sleep(ctx, rest)
}

// fetchRemote reads the checkpoint from the weight store, as often as it takes.
func (e *Engine) fetchRemote(ctx context.Context, order engineapi.Order) bool {
	mb := order.CheckpointMB
	if mb == 0 {
		mb = order.MemoryMB
	}
	address := e.storeURL + engineapi.PathWeights + url.PathEscape(checkpointOf(order)) +
		"?mb=" + strconv.FormatUint(mb, 10)
	for ctx.Err() == nil {
		wait, done := e.get(ctx, address)
		if done {
			return true
		}
		pause(ctx, wait)
	}
	return false
}

// get reads one answer of the weight store to its end, or says when to come back.
func (e *Engine) get(ctx context.Context, address string) (time.Duration, bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return time.Second, false
	}
	response, err := e.client.Do(request)
	if err != nil {
		return time.Second, false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
		return time.Duration(max(1, seconds)) * time.Second, false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return time.Second, err == nil
}
