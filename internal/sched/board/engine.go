package board

import (
	"math"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/failure"
	"github.com/persimmonridge/persimmonridge/internal/sched/profile"
)

const (
	// stalledAfter is how long a first event may be overdue before the engine
	// counts as stalled: twice the slowest prompt that is granted.
	stalledAfter = 300 * time.Millisecond
	// avoidFirst and avoidMost bound how long an engine that refuses
	// connections is left out; it doubles with each failure in a row.
	avoidFirst = 200 * time.Millisecond
	avoidMost  = 2 * time.Second
	// failWeight is one outcome's weight in an engine's failure share, which
	// halves in failHalf without new outcomes, so that it is tried again.
	failWeight = 0.15
	failHalf   = 3 * time.Second
	// reportedFor is how long an engine's own count of its runs is believed
	// while all gateways ask the same scheduler.
	reportedFor = 400 * time.Millisecond
	// foreignHalf is the time in which what others were seen to have on an
	// engine halves while they ask other schedulers, and foreignWeight the
	// weight of one more sight of it. Without a memory, each scheduler would
	// fill the engine anew whenever its last sight is old.
	foreignHalf   = 1500 * time.Millisecond
	foreignWeight = 0.4
)

// run is one request that an engine has.
type run struct {
	owner, id string
	// number tells the place apart from others of the same request.
	number     uint64
	prompt     int
	output     int
	granted    time.Time
	expected   time.Time
	started    bool
	startedAt  time.Time
	runsBefore float64
	readBefore float64
	// units is the reading of the prompt in milliseconds of an ordinary engine;
	// alone tells that nothing else was to be read when the run was granted, as
	// the engine's grant of that number.
	units float64
	alone bool
	grant int
	// adopted runs were granted by another scheduler. What shared the engine
	// with them is not known, so they tell no speed.
	adopted bool
}

// engine is what the board knows of one engine.
type engine struct {
	Upstream
	// slowness scales the times of an ordinary engine, and reading those of
	// prompts besides.
	slowness estimate
	family   *family
	runs     map[string]*run
	// grants counts the places given.
	grants int
	// backlog is the number of prompt tokens granted and not yet read, and
	// readUntil is when they should be.
	backlog   int
	readUntil time.Time
	// runsArea is the integral of running requests over milliseconds, and
	// readUnits the prefill granted in milliseconds of an ordinary engine.
	// They tell what a stream shared its engine with.
	runsArea  float64
	readUnits float64
	areaAt    time.Time

	// lastStart is when a first event came last.
	lastStart time.Time

	failures  int
	avoid     time.Time
	failShare failure.Share

	// foreign is how many requests the engine said it has beyond the board's;
	// split tells that other schedulers use it too.
	foreign   float64
	foreignAt time.Time
	split     bool
}

func newEngine(now time.Time, u Upstream, family *family) *engine {
	return &engine{
		Upstream: u, slowness: estimate{factor: 1}, family: family, runs: make(map[string]*run), areaAt: now, readUntil: now,
		failShare: failure.New(failWeight, failHalf),
	}
}

// account advances the integral of running requests.
func (e *engine) account(now time.Time) {
	if elapsed := now.Sub(e.areaAt); elapsed > 0 {
		e.runsArea += float64(len(e.runs)) * ms(elapsed)
		e.areaAt = now
	}
}

// running returns how many requests the engine has, those included that others
// sent it and that it reported of late.
func (e *engine) running(now time.Time) int {
	return len(e.runs) + int(math.Round(e.others(now)))
}

// others returns how many requests the engine has beyond the board's.
func (e *engine) others(now time.Time) float64 {
	if e.foreign == 0 {
		return 0
	}
	age := now.Sub(e.foreignAt)
	if e.split {
		return e.foreign * math.Exp2(-age.Seconds()/foreignHalf.Seconds())
	}
	if age < reportedFor {
		return e.foreign
	}
	return 0
}

