package local

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/sched/division"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

const (
	// shortageMemory is how long after a refusal for lack of capacity the capacity is
	// divided, and how long after its last request a workspace counts.
	shortageMemory = time.Second
	// holdWeight is the weight of one request in the mean time that requests take.
	holdWeight = 0.1
	// usageMemory is how long the usage of a workspace that sends nothing is kept.
	usageMemory = time.Minute
	// maxExcess bounds the requests that a workspace may have at upstreams that are full, in
	// equal shares. Requests in the queues of upstreams count, too.
	maxExcess = 2
	// sharedQueue is the number of requests at an upstream that states its pace, in slots,
	// from which workspaces with more usage than others leave its queue to these. All slots
	// are in use then, also if some of the requests have just ended. At 2, a queue that is no
	// longer than the slots would be full first.
	sharedQueue = 1.5
)

// usage is what a workspace had in a tier of a service.
type usage struct {
	// held counts its slots, and refused the time that refused requests would have held one.
	held, refused *division.Account
	sentAt        time.Time
}

// needed returns the mean number of slots that the workspace used or was refused recently.
func (u *usage) needed(now time.Time) float64 { return u.held.MeanHeld(now) + u.refused.MeanHeld(now) }

// sharing holds what the workspaces had of the capacity of one service.
type sharing struct {
	usages map[division.Key]*usage
	// held is the number of slots that this process holds, chosen here or elsewhere.
	held peak
	// shortAt is when a request was last refused for lack of capacity.
	shortAt time.Time
	// queueLeftAt is when a request of a tier was last refused to leave room in the queue of
	// an upstream to other workspaces.
	queueLeftAt map[int]time.Time
	// meanHold is the mean time that a request takes.
	meanHold  time.Duration
	expiredAt time.Time
}

// sharing returns that of the service. It forgets workspaces that sent no request for long.
func (c *Chooser) sharing(now time.Time, service string) *sharing {
	s := c.sharings[service]
	if s == nil {
		s = &sharing{usages: make(map[division.Key]*usage), queueLeftAt: make(map[int]time.Time)}
		c.sharings[service] = s
	}
	if now.Sub(s.expiredAt) >= usageMemory {
		s.expiredAt = now
		s.expireUsages(now)
	}
	return s
}

// usageOf returns the usage of the request's workspace and records that it sent a request.
func (s *sharing) usageOf(now time.Time, req flow.PlacementRequest) *usage {
	key := division.Key{Tier: req.Tier, Workspace: req.Workspace}
	u := s.usages[key]
	if u == nil {
		u = &usage{held: division.NewAccount(now, key), refused: division.NewAccount(now, key)}
		s.usages[key] = u
	}
	u.sentAt = now
	return u
}

// refuse records that a request got no capacity.
func (s *sharing) refuse(now time.Time, u *usage) {
	s.shortAt = now
	u.refused.Charge(now, s.meanHold)
}

// release records that a request no longer holds a slot that it had since a time. One that
// an upstream declined lacked capacity there.
func (s *sharing) release(now time.Time, u *usage, since time.Time, o flow.Outcome) {
	u.held.Free(now)
	s.changeHeld(now, -1)
	if o == flow.Declined {
		s.refuse(now, u)
	}
	if o != flow.Answered {
		return
	}
	if s.meanHold == 0 {
		s.meanHold = now.Sub(since)
	}
	s.meanHold += time.Duration(holdWeight * float64(now.Sub(since)-s.meanHold))
}

// changeHeld changes the number of slots that this process holds.
func (s *sharing) changeHeld(now time.Time, n int) { s.held.record(now, s.held.latest+n) }

// heldShare returns the share of the upstreams' slots that this process held lately.
func (s *sharing) heldShare(now time.Time, upstreams []roster.Upstream) float64 {
	total := 0
	for _, u := range upstreams {
		total += u.Slots
	}
	return min(1, float64(s.held.recent(now))/float64(max(1, total)))
}

// reserved returns how many slots the request must leave free: what workspaces below their
// equal share recently used or were refused and do not hold now. A workspace below its own
// share leaves none to others of its tier. Higher tiers are left what they are kept, so that
// a lower tier does not take what a higher one may not.
func (s *sharing) reserved(now time.Time, req flow.PlacementRequest, capacity float64) float64 {
	if now.Sub(s.shortAt) >= shortageMemory {
		return 0
	}
	active := make(map[int]int)
	for key, u := range s.usages {
		if now.Sub(u.sentAt) < shortageMemory {
			active[key.Tier]++
		}
	}
	reserved := 0.0
	for key, u := range s.usages {
		if key.Tier > req.Tier || now.Sub(u.sentAt) >= shortageMemory {
			continue
		}
		if active[key.Tier] < 2 || (key.Tier == req.Tier && key.Workspace == req.Workspace) {
			continue
		}
		share := capacity / float64(active[key.Tier])
		if key.Tier == req.Tier && float64(s.heldBy(req)) < share {
			continue
		}
		reserved += max(0, min(share, u.needed(now))-float64(u.held.Held()))
	}
	return reserved
}

