package board_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// Guards against forgetting the runs of an engine whose registration lapses for a moment,
// and assigning it more requests than it has slots.
func TestRelistedEngineKeepsItsRuns(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 2))
	for i := range 2 {
		b.Submit(startTime, newSlotRequest(startTime, "gateway", "old"+strconv.Itoa(i)))
	}
	require.Equal(t, 2, countGranted(b.Decisions()))

	b.SetUpstreams(startTime.Add(100*time.Millisecond), nil)
	later := startTime.Add(200 * time.Millisecond)
	b.SetUpstreams(later, newEngines(1, 2))
	// The gateway reports that it still holds both slots.
	b.Reconcile(later, "gateway", []board.HeldSlot{
		{ID: "old0", Upstream: "e0", PromptTokens: 1000, OutputTokens: 100, Started: true},
		{ID: "old1", Upstream: "e0", PromptTokens: 1000, OutputTokens: 100, Started: true},
	})
	b.Submit(later, newSlotRequest(later, "gateway", "new"))
	require.Zero(t, countGranted(b.Decisions()))

	b.Release(later, "gateway", "old0", board.SlotResult{Outcome: board.Answered})
	require.Equal(t, 1, countGranted(b.Decisions()))
}

// Guards against slots that stay in use permanently when their gateway goes down while the
// registration of their engine has lapsed.
func TestRunsOfADroppedGatewayEndOnARelistedEngine(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 1))
	b.Submit(startTime, newSlotRequest(startTime, "gone", "old"))
	b.SetUpstreams(startTime, nil)
	b.DropOwner(startTime, "gone")
	b.SetUpstreams(startTime, newEngines(1, 1))
	b.Decisions()

	b.Submit(startTime, newSlotRequest(startTime, "gateway", "new"))
	require.Equal(t, 1, countGranted(b.Decisions()))
}

// Guards against callers who can still be served in time and are refused because one whose
// answer is late already goes before them, of whatever tier.
func TestReturnedCallersGoAfterThoseWhoCanBeInTime(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 1))
	b.Submit(startTime, newSlotRequest(startTime, "gateway", "running"))
	returned := newSlotRequest(startTime, "gateway", "returned")
	returned.Tier, returned.Fingerprint, returned.NextEventDue = 0, 7, startTime.Add(time.Millisecond)
	b.Submit(startTime, returned)
	b.Decisions()

	later := startTime.Add(100 * time.Millisecond)
	returned.Number, returned.NextEventDue = 2, later.Add(600*time.Millisecond)
	b.Submit(later, returned)
	first := newSlotRequest(later, "gateway", "first")
	first.Tier = 2
	b.Submit(later, first)
	b.Decisions()
	b.Release(later, "gateway", "running", board.SlotResult{Outcome: board.Canceled})
	decisions := b.Decisions()
	require.Equal(t, 1, countGranted(decisions))
	require.Equal(t, "first", decisions[0].ID)
}
