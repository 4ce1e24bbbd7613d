package logging

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"
)

const (
	// LinesPerSecond bounds what a process writes, on average over a few seconds.
	LinesPerSecond = 300
	// BytesPerSecond bounds it in bytes.
	BytesPerSecond = 96 << 10
	// messageLines bounds one message's lines a second, so that a flood of one leaves room for the others.
	messageLines = 60
	// burst is how many seconds' worth may come at once.
	burst = 3
	// failureShare of the bounds is kept for failures, which go before successes.
	failureShare = 0.5
	// ringLines bounds the lines that wait for the output.
	ringLines = 2048
	// batchBytes bounds one write to the output.
	batchBytes = 32 << 10
	// flushEvery is how long a line waits for others to be written with.
	flushEvery = 50 * time.Millisecond
	tellEvery  = time.Second
	// maxMessages bounds the messages with a rate of their own.
	maxMessages = 256
)

// Writer is the one way of a process's log lines to its output.
type Writer struct {
	out     io.Writer
	ring    chan []byte
	dropped atomic.Uint64
	written atomic.Uint64

	mu       sync.Mutex
	lines    *rate.Limiter
	bytes    *rate.Limiter
	messages map[string]*rate.Limiter
}

// New makes a Writer; Run does the writing.
func New(out io.Writer) *Writer {
	return &Writer{
		out: out, ring: make(chan []byte, ringLines), messages: map[string]*rate.Limiter{},
		lines: rate.NewLimiter(LinesPerSecond, LinesPerSecond*burst), bytes: rate.NewLimiter(BytesPerSecond, BytesPerSecond*burst),
	}
}

// Logger returns the logger of a process.
func (w *Writer) Logger(verbosity int) logr.Logger {
	return logr.FromSlogHandler(&handler{writer: w, level: slog.Level(-verbosity)})
}

// Dropped returns how many lines were left out, Written how many were not.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Written returns how many lines went to the output.
func (w *Writer) Written() uint64 { return w.written.Load() }

// Run writes until the context ends, then what still waits; the channel gives the output's first error, nil for none.
func (w *Writer) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- w.run(ctx) }()
	return ended
}

func (w *Writer) run(ctx context.Context) error {
	flush, tell := time.NewTicker(flushEvery), time.NewTicker(tellEvery)
	defer flush.Stop()
	defer tell.Stop()
	var batch bytes.Buffer
	var first error
	told := uint64(0)
	write := func() {
		if batch.Len() > 0 {
			if _, err := w.out.Write(batch.Bytes()); err != nil && first == nil {
				first = err // there is nowhere to tell it but the end
			}
			batch.Reset()
		}
	}
	for {
		select {
		case line := <-w.ring:
			batch.Write(line)
			w.written.Add(1)
			if batch.Len() >= batchBytes {
				write()
			}
		case <-flush.C:
			write()
		case <-tell.C:
			if dropped := w.dropped.Load(); dropped != told {
				record := slog.NewRecord(time.Now(), slog.LevelInfo, "log lines dropped", 0)
				record.AddAttrs(slog.Uint64("count", dropped-told), slog.Uint64("total", dropped))
				batch.Write(format(record, nil))
				told = dropped
			}
		case <-ctx.Done():
			for len(w.ring) > 0 {
				batch.Write(<-w.ring)
			}
			write()
			return first
		}
	}
}

// allows tells whether one more line of a message may be written now; its size is counted once it is formatted.
func (w *Writer) allows(message string, failure bool, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if failure {
		// Failures may use up what successes must leave.
		return w.lines.AllowN(now, 1) && w.bytes.TokensAt(now) > 0
	}
	if w.lines.TokensAt(now) < LinesPerSecond*burst*failureShare || w.bytes.TokensAt(now) < BytesPerSecond*burst*failureShare {
		return false
	}
	own := w.messages[message]
	if own == nil {
		if len(w.messages) >= maxMessages {
			clear(w.messages)
		}
		own = rate.NewLimiter(messageLines, messageLines*burst)
		w.messages[message] = own
	}
	return own.AllowN(now, 1) && w.lines.AllowN(now, 1)
}

// handler formats records and hands them to the writer.
type handler struct {
	writer *Writer
	level  slog.Level
	attrs  []slog.Attr
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(_ context.Context, level slog.Level) bool { return level >= h.level }

// Handle implements slog.Handler; it never blocks.
func (h *handler) Handle(_ context.Context, record slog.Record) error {
	now := time.Now()
	if !h.writer.allows(record.Message, record.Level >= slog.LevelWarn, now) {
		h.writer.dropped.Add(1)
		return nil
	}
	line := format(record, h.attrs)
	h.writer.bytes.ReserveN(now, min(len(line), BytesPerSecond))
	select {
	case h.writer.ring <- line:
	default:
		h.writer.dropped.Add(1)
	}
	return nil
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	next := *h
	next.attrs = append(append([]slog.Attr{}, h.attrs...), attrs...)
	return &next
}

// WithGroup implements slog.Handler; lines have no groups.
func (h *handler) WithGroup(string) slog.Handler { return h }

// format returns the one key=value line of a record.
func format(record slog.Record, attrs []slog.Attr) []byte {
	var line bytes.Buffer
	text := slog.NewTextHandler(&line, &slog.HandlerOptions{Level: slog.LevelDebug - 100}).WithAttrs(attrs)
	_ = text.Handle(context.Background(), record) // a buffer takes all
	return line.Bytes()
}

// ErrorText returns an error's text for a line's error key, empty for none.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
