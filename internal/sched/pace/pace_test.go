package pace_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/pace"
)

var start = time.Unix(1_000_000, 0)

func TestUpstreamWithoutStatementsIsAsUsual(t *testing.T) {
	var e pace.Estimate
	require.False(t, e.Known())
	require.Equal(t, []float64{1, 1, 0}, []float64{e.At(start), e.Mean(), e.Excess(start.Add(time.Hour))})
}

// Guards against a stale statement that is taken for the present: an upstream that was slow
// once would get nothing until it is asked again, and one that was fast would get too much.
func TestStaleStatementBecomesTheMean(t *testing.T) {
	var e pace.Estimate
	now := start
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		e.Stated(now, 1)
	}
	e.Stated(now.Add(time.Millisecond), 3)
	require.InDelta(t, 3, e.At(now.Add(time.Millisecond)), 0.01)
	require.Less(t, e.At(now.Add(time.Second)), 1.3)
	require.InDelta(t, e.Mean(), e.At(now.Add(time.Minute)), 0.001)
}

// Guards against figures that cannot be true, that come late, or that alternate, and move
// the estimate beyond what was stated.
func TestEstimateStaysWithinStatements(t *testing.T) {
	var e pace.Estimate
	now := start
	for i := range 1000 {
		now = now.Add(time.Duration(1+i%7) * time.Millisecond)
		e.Stated(now, []float64{1, 2.5, math.NaN(), math.Inf(1), 0, -3, 1.5}[i%7])
		e.Stated(now.Add(-time.Second), 90)
		for _, at := range []time.Duration{0, time.Millisecond, time.Second, time.Hour} {
			require.GreaterOrEqual(t, e.At(now.Add(at)), 1.0)
			require.LessOrEqual(t, e.At(now.Add(at)), 2.5)
		}
	}
	// Of 28 ms the upstream stated 1 for 2 ms, 2.5 for 25 ms and 1.5 for 1 ms. The time
	// before its first statement counts as a second of the usual pace.
	const stated, before, seconds = (1*2 + 2.5*25 + 1.5*1) / 28, 1.0, 4.0
	require.InDelta(t, (before+stated*seconds)/(1+seconds), e.Mean(), 0.02)
}

func TestExcessIsTheIntegralOfThePace(t *testing.T) {
	var e pace.Estimate
	now := start
	e.Stated(now, 2)
	from, sum := e.Excess(now), 0.0
	const step = time.Millisecond
	for i := range 3000 {
		if i%50 == 0 && i > 0 {
			e.Stated(now, 1+float64(i%100)/50)
		}
		sum += (e.At(now) - 1) * step.Seconds()
		now = now.Add(step)
	}
	require.InDelta(t, sum, e.Excess(now)-from, 0.01*sum)
}
