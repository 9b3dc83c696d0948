package board_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

func newOneSlotScheduler(now time.Time) *board.Board {
	b := board.New()
	b.SetUpstreams(now, []board.Upstream{{ID: "e0", Service: "tutor", Domain: "a", Slots: 1, EventTokens: 6}})
	return b
}

func newNumberedRequest(now time.Time, id string, number uint64) board.Ask {
	return board.Ask{
		Owner: "gateway", ID: id, Number: number, Service: "tutor", Domain: "a",
		Due: now.Add(600 * time.Millisecond), Until: now.Add(15 * time.Second), Prompt: 1000, Output: 100,
	}
}

// Guards against a delayed release that ends a newer slot of the same request.
func TestReleaseEndsOnlyTheNumberedSlot(t *testing.T) {
	now := time.Now()
	b := newOneSlotScheduler(now)
	b.Ask(now, newNumberedRequest(now, "one", 2))
	b.Ended(now, "gateway", "one", board.End{Outcome: board.Left, Number: 1})
	b.Ask(now, newNumberedRequest(now, "two", 3))
	grants := 0
	for _, v := range b.Verdicts() {
		if v.Upstream != "" {
			grants++
			require.Equal(t, uint64(2), v.Number)
		}
	}
	require.Equal(t, 1, grants)
	b.Ended(now, "gateway", "one", board.End{Outcome: board.Answered, Number: 2})
	decisions := b.Verdicts()
	require.Len(t, decisions, 1)
	require.Equal(t, "e0", decisions[0].Upstream)
	require.Equal(t, uint64(3), decisions[0].Number)
}

// Guards against a withdrawal that removes a later slot request of the same request.
func TestWithdrawalKeepsLaterSlotRequest(t *testing.T) {
	now := time.Now()
	b := newOneSlotScheduler(now)
	b.Ask(now, newNumberedRequest(now, "runs", 1))
	b.Ask(now, newNumberedRequest(now, "waits", 3))
	b.Verdicts()
	b.Ended(now, "gateway", "waits", board.End{Outcome: board.Left, Number: 2})
	require.True(t, b.Waiting())
	b.Ended(now, "gateway", "waits", board.End{Outcome: board.Left, Number: 3})
	require.False(t, b.Waiting())
}

// Guards against an abandoned grant that hides the slot which the request holds on another
// engine.
func TestHeldSlotReplacesAbandonedGrant(t *testing.T) {
	now := time.Now()
	b := board.New()
	b.SetUpstreams(now, []board.Upstream{
		{ID: "e0", Service: "tutor", Domain: "a", Slots: 1, EventTokens: 6},
		{ID: "e1", Service: "tutor", Domain: "a", Slots: 1, EventTokens: 6},
	})
	b.Ask(now, newNumberedRequest(now, "one", 1))
	granted := b.Verdicts()[0].Upstream
	other := map[string]string{"e0": "e1", "e1": "e0"}[granted]
	b.Reconcile(now, "gateway", []board.HeldSlot{{ID: "one", Number: 2, Upstream: other, Prompt: 1000, Output: 100, Started: true}})
	b.Ask(now, newNumberedRequest(now, "two", 3))
	decisions := b.Verdicts()
	require.Len(t, decisions, 1)
	require.Equal(t, granted, decisions[0].Upstream)
}

// Guards against a delayed slot request, from a connection that was replaced, that ends
// the slot which the request has been granted since.
func TestDelayedSlotRequestKeepsNewerSlot(t *testing.T) {
	now := time.Now()
	b := newOneSlotScheduler(now)
	b.Reconcile(now, "gateway", []board.HeldSlot{{ID: "one", Number: 2, Upstream: "e0", Prompt: 1000, Output: 100}})
	b.Ask(now, newNumberedRequest(now, "one", 1))
	b.Ended(now, "gateway", "one", board.End{Outcome: board.Left, Number: 1})
	b.Ask(now, newNumberedRequest(now, "two", 3))
	for _, v := range b.Verdicts() {
		require.Empty(t, v.Upstream, "the engine's slot is in use")
	}
	b.Reconcile(now, "gateway", []board.HeldSlot{{ID: "one", Number: 1, Upstream: "e0", Prompt: 1000, Output: 100}})
	b.Ended(now, "gateway", "one", board.End{Outcome: board.Answered, Number: 2})
	decisions := b.Verdicts()
	require.Len(t, decisions, 1)
	require.Equal(t, uint64(3), decisions[0].Number)
}