// report takes the engine's own count of what it has.
func (e *engine) report(now time.Time, count int) {
	seen := float64(max(0, count-len(e.runs)))
	if e.split {
		seen = (1-foreignWeight)*e.others(now) + foreignWeight*seen
	}
	e.foreign, e.foreignAt = seen, now
}

// setSplit tells what part of the gateways asks other schedulers.
func (e *engine) setSplit(now time.Time, others float64) {
	split := others > 0
	if split && !e.split {
		e.foreign, e.foreignAt = others*float64(e.Slots), now
	}
	e.split = split
}

// wait returns how long the prompts that are granted keep the engine reading.
func (e *engine) wait(now time.Time) time.Duration {
	return max(0, e.readUntil.Sub(now))
}

// firstEvent returns how long a prompt's first event takes if it is sent now.
func (e *engine) firstEvent(now time.Time, prompt int) time.Duration {
	running := e.running(now)
	step := fromMs(profile.StepTime(running+1) * e.slowness.factor)
	return e.family.fixed + e.wait(now) + e.readTime(profile.Prefill(prompt, running)) + step
}

// alone returns how long a prompt's first event takes if the engine is idle.
func (e *engine) alone(prompt int) time.Duration {
	step := fromMs(profile.StepTime(1) * e.slowness.factor)
	return e.family.fixed + e.readTime(profile.Prefill(prompt, 1)) + step
}

// decode returns how long the full engine takes to generate the tokens.
func (e *engine) decode(tokens float64) time.Duration {
	return fromMs(tokens * profile.StepTime(e.Slots) * e.slowness.factor)
}

// grant adds a run.
func (e *engine) grant(now time.Time, r *run) {
	e.account(now)
	e.grants++
	r.units, r.alone, r.grant = profile.Prefill(r.prompt, len(e.runs)), e.wait(now) == 0, e.grants
	r.expected = now.Add(e.firstEvent(now, r.prompt))
	e.readUntil = now.Add(e.wait(now) + e.readTime(r.units))
	e.readUnits += r.units
	e.backlog += r.prompt
	e.runs[r.owner+"/"+r.id] = r
}

// adopt takes in a run of another scheduler whose prompt is read. Counted as if
// it were still to be read, it would make the streams beside it look as if they
// shared their engine with more than they did, and the engine twice as fast.
func (e *engine) adopt(now time.Time, r *run) {
	e.account(now)
	r.expected, r.started, r.startedAt = now, true, now
	e.runs[r.owner+"/"+r.id] = r
}

// start notes a run's first event.
func (e *engine) start(now time.Time, r *run) {
	if r.started {
		return
	}
	e.account(now)
	e.learnFirst(now, r)
	r.started, r.startedAt = true, now
	e.lastStart = now
	r.runsBefore, r.readBefore = e.runsArea, e.readUnits
	e.read(now, r)
}

// read notes that a run's prompt is read, or is not to be read any more.
func (e *engine) read(now time.Time, r *run) {
	e.backlog = max(0, e.backlog-r.prompt)
	rest := 0.0
	for _, other := range e.runs {
		if !other.started && other != r {
			rest += profile.Prefill(other.prompt, len(e.runs))
		}
	}
	limit := now.Add(e.readTime(rest))
	if limit.Before(e.readUntil) {
		e.readUntil = limit
	}
}

// end removes a run.
func (e *engine) end(now time.Time, key string, r *run) {
	e.account(now)
	delete(e.runs, key)
	if !r.started {
		e.read(now, r)
	}
}

// stalled tells whether the engine seems dead: a first event is long overdue,
// and nothing else has started since it was due. An engine that keeps a part of
// its requests without an answer goes on serving the others.
func (e *engine) stalled(now time.Time) bool {
	for _, r := range e.runs {
		if !r.started && now.Sub(r.expected) > stalledAfter && e.lastStart.Before(r.expected) {
			return true
		}
	}
	return false
}

// unreached leaves the engine out for a while.
func (e *engine) unreached(now time.Time) {
	if now.Before(e.avoid) {
		return
	}
	e.avoid = now.Add(min(avoidMost, avoidFirst<<min(e.failures, 4)))
	e.failures++
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMs(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
