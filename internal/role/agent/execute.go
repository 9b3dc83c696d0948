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
	// crashWindow is how long the agent waits, after one run lost its
	// connection, for the others: an upstream that crashes drops all of them.
	crashWindow = 200 * time.Millisecond
	// crashSpreadDelay is the time given to notify the fleet of a crash before
	// the callers are told.
	crashSpreadDelay = 100 * time.Millisecond
	// canceledWindow is how long after its cancellation a run still counts as
	// running when the upstream crashes.
	canceledWindow = time.Second
	// reforecastTokens is the number of tokens after which a run's expected
	// work is estimated again.
	reforecastTokens = 16
)

// execute runs one request on the upstream and records its outcome.
func (a *Agent) execute(r *run) {
	call := engine.NewCall(r.id(), r.offer.GetMethod(), r.offer.GetPath(), r.offer.GetHeaders(), r.offer.GetBody())
	result := a.engine.Run(r.ctx, call, r.buffer, runObserver{agent: a, run: r})
	outcome := result.Outcome()
	if result.Truncated() && a.upstreamDied(r) {
		outcome = wire.End_OUTCOME_UPSTREAM_LOST
	}
	a.finish(r, result, outcome)
}

// finish ends the run. It is the only place where the outcome is decided.
func (a *Agent) finish(r *run, result engine.Result, outcome wire.End_Outcome) {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if outcome == wire.End_OUTCOME_CANCELED && r.preempted {
		outcome = wire.End_OUTCOME_PREEMPTED
	}
	if outcome == wire.End_OUTCOME_CANCELED && r.stallDetected {
		outcome = wire.End_OUTCOME_FAILED
	}
	if !result.Sent() && outcome == wire.End_OUTCOME_FAILED {
		r.notRun = wire.Decline_REASON_UNREACHABLE
		if canceled := a.recentlyCanceled(now); len(canceled) > 0 {
			a.recordCrash(now, canceled)
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

// observe updates the forecast and the evidence. The caller holds the lock.
func (a *Agent) observe(now time.Time, r *run, result engine.Result, outcome wire.End_Outcome) {
	serverError := result.Status() >= http.StatusInternalServerError
	// An entry that retries elsewhere after a server error cancels the rest of
	// the run; this still counts as a failure of the version.
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
	a.resetBoard()
	a.board.Observe(a.settings.Version(), r.evidenceRoute(), failed, normalizedLatency(now.Sub(r.startedAt), result.Tokens()))
	a.stopFaultyVersion(now, r, failed)
	if _, moving := a.openRollout(); moving {
		a.evidence.Raise()
	}
}

// resetBoard starts a new board with each rollout, so that both versions are
// compared over the same period. The caller holds the lock.
func (a *Agent) resetBoard() {
	rollout, _ := a.openRollout()
	if rollout.Name() == a.boardRollout {
		return
	}
	a.boardRollout = rollout.Name()
	a.board, a.breaker = evidence.NewBoard(), evidence.NewBreaker()
}

// normalizedLatency makes latencies of responses of different lengths
// comparable: it returns the time per 100 tokens.
func normalizedLatency(took time.Duration, tokens int) time.Duration {
	const unit = 100
	if tokens <= 1 {
		return took
	}
	return took * unit / time.Duration(tokens)
}

// openRollout returns the open rollout of this agent's service, if there is
// one.
func (a *Agent) openRollout() (document.Move, bool) {
	doc, _ := a.log.Current()
	for _, rollout := range doc.Moves() {
		if rollout.Service() == a.settings.Service() && rollout.Open() {
			return rollout, true
		}
	}
	return document.Move{}, false
}

// stopFaultyVersion stops this upstream if a rollout to its version is open and its
// own evidence shows a fault. This needs neither the store nor an entry. A version
// that is not in rollout is never stopped, as no other version could take over.
func (a *Agent) stopFaultyVersion(now time.Time, r *run, failed bool) {
	rollout, open := a.openRollout()
	if !open || rollout.To() != a.settings.Version() || a.admission.Blocked() != wire.Decline_REASON_UNSPECIFIED {
		return
	}
	if !a.breaker.Observe(r.evidenceRoute(), failed) {
		return
	}
	tally := a.board.Get(rollout.To(), r.evidenceRoute())
	a.apply(now, a.admission.Block(wire.Decline_REASON_BRAKED))
	a.logger.Warn("version stopped by agent", "version", a.settings.Version(), "route", r.evidenceRoute(), "runs", tally.Runs(), "failures", tally.Failures(), "request", r.id())
	a.changed.Raise()
}

// upstreamDied reports whether the upstream crashed during a run that lost its
// connection, which is so if within crashWindow all concurrent runs have ended
// or lost theirs as well.
func (a *Agent) upstreamDied(r *run) bool {
	a.mu.Lock()
	r.connectionLost = true
	var concurrent []*run
	for _, other := range a.runs {
		if other.live() {
			concurrent = append(concurrent, other)
		}
	}
	canceled := a.recentlyCanceled(a.now())
	a.mu.Unlock()
	select {
	case <-time.After(crashWindow):
	case <-a.ctx.Done():
		return false
	}
	now := a.now()
	died := a.confirmCrash(now, r, concurrent, canceled)
	if died {
		// The callers are told after the fleet was notified: an immediate resend
		// of the request must already be treated as a suspect.
		select {
		case <-time.After(crashSpreadDelay):
		case <-a.ctx.Done():
		}
	}
	return died
}

// recentlyCanceled returns the fingerprints of runs that were canceled within
// canceledWindow: a caller that disconnects early must not hide that its
// request crashes the upstream. The caller holds the lock.
func (a *Agent) recentlyCanceled(now time.Time) []uint64 {
	var fingerprints []uint64
	for _, r := range a.runs {
		ended := r.buffer.End()
		if ended.GetOutcome() == wire.End_OUTCOME_CANCELED && now.Sub(r.endedAt) < canceledWindow {
			fingerprints = append(fingerprints, r.offer.GetFingerprint())
		}
	}
	return fingerprints
}

// confirmCrash records a crash unless one of the concurrent runs survived.
func (a *Agent) confirmCrash(now time.Time, r *run, concurrent []*run, fingerprints []uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, other := range concurrent {
		survived := !other.connectionLost && other.endedAt.IsZero() && other.startedAt.Before(now.Add(-crashWindow))
		if survived {
			return false
		}
		if other.connectionLost {
			fingerprints = append(fingerprints, other.offer.GetFingerprint())
		}
	}
	r.crash = a.recordCrash(now, fingerprints)
	return true
}

// recordCrash records a crash. Further runs of the same crash, which report it
// within crashWindow, only add their fingerprints. The caller holds the lock.
func (a *Agent) recordCrash(now time.Time, fingerprints []uint64) *wire.Crash {
	if now.Sub(a.crashedAt) < crashWindow {
		a.suspects.Record(now, suspect.NewCrash(a.crashID(a.crashes), now, fingerprints))
		return &wire.Crash{Id: a.crashID(a.crashes), Fingerprints: fingerprints}
	}
	a.crashedAt = now
	a.prefixCache.Reset()
	a.crashes++
	a.counts.Crashes++
	a.suspects.Record(now, suspect.NewCrash(a.crashID(a.crashes), now, fingerprints))
	a.logger.Warn("upstream died", "upstream", a.settings.Upstream(), "running", len(fingerprints))
	a.block(now, wire.Decline_REASON_UNREACHABLE)
	a.changed.Raise()
	return &wire.Crash{Id: a.crashID(a.crashes), Fingerprints: fingerprints}
}

// block declines offers until the upstream is reachable again. The caller holds
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
		case <-time.After(probeInterval):
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

// runObserver reports a run's tokens to the agent.
type runObserver struct {
	agent *Agent
	run   *run
}

// FirstToken implements engine.Observer.
func (p runObserver) FirstToken(now time.Time) {
	p.agent.mu.Lock()
	defer p.agent.mu.Unlock()
	p.run.firstToken, p.run.lastToken = now, now
	if !p.agent.settings.Plain() {
		p.agent.limit.ObserveFirstToken(now, now.Sub(p.run.startedAt))
	}
}

// Tokens implements engine.Observer.
func (p runObserver) Tokens(now time.Time, count int) {
	p.agent.mu.Lock()
	defer p.agent.mu.Unlock()
	r := p.run
	if gap := now.Sub(r.lastToken); gap > 0 && r.tokens > 0 && !p.agent.settings.Plain() {
		p.agent.limit.ObserveTokenGap(now, gap/time.Duration(max(count, 1)))
	}
	r.lastToken = now
	r.tokens += count
	if r.tokens/reforecastTokens > r.reforecasts {
		r.reforecasts = r.tokens / reforecastTokens
		left := p.agent.forecast.Remaining(p.agent.route(r), r.tokens)
		work := now.Sub(r.startedAt) + time.Duration(left)*p.agent.limit.TokenGap()
		p.agent.admission.UpdateWork(r.id(), work)
	}
}
