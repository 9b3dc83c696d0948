// Package budget limits how much extra work the system may make for itself:
// retries, widened asks, hedges and calls on the platform's store all draw on
// a token bucket, so that overload never feeds itself.
package budget

import (
	"sync"
	"time"
)

// Bucket is a token bucket that is refilled by time, by earnings, or by both.
type Bucket struct {
	perSecond float64
	capacity  float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// New returns a full bucket that gains perSecond tokens a second and holds at
// most capacity.
func New(perSecond, capacity float64) *Bucket {
	return &Bucket{perSecond: perSecond, capacity: capacity, tokens: capacity}
}

// Take removes cost tokens if, after that, at least reserve remain. Callers
// of low priority pass a reserve, which leaves the last tokens to the others.
func (b *Bucket) Take(now time.Time, cost, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens-cost < reserve {
		return false
	}
	b.tokens -= cost
	return true
}

// Earn adds tokens, as each first attempt does for the retries it allows.
func (b *Bucket) Earn(tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.capacity, b.tokens+tokens)
}

func (b *Bucket) refill(now time.Time) {
	if b.last.IsZero() {
		b.last = now
		return
	}
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.tokens = min(b.capacity, b.tokens+elapsed.Seconds()*b.perSecond)
}
