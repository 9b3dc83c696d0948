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

// Guards against refusing a stream that should end in time because its estimate counts as longer
// than it can be.
func TestPreferredEndIsNotPlannedBeyondTheMaximum(t *testing.T) {
	const remaining = 5800 * time.Millisecond
	now := startTime.Add(time.Minute)
	for _, c := range []struct {
		estimate, maximum int
		granted           bool
	}{
		{240, 0, false}, // from a gateway of an earlier build
		{240, 240, true},
		{240, 300, true},
		{240, 360, false},
		{240, 2940, false},
		{360, 360, false},
		{180, 180, true},
		{180, 2940, true},
	} {
		b := newSlowScheduler(t)
		req := newSlotRequest(now, "gateway", "one")
		req.OutputTokens, req.MaxTokens, req.EndConstraint, req.Deadline = c.estimate, c.maximum, board.EndPreferred, now.Add(remaining)
		b.Submit(now, req)
		require.Equal(t, c.granted, countGranted(b.Decisions()) == 1, "estimate %d, maximum %d", c.estimate, c.maximum)
	}
}

// Guards against a maximum that counts where the length alone decided.
func TestMaximumCountsForPreferredEndsOnly(t *testing.T) {
	now := startTime.Add(time.Minute)
	for _, end := range []board.EndConstraint{board.EndUnconstrained, board.EndRequired} {
		b := newSlowScheduler(t)
		req := newSlotRequest(now, "gateway", "one")
		req.OutputTokens, req.MaxTokens, req.EndConstraint, req.Deadline = 360, 12, end, now.Add(5800*time.Millisecond)
		b.Submit(now, req)
		require.Zero(t, countGranted(b.Decisions()))
	}
}
