package quota

import (
	"math"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

const (
	// placedHalfLife is the time in which the record of requests that got a slot, or did
	// not, loses half of its weight. Bursts of load last seconds.
	placedHalfLife = time.Second
	// placedPrior is the fraction of the burst that counts as having got slots. It makes
	// a workspace with little record count in full.
	placedPrior = 0.1
)

// waiting is the cost of a workspace's requests that wait for a slot at this gateway.
type waiting struct {
	cost float64
	// ended is the cost of requests that no longer wait, and placed the part of it whose
	// requests got a slot; both decay.
	ended, placed float64
	decayedAt     time.Time
}

// weight returns what the waiting requests are expected to cost: only those that get a
// slot are charged.
func (q *waiting) weight(now time.Time, burst float64) float64 {
	q.decay(now)
	prior := placedPrior * burst
	return q.cost * (q.placed + prior) / (q.ended + prior)
}

func (q *waiting) end(now time.Time, cost float64, placed bool) {
	q.decay(now)
	q.cost = max(0, q.cost-cost)
	q.ended += cost
	if placed {
		q.placed += cost
	}
}

func (q *waiting) decay(now time.Time) {
	if elapsed := now.Sub(q.decayedAt); elapsed > 0 {
		remaining := math.Exp2(-elapsed.Seconds() / placedHalfLife.Seconds())
		q.ended *= remaining
		q.placed *= remaining
		q.decayedAt = now
	}
}

// Enqueue checks at a request's arrival whether the workspace's bucket covers its cost
// and the expected cost of those that wait, or returns when to retry. Nothing is charged.
// The cost counts as waiting until Dequeue.
func (l *Limiter) Enqueue(now time.Time, w *catalog.Workspace, cost float64) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucketAt(now, w)
	ok, retryAfter := l.covers(now, b, cost, b.waiting.weight(now, w.QuotaBurst))
	if ok {
		b.waiting.cost += cost
	}
	return ok, retryAfter
}

// Dequeue ends the waiting of a request that Enqueue admitted, and records whether it got
// a slot.
func (l *Limiter) Dequeue(now time.Time, w *catalog.Workspace, cost float64, placed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[w.Name]; b != nil {
		b.waiting.end(now, cost, placed)
	}
}
