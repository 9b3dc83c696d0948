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
// initial margin, and without a constraint the told length alone. None of them is told the
// most that a stream may generate unless that is the told length.
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
		{"a fifth of the actual length, required", 72, board.EndRequired, false},
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
		{"required, still fits", board.EndRequired, 12, 3800 * time.Millisecond, true},
		{"required, no longer fits", board.EndRequired, 12, 2800 * time.Millisecond, false},
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

// What the scheduler knows of streams that exceeded their told length, and of engines
// whose speed it has not learned, counts for EndRequired and not for EndPreferred.
func TestLearnedOverrunCountsForRequiredEndsOnly(t *testing.T) {
	for _, c := range []struct {
		name       string
		overran    bool
		known      bool
		told       int
		constraint board.EndConstraint
		granted    bool
	}{
		{"no overrun seen, preferred", false, true, 12, board.EndPreferred, true},
		{"no overrun seen, required", false, true, 12, board.EndRequired, true},
		{"overrun seen, preferred", true, true, 12, board.EndPreferred, true},
		{"overrun seen, required", true, true, 12, board.EndRequired, false},
		{"speed unknown, preferred", false, false, 360, board.EndPreferred, true},
		{"speed unknown, required", false, false, 360, board.EndRequired, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := board.New()
			b.SetUpstreams(startTime, newEngines(1, 2))
			if c.known {
				b = newSlowScheduler(t)
			}
			now := startTime.Add(time.Minute)
			if c.overran {
				req := newSlotRequest(now, "other", "overran")
				req.OutputTokens = 12
				b.Submit(now, req)
				b.Started(now.Add(100*time.Millisecond), "other", "overran", -1)
				now = now.Add(100*time.Millisecond + 360*slowStep)
				b.Release(now, "other", "overran", board.SlotResult{Outcome: board.Answered, StreamTime: 360 * slowStep, Tokens: 360})
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
