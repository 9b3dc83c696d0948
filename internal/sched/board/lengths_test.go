package board_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// mustEnd returns a stream that must end by its deadline and states both lengths.
func mustEnd(now time.Time, id string, estimate, maximum int, remaining time.Duration) board.SlotRequest {
	req := newSlotRequest(now, "gateway", id)
	req.EstimatedTokens, req.OutputTokens, req.EndConstraint, req.Deadline = estimate, maximum, board.EndRequired, now.Add(remaining)
	return req
}

// Guards against streams that count as much engine time of their tier as their maximum would
// take, although the request states an estimate, too.
func TestEngineTimeOfAStreamThatMustEndIsThatOfItsEstimate(t *testing.T) {
	now := startTime.Add(time.Minute)
	for _, c := range []struct {
		estimate int
		first    string
	}{
		{60, "higher"},
		{2940, "lower"},
		// One length, from a gateway of an earlier build.
		{0, "lower"},
	} {
		b := newSlowScheduler(t)
		for n := range 8 {
			req := mustEnd(now, strconv.Itoa(n), c.estimate, 2940, time.Hour)
			b.Submit(now, req)
			require.Equal(t, 1, countGranted(b.Decisions()))
			b.Release(now, req.Owner, req.ID, board.SlotResult{Outcome: board.Canceled})
		}
		require.Equal(t, c.first, firstServed(b, now, 60, board.EndUnconstrained), "estimate %d", c.estimate)
	}
}

// Guards against the end of a stream that is planned by its estimate although it must end even if
// it is as long as it may be.
func TestRequiredEndIsPlannedByTheMaximum(t *testing.T) {
	now := startTime.Add(time.Minute)
	for _, maximum := range []int{60, 2940} {
		b := newSlowScheduler(t)
		b.Submit(now, mustEnd(now, "one", 12, maximum, 5800*time.Millisecond))
		require.Equal(t, maximum == 60, countGranted(b.Decisions()) == 1, "maximum %d", maximum)
	}
}
