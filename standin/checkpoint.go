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

// checkpointCache is a bounded cache of checkpoints, most recently used first.
type checkpointCache struct {
	limit       int
	checkpoints []string
}

// put adds a checkpoint and returns the evicted one, or an empty string.
func (c *checkpointCache) put(checkpoint string) string {
	c.remove(checkpoint)
	c.checkpoints = slices.Insert(c.checkpoints, 0, checkpoint)
	if len(c.checkpoints) <= c.limit {
		return ""
	}
	evicted := c.checkpoints[c.limit]
	c.checkpoints = c.checkpoints[:c.limit]
	return evicted
}

func (c *checkpointCache) remove(checkpoint string) {
	c.checkpoints = slices.DeleteFunc(c.checkpoints, func(c string) bool { return c == checkpoint })
}

func (c *checkpointCache) contains(checkpoint string) bool {
	return slices.Contains(c.checkpoints, checkpoint)
}

func (e *Engine) checkpointLocation(checkpoint string) string {
	switch {
	case e.memory.contains(checkpoint):
		return engineapi.CacheMemory
	case e.disk.contains(checkpoint):
		return engineapi.CacheDisk
	default:
		return engineapi.CacheRemote
	}
}

// cacheCheckpoint caches a checkpoint in memory and moves the one that it evicts to disk.
func (e *Engine) cacheCheckpoint(checkpoint string) {
	e.disk.remove(checkpoint)
	if evicted := e.memory.put(checkpoint); evicted != "" {
		e.disk.put(evicted)
	}
}

// loadWeights waits for the duration of a load and reports whether the load succeeded.
func (e *Engine) loadWeights(ctx context.Context, order engineapi.Order, cachedIn string) bool {
	remaining := e.loadTime(order, cachedIn) / 2
	if e.storeURL != "" && cachedIn == engineapi.CacheRemote {
		if !e.downloadCheckpoint(ctx, order) {
			return false
		}
		remaining = e.loadTime(order, engineapi.CacheMemory)
	} else if !e.sleep(ctx, remaining) {
		return false
	}
	if e.Fault().DieInLoad {
		e.abortLoads()
		return false
	}
	return e.sleep(ctx, remaining)
}

// downloadCheckpoint reads the checkpoint from the weight store. It retries until it succeeds or ctx ends.
func (e *Engine) downloadCheckpoint(ctx context.Context, order engineapi.Order) bool {
	mb := order.CheckpointMB
	if mb == 0 {
		mb = order.MemoryMB
	}
	checkpointURL := e.storeURL + engineapi.PathWeights + url.PathEscape(checkpointOf(order)) +
		"?mb=" + strconv.FormatUint(mb, 10)
	for ctx.Err() == nil {
		wait, done := e.download(ctx, checkpointURL)
		if done {
			return true
		}
		sleepContext(ctx, wait)
	}
	return false
}

// download reads one complete response from the weight store.
// If it fails, it returns the delay before the next attempt.
func (e *Engine) download(ctx context.Context, checkpointURL string) (time.Duration, bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, checkpointURL, nil)
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
