package board_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// Guards against a request that gets a place on an engine that is gone: the end
// of a run there made room, which a waiting request was given.
func TestEngineThatIsGoneGetsNothing(t *testing.T) {
	b := board.New()
	b.SetUpstreams(start, engines(2, 1))
	for i := range 2 {
		b.Ask(start, ask(start, "gateway", "old"+strconv.Itoa(i)))
	}
	verdicts := b.Verdicts()
	require.Equal(t, 2, granted(verdicts))
	b.Ask(start, ask(start, "gateway", "new"))

	b.SetUpstreams(start, engines(1, 1))
	for _, v := range verdicts {
		if v.Upstream == "e1" {
			b.Ended(start, "gateway", v.ID, board.End{Outcome: board.Answered})
		}
	}
	require.Zero(t, granted(b.Verdicts()))
}
