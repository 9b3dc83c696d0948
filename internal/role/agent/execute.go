package agent

import (
	"net/http"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/upstream/engine"
	"github.com/persimmonridge/persimmonridge/internal/upstream/suspect"
	"github.com/persimmonridge/persimmonridge/internal/version/evidence"
)

const (
	// crashWindow is how long after one run was cut the others are waited for:
	// an upstream that dies cuts all at once.
	crashWindow = 200 * time.Millisecond
	// spreadWindow is the time in which a crash is told to the fleet before its
	// callers hear of it.
	spreadWindow = 100 * time.Millisecond
	// abandonedWindow is how long after its cancellation a run is still taken
	// to have been there when the upstream died.
	abandonedWindow = time.Second
	// reforecastEvery is the number of tokens after which a run's expected
	// work is estimated anew.
	reforecastEvery = 16
)

// execute runs one request on the upstream and settles its outcome.
func (a *Agent) execute(r *run) {
	call := engine.NewCall(r.id(), r.offer.GetMethod(), r.offer.GetPath(), r.offer.GetHeaders(), r.offer.GetBody())
	result := a.engine.Run(r.ctx, call, r.buffer, progress{agent: a, run: r})
	outcome := result.Outcome()
	if result.Cut() && a.upstreamDied(r) {
		outcome = wire.End_OUTCOME_UPSTREAM_LOST
	}
	a.settle(r, result, outcome)
}

// settle ends the run: the outcome is decided here and nowhere else.
func (a *Agent) settle(r *run, result engine.Result, outcome wire.End_Outcome) {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if outcome == wire.End_OUTCOME_CANCELED && r.preempted {
		outcome = wire.End_OUTCOME_PREEMPTED
	}
	if outcome == wire.End_OUTCOME_CANCELED && r.stall {
		outcome = wire.End_OUTCOME_FAILED
	}
	if !result.Sent() && outcome == wire.End_OUTCOME_FAILED {
		r.notRun = wire.Decline_REASON_UNREACHABLE
		if abandoned := a.abandonedLately(now); len(abandoned) > 0 {
			a.crashed(now, abandoned)
		}
		a.block(now, wire.Decline_REASON_UNREACHABLE)
	}
	r.endedAt = now
	r.buffer.Finish(outcome, result.Detail())
	r.cancel()
	a.apply(now, a.admission.Finish(now, r.id()))
	a.observe(now, r, result, outcome)
	if r.notRun == wire.Decline_REASON_UNSPECIFIED {
		a.logger.Info("run ended", "request", r.id(), "workspace", r.offer.GetWorkspace(), "action", r.offer.GetAction(),
			"outcome", outcome.String(), "status", result.Status(), "tokens", result.Tokens(), "took", now.Sub(r.startedAt).Round(time.Millisecond))
	}
}

// observe feeds forecast and evidence; the caller holds the lock.
func (a *Agent) observe(now time.Time, r *run, result engine.Result, outcome wire.End_Outcome) {
	serverError := result.Status() >= http.StatusInternalServerError
	// An entry that goes elsewhere after a server error cancels the rest of the
	// run; the version failed all the same.
	canceled := outcome == wire.End_OUTCOME_CANCELED && !serverError
	if canceled || outcome == wire.End_OUTCOME_PREEMPTED || r.notRun != wire.Decline_REASON_UNSPECIFIED {
		return
	}
	failed := outcome != wire.End_OUTCOME_ANSWERED || serverError
	if !failed {
		a.forecast.Observe(now, a.route(r), result.Tokens())
		if r.ticket.IsSuspect() {
			a.suspects.Clear(r.offer.GetFingerprint())
		}
	}
	a.startBoard()
	a.board.Observe(a.settings.Version(), r.evidenceRoute(), failed, perToken(now.Sub(r.startedAt), result.Tokens()))
	a.brake(now, r, failed)
	if _, moving := a.move(); moving {
		a.evidence.Raise()
	}
}

// startBoard begins a new board with each move, so that both versions are
// compared over the same hours; the caller holds the lock.
func (a *Agent) startBoard() {
	move, _ := a.move()
	if move.Name() == a.boardOf {
		return
	}
	a.boardOf = move.Name()
	a.board, a.brakeWatch = evidence.NewBoard(), evidence.NewBrake()
}

// perToken makes latencies of unlike lengths comparable: the time a hundred
// tokens took.
func perToken(took time.Duration, tokens int) time.Duration {
	const unit = 100
	if tokens <= 1 {
		return took
	}
	return took * unit / time.Duration(tokens)
}

// move returns the move under way to this agent's version, if there is one;
// the caller holds the lock.
func (a *Agent) move() (document.Move, bool) {
	doc, _ := a.log.Current()
	for _, move := range doc.Moves() {
		if move.Service() == a.settings.Service() && move.Open() {
			return move, true
		}
	}
	return document.Move{}, false
}

// brake stops this upstream when its version is under test and its own
// evidence shows a fault. It needs neither store nor entry; a version that is
// not under test is never braked, since nothing stands beside it to take over.
func (a *Agent) brake(now time.Time, r *run, failed bool) {
	move, moving := a.move()
	if !moving || move.To() != a.settings.Version() || a.admission.Blocked() != wire.Decline_REASON_UNSPECIFIED {
		return
	}
	if !a.brakeWatch.Observe(r.evidenceRoute(), failed) {
		return
	}
	tally := a.board.Get(move.To(), r.evidenceRoute())
	a.apply(now, a.admission.Block(wire.Decline_REASON_BRAKED))
	a.logger.Warn("version braked", "version", a.settings.Version(), "route", r.evidenceRoute(), "runs", tally.Runs(), "failures", tally.Failures(), "request", r.id())
	a.changed.Raise()
}

