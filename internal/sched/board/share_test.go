package board_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// endTier grants requests of a tier one after another on an idle engine.
func endTier(b *board.Scheduler, now time.Time, tier, output int, end board.EndConstraint) {
	for n := range 8 {
		req := newSlotRequest(now, "other", strconv.Itoa(tier)+"-"+strconv.Itoa(n))
		req.Tier, req.OutputTokens, req.EndConstraint = tier, output, end
		req.Deadline = now.Add(time.Hour)
		b.Submit(now, req)
		b.Release(now, req.Owner, req.ID, board.SlotResult{Outcome: board.Canceled})
	}
	b.Decisions()
}

// firstServed returns which of two requests of the two tiers that wait gets a slot first, after
// as many streams of each, and refusals of the lower one. Those of the higher one were planned
// with the given length and end.
func firstServed(b *board.Scheduler, now time.Time, output int, end board.EndConstraint) string {
	const lower, late = 1, 20
	endTier(b, now, 0, output, end)
	endTier(b, now, lower, 60, board.EndUnconstrained)
	for _, id := range []string{"x", "y"} {
		b.Submit(now, newSlotRequest(now, "other", id))
		b.Started(now, "other", id, -1)
	}
	for n := range late {
		req := newSlotRequest(now, "other", "late"+strconv.Itoa(n))
		req.Tier, req.NextEventDue = lower, now.Add(-time.Second)
		b.Submit(now, req)
	}
	for n := range late {
		b.Release(now, "other", "late"+strconv.Itoa(n), board.SlotResult{Outcome: board.Canceled})
	}
	for tier, id := range []string{"higher", "lower"} {
		req := newSlotRequest(now, "other", id)
		req.Tier, req.OutputTokens, req.EventGapTarget = tier, 60, 0
		b.Submit(now, req)
	}
	b.Decisions()
	b.Release(now, "other", "x", board.SlotResult{Outcome: board.Canceled})
	for _, d := range b.Decisions() {
		if d.Upstream != "" {
			return d.ID
		}
	}
	return ""
}

// Guards against a lower tier that goes before a higher one because streams of the higher one
// are planned by their maximum in a stop, as if they took the engines that long.
func TestMaximumOfAStreamThatMustEndIsNotCountedAsEngineTime(t *testing.T) {
	now := startTime.Add(time.Minute)
	require.Equal(t, "higher", firstServed(newSlowScheduler(t), now, 60, board.EndUnconstrained), "planned by the estimate")
	require.Equal(t, "higher", firstServed(newSlowScheduler(t), now, 2940, board.EndRequired), "planned by the maximum")
}
