package board_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// Guards against taking an engine for dead because it left one request without an answer,
// as faulty engines do with some of their requests, while it serves all others. Callers
// were refused although half of the slots were free.
func TestEngineThatServesOthersIsNotStalled(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 12))
	b.Submit(startTime, newSlotRequest(startTime, "gateway", "hangs"))
	b.Submit(startTime, newSlotRequest(startTime, "gateway", "served"))
	later := startTime.Add(900 * time.Millisecond)
	b.Started(later, "gateway", "served", -1)
	b.Decisions()

	b.Submit(later, newSlotRequest(later, "gateway", "new"))

	require.Equal(t, 1, countGranted(b.Decisions()))
}

// An engine that keeps its connections but sends nothing gets no more requests, which
// would be lost as well.
func TestEngineThatStartsNothingIsSkipped(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(2, 12))
	b.Submit(startTime, newSlotRequest(startTime, "gateway", "first"))
	stalled := b.Decisions()[0].Upstream
	later := startTime.Add(900 * time.Millisecond)
	for _, id := range []string{"a", "b", "c", "d"} {
		b.Submit(later, newSlotRequest(later, "gateway", id))
	}
	for _, d := range b.Decisions() {
		require.NotEqual(t, stalled, d.Upstream)
	}
}

// A request whose first-event deadline has passed goes to the late queue even if no engine
// of the service is available.
func TestOverdueRequestIsLateWithoutEngines(t *testing.T) {
	b := board.New()
	a := newSlotRequest(startTime, "gateway", "a")
	a.NextEventDue = startTime.Add(-time.Second)
	b.Submit(startTime, a)
	require.Zero(t, b.Stats(startTime).Waiting)
}
