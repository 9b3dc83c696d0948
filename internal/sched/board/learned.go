package board

import (
	"math"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/profile"
)

const (
	// slownessLeast and slownessMost bound what is believed of an engine.
	slownessLeast = 0.1
	slownessMost  = 30
	// evidenceMost bounds what is remembered, in pieces of the best evidence.
	evidenceMost = 2.0
	// learnTokens is the shortest stream that tells a speed: its first and
	// last event are each off by a step or two.
	learnTokens = 12
	// learnLong is the length at which a stream counts half of what a very long
	// one does: the shorter it is, the more the prompts that happen to be read
	// beside it, and their place in time, decide how long it takes.
	learnLong = 60
	// learnRead is the reading time, in milliseconds of an ordinary engine, at
	// which a first event tells as much of the reading as of all else in it.
	learnRead = 20.0
	// firstLeast and firstMost bound the weight of one first event: the first
	// hundred of a service count most. readOff, a part of the reading, and
	// fixedOff, in milliseconds, bound by how much one may differ from what was
	// expected.
	firstLeast = 0.01
	firstMost  = 0.2
	readOff    = 0.5
	fixedOff   = 20.0
	// readingLeast and readingMost bound by how much reading is slower than
	// decoding tells. Never less: the room that it leaves before the due moment
	// is worth more than places that are just in time.
	readingLeast = 1.0
	readingMost  = 4.0
	// fixedMost bounds what is believed of the time to a first event that is no
	// engine's work.
	fixedMost = 400 * time.Millisecond
)

// estimate is a factor learned from evidence of uneven weight. The first pieces
// count most; later ones move it the less, the lighter they are.
type estimate struct {
	factor   float64
	evidence float64
}

func (e *estimate) known() bool { return e.evidence > 0 }

func (e *estimate) see(factor, weight float64) {
	if weight <= 0 || factor <= 0 {
		return
	}
	e.evidence = min(e.evidence+weight, evidenceMost)
	next := e.factor * math.Pow(factor/e.factor, weight/e.evidence)
	e.factor = min(max(next, slownessLeast), slownessMost)
}

// family is what the engines of a service have in common, whatever their speed: by
// how much reading is slower than decoding tells, the time to a first event that
// is no engine's work, and how far streams outrun their plan.
type family struct {
	reading float64
	fixed   time.Duration
	// seen counts the first events that these two were learned from.
	seen    int
	overrun overrun
}

func newFamily() *family { return &family{reading: 1, fixed: profile.Fixed} }

// see takes by how much a first event was later than expected. The heavier the
// prompt, the more of it is put down to the reading.
func (f *family) see(off, read time.Duration, heavy float64) {
	f.seen++
	weight := min(max(1/float64(f.seen), firstLeast), firstMost)
	f.reading *= 1 + weight*heavy*bounded(ms(off)/max(1, ms(read)), readOff)
	f.reading = min(max(f.reading, readingLeast), readingMost)
	f.fixed += fromMs(weight * (1 - heavy) * bounded(ms(off), fixedOff))
	f.fixed = min(max(0, f.fixed), fixedMost)
}

// learnStream takes how long a stream's tokens took.
func (e *engine) learnStream(now time.Time, r *run, took time.Duration, tokens int) {
	lived := ms(now.Sub(r.startedAt))
	if r.adopted || tokens < learnTokens || lived <= 0 || took <= 0 {
		return
	}
	e.account(now)
	beside := (e.runsArea - r.runsBefore) / lived
	decoded := float64(tokens) * (profile.Step + profile.StepPerRun*beside)
	ordinary := decoded + (e.readUnits-r.readBefore)*e.family.reading
	weight := decoded / ordinary * float64(tokens) / float64(tokens+learnLong)
	e.slowness.see(ms(took)/ordinary, weight)
}

// learnFirst takes how long a prompt's first event took, if nothing else was to
// be read meanwhile. Engines of one generation decode as fast as those of another
// and read half as fast; by the streams alone a long prompt's first event would
// be expected too early.
func (e *engine) learnFirst(now time.Time, r *run) {
	if r.adopted || !r.alone || r.grant != e.grants || !e.slowness.known() {
		return
	}
	read := e.readTime(r.units)
	step := fromMs(profile.StepTime(len(e.runs)) * e.slowness.factor)
	off := now.Sub(r.granted) - e.family.fixed - step - read
	e.family.see(off, read, r.units/(r.units+learnRead))
}

// bounded keeps one odd first event from moving an estimate by more than many
// ordinary ones do: delays on the way are rare and long.
func bounded(x, most float64) float64 { return min(max(x, -most), most) }

// readTime is how long the engine reads what an ordinary one reads in so many
// milliseconds.
func (e *engine) readTime(units float64) time.Duration {
	return fromMs(units * e.slowness.factor * e.family.reading)
}
