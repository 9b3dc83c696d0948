// Package budget limits the extra load that the system may create by itself:
// retries, asking more upstreams, hedged requests and calls to the platform's
// store all take tokens from a bucket, so that overload does not amplify itself.
package budget

import (
	"sync"
	"time"
)

// Bucket is a token bucket that is refilled over time, by Earn, or by both. It is
// safe for concurrent use.
type Bucket struct {
	perSecond float64
	capacity  float64

	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
}

// New returns a full bucket that is refilled with perSecond tokens per second and
// holds at most capacity tokens.
func New(perSecond, capacity float64) *Bucket {
	return &Bucket{perSecond: perSecond, capacity: capacity, tokens: capacity}
}

// NewEmpty is New with an empty bucket, which is refilled from now on. Processes that start
// again and again together get no more from theirs than one that lives.
func NewEmpty(now time.Time, perSecond, capacity float64) *Bucket {
	return &Bucket{perSecond: perSecond, capacity: capacity, lastRefill: now}
}

// Take removes cost tokens and returns true if at least reserve tokens remain
// afterwards. Low-priority callers pass a reserve to leave the last tokens to
// high-priority ones.
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

// Earn adds tokens, such as the share of a retry that each first attempt allows.
func (b *Bucket) Earn(tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.capacity, b.tokens+tokens)
}

func (b *Bucket) refill(now time.Time) {
	if b.lastRefill.IsZero() {
		b.lastRefill = now
		return
	}
	elapsed := now.Sub(b.lastRefill)
	if elapsed <= 0 {
		return
	}
	b.lastRefill = now
	b.tokens = min(b.capacity, b.tokens+elapsed.Seconds()*b.perSecond)
}
