package board_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

func oneSlot(now time.Time) *board.Board {
	b := board.New()
	b.SetUpstreams(now, []board.Upstream{{ID: "e0", Service: "tutor", Domain: "a", Slots: 1, EventTokens: 6}})
	return b
}

func numbered(now time.Time, id string, number uint64) board.Ask {
	return board.Ask{
		Owner: "gateway", ID: id, Number: number, Service: "tutor", Domain: "a",
		Due: now.Add(600 * time.Millisecond), Until: now.Add(15 * time.Second), Prompt: 1000, Output: 100,
	}
}

// Guards against a late return that ends the place which its request has meanwhile.
func TestReturnEndsOnlyThePlaceThatItNames(t *testing.T) {
	now := time.Now()
	b := oneSlot(now)
	b.Ask(now, numbered(now, "one", 2))
	b.Ended(now, "gateway", "one", board.End{Outcome: board.Left, Number: 1})
	b.Ask(now, numbered(now, "two", 3))
	granted := 0
	for _, v := range b.Verdicts() {
		if v.Upstream != "" {
			granted++
			require.Equal(t, uint64(2), v.Number)
		}
	}
	require.Equal(t, 1, granted)
	b.Ended(now, "gateway", "one", board.End{Outcome: board.Answered, Number: 2})
	verdicts := b.Verdicts()
	require.Len(t, verdicts, 1)
	require.Equal(t, "e0", verdicts[0].Upstream)
	require.Equal(t, uint64(3), verdicts[0].Number)
}

// Guards against a withdrawn ask that takes a later one of its request along.
func TestWithdrawalLeavesALaterAskOfTheRequest(t *testing.T) {
	now := time.Now()
	b := oneSlot(now)
	b.Ask(now, numbered(now, "runs", 1))
	b.Ask(now, numbered(now, "waits", 3))
	b.Verdicts()
	b.Ended(now, "gateway", "waits", board.End{Outcome: board.Left, Number: 2})
	require.True(t, b.Waiting())
	b.Ended(now, "gateway", "waits", board.End{Outcome: board.Left, Number: 3})
	require.False(t, b.Waiting())
}

// Guards against a grant that its gateway gave up and that hides the place which
// the request has at another engine.
func TestHeldPlaceReplacesAGrantThatWasGivenUp(t *testing.T) {
	now := time.Now()
	b := board.New()
	b.SetUpstreams(now, []board.Upstream{
		{ID: "e0", Service: "tutor", Domain: "a", Slots: 1, EventTokens: 6},
		{ID: "e1", Service: "tutor", Domain: "a", Slots: 1, EventTokens: 6},
	})
	b.Ask(now, numbered(now, "one", 1))
	given := b.Verdicts()[0].Upstream
	other := map[string]string{"e0": "e1", "e1": "e0"}[given]
	b.Sync(now, "gateway", []board.Held{{ID: "one", Number: 2, Upstream: other, Prompt: 1000, Output: 100, Started: true}})
	b.Ask(now, numbered(now, "two", 3))
	verdicts := b.Verdicts()
	require.Len(t, verdicts, 1)
	require.Equal(t, given, verdicts[0].Upstream)
}

// Guards against an ask that comes late, by a link that was replaced, and ends the
// place that its request has meanwhile.
func TestLateAskLeavesTheLaterPlace(t *testing.T) {
	now := time.Now()
	b := oneSlot(now)
	b.Sync(now, "gateway", []board.Held{{ID: "one", Number: 2, Upstream: "e0", Prompt: 1000, Output: 100}})
	b.Ask(now, numbered(now, "one", 1))
	b.Ended(now, "gateway", "one", board.End{Outcome: board.Left, Number: 1})
	b.Ask(now, numbered(now, "two", 3))
	for _, v := range b.Verdicts() {
		require.Empty(t, v.Upstream, "the engine's slot is in use")
	}
	b.Sync(now, "gateway", []board.Held{{ID: "one", Number: 1, Upstream: "e0", Prompt: 1000, Output: 100}})
	b.Ended(now, "gateway", "one", board.End{Outcome: board.Answered, Number: 2})
	verdicts := b.Verdicts()
	require.Len(t, verdicts, 1)
	require.Equal(t, uint64(3), verdicts[0].Number)
}
