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
	// LinesPerSecond limits the lines that a process writes, on average over a few seconds.
	LinesPerSecond = 300
	// BytesPerSecond limits the bytes that a process writes in the same way.
	BytesPerSecond = 96 << 10
	// messageLinesPerSecond limits the lines of a single message, so that a flood of one message doesn't crowd out the others.
	messageLinesPerSecond = 60
	// burstSeconds is the burst size of every limiter, in seconds at its full rate.
	burstSeconds = 3
	// errorReserve is the share of the burst that is reserved for lines of level warning and above.
	errorReserve = 0.5
	// maxQueuedLines limits the lines that are queued for the output.
	maxQueuedLines = 2048
	// maxBatchBytes is the batch size at which a batch is written without waiting for flushInterval.
	maxBatchBytes = 32 << 10
	// flushInterval is the longest time that a line is batched with others before it is written.
	flushInterval      = 50 * time.Millisecond
	dropReportInterval = time.Second
	// maxMessageLimiters limits the messages that are tracked by a rate limiter of their own.
	maxMessageLimiters = 256
)

// Writer queues, rate limits and batches all log lines of a process for its output.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Uint64
	written atomic.Uint64

	mu              sync.Mutex
	lineLimiter     *rate.Limiter
	byteLimiter     *rate.Limiter
	messageLimiters map[string]*rate.Limiter
}

// New returns a Writer for out; nothing is written until Run is called.
func New(out io.Writer) *Writer {
	return &Writer{
		out: out, queue: make(chan []byte, maxQueuedLines), messageLimiters: map[string]*rate.Limiter{},
		lineLimiter: rate.NewLimiter(LinesPerSecond, LinesPerSecond*burstSeconds), byteLimiter: rate.NewLimiter(BytesPerSecond, BytesPerSecond*burstSeconds),
	}
}

// Logger returns a logger that writes to w and logs V-levels up to verbosity.
func (w *Writer) Logger(verbosity int) logr.Logger {
	return logr.FromSlogHandler(&handler{writer: w, level: slog.Level(-verbosity)})
}

// Dropped returns the number of lines dropped so far, with those that the output failed to take.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Written returns the number of lines taken from the queue for the output so far.
func (w *Writer) Written() uint64 { return w.written.Load() }

// Run writes queued lines until the context ends and then flushes the queue. The channel receives the output's first
// error, or nil.
func (w *Writer) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- w.run(ctx) }()
	return ended
}

func (w *Writer) run(ctx context.Context) error {
	flush, report := time.NewTicker(flushInterval), time.NewTicker(dropReportInterval)
	defer flush.Stop()
	defer report.Stop()
	var batch bytes.Buffer
	var firstErr error
	// reported is how many dropped lines the lines in the batch report, delivered how many those that were written did.
	reported, delivered, batched := uint64(0), uint64(0), uint64(0)
	flushBatch := func() {
		if batch.Len() == 0 {
			return
		}
		if _, err := w.out.Write(batch.Bytes()); err != nil {
			if firstErr == nil {
				firstErr = err // returned when Run ends, since the only log output is the one that failed
			}
			w.dropped.Add(batched)
			reported = delivered
		}
		delivered, batched = reported, 0
		batch.Reset()
	}
	for {
		select {
		case line := <-w.queue:
			batch.Write(line)
			batched++
			w.written.Add(1)
			if batch.Len() >= maxBatchBytes {
				flushBatch()
			}
		case <-flush.C:
			flushBatch()
		case <-report.C:
			if dropped := w.dropped.Load(); dropped != reported {
				record := slog.NewRecord(time.Now(), slog.LevelInfo, "log lines dropped", 0)
				record.AddAttrs(slog.Uint64("count", dropped-reported), slog.Uint64("total", dropped))
				batch.Write(format(record, nil))
				reported = dropped
			}
		case <-ctx.Done():
			for len(w.queue) > 0 {
				batch.Write(<-w.queue)
				batched++
			}
			flushBatch()
			return firstErr
		}
	}
}

// allow reports whether one more line of a message may be written now. The line's size is charged once it is formatted.
func (w *Writer) allow(message string, isError bool, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if isError {
		// Warnings and errors may use the reserved share of the burst.
		return w.lineLimiter.AllowN(now, 1) && w.byteLimiter.TokensAt(now) > 0
	}
	if w.lineLimiter.TokensAt(now) < LinesPerSecond*burstSeconds*errorReserve || w.byteLimiter.TokensAt(now) < BytesPerSecond*burstSeconds*errorReserve {
		return false
	}
	limiter := w.messageLimiters[message]
	if limiter == nil {
		if len(w.messageLimiters) >= maxMessageLimiters {
			clear(w.messageLimiters)
		}
		limiter = rate.NewLimiter(messageLinesPerSecond, messageLinesPerSecond*burstSeconds)
		w.messageLimiters[message] = limiter
	}
	return limiter.AllowN(now, 1) && w.lineLimiter.AllowN(now, 1)
}

// handler is a slog.Handler that formats records and queues them in a Writer.
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
	if !h.writer.allow(record.Message, record.Level >= slog.LevelWarn, now) {
		h.writer.dropped.Add(1)
		return nil
	}
	line := format(record, h.attrs)
	h.writer.byteLimiter.ReserveN(now, min(len(line), BytesPerSecond))
	select {
	case h.writer.queue <- line:
	default:
		h.writer.dropped.Add(1)
	}
	return nil
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	clone := *h
	clone.attrs = append(append([]slog.Attr{}, h.attrs...), attrs...)
	return &clone
}

// WithGroup implements slog.Handler; groups are ignored.
func (h *handler) WithGroup(string) slog.Handler { return h }

// format renders a record as one line of key=value pairs.
func format(record slog.Record, attrs []slog.Attr) []byte {
	var line bytes.Buffer
	text := slog.NewTextHandler(&line, &slog.HandlerOptions{Level: slog.LevelDebug - 100}).WithAttrs(attrs)
	_ = text.Handle(context.Background(), record) // writing to a bytes.Buffer doesn't fail
	return line.Bytes()
}

// ErrorText returns the text of err for the error key of a log line, or an empty string if err is nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
