// Package logs writes structured lines without ever holding up who logs them,
// and bounds how many are written.
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
	// queueLines is how many lines wait for a slow reader of the output: some
	// seconds of a busy process.
	queueLines = 4096
	// ordinaryPerSecond bounds the lines below level Info: requests that went
	// well. A process of the
	// first users' sites serves some fifty requests a second; in a burst a
	// sample is enough, since metrics have the counts.
	ordinaryPerSecond = 100
	// importantPerSecond bounds all others: what went badly and what changed,
	// which are the ones that are looked for afterwards.
	importantPerSecond = 1000
	// tellEvery is how often lines that were left out are told.
	tellEvery = time.Second
)

// Handler is a slog.Handler over text lines. Close flushes what waits.
type Handler struct {
	*sink
	text slog.Handler
}

// sink is what all handlers of one output share.
type sink struct {
	now   func() time.Time
	lines chan []byte
	done  chan struct{}

	mu                  sync.Mutex
	second              time.Time
	ordinary, important int
	closed              bool

	// sampled counts lines beyond the bounds, dropped those that a slow reader
	// of the output left no room for.
	sampled, dropped atomic.Int64
}

// New returns a handler that writes to the output.
func New(output io.Writer, now func() time.Time) *Handler {
	s := &sink{now: now, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go s.write(output)
	return &Handler{sink: s, text: slog.NewTextHandler(s, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: message})}
}

// message writes errors as what they say. Left to itself, the text handler writes
// the stack of each error of the kinds that carry one: some 600 bytes a line, in
// which a failure of many requests at once drowned what they had in common.
func message(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// write is the only one that waits for the output.
func (s *sink) write(output io.Writer) {
	defer close(s.done)
	for line := range s.lines {
		// There is nobody to tell that the log cannot be written.
		_, _ = output.Write(line)
	}
}

// Write takes a line from the text handler. It never blocks.
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

// Close writes what waits, for as long as the context allows.
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

// admit tells whether one more line of the level is within the second's bound.
func (s *sink) admit(level slog.Level) bool {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.second) >= tellEvery {
		s.second, s.ordinary, s.important = now, 0, 0
	}
	if level >= slog.LevelInfo {
		s.important++
		return s.important <= importantPerSecond
	}
	s.ordinary++
	return s.ordinary <= ordinaryPerSecond
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{sink: h.sink, text: h.text.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{sink: h.sink, text: h.text.WithGroup(name)}
}

// LeftOut returns the lines beyond the bounds and those for which a slow reader
// of the output left no room, since the process started.
func (s *sink) LeftOut() (sampled, dropped int64) { return s.sampled.Load(), s.dropped.Load() }
