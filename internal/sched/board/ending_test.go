package board_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

const (
	// slowStep is the time per token of the engines of the tests on ends, and slowSlowness
	// the slowness that it corresponds to.
	slowStep     = 16670 * time.Microsecond
	slowSlowness = 4.86
)

// newSlowScheduler returns a scheduler with one engine of two slots and known speed.
func newSlowScheduler(t *testing.T) *board.Scheduler {
	t.Helper()
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 2))
	for range 10 {
		learnSlowness(b, "e0", slowSlowness)
	}
	require.InDelta(t, slowSlowness, b.Speeds()[0].Slowness, 0.3)
	return b
}

// What the scheduler decides by what it is told of a stream that is cut off 5.8 s later:
// with EndPreferred 1.6 times the told length counts, with EndRequired the learned or
// initial margin on the time of the told length, and without a constraint the told length
// alone.
func TestSchedulerEndsStreamsByTheToldLengthAlone(t *testing.T) {
	const remaining = 5800 * time.Millisecond
	for _, c := range []struct {
		name       string
		told       int
		constraint board.EndConstraint
		granted    bool
	}{
		{"hint, preferred", 12, board.EndPreferred, true},
		{"hint, required", 12, board.EndRequired, true},
		{"twice the hint, required", 24, board.EndRequired, true},
		{"actual length, preferred", 360, board.EndPreferred, false},
		{"actual length, required", 360, board.EndRequired, false},
		{"actual length, unconstrained", 360, board.EndUnconstrained, false},
		{"half of the actual length, required", 180, board.EndRequired, true},
		{"two thirds of the actual length, required", 240, board.EndRequired, false},
		{"half of the actual length, preferred", 180, board.EndPreferred, true},
		{"longest length, preferred", 2940, board.EndPreferred, false},
		{"longest length, required", 2940, board.EndRequired, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newSlowScheduler(t)
			now := startTime.Add(time.Minute)
			req := newSlotRequest(now, "gateway", "one")
			req.OutputTokens, req.EndConstraint, req.Deadline, req.NextEventDue = c.told, c.constraint, now.Add(remaining), now.Add(2*time.Second)
			b.Submit(now, req)
			d := b.Decisions()
			require.Len(t, d, 1)
			t.Logf("decision %+v", d[0])
			require.Equal(t, c.granted, d[0].Upstream != "")
		})
	}
}

// Guards against a queued stream that is granted a slot when the rest of the time no
// longer suffices: the end is compared again at each grant, by the same told length.
func TestQueuedStreamIsGrantedOnlyWhileItsEndStillFits(t *testing.T) {
	for _, c := range []struct {
		name       string
		constraint board.EndConstraint
		told       int
		remaining  time.Duration
		granted    bool
	}{
		{"preferred, still fits", board.EndPreferred, 100, 3800 * time.Millisecond, true},
		{"preferred, no longer fits", board.EndPreferred, 100, 3200 * time.Millisecond, false},
		{"required, still fits", board.EndRequired, 100, 3800 * time.Millisecond, true},
		{"required, no longer fits", board.EndRequired, 100, 3200 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newSlowScheduler(t)
			now := startTime.Add(time.Minute)
			for _, id := range []string{"x", "y"} {
				b.Submit(now, newSlotRequest(now, "other", id))
				b.Started(now.Add(100*time.Millisecond), "other", id, -1)
			}
			b.Decisions()
			now = now.Add(time.Second)
			req := newSlotRequest(now, "gateway", "one")
			req.EventGapTarget, req.OutputTokens, req.EndConstraint = 0, c.told, c.constraint
			req.Deadline, req.NextEventDue = now.Add(c.remaining), now.Add(1100*time.Millisecond)
			b.Submit(now, req)
			require.True(t, b.Waiting(), "all slots are in use")
			b.Decisions()
			now = now.Add(700 * time.Millisecond)
			b.Release(now, "other", "x", board.SlotResult{Outcome: board.Canceled})
			require.Equal(t, c.granted, countGranted(b.Decisions()) == 1, "stream time %s", time.Duration(c.told)*slowStep)
		})
	}
}

// What the scheduler knows of streams that took longer than planned for their tokens, and of
// engines whose speed it has not learned, counts for EndRequired and not for EndPreferred.
// That a stream exceeded its told length counts for neither.
func TestLearnedOverrunCountsForRequiredEndsOnly(t *testing.T) {
	for _, c := range []struct {
		name string
		// overran is the number of tokens that a stream generated before in the time of
		// 360 tokens; it was told to generate 12.
		overran    int
		known      bool
		told       int
		constraint board.EndConstraint
		granted    bool
	}{
		{"no overrun seen, preferred", 0, true, 120, board.EndPreferred, true},
		{"no overrun seen, required", 0, true, 120, board.EndRequired, true},
		{"overrun seen, preferred", 90, true, 120, board.EndPreferred, true},
		{"overrun seen, required", 90, true, 120, board.EndRequired, false},
		{"told length exceeded, preferred", 360, true, 120, board.EndPreferred, true},
		{"told length exceeded, required", 360, true, 120, board.EndRequired, true},
		{"speed unknown, preferred", 0, false, 360, board.EndPreferred, true},
		{"speed unknown, required", 0, false, 360, board.EndRequired, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := board.New()
			b.SetUpstreams(startTime, newEngines(1, 2))
			if c.known {
				b = newSlowScheduler(t)
			}
			now := startTime.Add(time.Minute)
			if c.overran > 0 {
				req := newSlotRequest(now, "other", "overran")
				req.OutputTokens = 12
				b.Submit(now, req)
				b.Started(now.Add(100*time.Millisecond), "other", "overran", -1)
				now = now.Add(100*time.Millisecond + 360*slowStep)
				b.Release(now, "other", "overran", board.SlotResult{Outcome: board.Answered, StreamTime: 360 * slowStep, Tokens: c.overran})
				b.Decisions()
			}
			req := newSlotRequest(now, "gateway", "one")
			req.OutputTokens, req.EndConstraint = c.told, c.constraint
			req.Deadline, req.NextEventDue = now.Add(5800*time.Millisecond), now.Add(2*time.Second)
			b.Submit(now, req)
			require.Equal(t, c.granted, countGranted(b.Decisions()) == 1)
		})
	}
}
