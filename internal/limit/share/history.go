package share

import (
	"slices"
	"time"
)

// lateArrival is how long after it was sent a request that settles may just have arrived.
const lateArrival = time.Second

// History holds the times of the latest requests, to count those within a time.
type History struct {
	times []time.Time
	// unsettled holds the requests that may still arrive. They count however long ago they were
	// sent.
	unsettled []*Unsettled
}

// Unsettled is a request that may still arrive.
type Unsettled struct{ sentAt time.Time }

// Add records a request.
func (h *History) Add(now time.Time) { h.times = append(h.times, now) }

// Await records that a request which was just added may arrive at any time until Settle.
func (h *History) Await(now time.Time) *Unsettled {
	u := &Unsettled{sentAt: now}
	h.unsettled = append(h.unsettled, u)
	return u
}

// Settle records that a request has arrived, or cannot arrive any more. Long after it was sent,
// it counts from now on.
func (h *History) Settle(now time.Time, u *Unsettled) {
	h.unsettled = slices.DeleteFunc(h.unsettled, func(other *Unsettled) bool { return other == u })
	if now.Sub(u.sentAt) < lateArrival {
		return
	}
	// Another request may have been sent at the same time: only the number counts.
	for i := len(h.times) - 1; i >= 0; i-- {
		if !h.times[i].After(u.sentAt) {
			h.times = slices.Delete(h.times, i, i+1)
			break
		}
	}
	h.times = append(h.times, now)
}

// Count returns the requests within the time before now, and those that were sent before then and
// may still arrive. It forgets others.
func (h *History) Count(now time.Time, within time.Duration) int {
	old := 0
	for old < len(h.times) && now.Sub(h.times[old]) >= within {
		old++
	}
	h.times = append(h.times[:0], h.times[old:]...)
	return len(h.times) + h.overdue(now, within)
}

// overdue returns the requests that were sent before the time and may still arrive.
func (h *History) overdue(now time.Time, within time.Duration) int {
	count := 0
	for _, u := range h.unsettled {
		if now.Sub(u.sentAt) >= within {
			count++
		}
	}
	return count
}

// Free returns how long it takes until less than the given number of requests lie within
// the time before, or until it is worth looking again at those that may still arrive.
func (h *History) Free(now time.Time, within time.Duration, allowed int) time.Duration {
	if h.Count(now, within) < allowed {
		return 0
	}
	allowed -= h.overdue(now, within)
	if allowed <= 0 {
		return within
	}
	return within - now.Sub(h.times[len(h.times)-allowed])
}
