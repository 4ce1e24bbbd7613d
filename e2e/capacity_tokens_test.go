package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"burdocksaddle/engineapi"
	"burdocksaddle/traffic"
)

const concurrentStreams = 12

// TestCapacityTokens logs the CPU time of streams through an entry and of the same streams sent directly to the engine.
func TestCapacityTokens(t *testing.T) {
	if os.Getenv(capacityEnv) == "" {
		t.Skipf("runs with %s=1, as make capacity sets it", capacityEnv)
	}
	for _, tokens := range []int{25, 50, 100, 200} {
		t.Run(fmt.Sprint(tokens), func(t *testing.T) {
			dir := t.TempDir()
			dropPooledTimers()
			synctest.Test(t, func(t *testing.T) { measureTokenCost(t, dir, tokens) })
		})
	}
}

func measureTokenCost(t *testing.T, dir string, tokens int) {
	ctx, cancel := context.WithCancel(t.Context())
	c := newMemCluster(ctx, t, dir, io.Discard)
	c.awaitLeader()
	time.Sleep(2 * time.Second)
	c.runStream(c.callerURL(0), 1) // loads the model
	engine := ""
	for i := range c.engines {
		if len(c.engines[i].State().Held) > 0 {
			engine = "http://" + c.engineAddress(i)
		}
	}
	time.Sleep(5 * time.Second)
	startedAt, before := time.Now(), cpuTime(t)
	c.runStreams(c.callerURL(0), tokens)
	elapsed, viaEntry := time.Since(startedAt), cpuTime(t)-before
	before = cpuTime(t)
	time.Sleep(elapsed)
	idle := cpuTime(t) - before
	before = cpuTime(t)
	c.runStreams(engine, tokens)
	direct := cpuTime(t) - before
	t.Logf("%d streams of %d tokens: through the entry %.1f ms, direct %.1f ms, idle system for the same duration %.1f ms", concurrentStreams, tokens,
		viaEntry.Seconds()*1e3, direct.Seconds()*1e3, idle.Seconds()*1e3)
	t.Logf("%d tokens: the entry adds %.1f us per token to the direct call's %.1f us", tokens,
		(viaEntry-direct).Seconds()*1e6/float64(concurrentStreams*tokens), (direct-idle).Seconds()*1e6/float64(concurrentStreams*tokens))
	c.close()
	cancel()
	time.Sleep(time.Minute)
}

func cpuTime(t *testing.T) time.Duration {
	var rusage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &rusage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano())
}

// runStreams sends concurrent streaming requests and waits for all of them.
func (c *memCluster) runStreams(base string, tokens int) {
	var wg sync.WaitGroup
	for range concurrentStreams {
		wg.Go(func() { c.runStream(base, tokens) })
	}
	wg.Wait()
}

func (c *memCluster) runStream(base string, tokens int) {
	body, err := json.Marshal(engineapi.ChatRequest{Model: "quotes", Stream: true,
		Messages: []engineapi.ChatMessage{{Role: engineapi.RoleUser, Content: strings.Repeat("word ", tokens)}}})
	if err != nil {
		c.t.Error(err)
		return
	}
	client := c.client(callerHost)
	defer client.CloseIdleConnections()
	response, err := client.Post(base+engineapi.PathCompletions, "application/json", bytes.NewReader(body))
	if err != nil {
		c.t.Error(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if _, ended := traffic.JoinStream(string(data)); err != nil || response.StatusCode != http.StatusOK || !ended {
		c.t.Errorf("status %d, complete %t: %v", response.StatusCode, ended, err)
	}
}
