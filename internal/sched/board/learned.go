package board

import (
	"math"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/profile"
)

const (
	// minSlowness and maxSlowness bound the estimated slowness of an engine.
	minSlowness = profile.MinSlowness
	maxSlowness = 30
	// maxEvidence limits the accumulated weight of past observations, in units of a
	// full-weight observation.
	maxEvidence = 2.0
	// minStreamTokens is the length of the shortest stream used to learn a speed. Its
	// first and last event are each off by a step or two.
	minStreamTokens = 12
	// halfWeightTokens is the stream length that gives half of the full weight. The
	// duration of a short stream depends more on the prompts that are prefilled meanwhile,
	// and on when that happens.
	halfWeightTokens = 60
	// halfWeightPrefillMs is the prefill time, in milliseconds of an ordinary engine, at
	// which a first event says as much about the prefill as about the fixed latency.
	halfWeightPrefillMs = 20.0
	// minFirstEventWeight and maxFirstEventWeight bound the weight of one first event: the
	// first hundred of a service count most. maxPrefillDeviation, as a share of the
	// prefill time, and maxFixedDeviationMs bound the deviation of one first event from
	// the expected time.
	minFirstEventWeight = 0.01
	maxFirstEventWeight = 0.2
	maxPrefillDeviation = 0.5
	maxFixedDeviationMs = 20.0
	// minPrefillFactor and maxPrefillFactor bound by how much prefill is slower than the
	// decoding speed suggests. The factor is never below 1: the margin that this leaves
	// before the deadline is worth more than slots that would just meet it.
	minPrefillFactor = 1.0
	maxPrefillFactor = 4.0
	// maxFixedLatency limits the part of the first-event latency that does not depend on
	// the engine.
	maxFixedLatency = 400 * time.Millisecond
)

// estimate is a factor learned from observations of different weights. The first ones
// count most; later ones move it in proportion to their weight.
type estimate struct {
	factor   float64
	evidence float64
}

func (e *estimate) known() bool { return e.evidence > 0 }

func (e *estimate) observe(factor, weight float64) {
	if weight <= 0 || factor <= 0 {
		return
	}
	e.evidence = min(e.evidence+weight, maxEvidence)
	next := e.factor * math.Pow(factor/e.factor, weight/e.evidence)
	e.factor = min(max(next, minSlowness), maxSlowness)
}

// serviceTiming is what the engines of a service have in common at any speed: by how much
// prefill is slower than the decoding speed suggests, the part of the first-event latency
// that does not depend on the engine, and how far streams overrun their planned time.
type serviceTiming struct {
	prefillFactor float64
	fixedLatency  time.Duration
	// samples is the number of first events from which prefillFactor and fixedLatency were
	// learned.
	samples int
	overrun overrun
}

func newServiceTiming() *serviceTiming {
	return &serviceTiming{prefillFactor: 1, fixedLatency: profile.FixedLatency}
}

// observe takes the deviation of a first event from its expected time. The larger the
// share of prefill, the more of the deviation is attributed to it.
func (t *serviceTiming) observe(deviation, prefill time.Duration, prefillShare float64) {
	t.samples++
	weight := min(max(1/float64(t.samples), minFirstEventWeight), maxFirstEventWeight)
	t.prefillFactor *= 1 + weight*prefillShare*clamp(ms(deviation)/max(1, ms(prefill)), maxPrefillDeviation)
	t.prefillFactor = min(max(t.prefillFactor, minPrefillFactor), maxPrefillFactor)
	t.fixedLatency += fromMs(weight * (1 - prefillShare) * clamp(ms(deviation), maxFixedDeviationMs))
	t.fixedLatency = min(max(0, t.fixedLatency), maxFixedLatency)
}

// learnStream updates the slowness from the duration that a stream would have had at the
// engine's usual pace.
func (e *engine) learnStream(now time.Time, r *run, took time.Duration, tokens int) {
	elapsed := ms(now.Sub(r.startedAt))
	if r.adopted || tokens < minStreamTokens || elapsed <= 0 || took <= 0 {
		return
	}
	e.advanceRunMs(now)
	concurrent := (e.runMs - r.runMsAtStart) / elapsed
	decodeMs := float64(tokens) * (profile.BaseStepMs + profile.StepPerRunMs*concurrent)
	ordinaryMs := decodeMs + (e.assignedPrefillMs-r.prefillMsAtStart)*e.timing.prefillFactor
	weight := decodeMs / ordinaryMs * float64(tokens) / float64(tokens+halfWeightTokens)
	e.slowness.observe(ms(took)/e.meanPaceSince(now, r)/ordinaryMs, weight)
}

// learnFirstEvent updates the service's timing from the time to the first event, if no
// other prefill was pending meanwhile. Some hardware generations decode as fast as others
// but prefill half as fast; predicted from the decoding speed alone, the first event of a
// long prompt would be expected too early.
//
// The pace in between is taken for the mean of the one expected at the grant and the one
// stated with the first event: the engine states none while it prefills.
func (e *engine) learnFirstEvent(now time.Time, r *run) {
	if r.adopted || !r.solePrefill || r.grantIndex != e.grantCount || !e.slowness.known() {
		return
	}
	slowness := e.slowness.factor * (r.paceAtGrant + e.pace.At(now)) / 2
	prefill := e.prefillTime(r.prefillMs, slowness)
	step := fromMs(profile.StepMs(len(e.runs)) * slowness)
	deviation := now.Sub(r.grantedAt) - e.timing.fixedLatency - step - prefill
	e.timing.observe(deviation, prefill, r.prefillMs/(r.prefillMs+halfWeightPrefillMs))
}

// clamp limits x to ±limit, so that one outlier does not move an estimate by more than
// many ordinary observations. Network delays are rare and long.
func clamp(x, limit float64) float64 { return min(max(x, -limit), limit) }

// prefillTime returns how long the engine, at the given slowness, takes for a prefill that
// takes the given number of milliseconds on an ordinary one.
func (e *engine) prefillTime(ordinaryMs, slowness float64) time.Duration {
	return fromMs(ordinaryMs * slowness * e.timing.prefillFactor)
}
