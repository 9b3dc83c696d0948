package share

import "time"

// History holds the times of the latest requests, to count those within a time.
type History struct{ times []time.Time }

// Add records a request.
func (h *History) Add(now time.Time) { h.times = append(h.times, now) }

// Count returns the requests within the time before now, and forgets older ones.
func (h *History) Count(now time.Time, within time.Duration) int {
	old := 0
	for old < len(h.times) && now.Sub(h.times[old]) >= within {
		old++
	}
	h.times = append(h.times[:0], h.times[old:]...)
	return len(h.times)
}

// Free returns how long it takes until less than the given number of requests lie within
// the time before.
func (h *History) Free(now time.Time, within time.Duration, allowed int) time.Duration {
	if h.Count(now, within) < allowed {
		return 0
	}
	if allowed <= 0 {
		return within
	}
	return within - now.Sub(h.times[len(h.times)-allowed])
}
