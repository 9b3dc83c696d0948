// Package local chooses an upstream by this process's own requests and the load that
// upstreams reported in responses to it and, if they state a pace, to other gateways. It
// serves plain services, and engines while no scheduler can be asked.
package local

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/sched/failure"
	"github.com/persimmonridge/persimmonridge/internal/sched/load"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

const (
	// loadMaxAge is how long a reported load is used. A plain request takes about 30 ms,
	// so an older count is meaningless.
	loadMaxAge = 300 * time.Millisecond
	// minBackoff and maxBackoff bound how long an upstream is skipped after a failed
	// connection. The time doubles with each consecutive failure.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 3 * time.Second
	// misdirectedBackoff is how long an upstream is skipped whose address another one has:
	// the platform removes its registration within this time.
	misdirectedBackoff = 5 * time.Second
	// failureWeight is the weight of one outcome in an upstream's failure rate.
	failureWeight = 0.1
	// failureMargin is by how much an upstream's failure rate must exceed the baseline of
	// its service for it to be skipped. Services fail some of their requests on their own
	// account.
	failureMargin = 0.2
	// failureHalfLife is the half-life of a failure rate without new outcomes.
	failureHalfLife = 2 * time.Second
	// crossDomainCost is the cost of sending a request to another failure domain, in
	// running requests. It costs traffic and a millisecond of latency.
	crossDomainCost = 0.35
	// queueShare is how many requests this process may have at an upstream beyond twice
	// its even share of the slots, as a share of all slots of the upstream.
	queueShare = 0.25
	// declineMemory is how long after an upstream turned a request away this process keeps
	// to its part of the slots, since the others may use the rest.
	declineMemory = time.Second
	// fullRetryAfter is the retry delay when all upstreams are full.
	fullRetryAfter = 250 * time.Millisecond
	// noUpstreamRetryAfter is the retry delay when a service has no upstream.
	noUpstreamRetryAfter = 500 * time.Millisecond
	// maxAbsenceWait is how long after a service had its last upstream a request waits for
	// a new one. All upstreams may be replaced at once, and callers should not be refused
	// because this process does not know the new ones yet.
	maxAbsenceWait = time.Second
	// absencePollInterval is the interval between checks for a new upstream.
	absencePollInterval = 10 * time.Millisecond
)

// upstreamState is what this process knows of an upstream.
type upstreamState struct {
	running          int
	load             exchange.Load
	loadAt           time.Time
	ownRunningAtLoad int
	declinedAt       time.Time
	// ownRunningAtDecline is how many requests this process had there at declinedAt.
	ownRunningAtDecline int
	failuresInRow       int
	backoffUntil        time.Time
	failureRate         failure.Rate
	// history holds the past values of running. It is kept only for upstreams that are
	// chosen by the samples of several gateways.
	history *history
}

// addRunning changes the number of this process's requests at the upstream.
func (s *upstreamState) addRunning(now time.Time, n int) {
	s.running += n
	if s.history != nil {
		s.history.record(now, s.running)
	}
}

// external returns the requests of other processes that the upstream reported recently.
func (s *upstreamState) external(now time.Time) float64 {
	if now.Sub(s.loadAt) >= loadMaxAge {
		return 0
	}
	return max(0, float64(s.load.Running+s.load.Waiting-s.ownRunningAtLoad))
}

// Limiter limits the requests to upstreams that take few of them at the moment.
type Limiter interface {
	// Wait returns how long it takes until this process may send a request to the upstream.
	Wait(now time.Time, upstream roster.Upstream) time.Duration
}

// Chooser implements flow.Picker.
type Chooser struct {
	domain         string
	readyUpstreams func(service string) []roster.Upstream
	processCount   func() int

	mu       sync.Mutex
	states   map[string]*upstreamState
	rotation uint64
	limiter  Limiter
	loads    *load.Table
	// hasEngines reports whether a service has engines.
	hasEngines func(service string) bool
	observer   Observer
	// draw returns a random number below n.
	draw func(n int) int
	// usual holds, by service, what is known of the responses of upstreams that state a
	// pace.
	usual map[string]*usualResponse
	// candidateBuffer and skippedBuffer are reused by candidates.
	candidateBuffer, skippedBuffer []int
	// lastPresent is when each service last had an upstream.
	lastPresent map[string]time.Time
	// sharings hold what the workspaces had of the capacity of each service.
	sharings map[string]*sharing
}

// New returns a chooser for a process in the failure domain.
func New(domain string, ready func(service string) []roster.Upstream, processes func() int) *Chooser {
	return &Chooser{
		domain: domain, readyUpstreams: ready, processCount: processes, states: make(map[string]*upstreamState),
		lastPresent: make(map[string]time.Time), usual: make(map[string]*usualResponse), sharings: make(map[string]*sharing),
		draw: rand.IntN, observer: noObserver{}, hasEngines: func(string) bool { return false },
	}
}

// SetLimiter sets the limiter. Without one, no upstream is limited.
func (c *Chooser) SetLimiter(l Limiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter = l
}

