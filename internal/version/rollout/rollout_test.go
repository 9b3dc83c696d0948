package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/version/evidence"
	"github.com/persimmonridge/persimmonridge/internal/version/rollout"
)

var (
	start = time.Unix(1_000_000, 0)
	order = rollout.Order{Service: "s", Target: "v2", Duration: 20 * time.Second, Revision: 7}
)

// simulation simulates an order: perSecond requests per second go to one of the sides,
// and the target's failure rate and latency are given as functions of time.
type simulation struct {
	perSecond   int
	failureRate func(at time.Duration) float64
	latency     func(at time.Duration) time.Duration
	ready       bool
}

type result struct {
	state              rollout.State
	endedAt            time.Duration
	targetRequests     int
	total              int
	fiftyBadAt         time.Duration
	lateTargetRequests int
}

func (m simulation) run() result {
	judge := rollout.NewJudge(order.Revision.Number())
	state := rollout.Begin(start, order)
	sides := map[bool]*rollout.Entry{true: {Target: true, Route: "r"}, false: {Route: "r"}}
	baseline := rollout.Baseline{Measure: evidence.FirstEvent, Route: "r"}
	var samples []rollout.NumberedSample
	got := result{}
	badCount := 0
	for i := 0; i < m.perSecond*20; i++ {
		at := time.Duration(i) * time.Second / time.Duration(m.perSecond)
		target := state.Phase == rollout.Complete || (state.Phase == rollout.Running && state.InTargetShare("s", fmt.Sprint(i)))
		got.total++
		failed, took := i%250 == 0, 100*time.Millisecond
		if target {
			got.targetRequests++
			failed = float64(i%100) < 100*m.failureRate(at)
			took = m.latency(at)
			if failed || took > 300*time.Millisecond {
				badCount++
			}
		}
		if badCount == 50 && got.fiftyBadAt == 0 {
			got.fiftyBadAt = at
		}
		if got.fiftyBadAt > 0 && target && at > got.fiftyBadAt+5*time.Second {
			got.lateTargetRequests++
		}
		side := sides[target]
		side.Runs++
		if failed {
			side.Failures++
		}
		if target {
			samples = append(samples, rollout.NumberedSample{Number: uint64(len(samples) + 1), Sample: evidence.Sample{
				Measure: evidence.FirstEvent, Route: "r", Upstream: fmt.Sprint(i % 4), Bucket: evidence.Bucket(took),
			}})
		} else {
			baseline.Runs[evidence.Bucket(took)]++
		}
		if i%(m.perSecond/5) == 0 {
			now := start.Add(at)
			judge.AddReport(now, "gateway", rollout.Report{
				Order: order.Revision.Number(), Entries: []rollout.Entry{*sides[true], *sides[false]}, Samples: samples, Baselines: []rollout.Baseline{baseline},
			})
			next, changed := rollout.Step(now, order, state, rollout.Observed{Judgement: judge.Judge(now, 4), Ready: m.ready})
			if changed && next.Phase != rollout.Running {
				got.endedAt = at
			}
			state = next
		}
	}
	got.state = state
	return got
}

func usualFailures(time.Duration) float64 { return 0.004 }

func usualLatency(time.Duration) time.Duration { return 100 * time.Millisecond }

func failuresFrom(from time.Duration, share float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < from {
			return 0.004
		}
		return share
	}
}

// A good version gets all traffic before the deadline.
func TestGoodVersionIsCompletedInTime(t *testing.T) {
	got := simulation{perSecond: 200, failureRate: usualFailures, latency: usualLatency, ready: true}.run()
	require.Equal(t, rollout.Complete, got.state.Phase)
	require.Less(t, got.endedAt, order.Duration)
}

// A version fails a third of its requests: from the start, later, or shortly before
// the end. The move is reverted within seconds, and the version gets less than a
// tenth of the requests plus fifty.
func TestFailingVersionIsReverted(t *testing.T) {
	for _, from := range []time.Duration{0, 6 * time.Second, 13 * time.Second} {
		for _, perSecond := range []int{50, 250} {
			t.Run(fmt.Sprint(from, perSecond), func(t *testing.T) {
				got := simulation{perSecond: perSecond, failureRate: failuresFrom(from, 0.35), latency: usualLatency, ready: true}.run()
				require.Equal(t, rollout.Reverted, got.state.Phase)
				require.LessOrEqual(t, float64(got.targetRequests), 0.1*float64(got.total)+50)
				require.Zero(t, got.lateTargetRequests)
			})
		}
	}
}

// A version answers five times slower, which does not show in the status of its
// answers.
func TestSlowVersionIsReverted(t *testing.T) {
	slow := func(time.Duration) time.Duration { return 500 * time.Millisecond }
	got := simulation{perSecond: 200, failureRate: usualFailures, latency: slow, ready: true}.run()
	require.Equal(t, rollout.Reverted, got.state.Phase)
	require.Less(t, got.endedAt, 8*time.Second)
}

// The version never has an upstream. Completing the move would stop the old
// upstreams and leave the service without any.
func TestMoveWithoutUpstreamsIsReverted(t *testing.T) {
	got := simulation{perSecond: 200, failureRate: usualFailures, latency: usualLatency}.run()
	require.Equal(t, rollout.Reverted, got.state.Phase)
}

// The state of a move that has ended does not change, whatever is observed later.
func TestEndedMoveIsFinal(t *testing.T) {
	state := rollout.State{Order: 7, Target: "v2", Phase: rollout.Reverted}
	_, changed := rollout.Step(start.Add(time.Hour), order, state, rollout.Observed{Ready: true})
	require.False(t, changed)
}

// Guards against a version that is completed on the evidence of one gateway, as the gateway that
// decides has just taken over and the others have not reported to it.
func TestVersionIsNotDecidedOnPartialEvidence(t *testing.T) {
	running := rollout.Begin(start, order)
	for _, elapsed := range []time.Duration{17500 * time.Millisecond, 19500 * time.Millisecond} {
		observed := rollout.Observed{Ready: true, Since: start, Partial: true}
		state, changed := rollout.Step(start.Add(elapsed), order, running, observed)
		require.False(t, changed, "%s", state.Phase)
		observed.Partial = false
		state, changed = rollout.Step(start.Add(elapsed), order, running, observed)
		require.True(t, changed)
		require.Equal(t, rollout.Complete, state.Phase)
	}
}
