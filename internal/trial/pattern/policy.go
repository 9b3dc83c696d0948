package pattern

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// owner is the one gateway of a play.
const owner = "gateway"

// boardPolicy places requests by the product's board.
type boardPolicy struct {
	play     *play
	board    *board.Board
	requests map[string]*request
	engines  map[string]*engine
	startAt  map[string]time.Time
}

// Board is the product's policy.
func Board(p *play) Policy {
	b := &boardPolicy{
		play: p, board: board.New(), requests: make(map[string]*request),
		engines: make(map[string]*engine), startAt: make(map[string]time.Time),
	}
	var upstreams []board.Upstream
	for _, e := range p.engines {
		b.engines[e.id] = e
		upstreams = append(upstreams, board.Upstream{ID: e.id, Service: "tutor", Slots: e.slots, EventTokens: eventTokens})
	}
	b.board.SetUpstreams(start, upstreams)
	return b
}

func (b *boardPolicy) arrive(now time.Time, r *request) {
	b.requests[r.id] = r
	r.asked = now
	b.board.Ask(now, board.Ask{
		Owner: owner, ID: r.id, Service: "tutor", Tier: r.class.tier, Due: now.Add(r.class.objective),
		Fingerprint: r.fingerprint(),
		Until:       r.arrived.Add(r.class.until), Prompt: r.prompt, Output: r.guess, MaxGap: r.class.maxGap,
	})
	b.carryOut(now)
}

func (b *boardPolicy) carryOut(now time.Time) {
	for verdicts := b.board.Verdicts(); len(verdicts) > 0; verdicts = b.board.Verdicts() {
		for _, v := range verdicts {
			r := b.requests[v.ID]
			if v.Waiting {
				continue
			}
			if v.Upstream == "" {
				b.refuse(now, r, v.RetryAfter)
				continue
			}
			if !b.play.send(now, b.engines[v.Upstream], r) {
				b.board.Ended(now, owner, r.id, board.End{Outcome: board.Unreached})
				b.arrive(now, r)
			}
		}
	}
}

// refuse lets the caller come back when it was told to.
func (b *boardPolicy) refuse(now time.Time, r *request, retryAfter time.Duration) {
	if at, returns := r.refuse(now, retryAfter); returns {
		b.play.at(at, func(now time.Time) { b.arrive(now, r) })
	}
}

func (b *boardPolicy) started(now time.Time, e *engine, r *request) {
	b.startAt[r.id] = now
	b.board.Started(now, owner, r.id, e.load())
	b.carryOut(now)
}

func (b *boardPolicy) ended(now time.Time, _ *engine, r *request) {
	events := 1 + r.output/eventTokens
	b.board.Ended(now, owner, r.id, board.End{
		Outcome: board.Answered, Stream: now.Sub(b.startAt[r.id]), Tokens: (events - 1) * eventTokens,
	})
	b.carryOut(now)
}

func (b *boardPolicy) lost(now time.Time, _ *engine, r *request) {
	b.board.Ended(now, owner, r.id, board.End{Outcome: board.Broken})
	b.carryOut(now)
}

func (b *boardPolicy) failed(now time.Time, _ *engine, r *request) {
	b.board.Ended(now, owner, r.id, board.End{Outcome: board.Failed})
	b.carryOut(now)
}

func (b *boardPolicy) tick(now time.Time) {
	b.board.Tick(now)
	b.carryOut(now)
}

// fewest sends each request at once to the engine that has the fewest, which
// is what a plain forwarder does. Engines queue what they cannot run.
type fewest struct{ play *play }

// Fewest is the baseline.
func Fewest(p *play) Policy { return &fewest{play: p} }

// fewestRetry is what a plain forwarder tells a refused caller.
const fewestRetry = time.Second

// engineQueue is how many requests an engine queues before it refuses.
const engineQueue = 72

func (f *fewest) arrive(now time.Time, r *request) {
	var best *engine
	for _, e := range f.play.engines {
		if !e.down && (best == nil || e.load() < best.load()) {
			best = e
		}
	}
	r.asked = now
	if best == nil || best.load() >= best.slots+engineQueue || !f.play.send(now, best, r) {
		if at, returns := r.refuse(now, fewestRetry); returns {
			f.play.at(at, func(now time.Time) { f.arrive(now, r) })
		}
	}
}

func (f *fewest) started(time.Time, *engine, *request) {}
func (f *fewest) ended(time.Time, *engine, *request)   {}
func (f *fewest) lost(time.Time, *engine, *request)    {}
func (f *fewest) failed(time.Time, *engine, *request)  {}
func (f *fewest) tick(time.Time)                       {}
