package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonridge/persimmonridge/internal/limit/cooldown"
	"github.com/persimmonridge/persimmonridge/internal/limit/lending"
	"github.com/persimmonridge/persimmonridge/internal/limit/ratelimit"
	"github.com/persimmonridge/persimmonridge/internal/limit/share"
	"github.com/persimmonridge/persimmonridge/internal/limit/warmup"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// gatewaySetTTL is how long the set of gateways is cached: it changes when one joins.
const gatewaySetTTL = 100 * time.Millisecond

// sendGuard decides at the last moment whether a request may be sent to an upstream. It
// implements flow.SendGuard, board.Limiter and local.Limiter.
type sendGuard struct {
	*Gateway
	warmUps *warmup.Guard
	rates   *ratelimit.Limiter
	rests   *cooldown.Tracker

	mu      sync.Mutex
	set     share.Gateways
	byNode  map[string]string
	builtAt time.Time
	// joined is set if the store listed this gateway before its process started.
	joined bool
}

func newSendGuard(g *Gateway, limit warmup.Limit) *sendGuard {
	s := &sendGuard{Gateway: g, rests: cooldown.New()}
	s.rates = ratelimit.New(g.processID, s.gateways)
	s.warmUps = warmup.New(limit, warmup.Dependencies{Service: s.service, Gateways: s.gateways})
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

// gateways returns the addresses of all gateways that are registered or known to the mesh.
func (s *sendGuard) gateways(now time.Time) share.Gateways {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshLocked(now)
	set := s.set
	// A new gateway is known to all others once they had the time to read a change. One that
	// has restarted may have used its part of a window just before. Either part may be lent.
	set.Age = now.Sub(s.startedAt)
	age := set.Age - share.LoanLife
	set.Joined = age >= warmup.Window && (s.joined || age >= s.settings.ConfigApplyLimit)
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
	addresses = append(append(addresses, s.membership.Addresses()...), s.settings.LinkAddress)
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
	if reason = s.withholds(now, upstream); reason != "" {
		s.metrics.withheld.WithLabelValues(reason).Inc()
	}
	return reason
}

// withholds returns why the upstream may get no request now, or else counts one. Nothing is
// counted before all limits have room, unless two requests are sent at the same moment.
func (s *sendGuard) withholds(now time.Time, u roster.Upstream) (reason string) {
	const limited, resting = "upstream states a rate limit", "upstream asked for rest"
	switch {
	case s.evacuations.set.Contains(u.Domain):
		return "failure domain evacuated"
	case s.roster.IsLeaving(processOf(u)):
		return "upstream leaves"
	case s.rateWait(now, u) > 0:
		return limited
	case s.restWait(now, u) > 0:
		return resting
	case !s.warmUps.Take(now, s.settings.LinkAddress, u.ID):
		return "upstream may be warming up"
	case !s.rates.Take(now, s.settings.LinkAddress, u.ID, u.StartedAtMs):
		return limited
	case !s.rests.Take(now, u.ID, u.StartedAtMs):
		return resting
	}
	return ""
}

// Await implements flow.SendGuard.
func (s *sendGuard) Await(now time.Time, u roster.Upstream) (settled func(now time.Time)) {
	cold, limited := s.warmUps.Await(now, u.ID), s.rates.Await(now, u.ID, u.StartedAtMs)
	switch {
	case cold == nil:
		return limited
	case limited == nil:
		return cold
	}
	return func(now time.Time) {
		cold(now)
		limited(now)
	}
}

// Failed implements flow.SendGuard and board.Limiter.
func (s *sendGuard) Failed(now time.Time, upstream string) { s.warmUps.Failed(now, upstream) }

// Wait implements local.Limiter.
func (s *sendGuard) Wait(now time.Time, upstream roster.Upstream) time.Duration {
	return max(s.warmUps.Wait(now, s.settings.LinkAddress, upstream.ID), s.statedWait(now, upstream))
}

// Allowance implements board.Limiter.
func (s *sendGuard) Allowance(now time.Time, owner, upstream string) (requests int, limited bool) {
	requests, limited = s.warmUps.Allowance(now, s.address(now, owner), upstream)
	if limited {
		requests = s.partLoans.broker.Allowance(now, owner, lending.Limit{Upstream: upstream, WarmUp: true}, requests)
	}
	return requests, limited
}

// Tolerance implements board.Limiter.
func (s *sendGuard) Tolerance(upstream string) (requests int, limited bool) {
	return s.warmUps.Tolerance(upstream)
}

// registered passes a registration to the guard.
func (s *sendGuard) registered(now time.Time, u roster.Upstream) {
	s.warmUps.Registered(now, warmup.Registration{
		ID: u.ID, Service: u.Service, Domain: u.Domain, StartedAtMs: u.StartedAtMs,
		Remaining: u.WarmUpRemaining, Unknown: u.WarmUpUnknown,
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
