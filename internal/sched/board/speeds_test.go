package board_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// A long critique was cut at its deadline, though fast engines were idle. The
// gateway that scheduled had just taken over, took all engines for ordinary
// ones, and sent it to one that is a third as fast.
func TestNextSchedulerKnowsWhatWasLearned(t *testing.T) {
	long := ask(start, "gateway", "long")
	long.Output = 1200
	before := board.New()
	before.SetUpstreams(start, engines(2, 12))
	learn(before, "e0", 2.8)
	learn(before, "e1", 0.55)

	next := board.New()
	next.Recall(before.Speeds())
	next.SetUpstreams(start, engines(2, 12))
	next.Ask(start, long)
	require.Equal(t, "e1", next.Verdicts()[0].Upstream)
}

// An engine was replaced under its id. What was known of the one before says
// nothing of it.
func TestSpeedsEndWithTheEngine(t *testing.T) {
	b := board.New()
	b.Recall([]board.Speed{{ID: "e0", Born: 1, Slowness: 2.8}})
	replaced := engines(1, 12)
	replaced[0].Born = 2
	b.SetUpstreams(start, replaced)
	require.Empty(t, b.Speeds())
}

// learn lets a stream of 100 tokens show the engine's slowness.
func learn(b *board.Board, engine string, slowness float64) {
	a := ask(start, "learner", engine)
	for _, other := range []string{"e0", "e1"} {
		if other != engine {
			a.Exclude = append(a.Exclude, other)
		}
	}
	const tokens, ordinaryStep = 100, 3.35
	took := time.Duration(tokens * ordinaryStep * slowness * float64(time.Millisecond))
	b.Ask(start, a)
	b.Started(start.Add(100*time.Millisecond), a.Owner, a.ID, -1)
	b.Ended(start.Add(100*time.Millisecond+took), a.Owner, a.ID, board.End{Outcome: board.Answered, Stream: took, Tokens: tokens})
	b.Verdicts()
}

// A gateway took over as scheduler while engines were full. Prompts that had
// been read long before were counted as read beside the streams that ended next,
// the engine seemed twice as fast as it is, and a stream that was to be over
// before its gateway's end was cut.
func TestPlacesOfAnotherSchedulerTellNoSpeed(t *testing.T) {
	b := board.New()
	b.SetUpstreams(start, engines(1, 12))
	b.Recall([]board.Speed{{ID: "e0", Slowness: 0.5}})
	stream := ask(start, "gateway", "stream")
	b.Ask(start, stream)
	b.Started(start.Add(100*time.Millisecond), stream.Owner, stream.ID, -1)

	var held []board.Held
	for i := range 8 {
		held = append(held, board.Held{ID: "held" + strconv.Itoa(i), Upstream: "e0", Prompt: 6600, Output: 300, Started: true})
	}
	b.Sync(start.Add(200*time.Millisecond), "other", held)
	const tokens, step = 100, 3.27 + 0.0823*9
	took := time.Duration(tokens * step * 0.5 * float64(time.Millisecond))
	end := start.Add(100*time.Millisecond + took)
	b.Ended(end, stream.Owner, stream.ID, board.End{Outcome: board.Answered, Stream: took, Tokens: tokens})
	for _, h := range held {
		b.Ended(end, "other", h.ID, board.End{Outcome: board.Answered, Stream: took, Tokens: tokens})
	}

	require.InDelta(t, 0.5, b.Speeds()[0].Slowness, 0.05)
}
