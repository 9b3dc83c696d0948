// Package agent implements the process that runs next to one upstream. As all
// traffic to the upstream passes through it, it enforces tiers: it admits
// requests, dispatches each at most once, buffers the response until it is
// delivered, and collects evidence on its upstream's version. It makes no
// decisions for other upstreams.
package agent

import (
	"context"
	"hash/fnv"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/config/changelog"
	"github.com/persimmonridge/persimmonridge/internal/config/settings"
	"github.com/persimmonridge/persimmonridge/internal/dispatch/forecast"
	"github.com/persimmonridge/persimmonridge/internal/fleet/control"
	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
	"github.com/persimmonridge/persimmonridge/internal/upstream/admission"
	"github.com/persimmonridge/persimmonridge/internal/upstream/engine"
	"github.com/persimmonridge/persimmonridge/internal/upstream/limit"
	"github.com/persimmonridge/persimmonridge/internal/upstream/prefixcache"
	"github.com/persimmonridge/persimmonridge/internal/upstream/suspect"
	"github.com/persimmonridge/persimmonridge/internal/version/evidence"
)

const (
	// tickInterval is how often start deadlines and the age of runs are checked.
	tickInterval = 50 * time.Millisecond
	// sweepInterval is how often expired request ids are removed.
	sweepInterval = 10 * time.Second
	// maxTiers is the number of tiers that an agent distinguishes.
	maxTiers = 8
	// maxWaiting is the maximum number of queued requests.
	maxWaiting = 256
	// dialTimeout bounds the dialing of the upstream, which is on the same VM.
	dialTimeout = 500 * time.Millisecond
	// loadPollInterval is how often the engine's load report is read.
	loadPollInterval = time.Second
	// probeInterval is how often an unreachable upstream is probed.
	probeInterval = 200 * time.Millisecond
)

// Agent is a running agent process.
type Agent struct {
	settings    settings.Agent
	logger      *slog.Logger
	invariants  *invariant.Recorder
	now         func() time.Time
	incarnation uint64
	startedAt   time.Time
	dialer      engine.Dialer
	engine      *engine.Client
	server      *link.Server
	log         *changelog.Log
	suspects    *suspect.Registry
	changed     *control.Signal
	evidence    *control.Signal
	peer        *control.Peer
	forecast    *forecast.Forecast

	mu          sync.Mutex
	admission   *admission.Controller
	limit       *limit.Limit
	prefixCache *prefixcache.Estimate
	runs        map[string]*run
	withdrawn   map[string]time.Time
	// dispatched maps a request id to the time when its dispatch record expires.
	dispatched   map[string]time.Time
	board        *evidence.Board
	boardRollout string
	breaker      *evidence.Breaker
	lastSweep    time.Time
	crashes      uint64
	crashedAt    time.Time
	probing      bool
	counts       Counts

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Counts holds the agent's event counters since its start.
type Counts struct {
	Offers     uint64 `json:"offers"`
	Dispatched uint64 `json:"dispatched"`
	Declined   uint64 `json:"declined"`
	Preempted  uint64 `json:"preempted"`
	Crashes    uint64 `json:"crashes"`
}

// Option configures an agent for tests and simulations.
type Option func(*Agent)

// WithInvariants sets the recorder of invariant violations.
func WithInvariants(r *invariant.Recorder) Option { return func(a *Agent) { a.invariants = r } }

// WithDialer sets the dialer for the upstream.
func WithDialer(d engine.Dialer) Option { return func(a *Agent) { a.dialer = d } }

// New starts an agent that serves entries on the listener. Incarnation must
// differ from that of every earlier process with the same address.
func New(s settings.Agent, listener net.Listener, incarnation uint64, logger *slog.Logger, now func() time.Time, options ...Option) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		settings:    s,
		logger:      logger,
		now:         now,
		incarnation: incarnation,
		startedAt:   now(),
		dialer:      &net.Dialer{Timeout: dialTimeout},
		suspects:    suspect.New(),
		changed:     control.NewSignal(),
		evidence:    control.NewSignal(),
		forecast:    forecast.New(),
		limit:       limit.New(limit.NewTargets(s.TokenGap(), s.FirstToken()), firstLimit(s), 1, s.MaxLimit()),
		prefixCache: prefixcache.New(),
		runs:        make(map[string]*run),
		withdrawn:   make(map[string]time.Time),
		dispatched:  make(map[string]time.Time),
		board:       evidence.NewBoard(),
		breaker:     evidence.NewBreaker(),
		ctx:         ctx,
		cancel:      cancel,
	}
	for _, option := range options {
		option(a)
	}
	if a.invariants == nil {
		a.invariants = invariant.New(logger)
	}
	a.engine = engine.New(s.UpstreamURL(), now, a.dialer)
	a.log = changelog.New(a.invariants)
	a.admission = admission.New(maxTiers, firstLimit(s), maxWaiting, a.invariants)
	a.peer = control.NewPeer(a.log, a.suspects, a.changed, now, control.WithDescribe(a.describe), control.WithEvidence(a.evidence))
	a.server = link.Serve(listener, a.serveStream)
	a.wg.Go(a.tick)
	if !s.Plain() {
		a.wg.Go(a.poll)
	}
	logger.Info("agent started", "node", s.Node(), "upstream", s.Upstream(), "incarnation", incarnation, "address", listener.Addr().String())
	return a
}

