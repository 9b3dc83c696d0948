package quota

import (
	"math"
	"time"
)

const (
	// latelyHalfLife is the time in which usage loses half of its weight in a gateway's
	// share: the mean age of what counts is one second.
	latelyHalfLife = 700 * time.Millisecond
	// equalFraction is the fraction of what all gateways may take between two reports that
	// is divided equally, for callers that come to another gateway.
	equalFraction = 0.25
)

// lately is the usage of a workspace over about the last second at this gateway and at
// all others.
type lately struct {
	own, others float64
	// counted is the usage here that own includes, and atTotals the usage here when the
	// last totals arrived. Totals lag by an interval of reports. Usage here is counted
	// with the same lag: in a burst that begins at all gateways at once, each would
	// otherwise take itself for the only one that uses the quota.
	counted, atTotals float64
	decayedAt         time.Time
}

// record adds what the other gateways used between two totals. Used is the total that was
// used here.
func (u *lately) record(now time.Time, used, others float64) {
	if elapsed := now.Sub(u.decayedAt); elapsed > 0 {
		remaining := math.Exp2(-elapsed.Seconds() / latelyHalfLife.Seconds())
		u.own *= remaining
		u.others *= remaining
		u.decayedAt = now
	}
	u.own = max(0, u.own+u.atTotals-u.counted)
	u.others = max(0, u.others+others)
	u.counted, u.atTotals = u.atTotals, used
}

// skip leaves out the usage here up to now, as that of the others is not known.
func (u *lately) skip(used float64) { u.counted, u.atTotals = used, used }

// share returns this gateway's share of what all gateways may take between two reports.
// The shares of all gateways add up to 1.
func (u *lately) share(gateways float64) float64 {
	total := u.own + u.others
	if total <= 0 {
		return 1 / gateways
	}
	return equalFraction/gateways + (1-equalFraction)*u.own/total
}
