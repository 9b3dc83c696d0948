package board_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// Guards against grants on an engine whose address another one has. Each of them costs its
// request one of the upstreams that it may be sent to, until the registration is removed.
func TestEngineWhoseAddressAnotherOneHasGetsNoMoreRequests(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 12))
	b.Submit(startTime, newSlotRequest(startTime, "gateway", "first"))
	require.Equal(t, 1, countGranted(b.Decisions()))
	b.Release(startTime, "gateway", "first", board.SlotResult{Outcome: board.Misdirected})

	later := startTime.Add(4 * time.Second)
	b.Submit(later, newSlotRequest(later, "gateway", "second"))
	require.Zero(t, countGranted(b.Decisions()))

	restarted := newEngines(1, 12)
	restarted[0].StartedAtMs = 2
	b.SetUpstreams(later, restarted)
	b.Submit(later, newSlotRequest(later, "gateway", "third"))
	require.Positive(t, countGranted(b.Decisions()), "a new registration is a new engine")
}