// firstLimit returns the initial concurrency limit. A plain service streams no
// tokens from which a limit could be derived, so it starts with its maximum.
func firstLimit(s settings.Agent) int {
	if s.Plain() {
		return s.MaxLimit()
	}
	return s.Limit()
}

// Addr returns the address served.
func (a *Agent) Addr() string { return a.server.Addr() }

// Incarnation returns the incarnation number of this process.
func (a *Agent) Incarnation() uint64 { return a.incarnation }

// Counts returns the agent's event counters.
func (a *Agent) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts
}

// Revision returns the configuration revision in force here.
func (a *Agent) Revision() uint64 { return a.log.Revision() }

// Load returns the current load report of the upstream.
func (a *Agent) Load() *wire.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.load(a.now())
}

// load builds the load report. The caller holds the lock.
func (a *Agent) load(now time.Time) *wire.Load {
	l := &wire.Load{
		Incarnation: a.incarnation,
		Leaving:     a.admission.Leaving(),
		Blocked:     a.admission.Blocked(),
		ClockMs:     a.clock(now),
		Running:     uint32(a.admission.Running()),
		Limit:       uint32(a.admission.Limit()),
		TokenGapUs:  uint32(a.limit.TokenGap().Microseconds()),
		Version:     a.settings.Version(),
		Prefixes:    a.prefixCache.RecentKeys(),
		Revision:    a.log.Revision(),
	}
	tiers := a.tiers()
	for tier := range tiers {
		l.WaitMs = append(l.WaitMs, uint32(a.admission.ProjectedWait(now, tier).Milliseconds()))
		l.Waiting = append(l.Waiting, uint32(a.admission.WaitingTier(tier)))
	}
	return l
}

// clock returns the agent's own time in milliseconds, by which offers expire.
func (a *Agent) clock(now time.Time) uint64 { return uint64(now.Sub(a.startedAt).Milliseconds()) }

// tiers returns the number of tiers in the rules, or maxTiers while no rules
// are known.
func (a *Agent) tiers() int {
	doc, revision := a.log.Current()
	if revision == 0 {
		return maxTiers
	}
	return min(len(doc.Rules().Tiers()), maxTiers)
}

// apply carries out decisions of the admission controller. The caller holds the
// lock.
func (a *Agent) apply(now time.Time, effects []admission.Effect) {
	for _, effect := range effects {
		r := a.runs[effect.ID()]
		if r == nil {
			continue
		}
		switch effect.Verdict() {
		case admission.Started:
			a.begin(now, r)
		case admission.Declined:
			a.decline(now, r, effect.Reason())
		case admission.Preempted:
			a.counts.Preempted++
			r.preempted = true
			r.cancel()
		}
	}
}

func (a *Agent) decline(now time.Time, r *run, reason wire.Decline_Reason) {
	a.invariants.Check(!r.started, invariant.NotRunIsTrue, r.id(), "declined after dispatch")
	a.counts.Declined++
	r.notRun = reason
	r.endedAt = now
	r.cancel()
	close(r.decided)
}

