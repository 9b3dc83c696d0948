package pattern

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// gatewayName is the only gateway of a simulation.
const gatewayName = "gateway"

// boardPolicy places requests with the board of the gateway's scheduler.
type boardPolicy struct {
	simulation *simulation
	board      *board.Scheduler
	requests   map[string]*request
	engines    map[string]*engine
	startedAt  map[string]time.Time
	// ignoresPace withholds the paces that engines state from the board.
	ignoresPace bool
}

// Board returns the policy that gateways use.
func Board(s *simulation) Policy { return newBoardPolicy(s) }

// BoardWithoutPace returns the same policy for engines that state no pace.
func BoardWithoutPace(s *simulation) Policy {
	b := newBoardPolicy(s)
	b.ignoresPace = true
	return b
}

func newBoardPolicy(s *simulation) *boardPolicy {
	b := &boardPolicy{
		simulation: s, board: board.New(), requests: make(map[string]*request),
		engines: make(map[string]*engine), startedAt: make(map[string]time.Time),
	}
	var upstreams []board.Upstream
	for _, e := range s.engines {
		b.engines[e.id] = e
		upstreams = append(upstreams, board.Upstream{ID: e.id, Service: "tutor", Domain: e.domain, Slots: e.slots, TokensPerEvent: tokensPerEvent})
	}
	b.board.SetUpstreams(startTime, upstreams)
	return b
}

func (b *boardPolicy) arrive(now time.Time, r *request) {
	b.requests[r.id] = r
	r.submittedAt = now
	b.board.Submit(now, board.SlotRequest{
		Owner: gatewayName, ID: r.id, Service: "tutor", Domain: r.domain, Tier: r.class.tier, NextEventDue: now.Add(r.class.firstEventTarget),
		Fingerprint: r.fingerprint(),
		Deadline:    r.arrivedAt.Add(r.class.timeout), PromptTokens: r.prompt, OutputTokens: r.outputEstimate, EventGapTarget: r.maxGap,
	})
	b.applyVerdicts(now)
}

func (b *boardPolicy) applyVerdicts(now time.Time) {
	for verdicts := b.board.Decisions(); len(verdicts) > 0; verdicts = b.board.Decisions() {
		for _, v := range verdicts {
			r := b.requests[v.ID]
			if v.Waiting {
				continue
			}
			if v.Upstream == "" {
				b.refuse(now, r, v.RetryAfter)
				continue
			}
			if !b.simulation.dispatch(now, b.engines[v.Upstream], r) {
				b.board.Release(now, gatewayName, r.id, board.SlotResult{Outcome: board.Unreachable})
				b.arrive(now, r)
			}
		}
	}
}

// refuse records a refusal and schedules the caller's retry.
func (b *boardPolicy) refuse(now time.Time, r *request, retryAfter time.Duration) {
	if at, retries := r.refuse(now, retryAfter); retries {
		b.simulation.schedule(at, func(now time.Time) { b.arrive(now, r) })
	}
}

func (b *boardPolicy) started(now time.Time, e *engine, r *request) {
	b.startedAt[r.id] = now
	if !b.ignoresPace && b.simulation.pattern.SlowSpells.Share > 0 {
		b.board.RecordPace(now, gatewayName, r.id, e.pace, 0)
	}
	b.board.Started(now, gatewayName, r.id, e.load())
	b.applyVerdicts(now)
}

func (b *boardPolicy) ended(now time.Time, _ *engine, r *request) {
	events := 1 + r.output/tokensPerEvent
	b.board.Release(now, gatewayName, r.id, board.SlotResult{
		Outcome: board.Answered, StreamTime: now.Sub(b.startedAt[r.id]), Tokens: (events - 1) * tokensPerEvent,
	})
	b.applyVerdicts(now)
}

func (b *boardPolicy) lost(now time.Time, _ *engine, r *request) {
	b.board.Release(now, gatewayName, r.id, board.SlotResult{Outcome: board.Interrupted})
	b.applyVerdicts(now)
}

func (b *boardPolicy) failed(now time.Time, _ *engine, r *request) {
	b.board.Release(now, gatewayName, r.id, board.SlotResult{Outcome: board.Failed})
	b.applyVerdicts(now)
}

func (b *boardPolicy) tick(now time.Time) {
	b.board.Tick(now)
	b.applyVerdicts(now)
}

// leastLoaded forwards each request at once to the engine with the fewest
// requests, as a plain load balancer does. Engines queue what they cannot run.
type leastLoaded struct{ simulation *simulation }

// LeastLoaded returns the baseline policy, which forwards to the engine with the
// fewest requests.
func LeastLoaded(s *simulation) Policy { return &leastLoaded{simulation: s} }

// leastLoadedRetryAfter is the delay after which refused callers retry.
const leastLoadedRetryAfter = time.Second

// maxEngineQueue is the number of requests that an engine queues before it
// refuses more.
const maxEngineQueue = 72

func (l *leastLoaded) arrive(now time.Time, r *request) {
	var target *engine
	for _, e := range l.simulation.engines {
		if !e.down && (target == nil || e.load() < target.load()) {
			target = e
		}
	}
	r.submittedAt = now
	if target == nil || target.load() >= target.slots+maxEngineQueue || !l.simulation.dispatch(now, target, r) {
		if at, retries := r.refuse(now, leastLoadedRetryAfter); retries {
			l.simulation.schedule(at, func(now time.Time) { l.arrive(now, r) })
		}
	}
}

func (l *leastLoaded) started(time.Time, *engine, *request) {}
func (l *leastLoaded) ended(time.Time, *engine, *request)   {}
func (l *leastLoaded) lost(time.Time, *engine, *request)    {}
func (l *leastLoaded) failed(time.Time, *engine, *request)  {}
func (l *leastLoaded) tick(time.Time)                       {}
