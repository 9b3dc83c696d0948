package board_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// A network fault that resets all connections of an engine at once must not count as one
// failure per stream. Otherwise the loss of about ten streams looks like ten consecutive
// failures, and callers are refused for two seconds while engines are idle.
func TestStreamsBrokenAtOnceCountAsOneFailure(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(2, 12))
	for i := range 20 {
		b.Submit(startTime, newSlotRequest(startTime, "gateway", "before"+strconv.Itoa(i)))
	}
	var broken []string
	for _, d := range b.Decisions() {
		if d.Upstream == "e0" {
			broken = append(broken, d.ID)
		}
	}
	require.NotEmpty(t, broken)
	resetAt := startTime.Add(500 * time.Millisecond)
	for _, id := range broken {
		b.Release(resetAt, "gateway", id, board.SlotResult{Outcome: board.Interrupted})
	}
	b.Submit(resetAt, newSlotRequest(resetAt, "gateway", "after"))
	decisions := b.Decisions()
	require.Len(t, decisions, 1)
	require.Equal(t, "e0", decisions[0].Upstream)
}

// An engine that breaks off every second answer is skipped while another engine is
// healthy: the failures are apart in time, so each of them counts.
func TestEngineThatKeepsBreakingStreamsIsSkipped(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(2, 12))
	now := startTime
	for i := range 10 {
		id := "r" + strconv.Itoa(i)
		a := newSlotRequest(now, "gateway", id)
		a.ExcludedUpstreams = []string{"e1"}
		b.Submit(now, a)
		now = now.Add(200 * time.Millisecond)
		end := board.SlotResult{Outcome: board.Interrupted}
		if i%2 == 0 {
			end.Outcome = board.Answered
		}
		b.Started(now, "gateway", id, -1)
		b.Release(now, "gateway", id, end)
	}
	b.Decisions()
	for i := range 6 {
		b.Submit(now, newSlotRequest(now, "gateway", "after"+strconv.Itoa(i)))
	}
	for _, d := range b.Decisions() {
		require.Equal(t, "e1", d.Upstream)
	}
}