func (s *sharing) heldBy(req flow.PlacementRequest) int {
	if u := s.usages[division.Key{Tier: req.Tier, Workspace: req.Workspace}]; u != nil {
		return u.held.Held()
	}
	return 0
}

// mustLeaveFree reports whether the request would take capacity that workspaces below their
// share need. Requests that were sent before go first of all.
func (c *Chooser) mustLeaveFree(now time.Time, s *sharing, upstreams []roster.Upstream, req flow.PlacementRequest, lately float64) bool {
	if req.Resent || !isGeneration(req) || len(s.usages) < 2 || now.Sub(s.shortAt) >= shortageMemory {
		return false
	}
	capacity, held := 0.0, 0.0
	for _, u := range upstreams {
		state := c.state(u.ID)
		if now.Before(state.backoffUntil) {
			continue // it cannot be reached
		}
		limit := c.limit(now, state, u, req, lately)
		if now.Sub(state.declinedAt) < declineMemory {
			// The upstream took no more than this.
			limit = min(limit, float64(max(state.ownRunningAtDecline, state.running)))
		}
		capacity += limit
		held += min(limit, float64(state.running))
	}
	reserved := s.reserved(now, req, capacity)
	return reserved > 0 && capacity-held < 1+reserved
}

// mayExceed reports whether the request may be sent though this process has as many requests
// at the upstreams of its plain service as it may have: its workspace holds less than its
// equal share, or recently used less than an equal part of what was used.
// Such services queue requests for some milliseconds, so that the slot that becomes free next
// is this workspace's, and none is left free for it. A tier below the highest that sends
// requests may not, because the queue would delay the higher one.
func (c *Chooser) mayExceed(now time.Time, s *sharing, upstreams []roster.Upstream, req flow.PlacementRequest) bool {
	if isGeneration(req) || len(s.usages) < 2 || now.Sub(s.shortAt) >= shortageMemory {
		return false
	}
	active, used := 0, 0.0
	for key, u := range s.usages {
		if now.Sub(u.sentAt) >= shortageMemory {
			continue
		}
		if key.Tier < req.Tier {
			return false
		}
		if key.Tier == req.Tier {
			active++
			used += u.held.MeanHeld(now)
		}
	}
	capacity := 0.0
	for _, u := range upstreams {
		capacity += c.limit(now, c.state(u.ID), u, req, 0)
	}
	own := s.usages[division.Key{Tier: req.Tier, Workspace: req.Workspace}].held
	share, held := capacity/float64(active), float64(own.Held())
	return active > 1 && (held < share || (held < maxExcess*share && own.MeanHeld(now) < used/float64(active)))
}

// mustLeaveQueue reports whether the request would take room that workspaces with less usage
// need in the queue of an upstream that states its pace. This process has no limit at such an
// upstream of a plain service, so that the requests of one workspace would fill the queue.
// Requests of a tier below one whose workspaces recently left each other room leave all of the
// queue.
func (c *Chooser) mustLeaveQueue(now time.Time, s *sharing, f forecast, req flow.PlacementRequest) bool {
	if req.Resent || isGeneration(req) || len(s.usages) < 2 || now.Sub(s.shortAt) >= shortageMemory {
		return false
	}
	slots := float64(max(1, f.upstream.Slots))
	if f.requests < slots {
		return false
	}
	for tier, at := range s.queueLeftAt {
		if tier < req.Tier && now.Sub(at) < shortageMemory {
			return true
		}
	}
	if f.requests < sharedQueue*slots {
		return false
	}
	active, used := 0, 0.0
	for key, u := range s.usages {
		if key.Tier == req.Tier && now.Sub(u.sentAt) < shortageMemory {
			active++
			used += u.held.MeanHeld(now)
		}
	}
	own := s.usages[division.Key{Tier: req.Tier, Workspace: req.Workspace}].held
	return active > 1 && own.MeanHeld(now) >= used/float64(active)
}

// leaveQueue returns the forecast at the upstream to use if the request may not take room in the
// queue of the drawn one: one that was not drawn may have room outside its queue.
func (c *Chooser) leaveQueue(now time.Time, s *sharing, drawn forecast, upstreams []roster.Upstream, candidates []int, req flow.PlacementRequest) (forecast, error) {
	if !c.mustLeaveQueue(now, s, drawn, req) {
		return drawn, nil
	}
	for _, i := range candidates {
		if f := c.forecast(now, upstreams[i]); !c.late(now, f, req) && !c.mustLeaveQueue(now, s, f, req) {
			return f, nil
		}
	}
	s.queueLeftAt[req.Tier] = now
	return forecast{}, c.refuseForOthers()
}

func isGeneration(req flow.PlacementRequest) bool {
	return req.PromptTokens > 0 || req.OutputTokens > 0
}

// expireUsages forgets what workspaces used that neither hold a slot nor sent a request lately.
func (s *sharing) expireUsages(now time.Time) {
	for key, u := range s.usages {
		if u.held.Held() == 0 && now.Sub(u.sentAt) >= usageMemory {
			delete(s.usages, key)
		}
	}
}
