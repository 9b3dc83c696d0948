package board

import (
	"cmp"
	"math"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/profile"
)

const (
	// shareHalfLife is the half-life of what is known of a tier's use: long enough for some
	// tens of requests, and short enough to follow a burst.
	shareHalfLife = time.Second
	// minTierShare is the share of the engines' time that a tier may use before higher ones
	// while it is served less often than they are. Small requests of a lower tier would
	// otherwise be refused for a gain of the higher one that is a fraction of that.
	minTierShare = 0.06
)

// tierUse is what a tier of a service got lately; all counts decay.
type tierUse struct {
	granted, refused float64
	// engineMs is the time that the granted requests occupy an ordinary engine.
	engineMs  float64
	updatedAt time.Time
}

func (u *tierUse) decay(now time.Time) {
	if elapsed := now.Sub(u.updatedAt); elapsed > 0 {
		factor := math.Exp2(-elapsed.Seconds() / shareHalfLife.Seconds())
		u.granted, u.refused, u.engineMs = factor*u.granted, factor*u.refused, factor*u.engineMs
		u.updatedAt = now
	}
}

// served returns the share of the tier's requests that got a slot.
func (u *tierUse) served() float64 {
	if u.granted+u.refused < 1 {
		return 1
	}
	return u.granted / (u.granted + u.refused)
}

// serviceTier identifies a tier of a service.
type serviceTier struct {
	service string
	tier    int
}

func (s *Scheduler) tierUse(now time.Time, req *SlotRequest) *tierUse {
	key := serviceTier{req.Service, req.Tier}
	use := s.tierUses[key]
	if use == nil {
		use = &tierUse{updatedAt: now}
		s.tierUses[key] = use
	}
	use.decay(now)
	return use
}

// recordTierGrant counts a slot that the request got.
func (s *Scheduler) recordTierGrant(now time.Time, e *engine, req *SlotRequest) {
	if req.refusedBefore {
		return
	}
	use := s.tierUse(now, req)
	use.granted++
	decoding := float64(cmp.Or(req.EstimatedTokens, req.OutputTokens)) * profile.StepMs(e.Slots) / float64(max(1, e.Slots))
	use.engineMs += profile.PrefillMs(req.PromptTokens, 1) + decoding
}

// recordTierRefusal counts a refusal of the request.
func (s *Scheduler) recordTierRefusal(now time.Time, req *SlotRequest) {
	if !req.refusedBefore {
		s.tierUse(now, req).refused++
	}
}

// tierBelowShare returns the next lower tier of the service, and whether it goes before the
// given one: it gets less than its share, and is served less often. A tier never goes
// before those that are two or more above it.
func (s *Scheduler) tierBelowShare(now time.Time, service string, tier int) (lower int, below bool) {
	total, found := 0.0, false
	for key, use := range s.tierUses {
		if key.service != service {
			continue
		}
		use.decay(now)
		total += use.engineMs
		if key.tier > tier && (!found || key.tier < lower) {
			lower, found = key.tier, true
		}
	}
	higher := s.tierUses[serviceTier{service, tier}]
	if !found || higher == nil {
		return 0, false
	}
	use := s.tierUses[serviceTier{service, lower}]
	return lower, use.engineMs < minTierShare*total && use.served() < higher.served()
}
