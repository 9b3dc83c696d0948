package board

import (
	"math"
	"time"
)

// Ending tells what the end of a stream may depend on.
type Ending int

// The endings.
const (
	// EndOpen streams go on as long as their callers wait.
	EndOpen Ending = iota
	// EndLikely streams are cut at Until, and should be over by then.
	EndLikely
	// EndSure streams are cut at Until, and must be over by then.
	EndSure
)

const (
	// overrunFirst is believed of a service before any of its streams ended.
	overrunFirst = 4.0
	// overrunLeast and overrunMost bound what is believed.
	overrunLeast = 1.5
	overrunMost  = 12.0
	// overrunFall is by how much the logarithm of the estimate falls with each
	// stream that kept to it. It settles where about one stream in 700 does not.
	overrunFall = 0.0003
	// overrunMargin is kept beyond it: the next long one may be longer.
	overrunMargin = 1.2
	// likelyOverrun is planned with where a stream should end in time and need
	// not: the guess of its length is a median and often off by half.
	likelyOverrun = 1.6
	// besides is what a stream of any length may lose to long prompts that its
	// engine reads meanwhile.
	besides = 250 * time.Millisecond
	// unknownSlowness is planned with on an engine whose speed nobody knows, if
	// a stream must be over in time.
	unknownSlowness = 3.0
)

// overrun keeps how far streams outran what was planned for their guessed
// length. Guesses are right at the median and off by factors, prompts read
// beside a stream hold it up, and the engine's speed is itself an estimate; the
// ratio holds all of them.
type overrun struct {
	log   float64
	known bool
}

// see takes a whole stream's time and what was planned for it.
func (o *overrun) see(took, planned time.Duration) {
	if took <= 0 || planned <= 0 {
		return
	}
	at := math.Log(o.ratio())
	seen := math.Log(float64(took) / float64(planned))
	o.log = min(max(seen, at-overrunFall, math.Log(overrunLeast)), math.Log(overrunMost))
	o.known = true
}

func (o *overrun) ratio() float64 {
	if !o.known {
		return overrunFirst
	}
	return math.Exp(o.log)
}

// learnOverrun takes the time of a stream that ended well.
func (e *engine) learnOverrun(r *run, took time.Duration) {
	if e.slowness.known() && !r.adopted {
		e.family.overrun.see(took, e.planned(r.output))
	}
}

// longest returns how long a stream takes on the engine at the most, from its
// first event on.
func (e *engine) longest(output int) time.Duration {
	planned := e.planned(output)
	if !e.slowness.known() && e.slowness.factor < unknownSlowness {
		planned = time.Duration(float64(planned) * unknownSlowness / e.slowness.factor)
	}
	return time.Duration(e.family.overrun.ratio() * overrunMargin * float64(planned))
}

// planned is how long the full engine takes for a stream of the guessed length.
func (e *engine) planned(output int) time.Duration { return e.decode(float64(output)) + besides }

// endsInTime tells whether a stream whose first event takes so long ends before
// it is of no use, at the pace of a full engine. One that goes on as long as its
// caller waits is measured by the guess of its length alone: with room for longer
// ones, the longest could go to the fastest engines only, and were refused in
// time beside free ones.
func (e *engine) endsInTime(now time.Time, a *Ask, first time.Duration) bool {
	left := a.Until.Sub(now)
	switch a.Ending {
	case EndSure:
		return first+e.longest(a.Output) <= left
	case EndLikely:
		return first+e.decode(likelyOverrun*float64(a.Output)) <= left
	case EndOpen:
	}
	return first+e.decode(float64(a.Output)) <= left
}

// canEnd tells whether some engine would end in time, if it were idle, a stream
// that is cut at Until. Nothing is gained by waiting for a place if none does.
func (b *Board) canEnd(now time.Time, a *Ask) bool {
	if a.Ending == EndOpen {
		return true
	}
	for _, e := range b.byService[a.Service] {
		if a.allows(e) && e.endsInTime(now, a, e.alone(a.Prompt)) {
			return true
		}
	}
	return false
}
