// Package agent is the process beside one upstream. All traffic to the
// upstream meets here, so here is where tiers mean something: the agent
// admits, dispatches once, keeps the answer until it is delivered, and holds
// the evidence on its own version. It never chooses for other upstreams.
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
	// tickEvery is how often start-by moments and ages are looked at.
	tickEvery = 50 * time.Millisecond
	// sweepEvery is how often the remembered ids are gone through.
	sweepEvery = 10 * time.Second
	// tiersHeld is the number of tiers that an agent tells apart.
	tiersHeld = 8
	// waitingBound is the number of requests that may wait.
	waitingBound = 256
	// dialTimeout bounds a connection to the upstream on the same VM.
	dialTimeout = 500 * time.Millisecond
	// pollEvery is how often the engine's load report is read.
	pollEvery = time.Second
	// probeEvery is how often a down upstream is tried.
	probeEvery = 200 * time.Millisecond
)

// Agent is one running agent.
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
	suspects    *suspect.Register
	changed     *control.Signal
	evidence    *control.Signal
	peer        *control.Peer
	forecast    *forecast.Forecast

	mu        sync.Mutex
	admission *admission.Controller
	limit     *limit.Limit
	cached    *prefixcache.Guess
	runs      map[string]*run
	withdrawn map[string]time.Time
	// dispatched maps a request to when its dispatch may be forgotten.
	dispatched map[string]time.Time
	board      *evidence.Board
	boardOf    string
	brakeWatch *evidence.Brake
	swept      time.Time
	crashes    uint64
	crashedAt  time.Time
	probing    bool
	counts     Counts

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Counts is what an agent did so far.
type Counts struct {
	Offers     uint64 `json:"offers"`
	Dispatched uint64 `json:"dispatched"`
	Declined   uint64 `json:"declined"`
	Preempted  uint64 `json:"preempted"`
	Crashes    uint64 `json:"crashes"`
}

// Option changes an agent for tests and trials.
type Option func(*Agent)

// WithInvariants uses the recorder.
func WithInvariants(r *invariant.Recorder) Option { return func(a *Agent) { a.invariants = r } }

// WithDialer uses the dialer towards the upstream.
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
		cached:      prefixcache.New(),
		runs:        make(map[string]*run),
		withdrawn:   make(map[string]time.Time),
		dispatched:  make(map[string]time.Time),
		board:       evidence.NewBoard(),
		brakeWatch:  evidence.NewBrake(),
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
	a.admission = admission.New(tiersHeld, firstLimit(s), waitingBound, a.invariants)
	a.peer = control.NewPeer(a.log, a.suspects, a.changed, now, control.Describe(a.describe), control.Evidence(a.evidence))
	a.server = link.Serve(listener, a.serveStream)
	a.wg.Go(a.tick)
	if !s.Plain() {
		a.wg.Go(a.poll)
	}
	logger.Info("agent started", "node", s.Node(), "upstream", s.Upstream(), "incarnation", incarnation, "address", listener.Addr().String())
	return a
}

// firstLimit is where the limit starts. A plain service streams no tokens from
// which a limit could be found, so it has its highest from the start.
func firstLimit(s settings.Agent) int {
	if s.Plain() {
		return s.MaxLimit()
	}
	return s.Limit()
}

// Addr returns the address served.
func (a *Agent) Addr() string { return a.server.Addr() }

// Incarnation returns the number of this process.
func (a *Agent) Incarnation() uint64 { return a.incarnation }

// Counts returns what the agent did so far.
func (a *Agent) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts
}

// Revision returns the configuration revision in force here.
func (a *Agent) Revision() uint64 { return a.log.Revision() }

// Load returns what the agent tells of its upstream.
func (a *Agent) Load() *wire.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.load(a.now())
}

// load builds the report; the caller holds the lock.
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
		Prefixes:    a.cached.Told(),
		Revision:    a.log.Revision(),
	}
	tiers := a.tiers()
	for tier := range tiers {
		l.WaitMs = append(l.WaitMs, uint32(a.admission.Wait(now, tier).Milliseconds()))
		l.Waiting = append(l.Waiting, uint32(a.admission.WaitingTier(tier)))
	}
	return l
}