func (c *Chooser) state(id string) *upstreamState {
	state := c.states[id]
	if state == nil {
		state = &upstreamState{failureRate: failure.New(failureWeight, failureHalfLife)}
		c.states[id] = state
	}
	return state
}

// Pick implements flow.Picker. It waits only if all upstreams of the service have just
// disappeared.
func (c *Chooser) Pick(ctx context.Context, now time.Time, req flow.PlacementRequest) (flow.Placement, error) {
	upstreams := c.readyUpstreams(req.Service)
	for ; len(upstreams) == 0 && ctx.Err() == nil && now.Before(c.waitDeadline(req)); now = now.Add(absencePollInterval) {
		wait.For(ctx, absencePollInterval)
		upstreams = c.readyUpstreams(req.Service)
	}
	if len(upstreams) > 0 {
		c.recordPresence(now, req.Service)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.statesPace(now, upstreams) {
		return c.pickByPace(now, upstreams, req)
	}
	best, found := c.cheapest(now, upstreams, req, false)
	if !found {
		best, found = c.cheapest(now, upstreams, req, true)
	}
	if !found {
		return nil, c.refuseWithoutCandidate(now, upstreams, req)
	}
	state, sharing := c.state(best.ID), c.sharing(now, req.Service)
	usage := sharing.usageOf(now, req)
	lately := sharing.heldShare(now, upstreams)
	if float64(state.running) >= c.limit(now, state, best, req, lately) && !c.mayExceed(now, sharing, upstreams, req) {
		sharing.refuse(now, usage)
		return nil, c.refuseFull()
	}
	if c.mustLeaveFree(now, sharing, upstreams, req, lately) {
		sharing.refuse(now, usage)
		return nil, c.refuseForOthers()
	}
	return c.place(now, best, sharing, usage), nil
}

// refuseWithoutCandidate returns the refusal of a request that none of the upstreams may get.
func (c *Chooser) refuseWithoutCandidate(now time.Time, upstreams []roster.Upstream, req flow.PlacementRequest) error {
	if pause := c.shortestWait(now, upstreams, req); pause > 0 {
		c.observer.Refused("limited")
		return flow.RefusePlacement(pause, "all upstreams of the service that may get the request are warming up or take fewer requests")
	}
	c.observer.Refused("no-upstream")
	return flow.RefusePlacement(noUpstreamRetryAfter, "no upstream of the service is left to try")
}

func (c *Chooser) refuseFull() error {
	c.observer.Refused("full")
	return flow.RefusePlacement(fullRetryAfter, "all upstreams of the service are full")
}

func (c *Chooser) refuseForOthers() error {
	c.observer.Refused("share")
	return flow.RefusePlacement(fullRetryAfter, "what is left of the upstreams is kept for workspaces below their share")
}

// waitDeadline returns until when a request waits for an upstream of a service that has
// none.
func (c *Chooser) waitDeadline(req flow.PlacementRequest) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := c.lastPresent[req.Service].Add(maxAbsenceWait)
	if req.Deadline.Before(deadline) {
		return req.Deadline
	}
	return deadline
}

func (c *Chooser) recordPresence(now time.Time, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.After(c.lastPresent[service]) {
		c.lastPresent[service] = now
	}
}

// Hold counts a request at an upstream that was chosen elsewhere.
func (c *Chooser) Hold(now time.Time, u roster.Upstream, req flow.PlacementRequest) flow.Placement {
	c.mu.Lock()
	defer c.mu.Unlock()
	sharing := c.sharing(now, req.Service)
	p := c.place(now, u, sharing, sharing.usageOf(now, req))
	p.plain = false // only slots of engines are granted elsewhere
	return p
}

// place counts a request at the upstream and for its workspace.
func (c *Chooser) place(now time.Time, u roster.Upstream, s *sharing, used *usage) *placement {
	c.state(u.ID).addRunning(now, 1)
	used.held.Take(now)
	s.changeHeld(now, 1)
	return &placement{chooser: c, upstream: u, sharing: s, usage: used, since: now, plain: !c.hasEngines(u.Service)}
}

// limit returns how many requests this process may have at the upstream: what the other
// processes leave of its slots, but no less than its part. Engines are chosen here only while no
// scheduler can be asked, possibly by all processes at once, so each keeps to its part of them,
// or to the share of all slots that it had lately: the others had the rest.
func (c *Chooser) limit(now time.Time, state *upstreamState, u roster.Upstream, req flow.PlacementRequest, lately float64) float64 {
	limit := c.part(u)
	switch {
	case now.Sub(state.declinedAt) < declineMemory:
	case isGeneration(req):
		limit = max(limit, lately*float64(u.Slots))
	default:
		limit = max(limit, float64(u.Slots)-state.external(now))
	}
	return limit
}

// part returns the requests that this process may have at the upstream whatever the others
// have: twice its even share of the slots plus queueShare of them, and at least two, because
// callers are distributed unevenly among the processes.
func (c *Chooser) part(u roster.Upstream) float64 {
	evenShare := float64(u.Slots) / float64(max(1, c.processCount()))
	return max(2, 2*evenShare+queueShare*float64(u.Slots))
}

