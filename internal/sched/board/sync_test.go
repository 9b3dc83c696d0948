package board_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

var startTime = time.Unix(1_000_000, 0)

func newEngines(count, slots int) []board.Upstream {
	var all []board.Upstream
	for i := range count {
		all = append(all, board.Upstream{ID: "e" + strconv.Itoa(i), Service: "tutor", Domain: "a", Slots: slots, TokensPerEvent: 6})
	}
	return all
}

func newSlotRequest(now time.Time, owner, id string) board.SlotRequest {
	return board.SlotRequest{
		Owner: owner, ID: id, Service: "tutor", Domain: "a", NextEventDue: now.Add(600 * time.Millisecond),
		Deadline: now.Add(15 * time.Second), PromptTokens: 1000, OutputTokens: 100, EventGapTarget: 250 * time.Millisecond,
	}
}

func countGranted(decisions []board.Decision) int {
	n := 0
	for _, d := range decisions {
		if d.Upstream != "" {
			n++
		}
	}
	return n
}

// Guards against refusing callers while all engines are idle, which went on for ten
// seconds after all gateways were killed at once. A gateway was the scheduler for 100 ms
// before another took over, and the slots that it had granted were released to the other
// one. When it became the scheduler again, each engine seemed to have a run whose first
// event was seconds overdue.
func TestSlotsReleasedToAnotherSchedulerAreRemoved(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(3, 12))
	for i := range 9 {
		b.Submit(startTime, newSlotRequest(startTime, "gateway", "old"+strconv.Itoa(i)))
	}
	require.Equal(t, 9, countGranted(b.Decisions()))

	later := startTime.Add(5 * time.Second)
	b.Reconcile(later, "gateway", nil)
	b.Submit(later, newSlotRequest(later, "gateway", "new"))

	require.Equal(t, 1, countGranted(b.Decisions()))
}

// A slot granted a moment ago is missing from a list that its gateway sent before it
// received the grant. It must still count, or the engine gets more requests than it has
// slots.
func TestFreshGrantSurvivesAnOlderReport(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 1))
	b.Submit(startTime, newSlotRequest(startTime, "gateway", "first"))
	b.Reconcile(startTime.Add(10*time.Millisecond), "gateway", nil)
	b.Submit(startTime.Add(20*time.Millisecond), newSlotRequest(startTime, "gateway", "second"))

	require.Equal(t, 1, countGranted(b.Decisions()))
}

// A new scheduler does not know the slots granted by the previous one until the gateways
// report them. Without the reports it would assign requests to full engines.
func TestSlotsGrantedByAnotherSchedulerCount(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 1))
	b.Reconcile(startTime, "gateway", []board.HeldSlot{{ID: "first", Upstream: "e0", PromptTokens: 1000, OutputTokens: 100, Started: true}})
	b.Submit(startTime, newSlotRequest(startTime, "other", "second"))

	require.Zero(t, countGranted(b.Decisions()))
}

// A request that its gateway submits again has lost its former slot, even if the release
// was sent to another scheduler.
func TestRepeatedSlotRequestReleasesFormerSlot(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 1))
	b.Submit(startTime, newSlotRequest(startTime, "gateway", "same"))
	b.Submit(startTime, newSlotRequest(startTime, "gateway", "same"))

	require.Equal(t, 2, countGranted(b.Decisions()))
}

// Guards against a slot that stays in use, and counts for its workspace, because a report of it
// arrives after the gateway's next slot request for the same generation request. They may come
// on different connections.
func TestGrantReplacesASlotReportedAfterItsSlotRequest(t *testing.T) {
	for _, engines := range [][]board.Upstream{newEngines(2, 1), newEngines(1, 2)} {
		b := board.New()
		b.SetUpstreams(startTime, engines)
		for _, id := range []string{"x", "y"} {
			b.Submit(startTime, newWorkspaceRequest(startTime, id, "w", 0))
			b.Started(startTime, "gateway", id, -1)
		}
		moved := newWorkspaceRequest(startTime, "moved", "w", 1)
		moved.Number = 2
		b.Submit(startTime, moved)
		b.Decisions()
		reported := board.HeldSlot{ID: "moved", Number: 1, Upstream: "e0", Workspace: "w", Started: true}
		b.Reconcile(startTime, "gateway", []board.HeldSlot{{ID: "x", Upstream: "e0"}, {ID: "y", Upstream: engines[len(engines)-1].ID}, reported})

		now := startTime.Add(100 * time.Millisecond)
		b.Release(now, "gateway", "x", board.SlotResult{Outcome: board.Canceled})
		b.Release(now, "gateway", "y", board.SlotResult{Outcome: board.Canceled})
		require.Equal(t, 1, countGranted(b.Decisions()))
		b.Release(now, "gateway", "moved", board.SlotResult{Outcome: board.Canceled, Number: 2})
		require.Zero(t, b.Stats(now).Running, "%d engines", len(engines))

		for _, id := range []string{"x2", "y2", "waits"} {
			b.Submit(now, newWorkspaceRequest(now, id, "w", 2))
		}
		require.Equal(t, "w:1/2", b.Stats(now).Workspaces, "%d engines", len(engines))
	}
}
