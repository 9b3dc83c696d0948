package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/limit/ratelimit"
	"github.com/persimmonridge/persimmonridge/internal/limit/share"
	"github.com/persimmonridge/persimmonridge/internal/limit/warmup"
	"github.com/persimmonridge/persimmonridge/internal/sched/permit"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// gatewaySetTTL is how long the set of gateways is cached: it changes when one joins.
const gatewaySetTTL = 100 * time.Millisecond

// sendGuard decides at the last moment whether a request may be sent to an upstream. It
// implements flow.SendGuard, board.Limiter and local.Limiter.
type sendGuard struct {
	*Gateway
	limits *warmup.Guard
	rates  *ratelimit.Limiter

	mu      sync.Mutex
	set     share.Gateways
	byNode  map[string]string
	builtAt time.Time
	// joined is set if the store listed this gateway before its process started.
	joined bool
}

func newSendGuard(g *Gateway, limit warmup.Limit) *sendGuard {
	s := &sendGuard{Gateway: g}
	s.rates = ratelimit.New(g.runID, s.gateways)
	s.limits = warmup.New(limit, warmup.Dependencies{Service: s.service, Gateways: s.gateways})
	return s
}

// service returns what the service states of the warm-up of its upstreams.
func (s *sendGuard) service(name string) warmup.Service {
	service := s.Gateway.service(name)
	if service == nil {
		return warmup.Service{}
	}
	return warmup.Service{Time: service.WarmUpTime, PerSecond: service.WarmUpPerSecond}
}

// gateways returns the addresses of all known gateways.
func (s *sendGuard) gateways(now time.Time) share.Gateways {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshLocked(now)
	set := s.set
	// A new gateway is known to all others once they had the time to read a change.
	set.Joined = s.joined || now.Sub(s.startedAt) >= s.settings.ConfigApplyLimit
	return set
}

// listedBefore records that the other gateways know this one from before its process
// started.
func (s *sendGuard) listedBefore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joined = true
}

func (s *sendGuard) refreshLocked(now time.Time) {
	if age := now.Sub(s.builtAt); !s.builtAt.IsZero() && age >= 0 && age < gatewaySetTTL {
		return
	}
	addresses, byNode := s.mesh.Addresses()
	addresses = append(addresses, s.settings.LinkAddress)
	byNode[s.settings.Name] = s.settings.LinkAddress
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	digest := xxhash.New()
	for _, address := range addresses {
		_, _ = digest.WriteString(address) // a digest's Write never fails
		_, _ = digest.Write([]byte{0})
	}
	s.set, s.byNode, s.builtAt = share.Gateways{Version: digest.Sum64(), IDs: addresses}, byNode, now
}

// address returns the address of a node, or "" if it is unknown.
func (s *sendGuard) address(now time.Time, node string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshLocked(now)
	return s.byNode[node]
}

// Admit implements flow.SendGuard.
func (s *sendGuard) Admit(now time.Time, upstream roster.Upstream) (reason string) {
	if s.evacuations.set.Contains(upstream.Domain) {
		reason = "failure domain evacuated"
	} else if s.rateWait(now, upstream) > 0 {
		reason = "upstream states a rate limit"
	} else if !s.limits.Take(now, s.settings.LinkAddress, upstream.ID) {
		reason = "upstream may be warming up"
	} else if !s.rates.Take(now, s.settings.LinkAddress, upstream.ID, upstream.StartedAtMs) {
		reason = "upstream states a rate limit"
	}
	if reason != "" {
		s.metrics.withheld.WithLabelValues(reason).Inc()
	}
	return reason
}

// AnswerReceived implements flow.SendGuard.
func (s *sendGuard) AnswerReceived(now time.Time, upstream roster.Upstream, sentAt time.Time, answer *exchange.Answer) {
	if answer.WarmUpRemaining > 0 {
		s.limits.Stated(now, upstream.ID, answer.WarmUpRemaining)
	}
	if answer.Leaving {
		s.metrics.statements.WithLabelValues("leaving").Inc()
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

// fillGossip adds what upstreams stated to the gossip.
func (s *sendGuard) fillGossip(now time.Time, g *wire.Gossip) {
	for _, stated := range s.rates.Statements() {
		g.RateLimits = append(g.RateLimits, &wire.RateLimit{
			Upstream: stated.Upstream, Born: stated.StartedAtMs, Limited: stated.Limited, PerSecond: stated.PerSecond,
			AgeMs: uint32(max(0, now.Sub(stated.At)).Milliseconds()), Event: stated.Event,
		})
	}
}

// applyGossip records what upstreams stated to a peer.
func (s *sendGuard) applyGossip(now time.Time, peer string, g *wire.Gossip) {
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

// Failed implements flow.SendGuard and board.Limiter.
func (s *sendGuard) Failed(now time.Time, upstream string) { s.limits.Failed(now, upstream) }

// Wait implements local.Limiter.
func (s *sendGuard) Wait(now time.Time, upstream roster.Upstream) time.Duration {
	return max(s.limits.Wait(now, s.settings.LinkAddress, upstream.ID), s.rateWait(now, upstream))
}

// rateWait returns how long it takes until this gateway may send a request to the upstream
// by the rate limit that the upstream states.
func (s *sendGuard) rateWait(now time.Time, upstream roster.Upstream) time.Duration {
	return s.rates.Wait(now, s.settings.LinkAddress, upstream.ID, upstream.StartedAtMs)
}

// paused returns the upstreams of the service that may get no request of this gateway now
// by what they stated themselves. The scheduler knows of the warm-ups.
func (s *sendGuard) paused(now time.Time, service string) []permit.Pause {
	if s.rates.Limited() == 0 {
		return nil
	}
	var paused []permit.Pause
	for _, u := range s.roster.Ready(service) {
		if wait := s.rateWait(now, u); wait > 0 {
			paused = append(paused, permit.Pause{Upstream: u.ID, For: wait})
		}
	}
	return paused
}

// Allowance implements board.Limiter.
func (s *sendGuard) Allowance(now time.Time, owner, upstream string) (requests int, limited bool) {
	return s.limits.Allowance(now, s.address(now, owner), upstream)
}

// Tolerance implements board.Limiter.
func (s *sendGuard) Tolerance(upstream string) (requests int, limited bool) {
	return s.limits.Tolerance(upstream)
}

// registered passes a registration to the guard.
func (s *sendGuard) registered(now time.Time, u roster.Upstream) {
	s.limits.Registered(now, warmup.Registration{
		ID: u.ID, Service: u.Service, Domain: u.Domain, StartedAtMs: u.StartedAtMs,
		Remaining: u.WarmUpRemaining, Unknown: u.WarmUpUnknown,
	})
}

// forget drops what upstreams stated that left long ago.
func (s *sendGuard) forget(now time.Time) {
	s.rates.Forget(now, func(id string) bool {
		_, registered := s.roster.Get(id)
		return registered
	})
}

// domainsIn returns the failure domains in the regions, as the settings state them.
func (g *Gateway) domainsIn(regions []string) []string {
	var domains []string
	for domain, region := range *g.regions.Load() {
		if slices.Contains(regions, region) {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}