// cheapest returns the upstream with the lowest cost. Upstreams that are skipped because of
// failures are considered only if includeSkipped is set. The order changes with each call, so
// that equal upstreams take turns.
func (c *Chooser) cheapest(now time.Time, upstreams []roster.Upstream, req flow.PlacementRequest, includeSkipped bool) (roster.Upstream, bool) {
	c.rotation++
	baseline := c.failureBaseline(now, upstreams)
	var best roster.Upstream
	var bestCost float64
	found := false
	for i := range upstreams {
		u := upstreams[(uint64(i)+c.rotation)%uint64(len(upstreams))]
		state := c.state(u.ID)
		if !c.mayGet(now, u, req) || (!includeSkipped && state.skipped(now, baseline)) {
			continue
		}
		cost := c.cost(now, state, u)
		if !found || cost < bestCost {
			best, bestCost, found = u, cost, true
		}
	}
	return best, found
}

// failureBaseline returns the failure rate that is usual among the upstreams.
func (c *Chooser) failureBaseline(now time.Time, upstreams []roster.Upstream) float64 {
	rates := make([]float64, 0, len(upstreams))
	for _, u := range upstreams {
		rates = append(rates, c.state(u.ID).failureRate.At(now))
	}
	return failure.Baseline(rates)
}

// mayGet reports whether the upstream may get the request now.
func (c *Chooser) mayGet(now time.Time, u roster.Upstream, req flow.PlacementRequest) bool {
	return req.Allows(u) && c.wait(now, u) <= 0
}

// skipped reports whether the upstream is skipped because of failures.
func (s *upstreamState) skipped(now time.Time, baseline float64) bool {
	return now.Before(s.backoffUntil) || s.failureRate.At(now) > baseline+failureMargin
}

// wait returns how long it takes until this process may send a request to the upstream.
func (c *Chooser) wait(now time.Time, u roster.Upstream) time.Duration {
	if c.limiter == nil {
		return 0
	}
	return c.limiter.Wait(now, u)
}

// shortestWait returns how long it takes until this process may send the request to one of
// the upstreams, or 0 if that is not what keeps it from being sent.
func (c *Chooser) shortestWait(now time.Time, upstreams []roster.Upstream, req flow.PlacementRequest) time.Duration {
	shortest := time.Duration(0)
	for _, u := range upstreams {
		if wait := c.wait(now, u); req.Allows(u) && wait > 0 && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	return shortest
}

// cost returns the share of the upstream's slots in use, by the requests of this process, by
// those of others that it reported recently, and by the cost of another failure domain.
func (c *Chooser) cost(now time.Time, state *upstreamState, u roster.Upstream) float64 {
	running := float64(state.running) + state.external(now)
	if u.Domain != c.domain {
		running += crossDomainCost
	}
	return running / float64(u.Slots)
}

// placement is the placement of one request on an upstream.
type placement struct {
	chooser  *Chooser
	upstream roster.Upstream
	sharing  *sharing
	usage    *usage
	// since is when the request was placed.
	since time.Time
	// plain reports whether the upstream has no engine.
	plain bool
	// cost is the expected time to finish in units of usual work, 0 if the upstream was
	// chosen otherwise.
	cost                float64
	startedAt, deadline time.Time
	// stated is the load that the upstream stated last.
	stated exchange.Load
}

// Upstream implements flow.Placement.
func (p *placement) Upstream() roster.Upstream { return p.upstream }

// ReportLoad implements flow.Placement.
func (p *placement) ReportLoad(now time.Time, load exchange.Load) {
	p.chooser.mu.Lock()
	defer p.chooser.mu.Unlock()
	state := p.chooser.state(p.upstream.ID)
	state.load, state.loadAt, state.ownRunningAtLoad = load, now, state.running
	p.chooser.recordSample(now, p, load)
}

// AnswerStarted implements flow.Placement.
func (p *placement) AnswerStarted(now time.Time) {
	p.chooser.mu.Lock()
	defer p.chooser.mu.Unlock()
	p.startedAt = now
}

// Release implements flow.Placement.
func (p *placement) Release(now time.Time, o flow.Outcome, _ int) {
	p.chooser.mu.Lock()
	defer p.chooser.mu.Unlock()
	state := p.chooser.state(p.upstream.ID)
	state.addRunning(now, -1)
	p.sharing.release(now, p.usage, p.since, o)
	switch o {
	case flow.Answered:
		p.chooser.recordResponse(now, p)
		state.failuresInRow = 0
		state.failureRate.Succeeded(now)
	case flow.Failed:
		state.failuresInRow = 0
		state.failureRate.Failed(now)
	case flow.Interrupted:
		state.failureRate.Broken(now)
	case flow.Declined:
		state.declinedAt, state.ownRunningAtDecline = now, state.running
		state.failureRate.Failed(now)
	case flow.Unreachable:
		state.failuresInRow++
		state.backoffUntil = now.Add(min(maxBackoff, minBackoff<<min(state.failuresInRow-1, 4)))
	case flow.Misdirected:
		state.backoffUntil = now.Add(misdirectedBackoff)
	case flow.Canceled, flow.Withheld:
	}
}
