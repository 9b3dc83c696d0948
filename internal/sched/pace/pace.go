// Package pace estimates how much longer than usual work takes on an upstream at a moment.
// Upstreams share their VMs with other programs, and state their pace in their answers: 1
// is as usual, 2 takes twice as long.
package pace

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which the deviation of the last statement from the mean
	// halves. The pace changes several times in a second, so an older statement says
	// nothing of the present.
	halfLife = 300 * time.Millisecond
	// maxHold is how long at most a statement counts in the mean.
	maxHold = time.Second
	// meanTime is the time over which the mean is taken.
	meanTime = 10 * time.Second
)

// Estimate is the pace of one upstream's process. The zero value is that of an upstream
// that has stated none, whose pace is as usual at all times.
type Estimate struct {
	stated float64
	at     time.Time
	// mean is the time-weighted mean of the statements, over weight seconds.
	mean, weight float64
	// excess is the integral of the pace beyond the usual one up to at, in seconds.
	excess float64
}

// Known reports whether the upstream has stated a pace.
func (e *Estimate) Known() bool { return !e.at.IsZero() }

// Stated records a pace that the upstream stated at a time. Statements that are older than
// the last one, and those that cannot be true, are ignored.
func (e *Estimate) Stated(at time.Time, pace float64) {
	if !(pace > 0) || math.IsInf(pace, 0) || (e.Known() && !at.After(e.at)) {
		return
	}
	if !e.Known() {
		e.stated, e.at, e.mean, e.weight = pace, at, 1, maxHold.Seconds()
		return
	}
	e.excess = e.Excess(at)
	held := min(at.Sub(e.at), maxHold).Seconds()
	e.weight = min(e.weight+held, meanTime.Seconds())
	e.mean += (e.stated - e.mean) * held / e.weight
	e.stated, e.at = pace, at
}

// At returns the pace to expect at a time: that stated last, or the mean if it is old.
func (e *Estimate) At(now time.Time) float64 {
	if !e.Known() {
		return 1
	}
	return e.mean + (e.stated-e.mean)*math.Exp2(-e.age(now).Seconds()/halfLife.Seconds())
}

// Mean returns the mean pace lately.
func (e *Estimate) Mean() float64 {
	if !e.Known() {
		return 1
	}
	return e.mean
}

// Excess returns the integral of the expected pace beyond the usual one up to now, in
// seconds. The mean pace between two times is 1 and the difference of the integrals, divided
// by the time between.
func (e *Estimate) Excess(now time.Time) float64 {
	if !e.Known() {
		return 0
	}
	age := e.age(now).Seconds()
	decayed := (1 - math.Exp2(-age/halfLife.Seconds())) * halfLife.Seconds() / math.Ln2
	return e.excess + (e.mean-1)*age + (e.stated-e.mean)*decayed
}

func (e *Estimate) age(now time.Time) time.Duration { return max(0, now.Sub(e.at)) }
