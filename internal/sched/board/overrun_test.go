package board_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// A caller had half an answer: its gateway was to stop in three seconds, took
// the stream because its guessed length fitted, and cut it at the end. Guesses
// are off by factors, so the stream goes to an engine that would end three times
// as much, or to another gateway at once.
func TestStreamThatIsCutAtItsEndGoesWhereItSurelyEnds(t *testing.T) {
	b := board.New()
	b.SetUpstreams(start, engines(2, 12))
	learn(b, "e0", 1)
	learn(b, "e1", 0.3)
	now := start.Add(time.Second)

	fits := ask(now, "gateway", "fits")
	fits.Until, fits.Ending, fits.Output = now.Add(3*time.Second), board.EndSure, 200
	b.Ask(now, fits)
	require.Equal(t, "e1", b.Verdicts()[0].Upstream, "the ordinary engine may take longer")

	long := fits
	long.ID, long.Output = "long", 1000
	b.Ask(now, long)
	v := b.Verdicts()[0]
	require.Empty(t, v.Upstream)
	require.False(t, v.Waiting, "waiting would not make it shorter")
	require.LessOrEqual(t, v.RetryAfter, 10*time.Millisecond, "another gateway has the time")
}

// Nothing is known of an engine that just registered. A stream that must end in
// time does not go there.
func TestStreamThatMustEndAvoidsAnUnknownEngine(t *testing.T) {
	b := board.New()
	b.SetUpstreams(start, engines(1, 12))
	a := ask(start, "gateway", "a")
	a.Until, a.Ending, a.Output = start.Add(4*time.Second), board.EndSure, 200
	b.Ask(start, a)
	require.Empty(t, b.Verdicts()[0].Upstream)
}

// Streams of a service keep to their guesses, so later ones are planned with
// less room. One that outran its guess by far makes room again at once.
func TestRoomThatIsPlannedFollowsWhatWasSeen(t *testing.T) {
	b := board.New()
	b.SetUpstreams(start, engines(1, 12))
	now := start
	stream := func(id string, took time.Duration) {
		a := ask(now, "gateway", id)
		b.Ask(now, a)
		b.Started(now.Add(100*time.Millisecond), a.Owner, a.ID, -1)
		now = now.Add(100*time.Millisecond + took)
		b.Ended(now, a.Owner, a.ID, board.End{Outcome: board.Answered, Stream: took, Tokens: 100})
		b.Verdicts()
	}
	places := func() int {
		a := ask(now, "gateway", "sure"+now.String())
		a.Until, a.Ending = now.Add(2*time.Second), board.EndSure
		b.Ask(now, a)
		count := granted(b.Verdicts())
		b.Ended(now, a.Owner, a.ID, board.End{Outcome: board.Left})
		return count
	}
	for i := range 4000 {
		stream("kept"+strconv.Itoa(i), 400*time.Millisecond)
	}
	require.Equal(t, 1, places())
	stream("outran", 4*time.Second)
	require.Zero(t, places())
}

// Callers of long answers were refused beside free engines: with room for a
// guess that is too short, the answer fitted on the fastest engines only, and
// those were full. An engine that ends it in time by its guess takes it.
func TestLongAnswerTakesAFreeSlowerEngine(t *testing.T) {
	b := board.New()
	b.SetUpstreams(start, engines(1, 12))
	learn(b, "e0", 2)
	now := start.Add(time.Second)
	long := ask(now, "gateway", "long")
	long.Output = 1300
	b.Ask(now, long)
	require.Equal(t, "e0", b.Verdicts()[0].Upstream)
}

// One short stream that ends beside the reading of long prompts tells little of
// an engine's speed. Taken for what it seemed, the next streams would go to an
// engine that is no faster than the others.
func TestShortStreamsBesidePromptsTellLittle(t *testing.T) {
	b := board.New()
	b.SetUpstreams(start, engines(1, 12))
	for range 10 {
		learn(b, "e0", 1)
	}
	short := ask(start, "gateway", "short")
	b.Ask(start, short)
	b.Started(start.Add(100*time.Millisecond), short.Owner, short.ID, -1)
	for i := range 4 {
		reads := ask(start, "gateway", "reads"+strconv.Itoa(i))
		reads.Prompt, reads.MaxGap = 6000, 0
		b.Ask(start.Add(110*time.Millisecond), reads)
	}
	const took = 60 * time.Millisecond
	b.Ended(start.Add(160*time.Millisecond), short.Owner, short.ID, board.End{Outcome: board.Answered, Stream: took, Tokens: 18})
	require.InDelta(t, 1, b.Speeds()[0].Slowness, 0.1)
}
