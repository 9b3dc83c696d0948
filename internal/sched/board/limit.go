package board

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/limit/share"
	"github.com/persimmonridge/persimmonridge/internal/limit/warmup"
)

// Limiter limits the requests to engines that tolerate few requests after their start.
type Limiter interface {
	// Allowance returns how many requests the gateway may send to the upstream in
	// warmup.Window, and whether it is limited at all.
	Allowance(now time.Time, owner, upstream string) (requests int, limited bool)
	// Tolerance returns how many requests the upstream tolerates in warmup.Window from all
	// gateways while it warms up, and whether its service states that.
	Tolerance(upstream string) (requests int, limited bool)
	// Failed records that the upstream's connections failed.
	Failed(now time.Time, upstream string)
}

// grantWindow is the time in which grants count. It is longer than the window in which the
// gateways count what they send: one that gets a slot earlier than another one may send
// its request later.
const grantWindow = warmup.Window + 50*time.Millisecond

// grantHistory holds the times of an engine's latest grants.
type grantHistory struct {
	all     share.History
	byOwner map[string]*share.History
}

func (h *grantHistory) add(now time.Time, owner string) {
	if h.byOwner == nil {
		h.byOwner = make(map[string]*share.History)
	}
	if h.byOwner[owner] == nil {
		h.byOwner[owner] = &share.History{}
	}
	for _, history := range []*share.History{&h.all, h.byOwner[owner]} {
		history.Count(now, grantWindow)
		history.Add(now)
	}
}

func (h *grantHistory) countOf(now time.Time, owner string) int {
	if history := h.byOwner[owner]; history != nil {
		return history.Count(now, grantWindow)
	}
	return 0
}

// withinLimit reports whether the engine may get another request of the owner now. An
// engine may have restarted without anybody knowing it yet, so it never gets more than it
// tolerates while it warms up.
func (s *Scheduler) withinLimit(now time.Time, e *engine, owner string) bool {
	if s.limiter == nil || !e.WarmsUp {
		return true
	}
	if tolerance, limited := s.limiter.Tolerance(e.ID); limited && e.grants.all.Count(now, grantWindow) >= tolerance {
		return false
	}
	allowance, limited := s.limiter.Allowance(now, owner, e.ID)
	return !limited || e.grants.countOf(now, owner) < allowance
}

// mayBeWarmingUp reports whether the engine is limited as one that may be warming up.
func (s *Scheduler) mayBeWarmingUp(now time.Time, e *engine) bool {
	if s.limiter == nil || !e.WarmsUp {
		return false
	}
	_, limited := s.limiter.Allowance(now, "", e.ID)
	return limited
}