// begin records the dispatch before the first byte is sent. After that the
// request must not be reported as not run.
func (a *Agent) begin(now time.Time, r *run) {
	_, before := a.dispatched[r.id()]
	a.invariants.Check(!before, invariant.OneDispatch, r.id(), "dispatched twice")
	a.dispatched[r.id()] = now.Add(keyedRunRetention)
	if r.offer.GetKeyed() {
		a.dispatched[r.id()] = now.Add(keyedDispatchRetention)
	}
	a.counts.Dispatched++
	if r.offer.GetPrefixTokens() > 0 {
		a.prefixCache.RecordUse(r.offer.GetPrefixKey(), int(r.offer.GetPrefixTokens()))
	}
	r.started = true
	r.startedAt = now
	close(r.decided)
	a.wg.Go(func() { a.execute(r) })
}

// poll reads the engine's own load report for the size of its cache.
func (a *Agent) poll() {
	ticker := time.NewTicker(loadPollInterval)
	defer ticker.Stop()
	for {
		report, err := a.engine.Load(a.ctx)
		if err == nil {
			a.mu.Lock()
			a.prefixCache.RecordCachedTokens(report.CachedTokens)
			a.mu.Unlock()
		}
		select {
		case <-a.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *Agent) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-ticker.C:
		}
		now := a.now()
		a.mu.Lock()
		a.apply(now, a.admission.Tick(now))
		a.apply(now, a.admission.SetLimit(now, a.limit.Current()))
		if a.admission.Waiting() > 0 {
			a.limit.Saturated()
		}
		a.sweep(now)
		a.mu.Unlock()
	}
}

// sweep ends abandoned and stalled runs and removes expired ones. The caller
// holds the lock. An abandoned run that must not be repeated is not canceled:
// it was dispatched, and its outcome may still be requested.
func (a *Agent) sweep(now time.Time) {
	for id, r := range a.runs {
		switch {
		case r.abandoned(now) && !r.started:
			a.admission.Withdraw(id)
			a.decline(now, r, wire.Decline_REASON_WITHDRAWN)
		case r.abandoned(now) && r.offer.GetRepeatSafe():
			r.cancel()
		case r.stalled(now) && !a.settings.Plain():
			r.stallDetected = true
			r.cancel()
		case r.expired(now):
			delete(a.runs, id)
		}
	}
	if now.Sub(a.lastSweep) < sweepInterval {
		return
	}
	a.lastSweep = now
	removeExpired(a.withdrawn, now)
	removeExpired(a.dispatched, now)
}

func removeExpired(expiry map[string]time.Time, now time.Time) {
	for id, at := range expiry {
		if now.After(at) {
			delete(expiry, id)
		}
	}
}

// describe adds the load to a notice and, if the receiver wants it and a
// rollout of this service is open, the evidence.
func (a *Agent) describe(now time.Time, n *wire.Notice, wanted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n.Load = a.load(now)
	if _, moving := a.openRollout(); !moving || !wanted {
		return
	}
	version := a.settings.Version()
	for _, route := range a.board.Routes(version) {
		t := a.board.Get(version, route)
		n.Evidence = append(n.Evidence, &wire.RouteEvidence{
			Service: a.settings.Service(), Version: version, Route: route,
			Runs: t.Runs(), Failures: t.Failures(), LatencyBuckets: t.Buckets(),
		})
	}
}

// Announce sends the agent's current state to all linked entries.
func (a *Agent) Announce() { a.changed.Raise() }

// Drain stops the agent gracefully: it declines new offers, hands back queued
// requests as not run, and completes and delivers running ones. It returns when
// none is left or the context ends.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.apply(a.now(), a.admission.Leave())
	a.mu.Unlock()
	a.changed.Raise()
	a.logger.Info("agent draining", "node", a.settings.Node(), "upstream", a.settings.Upstream())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		if a.idle() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (a *Agent) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.runs {
		if r.live() || r.readers > 0 {
			return false
		}
	}
	return true
}

// Close stops the agent immediately, canceling all runs, and waits for its
// goroutines. Drain stops without canceling runs.
func (a *Agent) Close() error {
	a.cancel()
	err := a.server.Close()
	a.mu.Lock()
	for _, r := range a.runs {
		r.cancel()
	}
	a.mu.Unlock()
	a.wg.Wait()
	return err
}

// crashID returns an id for a crash of this upstream that is the same for all
// processes that are notified of it.
func (a *Agent) crashID(count uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a.settings.Upstream()))
	return h.Sum64() ^ a.incarnation*0x9e3779b97f4a7c15 ^ count
}
