package board

import (
	"math"
	"time"
)

const (
	// grantRateHalfLife is the half-life of the grant rate. It is long enough for a few
	// hundred slots to become free in a fleet of about 40 engines, and short enough to
	// notice the end of a burst.
	grantRateHalfLife = 400 * time.Millisecond
	// waitTolerance is by what factor the expected wait may exceed the remaining time.
	// Slots become free unevenly, so the expected wait is off by half either way.
	waitTolerance = 1.5
	// minQueueShare is the number of requests of a rank that may always wait, as a share
	// of the service's slots. Some requests are then there when slots become free all at
	// once at the end of a burst, and the grant rate of a rank that has had no slots so
	// far can be measured.
	minQueueShare = 0.05
)

// rank groups the waiting requests whose relative order depends only on their deadlines and
// on what their workspaces used.
type rank struct {
	service       string
	tier          int
	refusedBefore bool
}

func rankOf(req *SlotRequest) rank { return rank{req.Service, req.Tier, req.refusedBefore} }

// grantRate is an exponentially decaying count of slots granted to waiting requests of a
// rank.
type grantRate struct {
	count     float64
	updatedAt time.Time
}

func (r *grantRate) decayed(now time.Time) float64 {
	return r.count * math.Exp2(-now.Sub(r.updatedAt).Seconds()/grantRateHalfLife.Seconds())
}

func (r *grantRate) add(now time.Time) {
	r.count, r.updatedAt = r.decayed(now)+1, now
}

// perSecond returns the number of grants per second. With a steady rate, the count settles
// at the rate times the half-life divided by ln 2.
func (r *grantRate) perSecond(now time.Time) float64 {
	return r.decayed(now) * math.Ln2 / grantRateHalfLife.Seconds()
}

// recordQueueGrant counts a slot granted to a waiting request.
func (s *Scheduler) recordQueueGrant(now time.Time, req *SlotRequest) {
	rate := s.grantRates[rankOf(req)]
	if rate == nil {
		rate = &grantRate{}
		s.grantRates[rankOf(req)] = rate
	}
	rate.add(now)
}

// queueTooLong reports whether the request would wait in vain: at the rate at which
// requests of its rank are granted slots, those ahead of it take longer than its slack. An
// immediate refusal saves the caller a wait of three quarters of its first-event target,
// and lets it retry that much earlier.
func (s *Scheduler) queueTooLong(now time.Time, req *SlotRequest, slack time.Duration) bool {
	if req.Resent || s.saturatedFor(now) < saturationThreshold {
		return false
	}
	ahead := s.countAhead(now, req)
	if float64(ahead) < minQueueShare*float64(s.slots(req.Service)) {
		return false
	}
	perSecond := 0.0
	if rate := s.grantRates[rankOf(req)]; rate != nil {
		perSecond = rate.perSecond(now)
	}
	return float64(ahead) > waitTolerance*perSecond*slack.Seconds()
}
