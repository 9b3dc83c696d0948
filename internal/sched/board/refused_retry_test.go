package board_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// Guards against a caller whose stream a stopping gateway refuses, and whose retry at another
// gateway then waits behind streams that came later.
func TestRetryOfAStreamRefusedForAStopIsNotPutBehindOthers(t *testing.T) {
	b := newSlowScheduler(t)
	now := startTime.Add(time.Minute)
	for _, id := range []string{"x", "y"} {
		b.Submit(now, newSlotRequest(now, "other", id))
		b.Started(now, "other", id, -1)
	}
	stopped := newSlotRequest(now, "stopping", "first")
	stopped.OutputTokens, stopped.EndConstraint, stopped.Deadline, stopped.Fingerprint = 2940, board.EndRequired, now.Add(5*time.Second), 7
	b.Submit(now, stopped)
	b.Decisions()
	now = now.Add(10 * time.Millisecond)
	for i, id := range []string{"retry", "later"} {
		req := newSlotRequest(now, "other", id)
		req.EventGapTarget, req.Fingerprint, req.NextEventDue = 0, uint64(7+i), now.Add(time.Duration(600+i)*time.Millisecond)
		b.Submit(now, req)
	}
	b.Decisions()
	b.Release(now, "other", "x", board.SlotResult{Outcome: board.Canceled})
	d := b.Decisions()
	require.Len(t, d, 1)
	require.Equal(t, "retry", d[0].ID)
}
