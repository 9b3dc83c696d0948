package board_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// Guards against assigning a waiting request to an unlisted engine when one of its runs
// ends and frees a slot.
func TestUnlistedEngineIsAssignedNothing(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(2, 1))
	for i := range 2 {
		b.Submit(startTime, newSlotRequest(startTime, "gateway", "old"+strconv.Itoa(i)))
	}
	decisions := b.Decisions()
	require.Equal(t, 2, countGranted(decisions))
	b.Submit(startTime, newSlotRequest(startTime, "gateway", "new"))

	b.SetUpstreams(startTime, newEngines(1, 1))
	for _, d := range decisions {
		if d.Upstream == "e1" {
			b.Release(startTime, "gateway", d.ID, board.SlotResult{Outcome: board.Answered})
		}
	}
	require.Zero(t, countGranted(b.Decisions()))
}
