package rollout_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
	"github.com/persimmonridge/persimmonridge/internal/version/evidence"
	"github.com/persimmonridge/persimmonridge/internal/version/rollout"
)

// placed is a placement at an upstream, and the picker that returns it.
type placed struct{ upstream roster.Upstream }

func (p placed) Pick(context.Context, time.Time, flow.PlacementRequest) (flow.Placement, error) {
	return p, nil
}
func (p placed) Upstream() roster.Upstream          { return p.upstream }
func (placed) ReportLoad(time.Time, exchange.Load)  {}
func (placed) AnswerStarted(time.Time)              {}
func (placed) Release(time.Time, flow.Outcome, int) {}
func (p placed) picker() *rollout.Picker {
	picker := rollout.NewPicker(p)
	picker.SetState("s", rollout.State{Order: 7, Target: "v2", Phase: rollout.Running, Share: 1})
	return picker
}

func pick(t *testing.T, picker *rollout.Picker) flow.Placement {
	t.Helper()
	// The request waited for its slot.
	placement, err := picker.Pick(t.Context(), start.Add(-5*time.Second), flow.PlacementRequest{Service: "s", ID: "r", Route: &catalog.Route{Name: "long"}})
	require.NoError(t, err)
	placement.(flow.RunObserver).RunBegan(start)
	return placement
}

// requireSamples checks the samples that a scheduler gets, without their numbers.
func requireSamples(t *testing.T, picker *rollout.Picker, now time.Time, want ...evidence.Sample) {
	t.Helper()
	var got []evidence.Sample
	for _, sample := range picker.Reports(now, "scheduler")["s"].Samples {
		got = append(got, sample.Sample)
	}
	require.Equal(t, want, got)
}

func sample(measure evidence.Measure, took time.Duration, atLeast bool) evidence.Sample {
	return evidence.Sample{Measure: measure, Route: "long", Upstream: "u", Bucket: evidence.Bucket(took), AtLeast: atLeast}
}

var target = placed{roster.Upstream{ID: "u", Version: "v2"}}

// Guards against a slow version of which nothing is known until its long runs have ended.
func TestSpeedOfARunIsKnownBeforeItsEnd(t *testing.T) {
	picker := target.picker()
	placement := pick(t, picker)
	placement.AnswerStarted(start.Add(100 * time.Millisecond))
	first := sample(evidence.FirstEvent, 100*time.Millisecond, false)
	requireSamples(t, picker, start.Add(time.Second), first)
	for number := 2; number <= 20; number++ {
		placement.(flow.RunObserver).EventArrived(start.Add(100*time.Millisecond+time.Duration(number-1)*50*time.Millisecond), number)
	}
	requireSamples(t, picker, start.Add(time.Second), first, sample(evidence.EventPause, 50*time.Millisecond, false))
}

// Guards against a version whose runs hang, or whose callers leave before an answer, that counts
// as one without runs.
func TestRunsThatDoNotGetThereCount(t *testing.T) {
	hanging := sample(evidence.FirstEvent, time.Second, true)
	picker := target.picker()
	waiting := pick(t, picker)
	requireSamples(t, picker, start.Add(900*time.Millisecond))
	requireSamples(t, picker, start.Add(1100*time.Millisecond), hanging)
	waiting.AnswerStarted(start.Add(2 * time.Second))
	waiting.Release(start.Add(3*time.Second), flow.Canceled, 0)
	requireSamples(t, picker, start.Add(3*time.Second), hanging)

	picker = target.picker()
	pick(t, picker).Release(start.Add(600*time.Millisecond), flow.Canceled, 0)
	requireSamples(t, picker, start.Add(time.Second), sample(evidence.FirstEvent, 600*time.Millisecond, true))

	picker = target.picker()
	begun := pick(t, picker)
	begun.AnswerStarted(start.Add(100 * time.Millisecond))
	requireSamples(t, picker, start.Add(3200*time.Millisecond),
		sample(evidence.FirstEvent, 100*time.Millisecond, false), sample(evidence.EventPause, time.Second, true))
}

// Guards against a sound version that is taken for slow because its upstreams have just started.
func TestRunsOfUpstreamsThatWarmUpDoNotCount(t *testing.T) {
	warming := target
	warming.upstream.WarmUpRemaining = time.Second
	picker := warming.picker()
	placement := pick(t, picker)
	placement.AnswerStarted(start.Add(time.Second))
	placement.Release(start.Add(2*time.Second), flow.Answered, 0)
	requireSamples(t, picker, start.Add(3*time.Second))
}

// Guards against evidence that is lost with a scheduler or a message.
func TestSamplesAreToldAgain(t *testing.T) {
	picker := target.picker()
	placement := pick(t, picker)
	placement.AnswerStarted(start.Add(100 * time.Millisecond))
	placement.Release(start.Add(200*time.Millisecond), flow.Answered, 0)
	count := func(after time.Duration, scheduler string) int {
		return len(picker.Reports(start.Add(after), scheduler)["s"].Samples)
	}
	require.Equal(t, 1, count(time.Second, "one"))
	require.Equal(t, 1, count(1200*time.Millisecond, "one"))
	require.Zero(t, count(10*time.Second, "one"))
	require.Equal(t, 1, count(10*time.Second, "two"))

	report := picker.Reports(start.Add(11*time.Second), "three")["s"]
	usual := rollout.Baseline{Measure: evidence.FirstEvent, Route: "long"}
	usual.Runs[evidence.Bucket(100*time.Millisecond)] = 100
	report.Baselines = []rollout.Baseline{usual}
	judge := rollout.NewJudge(7)
	for range 3 {
		judge.AddReport(start, "gateway", report)
	}
	require.Equal(t, 1, judge.Judge(start.Add(time.Minute), 1).Slowness.Runs)
}
