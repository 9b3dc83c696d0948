package load_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/sched/load"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

var (
	start = time.Unix(1_000_000, 0)
	one   = roster.Process{ID: "one", StartedAtMs: 1}
)

func sample(p roster.Process, at time.Time, running int, pace float64) load.Sample {
	return load.Sample{Process: p, Load: exchange.Load{Running: running, Slots: 6, Pace: pace}, At: at}
}

// Guards against a sample that is sent back to the gateway that reported it, sent twice, or
// passed on by a gateway that only heard it.
func TestSamplePassesOnceToEachOtherGateway(t *testing.T) {
	a, b, scheduler := load.New("a"), load.New("b"), load.New("s")
	a.Received(sample(one, start, 3, 2), true)
	report, due := a.Report(start)
	require.True(t, due)
	require.Len(t, report, 1)
	_, due = a.Report(start.Add(load.ReportInterval))
	require.False(t, due)
	scheduler.Reported(start, "a", report)
	require.Empty(t, scheduler.Answer(start, "a"))
	answer := scheduler.Answer(start, "b")
	require.Equal(t, report, answer)
	require.Empty(t, scheduler.Answer(start.Add(time.Second), "b"))
	b.Answered(start, answer)
	view, known := b.View(start, one)
	require.True(t, known)
	require.Equal(t, 3, view.Load.Running)
	_, due = b.Report(start.Add(load.ReportInterval))
	require.False(t, due)
	require.Empty(t, b.Answer(start.Add(time.Second), "s"))
}

// Guards against answers to answers without pause when two gateways disagree about the
// scheduler.
func TestAnswersToOnePeerAreBounded(t *testing.T) {
	scheduler := load.New("s")
	answers := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		scheduler.Reported(now, "a", []load.Sample{sample(one, now, i, 1)})
		if len(scheduler.Answer(now, "b")) > 0 {
			answers++
		}
	}
	require.LessOrEqual(t, answers, 20)
	require.GreaterOrEqual(t, answers, 10)
}

// Guards against messages for services that report no pace, and against engines' samples that
// are reported.
func TestNothingIsReportedWithoutPace(t *testing.T) {
	table := load.New("a")
	table.Received(sample(one, start, 3, 0), true)
	_, known := table.View(start, one)
	require.False(t, known)
	_, due := table.Report(start.Add(time.Minute))
	require.False(t, due)
	table.Received(sample(one, start, 3, 2), false)
	_, due = table.Report(start)
	require.False(t, due)
	require.Empty(t, table.Answer(start, "b"))
	require.True(t, table.Known(start, one))
}

// Guards against a gateway with requests that hears nothing because it has nothing to report,
// and against reports of one without requests.
func TestEmptyReportAsksForSamples(t *testing.T) {
	table := load.New("a")
	due := 0
	for i := range 200 {
		now := start.Add(time.Duration(i) * load.ReportInterval)
		if i < 50 {
			table.Used(now)
		}
		if _, sends := table.Report(now); sends {
			due++
		}
	}
	// Requests end after 5 s, and count for MaxAge.
	require.InDelta(t, 15, due, 2)
}

// Guards against samples of a former process, older samples and samples that are too old.
func TestOnlyNewestSampleOfTheProcessCounts(t *testing.T) {
	table := load.New("a")
	restarted := roster.Process{ID: "one", StartedAtMs: 2}
	table.Reported(start, "b", []load.Sample{sample(one, start, 30, 9)})
	require.False(t, table.Known(start, restarted))
	table.Received(sample(restarted, start, 1, 1), true)
	table.Reported(start, "b", []load.Sample{sample(one, start.Add(-time.Millisecond), 20, 5)})
	view, _ := table.View(start, restarted)
	require.Equal(t, 1, view.Load.Running)
	view, _ = table.View(start, one)
	require.Equal(t, 30, view.Load.Running)
	table.Reported(start, "b", []load.Sample{sample(roster.Process{ID: "two"}, start.Add(-load.MaxAge), 1, 2)})
	require.False(t, table.Known(start, roster.Process{ID: "two"}))
	now := start.Add(load.MaxAge)
	require.False(t, table.Known(now, one))
	view, known := table.View(now, one)
	require.False(t, known)
	require.Equal(t, 1.0, view.Pace)
	table.Expire(now)
	known1, _ := table.Shared(1.5)
	require.Zero(t, known1)
	require.Empty(t, table.Answer(now, "c"))
}

// Guards against figures of peers that cannot be true.
func TestAbsurdSamplesAreDropped(t *testing.T) {
	table := load.New("a")
	for _, s := range []load.Sample{
		sample(one, start, math.MaxInt32, 1), sample(one, start, -1, 1), sample(one, start, 1, 1e6),
		sample(one, start, 1, math.NaN()), sample(one, start, 1, 0.01), sample(one, start, 1, -1),
	} {
		table.Reported(start, "b", []load.Sample{s})
		require.False(t, table.Known(start, one), "%+v", s)
	}
	table.Reported(start, "b", []load.Sample{sample(one, start.Add(time.Hour), 1, 2)})
	view, known := table.View(start, one)
	require.True(t, known)
	require.Equal(t, start, view.At)
	for i := range 10_000 {
		table.Reported(start, "b", []load.Sample{sample(roster.Process{ID: fmt.Sprint(i)}, start, 1, 2)})
	}
	known2, _ := table.Shared(1.5)
	require.LessOrEqual(t, known2, 8192)
}

// Guards against an upstream that leaves its pace out of some responses: their counts are
// used, and its pace decays.
func TestSampleWithoutPaceUpdatesTheCounts(t *testing.T) {
	table := load.New("a")
	table.Received(sample(one, start, 3, 4), true)
	now := start.Add(time.Second)
	table.Received(sample(one, now, 5, 0), true)
	view, known := table.View(now, one)
	require.True(t, known)
	require.Equal(t, 5, view.Load.Running)
	require.Less(t, view.Pace, 2.0)
	report, _ := table.Report(now)
	require.Len(t, report, 1)
}
