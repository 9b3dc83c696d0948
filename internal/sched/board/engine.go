package board

import (
	"math"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/division"
	"github.com/persimmonridge/persimmonridge/internal/sched/failure"
	"github.com/persimmonridge/persimmonridge/internal/sched/pace"
	"github.com/persimmonridge/persimmonridge/internal/sched/profile"
)

const (
	// stallTimeout is how long a first event may be overdue before the engine counts as
	// stalled: twice the time of the slowest prompt that is granted a slot.
	stallTimeout = 300 * time.Millisecond
	// minBackoff and maxBackoff bound how long an engine that refuses connections is
	// skipped. The time doubles with each consecutive failure.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// misdirectedBackoff is how long an engine is skipped whose address another one has: the
	// platform removes its registration within this time.
	misdirectedBackoff = 5 * time.Second
	// failureWeight is the weight of one outcome in an engine's failure rate. Without new
	// outcomes the rate halves every failureHalfLife, so that the engine is tried again.
	failureWeight   = 0.15
	failureHalfLife = 3 * time.Second
	// reportMaxAge is how long an engine's reported number of requests is used while all
	// gateways use the same scheduler.
	reportMaxAge = 400 * time.Millisecond
	// externalHalfLife is the half-life of the estimated load from other schedulers while
	// gateways are split among several, and externalWeight is the weight of a new report.
	// Without a decaying estimate, each scheduler would fill the engine again as soon as
	// its last report expired.
	externalHalfLife = 1500 * time.Millisecond
	externalWeight   = 0.4
)

// run is a request assigned to an engine.
type run struct {
	owner, id string
	// number distinguishes this slot from others of the same request.
	number uint64
	// account is that of the request's workspace. It counts the slot until the run is removed.
	account          *division.Account
	prompt           int
	grantedAt        time.Time
	expectedAt       time.Time
	started          bool
	startedAt        time.Time
	runMsAtStart     float64
	prefillMsAtStart float64
	// prefillMs is the prefill time of the prompt on an ordinary engine. solePrefill is
	// set if no other prefill was pending when the run was assigned, and grantIndex is the
	// engine's grantCount at that time.
	prefillMs   float64
	solePrefill bool
	grantIndex  int
	// paceAtGrant is the pace expected when the run was assigned, and excessAtStart the
	// integral of the pace beyond the usual one at its first event.
	paceAtGrant   float64
	excessAtStart float64
	// adopted runs were assigned by another scheduler. It is not known which other runs
	// shared the engine with them, so they are not used to learn its speed.
	adopted bool
}

// engine is the scheduling state of one engine.
type engine struct {
	Upstream
	// slowness scales the latencies of an ordinary engine while this one works at its usual
	// pace. Prefill is scaled by the service's prefillFactor as well.
	slowness estimate
	// pace is by what factor work takes longer than usual at a moment.
	pace   pace.Estimate
	timing *serviceTiming
	runs   map[string]*run
	// grantCount is the number of runs assigned so far.
	grantCount int
	// prefillBacklog is the number of assigned prompt tokens that are not yet prefilled,
	// and prefillUntil is when their prefill should be done at the pace prefillPace.
	prefillBacklog int
	prefillUntil   time.Time
	prefillPace    float64
	// runMs is the integral of the number of running requests over time, in milliseconds,
	// and assignedPrefillMs is the total prefill time assigned, in milliseconds of an ordinary
	// engine. They show what a stream shared its engine with.
	runMs             float64
	assignedPrefillMs float64
	runMsAt           time.Time

	// lastFirstEvent is when the engine last sent a first event.
	lastFirstEvent time.Time

	failuresInRow int
	backoffUntil  time.Time
	failureRate   failure.Rate

	// external is the number of requests that the engine reported beyond those of this
	// scheduler. shared is set if other schedulers use the engine too.
	external   float64
	externalAt time.Time
	shared     bool

	grants grantHistory
}

func newEngine(now time.Time, u Upstream, timing *serviceTiming) *engine {
	return &engine{
		Upstream: u, slowness: estimate{factor: 1}, timing: timing, runs: make(map[string]*run), runMsAt: now, prefillUntil: now, prefillPace: 1,
		failureRate: failure.New(failureWeight, failureHalfLife),
	}
}

// advanceRunMs updates runMs up to now.
func (e *engine) advanceRunMs(now time.Time) {
	if elapsed := now.Sub(e.runMsAt); elapsed > 0 {
		e.runMs += float64(len(e.runs)) * ms(elapsed)
		e.runMsAt = now
	}
}

// running returns the number of requests on the engine, including those of others that it
// reported recently.
func (e *engine) running(now time.Time) int {
	return len(e.runs) + int(math.Round(e.externalLoad(now)))
}

// externalLoad returns the estimated number of requests on the engine that this scheduler
// did not assign.
func (e *engine) externalLoad(now time.Time) float64 {
	if e.external == 0 {
		return 0
	}
	age := now.Sub(e.externalAt)
	if e.shared {
		return e.external * math.Exp2(-age.Seconds()/externalHalfLife.Seconds())
	}
	if age < reportMaxAge {
		return e.external
	}
	return 0
}

