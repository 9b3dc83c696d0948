// Package failure keeps what share of an upstream's outcomes were failures of
// late, for the scheduler and for a gateway that chooses by itself.
package failure

import (
	"math"
	"slices"
	"time"
)

// brokenApart is the span in which connections that break count as one failure.
// A network that resets what is open, like an engine that starts anew, ends some
// ten streams in one millisecond, and they say no more of the upstream than one
// of them. Taken one by one, they would leave sound engines idle while callers
// are refused.
const brokenApart = 150 * time.Millisecond

// Share is a failure share. It halves with time, so that an upstream that was
// left is tried again.
type Share struct {
	// weight is one outcome's, half the time in which the share halves.
	weight float64
	half   time.Duration

	value float64
	at    time.Time
	// brokeAt is when a broken connection was last counted.
	brokeAt time.Time
}

// New returns a share of no failures.
func New(weight float64, half time.Duration) Share { return Share{weight: weight, half: half} }

// At returns the share at the moment.
func (s *Share) At(now time.Time) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp2(-now.Sub(s.at).Seconds()/s.half.Seconds())
}

// Succeeded counts a success.
func (s *Share) Succeeded(now time.Time) { s.count(now, 0) }

// Failed counts a failure.
func (s *Share) Failed(now time.Time) { s.count(now, 1) }

// Broke counts a connection that ended before its answer, unless others of the
// same moment were counted.
func (s *Share) Broke(now time.Time) {
	if now.Sub(s.brokeAt) < brokenApart {
		return
	}
	s.brokeAt = now
	s.Failed(now)
}

func (s *Share) count(now time.Time, failed float64) {
	s.value = (1-s.weight)*s.At(now) + s.weight*failed
	s.at = now
}

// Usual returns the share that a quarter of the upstreams does not exceed. Of many
// that fail alike, the least share is far below the others by luck; measured by
// that, most would be left.
func Usual(shares []float64) float64 {
	if len(shares) == 0 {
		return 0
	}
	slices.Sort(shares)
	return shares[len(shares)/usualPart]
}

// usualPart is the part of the upstreams by which the others are measured, as its
// inverse.
const usualPart = 4
