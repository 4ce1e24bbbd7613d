package logging

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

// output collects log lines; Write blocks while mu is locked.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(data []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(data)
}

func (o *output) lines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Split(strings.TrimSpace(o.text.String()), "\n")
}

// TestFloodIsRateLimited logs far above the limits for ten seconds. The output must stay within the line limit, a flood of
// one message must not crowd out another message, and the dropped lines must be reported.
func TestFloodIsRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{}
		w := New(out)
		ctx, cancel := context.WithCancel(t.Context())
		ended := w.Run(ctx)
		log := w.Logger(0)
		const seconds = 10
		for range seconds * 100 {
			for range 50 {
				log.Info("request refused", "id", "0123456789abcdef", "reason", "queue full")
			}
			log.Info("leader changed", "leader", "10.0.0.1:7000")
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
		lines := out.lines()
		if maxLines := LinesPerSecond * (seconds + burstSeconds); len(lines) > maxLines+seconds {
			t.Errorf("%d lines in %d s, limit %d", len(lines), seconds, maxLines)
		}
		counts := map[string]int{}
		for _, line := range lines {
			for _, message := range []string{"request refused", "leader changed", "log lines dropped"} {
				if strings.Contains(line, message) {
					counts[message]++
				}
			}
		}
		if counts["leader changed"] < seconds*messageLinesPerSecond/2 || counts["log lines dropped"] == 0 || w.Dropped() == 0 {
			t.Errorf("counts %v, dropped %d", counts, w.Dropped())
		}
	})
}

// TestErrorsHavePriority logs an error after a flood of info lines has used up their share of the limits.
func TestErrorsHavePriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{}
		w := New(out)
		ctx, cancel := context.WithCancel(t.Context())
		ended := w.Run(ctx)
		log := w.Logger(0)
		for i := range 50_000 {
			log.Info("message "+string(rune('a'+i%26)), "n", i)
		}
		log.Error(io.ErrUnexpectedEOF, "table update rejected")
		cancel()
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(strings.Join(out.lines(), "\n"), "table update rejected") {
			t.Error("the error line was dropped")
		}
	})
}

// TestBlockedOutputDoesNotBlockLogging logs more lines than the queue holds while the output accepts no writes.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{}
		out.mu.Lock()
		w := New(out)
		ctx, cancel := context.WithCancel(t.Context())
		ended := w.Run(ctx)
		log := w.Logger(0)
		began := time.Now()
		for range 20 {
			for range 2 * maxQueuedLines {
				log.Info("request ended")
			}
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("logging blocked for %v", took)
		}
		out.mu.Unlock()
		cancel()
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	})
}

// failingOutput fails to take lines until it is healed.
type failingOutput struct {
	output
	healed atomic.Bool
}

func (o *failingOutput) Write(data []byte) (int, error) {
	if !o.healed.Load() {
		return 0, syscall.ENOSPC
	}
	return o.output.Write(data)
}

// TestLinesOfFailedWritesAreReported guards against lines that are lost without a trace because the output failed for a while.
func TestLinesOfFailedWritesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &failingOutput{}
		w := New(out)
		ctx, cancel := context.WithCancel(t.Context())
		ended := w.Run(ctx)
		for range 30 {
			w.Logger(0).Info("request ended")
			time.Sleep(100 * time.Millisecond)
		}
		out.healed.Store(true)
		time.Sleep(2 * time.Second)
		if w.Dropped() != 30 || !strings.Contains(strings.Join(out.lines(), "\n"), "total=30") {
			t.Errorf("%d lines counted as dropped, output %q, want 30 and a line that tells it", w.Dropped(), out.lines())
		}
		cancel()
		if err := <-ended; !errors.Is(err, syscall.ENOSPC) {
			t.Error(err)
		}
	})
}

// BenchmarkLine measures the cost of a log call for an enabled and for a disabled level.
func BenchmarkLine(b *testing.B) {
	for name, log := range map[string]logr.Logger{"on": New(io.Discard).Logger(0), "off": New(io.Discard).Logger(-1)} {
		b.Run(name, func(b *testing.B) {
			for i := range b.N {
				log.Info("request ended", "id", "0123456789abcdef", "route", "r-1", "ms", i)
			}
		})
	}
}
