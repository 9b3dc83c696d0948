package board_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// Guards against an engine that is filled anew while it runs what it had: its
// registration lapsed for a moment, and the board forgot its places.
func TestEngineThatReturnsKeepsItsPlaces(t *testing.T) {
	b := board.New()
	b.SetUpstreams(start, engines(1, 2))
	for i := range 2 {
		b.Ask(start, ask(start, "gateway", "old"+strconv.Itoa(i)))
	}
	require.Equal(t, 2, granted(b.Verdicts()))

	b.SetUpstreams(start.Add(100*time.Millisecond), nil)
	later := start.Add(200 * time.Millisecond)
	b.SetUpstreams(later, engines(1, 2))
	// The gateway still holds both, and says so.
	b.Sync(later, "gateway", []board.Held{
		{ID: "old0", Upstream: "e0", Prompt: 1000, Output: 100, Started: true},
		{ID: "old1", Upstream: "e0", Prompt: 1000, Output: 100, Started: true},
	})
	b.Ask(later, ask(later, "gateway", "new"))
	require.Zero(t, granted(b.Verdicts()))

	b.Ended(later, "gateway", "old0", board.End{Outcome: board.Answered})
	require.Equal(t, 1, granted(b.Verdicts()))
}

// Guards against places that stay taken for good: their gateway was gone while
// the registration of their engine had lapsed.
func TestPlacesOfAGatewayThatIsGoneEndOnAnEngineThatReturns(t *testing.T) {
	b := board.New()
	b.SetUpstreams(start, engines(1, 1))
	b.Ask(start, ask(start, "gone", "old"))
	b.SetUpstreams(start, nil)
	b.DropOwner(start, "gone")
	b.SetUpstreams(start, engines(1, 1))
	b.Verdicts()

	b.Ask(start, ask(start, "gateway", "new"))
	require.Equal(t, 1, granted(b.Verdicts()))
}
