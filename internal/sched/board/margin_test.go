package board_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// ended is a number of streams that ended alike: the tokens that the scheduler was told,
// those that were generated, and by what factor they took longer than on an engine of the
// known speed.
type ended struct {
	count, told, real int
	stretch           float64
	outcome           board.Outcome
}

// runEnded runs the streams one after another, and returns a time after the end of the last.
func runEnded(b *board.Scheduler, now time.Time, all []ended) time.Time {
	n := 0
	for _, streams := range all {
		for range streams.count {
			n++
			req := newSlotRequest(now, "other", strconv.Itoa(n))
			req.OutputTokens, req.Deadline = streams.told, now.Add(time.Hour)
			b.Submit(now, req)
			b.Started(now.Add(100*time.Millisecond), req.Owner, req.ID, -1)
			took := time.Duration(max(1, streams.stretch) * float64(time.Duration(streams.real)*slowStep))
			now = now.Add(100*time.Millisecond + took)
			b.Release(now, req.Owner, req.ID, board.SlotResult{Outcome: streams.outcome, StreamTime: took, Tokens: streams.real})
			b.Decisions()
		}
	}
	return now.Add(time.Minute)
}

// learnedOverrun returns the overrun that a scheduler has learned from the streams.
func learnedOverrun(t *testing.T, streams ...ended) float64 {
	b := newSlowScheduler(t)
	runEnded(b, startTime.Add(time.Minute), streams)
	return b.LearnedState().Services[0].Overrun
}

// timeForRequiredEnd returns the shortest time before its deadline in which a stream of the
// told length that must end gets a slot on the idle engine.
func timeForRequiredEnd(b *board.Scheduler, now time.Time, told int) time.Duration {
	refused, granted := time.Duration(0), time.Hour
	for granted-refused > time.Millisecond {
		middle := (refused + granted) / 2
		req := newSlotRequest(now, "gateway", "probe")
		req.OutputTokens, req.EndConstraint, req.Deadline = told, board.EndRequired, now.Add(middle)
		b.Submit(now, req)
		if countGranted(b.Decisions()) == 1 {
			granted = middle
		} else {
			refused = middle
		}
		b.Release(now, req.Owner, req.ID, board.SlotResult{Outcome: board.Canceled})
		b.Decisions()
	}
	return granted
}

// Guards against a margin of required ends that follows how wrong estimates of lengths are.
func TestMarginDoesNotDependOnTheToldLength(t *testing.T) {
	for _, real := range []int{18, 54, 360} {
		asTold := learnedOverrun(t, ended{count: 40, told: real, real: real})
		for _, told := range []int{6, 12, 120, 2940} {
			require.InDelta(t, asTold, learnedOverrun(t, ended{count: 40, told: told, real: real}), 0.001, "%d tokens, told %d", real, told)
		}
	}
}

// Guards against a margin of required ends that does not follow how long generated tokens take.
func TestMarginFollowsTheTimeOfGeneratedTokens(t *testing.T) {
	const initial, settled = 1.25, 1.0
	manyShort, manyLong := ended{count: 3300, told: 18, real: 18}, ended{count: 1000, told: 360, real: 360}
	require.InDelta(t, initial, learnedOverrun(t, ended{count: 1, told: 360, real: 360}), 0.01)
	require.InDelta(t, initial, learnedOverrun(t, ended{count: 32, told: 18, real: 18}), 0.02)
	require.InDelta(t, settled, learnedOverrun(t, manyLong), 0.01)
	slow := learnedOverrun(t, manyLong, ended{count: 1, told: 360, real: 360, stretch: 4})
	require.InDelta(t, 4, slow, 0.5, "a stream that took four times as long")
	require.InDelta(t, settled, learnedOverrun(t, manyLong, ended{count: 1, told: 360, real: 360, stretch: 4, outcome: board.Canceled}), 0.01)
	require.InDelta(t, slow, learnedOverrun(t, manyLong, ended{count: 1, told: 360, real: 360, stretch: 4}, ended{count: 32, told: 18, real: 18}), 0.1)
	require.Less(t, learnedOverrun(t, manyShort), initial)
}

// Guards against an end that is planned with another margin than the learned one, times 1.2.
func TestTimeForARequiredEndIsTheMarginTimesTheToldLength(t *testing.T) {
	const fixed, firstEvent = 250 * time.Millisecond, 115 * time.Millisecond
	for _, c := range []struct {
		streams []ended
		margin  float64
	}{
		{[]ended{{count: 1000, told: 360, real: 360}}, 1.2 * 1.0},
		{nil, 1.2 * 1.25},
		{[]ended{{count: 1, told: 12, real: 360}}, 1.2 * 1.25},
	} {
		b := newSlowScheduler(t)
		now := runEnded(b, startTime.Add(time.Minute), c.streams)
		for _, told := range []int{6, 18, 60, 360} {
			planned := time.Duration(c.margin*float64(time.Duration(told)*slowStep+fixed)) + firstEvent
			require.InEpsilon(t, planned.Seconds(), timeForRequiredEnd(b, now, told).Seconds(), 0.05, "told %d, margin %.2f", told, c.margin)
		}
	}
}

// Guards against a pause in one short stream that counts as if all long streams took many times
// as long.
func TestPauseInAShortStreamDoesNotMultiplyTheMargin(t *testing.T) {
	// 18 tokens of 300 ms that took 2.1 s.
	paused := ended{count: 1, told: 18, real: 18, stretch: 7}
	require.Less(t, learnedOverrun(t, ended{count: 1000, told: 360, real: 360}, paused), 1.5)
}
