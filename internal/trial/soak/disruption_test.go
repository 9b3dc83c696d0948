package soak_test

import (
	"sync"
	"time"
)

// disruptions records the times in which the test itself disrupted a gateway or an
// upstream.
type disruptions struct {
	mu        sync.Mutex
	intervals []*interval
}

// interval is the time of one disruption. until is zero while it lasts.
type interval struct{ from, until time.Time }

// begin records the start of a disruption and returns a function that records its
// end.
func (d *disruptions) begin() func() {
	current := &interval{from: time.Now()}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.intervals = append(d.intervals, current)
	return sync.OnceFunc(func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		current.until = time.Now()
	})
}

// overlaps reports whether any disruption overlaps the time span.
func (d *disruptions) overlaps(from, until time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.intervals {
		if s.from.Before(until) && (s.until.IsZero() || s.until.After(from)) {
			return true
		}
	}
	return false
}
