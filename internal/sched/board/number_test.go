package board_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

func newOneSlotScheduler(now time.Time) *board.Scheduler {
	b := board.New()
	b.SetUpstreams(now, []board.Upstream{{ID: "e0", Service: "tutor", Domain: "a", Slots: 1, TokensPerEvent: 6}})
	return b
}

func newNumberedRequest(now time.Time, id string, number uint64) board.SlotRequest {
	return board.SlotRequest{
		Owner: "gateway", ID: id, Number: number, Service: "tutor", Domain: "a",
		NextEventDue: now.Add(600 * time.Millisecond), Deadline: now.Add(15 * time.Second), PromptTokens: 1000, OutputTokens: 100,
	}
}

// Guards against a delayed release that ends a newer slot of the same request.
func TestReleaseEndsOnlyTheNumberedSlot(t *testing.T) {
	now := time.Now()
	b := newOneSlotScheduler(now)
	b.Submit(now, newNumberedRequest(now, "one", 2))
	b.Release(now, "gateway", "one", board.SlotResult{Outcome: board.Canceled, Number: 1})
	b.Submit(now, newNumberedRequest(now, "two", 3))
	grants := 0
	for _, d := range b.Decisions() {
		if d.Upstream != "" {
			grants++
			require.Equal(t, uint64(2), d.Number)
		}
	}
	require.Equal(t, 1, grants)
	b.Release(now, "gateway", "one", board.SlotResult{Outcome: board.Answered, Number: 2})
	decisions := b.Decisions()
	require.Len(t, decisions, 1)
	require.Equal(t, "e0", decisions[0].Upstream)
	require.Equal(t, uint64(3), decisions[0].Number)
}

// Guards against a withdrawal that removes a later slot request of the same request.
func TestWithdrawalKeepsLaterSlotRequest(t *testing.T) {
	now := time.Now()
	b := newOneSlotScheduler(now)
	b.Submit(now, newNumberedRequest(now, "runs", 1))
	b.Submit(now, newNumberedRequest(now, "waits", 3))
	b.Decisions()
	b.Release(now, "gateway", "waits", board.SlotResult{Outcome: board.Canceled, Number: 2})
	require.True(t, b.Waiting())
	b.Release(now, "gateway", "waits", board.SlotResult{Outcome: board.Canceled, Number: 3})
	require.False(t, b.Waiting())
}

// Guards against an abandoned grant that hides the slot which the request holds on another
// engine.
func TestHeldSlotReplacesAbandonedGrant(t *testing.T) {
	now := time.Now()
	b := board.New()
	b.SetUpstreams(now, []board.Upstream{
		{ID: "e0", Service: "tutor", Domain: "a", Slots: 1, TokensPerEvent: 6},
		{ID: "e1", Service: "tutor", Domain: "a", Slots: 1, TokensPerEvent: 6},
	})
	b.Submit(now, newNumberedRequest(now, "one", 1))
	granted := b.Decisions()[0].Upstream
	other := map[string]string{"e0": "e1", "e1": "e0"}[granted]
	b.Reconcile(now, "gateway", []board.HeldSlot{{ID: "one", Number: 2, Upstream: other, PromptTokens: 1000, OutputTokens: 100, Started: true}})
	b.Submit(now, newNumberedRequest(now, "two", 3))
	decisions := b.Decisions()
	require.Len(t, decisions, 1)
	require.Equal(t, granted, decisions[0].Upstream)
}

// Guards against a delayed slot request, from a connection that was replaced, that ends
// the slot which the request has been granted since.
func TestDelayedSlotRequestKeepsNewerSlot(t *testing.T) {
	now := time.Now()
	b := newOneSlotScheduler(now)
	b.Reconcile(now, "gateway", []board.HeldSlot{{ID: "one", Number: 2, Upstream: "e0", PromptTokens: 1000, OutputTokens: 100}})
	b.Submit(now, newNumberedRequest(now, "one", 1))
	b.Release(now, "gateway", "one", board.SlotResult{Outcome: board.Canceled, Number: 1})
	b.Submit(now, newNumberedRequest(now, "two", 3))
	for _, d := range b.Decisions() {
		require.Empty(t, d.Upstream, "the engine's slot is in use")
	}
	b.Reconcile(now, "gateway", []board.HeldSlot{{ID: "one", Number: 1, Upstream: "e0", PromptTokens: 1000, OutputTokens: 100}})
	b.Release(now, "gateway", "one", board.SlotResult{Outcome: board.Answered, Number: 2})
	decisions := b.Decisions()
	require.Len(t, decisions, 1)
	require.Equal(t, uint64(3), decisions[0].Number)
}
