// Package logs writes structured log lines without ever blocking the caller, and
// limits their rate.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is how many lines are queued for a slow reader of the output: a
	// few seconds of a busy process.
	maxQueuedLines = 4096
	// maxOrdinaryPerSecond limits the lines below level Info, which are those of
	// successful requests. At the first users' sites a process serves about fifty
	// requests per second; of a burst a sample is enough, since the metrics have the
	// counts.
	maxOrdinaryPerSecond = 100
	// maxImportantPerSecond limits all other lines: failures and changes of state,
	// which are the ones that are searched for later.
	maxImportantPerSecond = 1000
	// limitInterval is the interval to which the limits apply.
	limitInterval = time.Second
)

// Handler is a slog.Handler that writes text lines. Close flushes the queue.
type Handler struct {
	*sink
	text slog.Handler
}

// sink is the queue and the rate limits of an output, which all of its handlers
// share.
type sink struct {
	now   func() time.Time
	lines chan []byte
	done  chan struct{}

	mu                  sync.Mutex
	intervalStart       time.Time
	ordinary, important int
	closed              bool

	// sampled counts the lines above the rate limits, dropped those for which the
	// queue was full.
	sampled, dropped atomic.Int64
}

// New returns a handler that writes to the output, in a goroutine of its own.
func New(output io.Writer, now func() time.Time) *Handler {
	s := &sink{now: now, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go s.writeQueued(output)
	return &Handler{sink: s, text: slog.NewTextHandler(s, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: errorMessage})}
}

// errorMessage replaces errors by their message. By default the text handler also
// writes the stack traces of errors that have one: about 600 bytes per line, which hide
// the common cause when many requests fail at once.
func errorMessage(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// writeQueued writes the queued lines. It is the only function that waits for the
// output.
func (s *sink) writeQueued(output io.Writer) {
	defer close(s.done)
	for line := range s.lines {
		// An error of the log's own output cannot be logged.
		_, _ = output.Write(line)
	}
}

// Write queues a line of the text handler. It never blocks.
func (s *sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines until the context ends.
func (s *sink) Close(ctx context.Context) error {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.text.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, record slog.Record) error {
	if !h.admit(record.Level) {
		h.sampled.Add(1)
		return nil
	}
	return h.text.Handle(ctx, record)
}

// admit reports whether another line of the level is within the rate limit.
func (s *sink) admit(level slog.Level) bool {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.intervalStart) >= limitInterval {
		s.intervalStart, s.ordinary, s.important = now, 0, 0
	}
	if level >= slog.LevelInfo {
		s.important++
		return s.important <= maxImportantPerSecond
	}
	s.ordinary++
	return s.ordinary <= maxOrdinaryPerSecond
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{sink: h.sink, text: h.text.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{sink: h.sink, text: h.text.WithGroup(name)}
}

// Omitted returns how many lines were above the rate limits, and for how many the
// queue was full, since the process started.
func (s *sink) Omitted() (sampled, dropped int64) { return s.sampled.Load(), s.dropped.Load() }
