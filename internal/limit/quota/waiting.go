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
	// waited is the cost multiplied by the seconds that it waited, and decays, too.
	waited    float64
	decayedAt time.Time
	// since is when the first of the requests came that wait without a gap.
	since time.Time
}

// weight returns what the waiting requests are expected to cost: only those that get a
// slot are charged.
func (q *waiting) weight(now time.Time, burst float64) float64 {
	q.decay(now)
	prior := placedPrior * burst
	return q.cost * (q.placed + prior) / (q.ended + prior)
}

// expectedWait returns the time after which a request that waits is expected to get its slot.
// By Little's law, that is what waits divided by what ends in a second.
func (q *waiting) expectedWait(now time.Time, burst float64) time.Duration {
	q.decay(now)
	if q.cost <= 0 {
		return 0
	}
	seconds := q.waited / (q.ended + placedPrior*burst)
	return min(now.Sub(q.since), time.Duration(seconds*float64(time.Second)))
}

func (q *waiting) begin(now time.Time, cost float64) {
	q.decay(now)
	if q.cost <= 0 {
		q.since = now
	}
	q.cost += cost
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
		q.waited = q.waited*remaining + q.cost*(1-remaining)*placedHalfLife.Seconds()/math.Ln2
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
	b.requestedAt = now
	if b.awaitsLevel(now) {
		// The level arrives before the slot, and is checked then.
		b.waiting.begin(now, cost)
		return true, 0
	}
	// What waits is charged over the time of a wait, in which the bucket is refilled.
	refill := w.QuotaPerSecond * l.rateFraction(now) * b.waiting.expectedWait(now, w.QuotaBurst).Seconds()
	ok, retryAfter := l.covers(now, b, cost, max(0, b.waiting.weight(now, w.QuotaBurst)-refill))
	if ok {
		b.waiting.begin(now, cost)
	}
	return ok, retryAfter
}

// Dequeue ends the waiting of a request that Enqueue admitted, and records whether it got
// a slot.
func (l *Limiter) Dequeue(now time.Time, w *catalog.Workspace, cost float64, placed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.bucketOf(w.Name); b != nil {
		b.waiting.end(now, cost, placed)
	}
}
