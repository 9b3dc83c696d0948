package warmup

import (
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/limit/share"
)

const (
	// reportDelay is how long it takes until the registration of an upstream that has
	// just restarted is known: the interval of heartbeats and the longest pause between
	// two looks at the store.
	reportDelay = 3500 * time.Millisecond
	// staleAfter is how long ago the registrations may have been read for an upstream to
	// count as warm. An upstream that restarted since then would not be known.
	staleAfter = 4 * time.Second
	// forgetAfter is how long an upstream that is no longer registered is remembered. If
	// it comes back within this time, it has not necessarily restarted.
	forgetAfter = time.Minute
)

// Service is what a service states of the warm-up of its upstreams.
type Service struct {
	// Time is how long an upstream warms up after its start.
	Time time.Duration
	// PerSecond is the rate of requests that it tolerates meanwhile.
	PerSecond float64
}

// limited reports whether the service's upstreams warm up at all.
func (s Service) limited() bool { return s.PerSecond > 0 || s.Time > 0 }

// Registration is what an upstream's registration states.
type Registration struct {
	ID, Service, Domain string
	// StartedAtMs identifies the start of the upstream's process.
	StartedAtMs int64
	// Remaining is the remaining warm-up time, and Unknown is set if the registration has
	// none.
	Remaining time.Duration
	Unknown   bool
}

// Dependencies are the dependencies of a Guard.
type Dependencies struct {
	// Service returns what the service states.
	Service func(name string) Service
	// Gateways returns all known gateways.
	Gateways func(now time.Time) share.Gateways
}

// upstream is what is known of one upstream.
type upstream struct {
	Registration
	// warmAt is when the upstream is warm by the most careful of all sources.
	warmAt time.Time
	// goneAt is when its registration was removed, or zero.
	goneAt time.Time
	parts  share.Parts
	sent   share.History
	loans  share.Loans
}

// Guard decides how many requests a gateway may send to an upstream that may be warming
// up. It is safe for concurrent use.
type Guard struct {
	deps Dependencies

	mu        sync.Mutex
	limit     Limit
	upstreams map[string]*upstream
	// listed is set once a complete list of upstreams is known, and readAt is when the
	// registrations were last known to be complete.
	listed bool
	readAt time.Time
}

// New returns a guard that knows no upstream.
func New(limit Limit, deps Dependencies) *Guard {
	return &Guard{deps: deps, limit: limit, upstreams: make(map[string]*upstream)}
}

// SetLimit changes the limit.
func (g *Guard) SetLimit(limit Limit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
}

// Listed records that all registrations up to now are known.
func (g *Guard) Listed(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listed, g.readAt = true, now
	for id, u := range g.upstreams {
		if !u.goneAt.IsZero() && now.Sub(u.goneAt) > forgetAfter {
			delete(g.upstreams, id)
		}
	}
}

// Registered records a registration. Of several sources that disagree, the one that
// states the longest warm-up counts.
func (g *Guard) Registered(now time.Time, r Registration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.upstreams[r.ID]
	// What an upstream states on the first list is all that is known of it. A later one
	// has started since.
	started := u == nil && g.listed
	if u == nil {
		u = &upstream{}
		g.upstreams[r.ID] = u
	}
	started = started || (u.StartedAtMs != 0 && u.StartedAtMs != r.StartedAtMs)
	// Without a statement, an upstream may have started whenever it was not registered.
	started = started || (r.Unknown && (u.warmAt.IsZero() || !u.goneAt.IsZero()))
	u.Registration, u.goneAt = r, time.Time{}
	if started {
		u.coldFor(now, g.deps.Service(r.Service).Time)
	}
	u.coldFor(now, r.Remaining)
}

// Removed records that a registration was removed.
func (g *Guard) Removed(now time.Time, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u := g.upstreams[id]; u != nil && u.goneAt.IsZero() {
		u.goneAt = now
	}
}

// Stated records the remaining warm-up time that the upstream stated itself.
func (g *Guard) Stated(now time.Time, id string, remaining time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u := g.upstreams[id]; u != nil {
		u.coldFor(now, remaining)
	}
}

// Failed records that the upstream's connections failed. It may have restarted, and its
// registration tells only later.
func (g *Guard) Failed(now time.Time, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u := g.upstreams[id]; u != nil {
		u.coldFor(now, g.deps.Service(u.Service).Time+reportDelay)
	}
}

// Returned records that the upstreams of a failure domain may get requests again after
// its evacuation.
func (g *Guard) Returned(now time.Time, domain string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, u := range g.upstreams {
		if u.Domain == domain {
			u.coldFor(now, g.deps.Service(u.Service).Time+reportDelay)
		}
	}
}