// upstreamDied tells whether the upstream died under a run that was cut: a
// moment later, every run that was in progress with it was cut as well.
func (a *Agent) upstreamDied(r *run) bool {
	a.mu.Lock()
	r.cut = true
	var company []*run
	for _, other := range a.runs {
		if other.live() {
			company = append(company, other)
		}
	}
	abandoned := a.abandonedLately(a.now())
	a.mu.Unlock()
	select {
	case <-time.After(crashWindow):
	case <-a.ctx.Done():
		return false
	}
	now := a.now()
	died := a.judgeCrash(now, r, company, abandoned)
	if died {
		// The runs' callers are told once the fleet has heard: a caller that
		// sends the request again at once must meet the suspicion.
		select {
		case <-time.After(spreadWindow):
		case <-a.ctx.Done():
		}
	}
	return died
}

// abandonedLately returns the fingerprints of runs that were canceled a moment
// ago: a caller that hangs up early must not hide what its request does. The
// caller holds the lock.
func (a *Agent) abandonedLately(now time.Time) []uint64 {
	var fingerprints []uint64
	for _, r := range a.runs {
		ended := r.buffer.Ended()
		if ended.GetOutcome() == wire.End_OUTCOME_CANCELED && now.Sub(r.endedAt) < abandonedWindow {
			fingerprints = append(fingerprints, r.offer.GetFingerprint())
		}
	}
	return fingerprints
}

func (a *Agent) judgeCrash(now time.Time, r *run, company []*run, fingerprints []uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, other := range company {
		survived := !other.cut && other.endedAt.IsZero() && other.startedAt.Before(now.Add(-crashWindow))
		if survived {
			return false
		}
		if other.cut {
			fingerprints = append(fingerprints, other.offer.GetFingerprint())
		}
	}
	r.crash = a.crashed(now, fingerprints)
	return true
}

// crashed notes one crash, whichever of its runs tells first; the caller holds
// the lock. The runs of one crash find the upstream blocked already.
func (a *Agent) crashed(now time.Time, fingerprints []uint64) *wire.Crash {
	if now.Sub(a.crashedAt) < crashWindow {
		a.suspects.Learn(now, suspect.NewCrash(a.crashID(a.crashes), now, fingerprints))
		return &wire.Crash{Id: a.crashID(a.crashes), Fingerprints: fingerprints}
	}
	a.crashedAt = now
	a.cached.Lost()
	a.crashes++
	a.counts.Crashes++
	a.suspects.Learn(now, suspect.NewCrash(a.crashID(a.crashes), now, fingerprints))
	a.logger.Warn("upstream died", "upstream", a.settings.Upstream(), "running", len(fingerprints))
	a.block(now, wire.Decline_REASON_UNREACHABLE)
	a.changed.Raise()
	return &wire.Crash{Id: a.crashID(a.crashes), Fingerprints: fingerprints}
}

// block stops offers until the upstream can be reached again; the caller holds
// the lock.
func (a *Agent) block(now time.Time, reason wire.Decline_Reason) {
	if a.admission.Blocked() == wire.Decline_REASON_BRAKED {
		return
	}
	a.apply(now, a.admission.Block(reason))
	if a.probing {
		return
	}
	a.probing = true
	a.wg.Go(a.probe)
}

// probe waits until the upstream accepts connections again.
func (a *Agent) probe() {
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-time.After(probeEvery):
		}
		if !a.engine.Alive(a.ctx) {
			continue
		}
		a.mu.Lock()
		a.probing = false
		if a.admission.Blocked() == wire.Decline_REASON_UNREACHABLE {
			a.admission.Unblock()
		}
		a.mu.Unlock()
		a.changed.Raise()
		return
	}
}

// progress tells the agent of a run's tokens.
type progress struct {
	agent *Agent
	run   *run
}

// FirstToken implements engine.Observer.
func (p progress) FirstToken(now time.Time) {
	p.agent.mu.Lock()
	defer p.agent.mu.Unlock()
	p.run.firstToken, p.run.lastToken = now, now
	if !p.agent.settings.Plain() {
		p.agent.limit.ObserveFirst(now, now.Sub(p.run.startedAt))
	}
}

// Tokens implements engine.Observer.
func (p progress) Tokens(now time.Time, count int) {
	p.agent.mu.Lock()
	defer p.agent.mu.Unlock()
	r := p.run
	if gap := now.Sub(r.lastToken); gap > 0 && r.tokens > 0 && !p.agent.settings.Plain() {
		p.agent.limit.ObserveGap(now, gap/time.Duration(max(count, 1)))
	}
	r.lastToken = now
	r.tokens += count
	if r.tokens/reforecastEvery > r.reforecasts {
		r.reforecasts = r.tokens / reforecastEvery
		left := p.agent.forecast.Remaining(p.agent.route(r), r.tokens)
		work := now.Sub(r.startedAt) + time.Duration(left)*p.agent.limit.TokenGap()
		p.agent.admission.Reforecast(r.id(), work)
	}
}
