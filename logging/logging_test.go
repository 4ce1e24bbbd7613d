package logging

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

// output collects lines; it blocks while it is held.
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

// TestFloodIsBounded logs far more than is allowed for ten seconds.
func TestFloodIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{}
		w := New(out)
		ctx, cancel := context.WithCancel(t.Context())
		ended := w.Run(ctx)
		log := w.Logger(0)
		const seconds = 10
		for range seconds * 100 {
			for range 50 {
				log.Info("request refused", "id", "0123456789abcdef", "reason", "the same for all")
			}
			log.Info("leader changed", "leader", "10.0.0.1:7000")
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
		lines := out.lines()
		if most := LinesPerSecond * (seconds + burst); len(lines) > most+seconds {
			t.Errorf("%d lines in %d s, the bound is %d", len(lines), seconds, most)
		}
		counts := map[string]int{}
		for _, line := range lines {
			for _, message := range []string{"request refused", "leader changed", "log lines dropped"} {
				if strings.Contains(line, message) {
					counts[message]++
				}
			}
		}
		if counts["leader changed"] < seconds*messageLines/2 || counts["log lines dropped"] == 0 || w.Dropped() == 0 {
			t.Errorf("counts %v, dropped %d", counts, w.Dropped())
		}
	})
}

// TestFailuresGoFirst logs failures behind a flood of successes.
func TestFailuresGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{}
		w := New(out)
		ctx, cancel := context.WithCancel(t.Context())
		ended := w.Run(ctx)
		log := w.Logger(0)
		for i := range 50_000 {
			log.Info("message "+string(rune('a'+i%26)), "n", i)
		}
		log.Error(io.ErrUnexpectedEOF, "table not taken")
		cancel()
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(strings.Join(out.lines(), "\n"), "table not taken") {
			t.Error("the failure was dropped")
		}
	})
}

// TestBlockedReaderBlocksNobody logs while nobody reads the output.
func TestBlockedReaderBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{}
		out.mu.Lock()
		w := New(out)
		ctx, cancel := context.WithCancel(t.Context())
		ended := w.Run(ctx)
		log := w.Logger(0)
		began := time.Now()
		for range 20 {
			for range 2 * ringLines {
				log.Info("request ended")
			}
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("logging waited %v", took)
		}
		out.mu.Unlock()
		cancel()
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	})
}

// BenchmarkLine shows what a line costs who logs it, and what a line that is left out costs.
func BenchmarkLine(b *testing.B) {
	for name, log := range map[string]logr.Logger{"on": New(io.Discard).Logger(0), "off": New(io.Discard).Logger(-1)} {
		b.Run(name, func(b *testing.B) {
			for i := range b.N {
				log.Info("request ended", "id", "0123456789abcdef", "route", "r-1", "ms", i)
			}
		})
	}
}
