package board_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// Guards against a new scheduler that takes all engines for ordinary ones and assigns a
// long answer to an engine a third as fast, where it is cut off at its deadline while fast
// engines are idle.
func TestNextSchedulerUsesLearnedSpeeds(t *testing.T) {
	long := newSlotRequest(startTime, "gateway", "long")
	long.OutputTokens = 1200
	previous := board.New()
	previous.SetUpstreams(startTime, newEngines(2, 12))
	learnSlowness(previous, "e0", 2.8)
	learnSlowness(previous, "e1", 0.55)

	next := board.New()
	next.RestoreSpeeds(previous.Speeds())
	next.SetUpstreams(startTime, newEngines(2, 12))
	next.Submit(startTime, long)
	require.Equal(t, "e1", next.Decisions()[0].Upstream)
}

// The speed of an engine does not apply to another one that replaces it under the same ID.
func TestSpeedIsDiscardedWhenEngineIsReplaced(t *testing.T) {
	b := board.New()
	b.RestoreSpeeds([]board.Speed{{ID: "e0", StartedAtMs: 1, Slowness: 2.8}})
	replaced := newEngines(1, 12)
	replaced[0].StartedAtMs = 2
	b.SetUpstreams(startTime, replaced)
	require.Empty(t, b.Speeds())
}

// learnSlowness makes the scheduler learn the engine's slowness from a stream of 100 tokens.
func learnSlowness(b *board.Scheduler, engine string, slowness float64) {
	a := newSlotRequest(startTime, "learner", engine)
	for _, other := range []string{"e0", "e1"} {
		if other != engine {
			a.ExcludedUpstreams = append(a.ExcludedUpstreams, other)
		}
	}
	const tokens, ordinaryStep = 100, 3.35
	took := time.Duration(tokens * ordinaryStep * slowness * float64(time.Millisecond))
	b.Submit(startTime, a)
	b.Started(startTime.Add(100*time.Millisecond), a.Owner, a.ID, -1)
	b.Release(startTime.Add(100*time.Millisecond+took), a.Owner, a.ID, board.SlotResult{Outcome: board.Answered, StreamTime: took, Tokens: tokens})
	b.Decisions()
}

// Guards against a wrong speed after a scheduler change while engines are full. If prompts
// that were prefilled long before count as prefilled beside the streams that end next, the
// engine seems twice as fast as it is, and a stream that must end before its gateway stops
// is cut off.
func TestAdoptedRunsAreNotUsedToLearnSpeed(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 12))
	b.RestoreSpeeds([]board.Speed{{ID: "e0", Slowness: 0.5}})
	stream := newSlotRequest(startTime, "gateway", "stream")
	b.Submit(startTime, stream)
	b.Started(startTime.Add(100*time.Millisecond), stream.Owner, stream.ID, -1)

	var held []board.HeldSlot
	for i := range 8 {
		held = append(held, board.HeldSlot{ID: "held" + strconv.Itoa(i), Upstream: "e0", PromptTokens: 6600, OutputTokens: 300, Started: true})
	}
	b.Reconcile(startTime.Add(200*time.Millisecond), "other", held)
	const tokens, step = 100, 3.27 + 0.0823*9
	took := time.Duration(tokens * step * 0.5 * float64(time.Millisecond))
	end := startTime.Add(100*time.Millisecond + took)
	b.Release(end, stream.Owner, stream.ID, board.SlotResult{Outcome: board.Answered, StreamTime: took, Tokens: tokens})
	for _, h := range held {
		b.Release(end, "other", h.ID, board.SlotResult{Outcome: board.Answered, StreamTime: took, Tokens: tokens})
	}

	require.InDelta(t, 0.5, b.Speeds()[0].Slowness, 0.05)
}
