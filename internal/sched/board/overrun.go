package board

import (
	"math"
	"time"
)

// EndConstraint tells whether a stream is cut off at the Deadline of its slot request.
type EndConstraint int

// Ways for a stream to end.
const (
	// EndUnconstrained streams go on for as long as the caller waits.
	EndUnconstrained EndConstraint = iota
	// EndPreferred streams are cut off at Deadline and should be complete by then.
	EndPreferred
	// EndRequired streams are cut off at Deadline and must be complete by then, even if
	// they generate as many tokens as the request states.
	EndRequired
)

const (
	// initialOverrun is assumed for a service until its first stream ends.
	initialOverrun = 1.25
	// minOverrun and maxOverrun bound the estimate.
	minOverrun = 1.0
	maxOverrun = 12.0
	// overrunDecay is by how much the logarithm of the estimate decreases with each long
	// stream that stayed within it. The estimate settles where about one stream in 700
	// exceeds it.
	overrunDecay = 0.0003
	// overrunMargin is a factor on top of the estimate, because the next stream may be
	// slower.
	overrunMargin = 1.2
	// likelyLengthFactor is the factor on the length of streams that should end in time but need
	// not. The length estimate is a median and often off by half.
	likelyLengthFactor = 1.6
	// prefillInterference is how much time a stream of any length may lose to long prompts
	// that the engine prefills meanwhile.
	prefillInterference = 250 * time.Millisecond
	// assumedSlowness is used for an engine of unknown speed if a stream must end in time.
	assumedSlowness = 3.0
)

// overrun estimates how far streams exceed the time planned for the tokens that they
// generated: concurrent prefill delays a stream, and the engine's speed is itself an
// estimate. It says nothing of how wrong an estimate of a length is.
type overrun struct {
	logRatio float64
	known    bool
}

// observe takes the duration of a complete stream, the time planned for its tokens and
// the part of that which was planned for decoding. The rest is an allowance that hides
// how slow a short stream was.
func (o *overrun) observe(took, planned, decoding time.Duration) {
	if took <= 0 || planned <= 0 {
		return
	}
	current := math.Log(o.ratio())
	observed := math.Log(float64(took) / float64(planned))
	decay := overrunDecay * float64(decoding) / float64(planned)
	o.logRatio = min(max(observed, current-decay, math.Log(minOverrun)), math.Log(maxOverrun))
	o.known = true
}

func (o *overrun) ratio() float64 {
	if !o.known {
		return initialOverrun
	}
	return math.Exp(o.logRatio)
}

// learnOverrun updates the overrun from a stream that completed after it generated the
// tokens. The time is not divided by the pace: a stream in a slow spell exceeds its plan,
// which is for the mean pace, and the margin is to cover that.
func (e *engine) learnOverrun(r *run, took time.Duration, tokens int) {
	if e.slowness.known() && !r.adopted && tokens > 0 {
		e.timing.overrun.observe(took, e.plannedStreamTime(tokens), e.decodeTime(float64(tokens)))
	}
}

// maxStreamTime returns an upper estimate of the time from a stream's first event to its
// end on the engine.
func (e *engine) maxStreamTime(output int) time.Duration {
	planned := e.plannedStreamTime(output)
	if !e.slowness.known() && e.slowness.factor < assumedSlowness {
		planned = time.Duration(float64(planned) * assumedSlowness / e.slowness.factor)
	}
	return time.Duration(e.timing.overrun.ratio() * overrunMargin * float64(planned))
}

// plannedStreamTime returns how long a stream of the given length takes when all slots of
// the engine are in use.
func (e *engine) plannedStreamTime(output int) time.Duration {
	return e.decodeTime(float64(output)) + prefillInterference
}

// likelyStreamTime returns the time from the first event to the end that is planned for a
// stream that should end in time: that of a length which its estimate may be wrong by, but no
// longer than its maximum takes.
func (e *engine) likelyStreamTime(req *SlotRequest) time.Duration {
	likely := e.decodeTime(likelyLengthFactor * float64(req.OutputTokens))
	if req.MaxTokens > 0 {
		return min(likely, e.plannedStreamTime(req.MaxTokens))
	}
	return likely
}

// endsInTime reports whether a stream with the given first-event latency ends before
// its Deadline, with all slots of the engine in use. For an open-ended stream only the
// estimated length counts: with a margin, the longest streams would fit on the fastest
// engines only and were refused while other engines were free.
func (e *engine) endsInTime(now time.Time, req *SlotRequest, firstEvent time.Duration) bool {
	remaining := req.Deadline.Sub(now)
	switch req.EndConstraint {
	case EndRequired:
		return firstEvent+e.maxStreamTime(req.OutputTokens) <= remaining
	case EndPreferred:
		return firstEvent+e.likelyStreamTime(req) <= remaining
	case EndUnconstrained:
	}
	return firstEvent+e.decodeTime(float64(req.OutputTokens)) <= remaining
}

// canEndInTime reports whether any engine, if idle, could end a stream that is cut off at
// its Deadline. If none can, waiting for a slot does not help.
func (s *Scheduler) canEndInTime(now time.Time, req *SlotRequest) bool {
	if req.EndConstraint == EndUnconstrained {
		return true
	}
	for _, e := range s.byService[req.Service] {
		if req.allows(e) && e.endsInTime(now, req, e.idleFirstEvent(now, req.PromptTokens)) {
			return true
		}
	}
	return false
}
