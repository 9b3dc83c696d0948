package board

import (
	"fmt"
	"time"
)

const (
	// saturatedAfter is how long requests must have waited without a break for
	// the overload to count as more than a moment.
	saturatedAfter = 250 * time.Millisecond
	// retryLeast and retryMost bound what refused callers are told, before it is
	// spread: no less than a crowded moment lasts, and no more than a caller
	// with a deadline of some ten seconds may wait and still be served.
	retryLeast = 300 * time.Millisecond
	retryMost  = 2500 * time.Millisecond
)

// returnWithin is how long a refused request is remembered: callers come back
// within a third of the time they have left, five seconds at most.
const returnWithin = 8 * time.Second

// refusals are the fingerprints of requests that were refused, and when.
type refusals map[uint64]time.Time

func (r refusals) add(now time.Time, fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	r[fingerprint] = now
}

// take tells whether a request was refused shortly before, and forgets it.
func (r refusals) take(now time.Time, fingerprint uint64) bool {
	at, ok := r[fingerprint]
	if !ok {
		return false
	}
	delete(r, fingerprint)
	return now.Sub(at) <= returnWithin
}

// expire forgets requests that did not come back.
func (r refusals) expire(now time.Time) {
	for fingerprint, at := range r {
		if now.Sub(at) > returnWithin {
			delete(r, fingerprint)
		}
	}
}

func (b *Board) refuse(now time.Time, a *Ask, why string) {
	b.refusals.add(now, a.Fingerprint)
	why = fmt.Sprintf("%s (%d wait, %d late, for %d slots, for %s so far)",
		why, len(b.waiting), len(b.late), b.slots(a.Service), b.saturatedFor(now).Round(time.Millisecond))
	b.answer(a, Verdict{RetryAfter: b.retryAfter(now), Why: why})
}

// retryAfter tells when a place should be free. How long an overload goes on is
// unknown; the best guess is as long as it has lasted. Callers are spread over
// as long again, so that they do not return together.
func (b *Board) retryAfter(now time.Time) time.Duration {
	base := min(max(b.saturatedFor(now), retryLeast), retryMost)
	b.spread = b.spread*6364136223846793005 + 1442695040888963407
	return base + time.Duration(float64(base)*float64(b.spread>>40)/(1<<24))
}

// saturatedFor returns for how long requests that can be in time have waited
// without a break.
func (b *Board) saturatedFor(now time.Time) time.Duration {
	if b.saturatedSince.IsZero() {
		return 0
	}
	return now.Sub(b.saturatedSince)
}

// noteSaturation keeps the moment since which requests wait.
func (b *Board) noteSaturation(now time.Time) {
	switch {
	case len(b.waiting) == 0:
		b.saturatedSince = time.Time{}
	case b.saturatedSince.IsZero():
		b.saturatedSince = now
	}
}
