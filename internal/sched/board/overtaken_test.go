package board_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// Guards against a slot that no gateway holds: the repeated copy of a slot request comes on
// another connection after the first copy has ended, was withdrawn, or was given up unseen.
func TestRepeatedSlotRequestAfterItsEndGetsNothing(t *testing.T) {
	for name, firstComes := range map[string]bool{"after the first copy": true, "first copy lost": false} {
		for _, outcome := range []board.Outcome{board.Canceled, board.Answered} {
			t.Run(name, func(t *testing.T) {
				now := time.Unix(1_000_000, 0)
				b := newOneSlotScheduler(now)
				req := newNumberedRequest(now, "one", 1)
				if firstComes {
					b.Submit(now, req)
				}
				b.Release(now, "gateway", "one", board.SlotResult{Outcome: outcome, Number: 1})
				b.Decisions()
				now = now.Add(200 * time.Millisecond)
				req.Repeated = true
				b.Submit(now, req)
				require.Empty(t, b.Decisions())
				require.Zero(t, b.Stats(now).Running)
				require.False(t, b.Waiting())
			})
		}
	}
}

// Guards against a withdrawn slot request whose repeated copy waits: it would take the next
// slot from one that is needed.
func TestRepeatedSlotRequestAfterItsWithdrawalDoesNotWait(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := newOneSlotScheduler(now)
	b.Submit(now, newNumberedRequest(now, "runs", 1))
	req := newNumberedRequest(now, "withdrawn", 2)
	b.Submit(now, req)
	b.Release(now, "gateway", "withdrawn", board.SlotResult{Outcome: board.Canceled, Number: 2})
	req.Repeated = true
	b.Submit(now, req)
	require.False(t, b.Waiting())
}

// Guards against a request that loses its turn because the repeated copy of an earlier slot
// request of it comes late.
func TestRepeatedSlotRequestKeepsLaterOneThatWaits(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := newOneSlotScheduler(now)
	b.Submit(now, newNumberedRequest(now, "runs", 1))
	b.Submit(now, newNumberedRequest(now, "waits", 3))
	b.Decisions()
	earlier := newNumberedRequest(now, "waits", 2)
	earlier.Repeated = true
	b.Submit(now, earlier)
	require.Empty(t, b.Decisions())
	b.Release(now, "gateway", "runs", board.SlotResult{Outcome: board.Answered, Number: 1})
	decisions := b.Decisions()
	require.Len(t, decisions, 1)
	require.Equal(t, uint64(3), decisions[0].Number)
}

// Guards against a request that waits again, without a gateway that waits for it, because its
// repeated copy comes after all waiting requests of its service were refused.
func TestRepeatedSlotRequestAfterTheRefusalOfAllDoesNotWait(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := newOneSlotScheduler(now)
	b.Submit(now, newNumberedRequest(now, "runs", 1))
	req := newNumberedRequest(now, "waits", 2)
	b.Submit(now, req)
	b.RefuseWaiting(now, func(string, []string) bool { return true }, 2*time.Second, "evacuated")
	b.Decisions()
	req.Repeated = true
	b.Submit(now, req)
	require.False(t, b.Waiting())
	decisions := b.Decisions()
	require.Len(t, decisions, 1)
	require.Equal(t, "evacuated", decisions[0].Reason)
	require.Equal(t, 2*time.Second, decisions[0].RetryAfter)
}