func (u *upstream) coldFor(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(u.warmAt) {
		u.warmAt = until
	}
}

// Cold returns the number of registered upstreams that may be warming up.
func (g *Guard) Cold(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, u := range g.upstreams {
		if u.goneAt.IsZero() && g.coldLocked(now, u) {
			count++
		}
	}
	return count
}

func (g *Guard) coldLocked(now time.Time, u *upstream) bool {
	return g.deps.Service(u.Service).limited() && (now.Before(u.warmAt) || now.Sub(g.readAt) > staleAfter)
}

// Allowance returns how many requests the gateway may send to the upstream in a Window,
// and whether it is limited at all.
func (g *Guard) Allowance(now time.Time, gateway, id string) (requests int, limited bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allowanceLocked(now, gateway, g.upstreams[id])
}

func (g *Guard) allowanceLocked(now time.Time, gateway string, u *upstream) (requests int, limited bool) {
	if u == nil || !g.coldLocked(now, u) {
		return 0, false
	}
	gateways, total := g.deps.Gateways(now), owned(g.limit.Bound(g.deps.Service(u.Service).PerSecond))
	if !u.parts.Current(total, gateways) {
		u.parts = share.Divide(total, u.ID, gateways)
	}
	return u.parts.Of(gateway, u.ID), true
}

// ownLocked is allowanceLocked for this gateway itself, without loans.
func (g *Guard) ownLocked(now time.Time, gateway string, u *upstream) (requests int, limited bool) {
	requests, limited = g.allowanceLocked(now, gateway, u)
	if limited && !g.deps.Gateways(now).Joined {
		requests = 0
	}
	return requests, limited
}

// ownAllowanceLocked is how many requests this gateway may send in a Window.
func (g *Guard) ownAllowanceLocked(now time.Time, gateway string, u *upstream) (requests int, limited bool) {
	if requests, limited = g.ownLocked(now, gateway, u); !limited {
		return 0, false
	}
	return u.loans.Allowance(now, requests), true
}

// Wanted returns how many requests to the upstream beyond its own part a gateway needs that
// sends it a number per second.
func (g *Guard) Wanted(now time.Time, gateway, id string, perSecond float64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	own, limited := g.ownLocked(now, gateway, g.upstreams[id])
	if !limited {
		return 0
	}
	return share.Wanted(perSecond, own, Window)
}

// Lend lends a part of what this gateway owns and has not sent, and returns the number of
// requests.
func (g *Guard) Lend(now time.Time, gateway, id string, borrower uint64, wanted int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.upstreams[id]
	own, limited := g.ownLocked(now, gateway, u)
	if !limited {
		return 0
	}
	return u.loans.Lend(now, borrower, wanted, own-u.sent.Count(now, Window), Window)
}

// Borrow records what another gateway lent of its part in reply to a question that was asked at
// a time.
func (g *Guard) Borrow(id, lender string, requests int, askedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u := g.upstreams[id]; u != nil {
		u.loans.Borrow(lender, requests, askedAt)
	}
}

// Tolerance returns how many requests the upstream tolerates from all gateways in a Window
// while it warms up, and whether its service states that.
func (g *Guard) Tolerance(id string) (requests int, limited bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.upstreams[id]
	if u == nil {
		return 0, false
	}
	service := g.deps.Service(u.Service)
	return owned(g.limit.Bound(service.PerSecond)), service.PerSecond > 0
}

// Wait returns how long it takes until this gateway may send a request to the upstream.
func (g *Guard) Wait(now time.Time, gateway, id string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.upstreams[id]
	allowed, limited := g.ownAllowanceLocked(now, gateway, u)
	if !limited {
		return 0
	}
	return u.sent.Free(now, Window, allowed)
}

// Take reports whether this gateway may send a request to the upstream now, and counts
// it.
func (g *Guard) Take(now time.Time, gateway, id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.upstreams[id]
	if u == nil {
		return true
	}
	if allowed, limited := g.ownAllowanceLocked(now, gateway, u); limited && u.sent.Count(now, Window) >= allowed {
		return false
	}
	u.sent.Count(now, Window)
	// What was sent before the upstream turned cold counts as well.
	u.sent.Add(now)
	return true
}

// Await records that a request to the upstream, which Take has just counted, may arrive at any
// time until settled is called. It returns nil if the upstream is warm.
func (g *Guard) Await(now time.Time, id string) (settled func(now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.upstreams[id]
	if u == nil || !g.coldLocked(now, u) {
		return nil
	}
	request := u.sent.Await(now)
	return func(now time.Time) {
		g.mu.Lock()
		defer g.mu.Unlock()
		u.sent.Settle(now, request)
	}
}
