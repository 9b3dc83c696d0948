package gateway

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/limit/ratelimit"
	"github.com/persimmonridge/persimmonridge/internal/sched/permit"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// AnswerReceived implements flow.SendGuard.
func (s *sendGuard) AnswerReceived(now time.Time, upstream roster.Upstream, sentAt time.Time, answer *exchange.Answer) {
	if answer.WarmUpRemaining > 0 {
		s.warmUps.Stated(now, upstream.ID, answer.WarmUpRemaining)
	}
	if answer.Leaving {
		s.metrics.statements.WithLabelValues("leaving").Inc()
		s.setLeaving(now, processOf(upstream))
	}
	switch {
	case answer.RetryAfter > 0:
		s.metrics.statements.WithLabelValues("rest").Inc()
		s.rests.Asked(now, upstream.ID, upstream.StartedAtMs, answer.RetryAfter)
	case answer.Sealed:
		s.rests.Served(upstream.ID, sentAt)
	}
	s.recordRateLimit(now, upstream, sentAt, answer)
}

// recordRateLimit records the rate limit that an upstream states. An answer without one
// ends it only if the upstream has executed the request: a refusal may lack the header.
func (s *sendGuard) recordRateLimit(now time.Time, upstream roster.Upstream, sentAt time.Time, answer *exchange.Answer) {
	stated := answer.RateLimit
	var before ratelimit.Statement
	changed := false
	switch {
	case stated.Valid:
		s.metrics.statements.WithLabelValues("rate-limit").Inc()
		before, changed = s.rates.Stated(now, upstream.ID, upstream.StartedAtMs, stated.PerSecond)
	case stated.Stated:
		s.metrics.statements.WithLabelValues("rate-limit-unreadable").Inc()
	case answer.Sealed:
		before, changed = s.rates.NotStated(now, upstream.ID, upstream.StartedAtMs, sentAt)
	}
	if changed {
		s.logger.Info("rate limit stated by upstream changed", "upstream", upstream.ID, "born", upstream.StartedAtMs,
			"stated", stated.Stated, "per-second", stated.PerSecond, "before", before.PerSecond)
	}
}

func processOf(u roster.Upstream) roster.Process {
	return roster.Process{ID: u.ID, StartedAtMs: u.StartedAtMs}
}

// setLeaving records that an upstream's process has said that it leaves, to this gateway or
// to a peer.
func (s *sendGuard) setLeaving(now time.Time, p roster.Process) {
	if !s.roster.SetLeaving(now, p) {
		return
	}
	s.logger.Info("upstream leaves", "upstream", p.ID, "born", p.StartedAtMs)
	s.publishEngines()
	s.mesh.GossipNow()
}

// fillGossip adds what upstreams stated to the gossip.
func (s *sendGuard) fillGossip(now time.Time, g *wire.Gossip) {
	for _, p := range s.roster.Leaving() {
		g.LeavingUpstreams = append(g.LeavingUpstreams, &wire.LeavingUpstream{Upstream: p.ID, Born: p.StartedAtMs})
	}
	for _, stated := range s.rates.Statements() {
		g.RateLimits = append(g.RateLimits, &wire.RateLimit{
			Upstream: stated.Upstream, Born: stated.StartedAtMs, Limited: stated.Limited, PerSecond: stated.PerSecond,
			AgeMs: uint32(max(0, now.Sub(stated.At)).Milliseconds()), Event: stated.Event,
		})
	}
}

// applyGossip records what upstreams stated to a peer.
func (s *sendGuard) applyGossip(now time.Time, peer string, g *wire.Gossip) {
	for _, told := range g.LeavingUpstreams {
		// A mark that outlives its registration must not go from one gateway to the other.
		if _, registered := s.roster.Get(told.Upstream); registered {
			s.setLeaving(now, roster.Process{ID: told.Upstream, StartedAtMs: told.Born})
		}
	}
	for _, told := range g.RateLimits {
		if !(told.PerSecond >= 0) {
			continue
		}
		changed := s.rates.Heard(now, ratelimit.Statement{
			Upstream: told.Upstream, StartedAtMs: told.Born, Limited: told.Limited, PerSecond: told.PerSecond,
			At: now.Add(-time.Duration(told.AgeMs) * time.Millisecond), Event: told.Event,
		})
		if changed {
			s.logger.Info("rate limit stated by upstream told by peer", "upstream", told.Upstream, "born", told.Born,
				"stated", told.Limited, "per-second", told.PerSecond, "peer", peer)
		}
	}
}

// statedWait returns how long it takes until this gateway may send a request to the upstream
// by what the upstream states.
func (s *sendGuard) statedWait(now time.Time, u roster.Upstream) time.Duration {
	return max(s.rateWait(now, u), s.restWait(now, u))
}

func (s *sendGuard) rateWait(now time.Time, u roster.Upstream) time.Duration {
	return s.rates.Wait(now, s.settings.LinkAddress, u.ID, u.StartedAtMs)
}

func (s *sendGuard) restWait(now time.Time, u roster.Upstream) time.Duration {
	return s.rests.Wait(now, u.ID, u.StartedAtMs)
}

// Pause implements flow.SendGuard.
func (s *sendGuard) Pause(now time.Time, service string) time.Duration {
	shortest := time.Duration(0)
	for i, u := range s.roster.Ready(service) {
		wait := s.Wait(now, u)
		if wait == 0 {
			return 0
		}
		if i == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// mayWithhold reports whether requests may be withheld from upstreams at the last moment for
// what these stated.
func (s *sendGuard) mayWithhold() bool { return s.rates.Limited()+s.rests.Known() > 0 }

// paused returns the upstreams of the service that may get no request of this gateway now
// by what they stated themselves, which the scheduler may not know. It knows of warm-ups.
func (s *sendGuard) paused(now time.Time, service string) []permit.Pause {
	var paused []permit.Pause
	for _, p := range s.roster.Leaving() {
		paused = append(paused, permit.Pause{Upstream: p.ID})
	}
	if s.rates.Limited() == 0 && s.rests.Resting(now) == 0 {
		return paused
	}
	for _, u := range s.roster.Ready(service) {
		if wait := s.statedWait(now, u); wait > 0 {
			paused = append(paused, permit.Pause{Upstream: u.ID, For: wait})
		}
	}
	return paused
}

// forget drops the statements of processes that left long ago.
func (s *sendGuard) forget(now time.Time) {
	isCurrent := func(id string, startedAtMs int64) bool {
		u, registered := s.roster.Get(id)
		return registered && u.StartedAtMs <= startedAtMs
	}
	s.rates.Forget(now, isCurrent)
	s.rests.Forget(now, isCurrent)
}
