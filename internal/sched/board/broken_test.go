package board_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// The network reset all open connections of some engines in one moment. Callers
// were refused for two seconds beside engines with nothing to do: each engine had
// lost some ten streams, which counted as ten failures in a row.
func TestStreamsThatBreakTogetherAreOneFailure(t *testing.T) {
	b := board.New()
	b.SetUpstreams(start, engines(2, 12))
	for i := range 20 {
		b.Ask(start, ask(start, "gateway", "before"+strconv.Itoa(i)))
	}
	var broken []string
	for _, v := range b.Verdicts() {
		if v.Upstream == "e0" {
			broken = append(broken, v.ID)
		}
	}
	require.NotEmpty(t, broken)
	reset := start.Add(500 * time.Millisecond)
	for _, id := range broken {
		b.Ended(reset, "gateway", id, board.End{Outcome: board.Broken})
	}
	b.Ask(reset, ask(reset, "gateway", "after"))
	verdicts := b.Verdicts()
	require.Len(t, verdicts, 1)
	require.Equal(t, "e0", verdicts[0].Upstream)
}

// An engine breaks off every second answer. They come one after the other, so
// each counts, and the engine is left while another one is sound.
func TestEngineThatKeepsBreakingOffIsLeft(t *testing.T) {
	b := board.New()
	b.SetUpstreams(start, engines(2, 12))
	now := start
	for i := range 10 {
		id := "r" + strconv.Itoa(i)
		a := ask(now, "gateway", id)
		a.Exclude = []string{"e1"}
		b.Ask(now, a)
		now = now.Add(200 * time.Millisecond)
		end := board.End{Outcome: board.Broken}
		if i%2 == 0 {
			end.Outcome = board.Answered
		}
		b.Started(now, "gateway", id, -1)
		b.Ended(now, "gateway", id, end)
	}
	b.Verdicts()
	for i := range 6 {
		b.Ask(now, ask(now, "gateway", "after"+strconv.Itoa(i)))
	}
	for _, v := range b.Verdicts() {
		require.Equal(t, "e1", v.Upstream)
	}
}