// recordLoad updates the external load from the number of requests that the engine
// reported.
func (e *engine) recordLoad(now time.Time, count int) {
	external := float64(max(0, count-len(e.runs)))
	if e.shared {
		external = (1-externalWeight)*e.externalLoad(now) + externalWeight*external
	}
	e.external, e.externalAt = external, now
}

// setShared sets the share of the gateways that may use other schedulers.
func (e *engine) setShared(now time.Time, unheardShare float64) {
	shared := unheardShare > 0
	if shared && !e.shared {
		e.external, e.externalAt = unheardShare*float64(e.Slots), now
	}
	e.shared = shared
}

// prefillWait returns how long the engine is still busy with the prefill of assigned
// prompts.
func (e *engine) prefillWait(now time.Time) time.Duration {
	return max(0, e.prefillUntil.Sub(now))
}

// firstEvent returns the estimated time to the first event of a prompt sent now.
func (e *engine) firstEvent(now time.Time, prompt int) time.Duration {
	running := e.running(now)
	slowness := e.slownessAt(now)
	step := fromMs(profile.StepMs(running+1) * slowness)
	return e.timing.fixedLatency + e.prefillWait(now) + e.prefillTime(profile.PrefillMs(prompt, running), slowness) + step
}

// idleFirstEvent returns the time to the first event of a prompt on the idle engine.
func (e *engine) idleFirstEvent(now time.Time, prompt int) time.Duration {
	slowness := e.slownessAt(now)
	step := fromMs(profile.StepMs(1) * slowness)
	return e.timing.fixedLatency + e.prefillTime(profile.PrefillMs(prompt, 1), slowness) + step
}

// decodeTime returns how long the engine takes to generate the tokens when all slots are
// in use.
func (e *engine) decodeTime(tokens float64) time.Duration {
	return fromMs(tokens * profile.StepMs(e.Slots) * e.meanSlowness())
}

// assign adds a run whose prompt is not prefilled yet.
func (e *engine) assign(now time.Time, r *run) {
	e.advanceRunMs(now)
	e.updatePrefillPace(now)
	e.grantCount++
	r.paceAtGrant = e.pace.At(now)
	r.prefillMs, r.solePrefill, r.grantIndex = profile.PrefillMs(r.prompt, len(e.runs)), e.prefillWait(now) == 0, e.grantCount
	r.expectedAt = now.Add(e.firstEvent(now, r.prompt))
	e.prefillUntil = now.Add(e.prefillWait(now) + e.prefillTime(r.prefillMs, e.slownessAt(now)))
	e.assignedPrefillMs += r.prefillMs
	e.prefillBacklog += r.prompt
	e.runs[r.owner+"/"+r.id] = r
}

// adopt adds a run that another scheduler assigned and whose prefill is done. If its
// prompt counted as still pending, concurrent streams would seem to share the engine with
// more work than they did, and the engine would seem up to twice as fast as it is.
func (e *engine) adopt(now time.Time, r *run) {
	e.advanceRunMs(now)
	r.expectedAt, r.started, r.startedAt = now, true, now
	e.runs[r.owner+"/"+r.id] = r
}

// start records the first event of a run.
func (e *engine) start(now time.Time, r *run) {
	if r.started {
		return
	}
	e.advanceRunMs(now)
	e.learnFirstEvent(now, r)
	r.started, r.startedAt = true, now
	e.lastFirstEvent = now
	r.runMsAtStart, r.prefillMsAtStart, r.excessAtStart = e.runMs, e.assignedPrefillMs, e.pace.Excess(now)
	e.finishPrefill(now, r)
}

// finishPrefill removes a run's prompt from the backlog once it is prefilled or canceled.
func (e *engine) finishPrefill(now time.Time, r *run) {
	e.updatePrefillPace(now)
	e.prefillBacklog = max(0, e.prefillBacklog-r.prompt)
	remainingMs := 0.0
	for _, other := range e.runs {
		if !other.started && other != r {
			remainingMs += profile.PrefillMs(other.prompt, len(e.runs))
		}
	}
	until := now.Add(e.prefillTime(remainingMs, e.slownessAt(now)))
	if until.Before(e.prefillUntil) {
		e.prefillUntil = until
	}
}

// remove removes a run and its pending prefill.
func (e *engine) remove(now time.Time, key string, r *run) {
	e.advanceRunMs(now)
	delete(e.runs, key)
	r.account.Free(now)
	if !r.started {
		e.finishPrefill(now, r)
	}
}

// stalled reports whether the engine seems dead: a first event is long overdue, and no
// other run has started since it was due. An engine that leaves some requests without an
// answer while it serves the others is not stalled.
func (e *engine) stalled(now time.Time) bool {
	for _, r := range e.runs {
		if !r.started && now.Sub(r.expectedAt) > stallTimeout && e.lastFirstEvent.Before(r.expectedAt) {
			return true
		}
	}
	return false
}

// backOff skips the engine for a while after it refused a connection.
func (e *engine) backOff(now time.Time) {
	if now.Before(e.backoffUntil) {
		return
	}
	e.backoffUntil = now.Add(min(maxBackoff, minBackoff<<min(e.failuresInRow, 4)))
	e.failuresInRow++
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMs(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
