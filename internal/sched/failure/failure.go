// Package failure keeps the recent failure rate of an upstream, for the scheduler and for
// a gateway that chooses upstreams locally.
package failure

import (
	"math"
	"slices"
	"time"
)

// brokenWindow is the time within which broken connections count as one failure. A network
// fault that resets all open connections, like the restart of an engine, ends about ten
// streams within a millisecond, which says no more about the upstream than one broken
// stream. Counted one by one, they would leave healthy engines idle while callers are
// refused.
const brokenWindow = 150 * time.Millisecond

// Rate is an exponentially weighted failure rate. It decays with time, so that an upstream
// that was skipped is tried again.
type Rate struct {
	// weight is the weight of one outcome, and halfLife the half-life of the rate.
	weight   float64
	halfLife time.Duration

	value     float64
	updatedAt time.Time
	// brokenAt is when a broken connection was last counted.
	brokenAt time.Time
}

// New returns a rate without failures.
func New(weight float64, halfLife time.Duration) Rate {
	return Rate{weight: weight, halfLife: halfLife}
}

// At returns the rate at the given time.
func (r *Rate) At(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp2(-now.Sub(r.updatedAt).Seconds()/r.halfLife.Seconds())
}

// Succeeded counts a success.
func (r *Rate) Succeeded(now time.Time) { r.observe(now, 0) }

// Failed counts a failure.
func (r *Rate) Failed(now time.Time) { r.observe(now, 1) }

// Broken counts a connection that was closed before the answer was complete, unless
// another one was counted within brokenWindow.
func (r *Rate) Broken(now time.Time) {
	if now.Sub(r.brokenAt) < brokenWindow {
		return
	}
	r.brokenAt = now
	r.Failed(now)
}

func (r *Rate) observe(now time.Time, outcome float64) {
	r.value = (1-r.weight)*r.At(now) + r.weight*outcome
	r.updatedAt = now
}

// Baseline returns the rate that at least a quarter of the upstreams do not exceed. The
// lowest rate would not do: among many upstreams that fail equally, it is far below the
// others by chance, and most would be skipped. It sorts rates.
func Baseline(rates []float64) float64 {
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/baselineDivisor]
}

// baselineDivisor is the inverse of the share of the upstreams that do not exceed the
// baseline.
const baselineDivisor = 4
