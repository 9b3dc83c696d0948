package soak_test

import (
	"sync"
	"time"
)

// harms are the times in which the soak itself harmed a gateway or an upstream.
type harms struct {
	mu    sync.Mutex
	spans []*span
}

// span is from the beginning of a harm to its end, which is zero while it lasts.
type span struct{ from, until time.Time }

// begin notes the beginning of a harm and returns what notes its end.
func (h *harms) begin() func() {
	s := &span{from: time.Now()}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.spans = append(h.spans, s)
	return sync.OnceFunc(func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		s.until = time.Now()
	})
}

// meet tells whether a harm meets the time.
func (h *harms) meet(from, until time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.spans {
		if s.from.Before(until) && (s.until.IsZero() || s.until.After(from)) {
			return true
		}
	}
	return false
}