// clock returns the agent's own time, on which offers are void after a moment.
func (a *Agent) clock(now time.Time) uint64 { return uint64(now.Sub(a.startedAt).Milliseconds()) }

// tiers returns the number of tiers that the rules name, or those held while
// no rules are known.
func (a *Agent) tiers() int {
	doc, revision := a.log.Current()
	if revision == 0 {
		return tiersHeld
	}
	return min(len(doc.Rules().Tiers()), tiersHeld)
}

// apply carries decisions out; the caller holds the lock.
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
	a.invariants.Check(!r.started, invariant.NotRunIsTrue, r.id(), "declined after its dispatch")
	a.counts.Declined++
	r.notRun = reason
	r.endedAt = now
	r.cancel()
	close(r.decided)
}

// begin records the dispatch before the first byte is sent: from here on "not
// run" may no longer be said.
func (a *Agent) begin(now time.Time, r *run) {
	_, before := a.dispatched[r.id()]
	a.invariants.Check(!before, invariant.OneDispatch, r.id(), "dispatched a second time")
	a.dispatched[r.id()] = now.Add(keyedAfterEnd)
	if r.offer.GetKeyed() {
		a.dispatched[r.id()] = now.Add(keyedDispatched)
	}
	a.counts.Dispatched++
	if r.offer.GetPrefixTokens() > 0 {
		a.cached.Used(r.offer.GetPrefixKey(), int(r.offer.GetPrefixTokens()))
	}
	r.started = true
	r.startedAt = now
	close(r.decided)
	a.wg.Go(func() { a.execute(r) })
}

// poll reads the engine's own load report, for the size of its cache.
func (a *Agent) poll() {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for {
		report, err := a.engine.Load(a.ctx)
		if err == nil {
			a.mu.Lock()
			a.cached.Reported(report.CachedTokens)
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
	ticker := time.NewTicker(tickEvery)
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

// sweep gives up abandoned runs and forgets old ones; the caller holds the
// lock. A run that may not be repeated is never canceled: it was dispatched
// once and its outcome may still be asked for.
func (a *Agent) sweep(now time.Time) {
	for id, r := range a.runs {
		switch {
		case r.abandoned(now) && !r.started:
			a.admission.Withdraw(id)
			a.decline(now, r, wire.Decline_REASON_WITHDRAWN)
		case r.abandoned(now) && r.offer.GetRepeatSafe():
			r.cancel()
		case r.stalled(now) && !a.settings.Plain():
			r.stall = true
			r.cancel()
		case r.forgettable(now):
			delete(a.runs, id)
		}
	}
	if now.Sub(a.swept) < sweepEvery {
		return
	}
	a.swept = now
	forget(a.withdrawn, now)
	forget(a.dispatched, now)
}

func forget(until map[string]time.Time, now time.Time) {
	for id, at := range until {
		if now.After(at) {
			delete(until, id)
		}
	}
}

// describe adds the load to a notice, and the evidence, where it is wanted,
// while this service has a move under way.
func (a *Agent) describe(now time.Time, n *wire.Notice, wanted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n.Load = a.load(now)
	if _, moving := a.move(); !moving || !wanted {
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

// Announce tells all linked entries the agent's present state.
func (a *Agent) Announce() { a.changed.Raise() }

// Drain is a planned stop: no offers are taken, what waits is handed back as
// not run, and what runs is finished and delivered. It returns when nothing
// is left or the context ends.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.apply(a.now(), a.admission.Leave())
	a.mu.Unlock()
	a.changed.Raise()
	a.logger.Info("agent leaving", "node", a.settings.Node(), "upstream", a.settings.Upstream())
	ticker := time.NewTicker(tickEvery)
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

// Close stops at once and waits; see Drain for a stop that cuts nothing.
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

// crashID names a crash of this upstream alike for all who learn of it.
func (a *Agent) crashID(count uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a.settings.Upstream()))
	return h.Sum64() ^ a.incarnation*0x9e3779b97f4a7c15 ^ count
}
