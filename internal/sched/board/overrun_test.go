package board_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// Guards against a stream that is cut off because its gateway stops. One that must end
// goes to an engine that surely ends all that it may generate, or is refused at once.
func TestStreamThatMustEndGoesToAnEngineThatSurelyEndsIt(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(2, 12))
	learnSlowness(b, "e0", 1)
	learnSlowness(b, "e1", 0.3)
	now := startTime.Add(time.Second)

	fits := newSlotRequest(now, "gateway", "fits")
	fits.Deadline, fits.EndConstraint, fits.OutputTokens = now.Add(3*time.Second), board.EndRequired, 450
	b.Submit(now, fits)
	require.Equal(t, "e1", b.Decisions()[0].Upstream, "the ordinary engine may take longer")

	long := fits
	long.ID, long.OutputTokens = "long", 1800
	b.Submit(now, long)
	d := b.Decisions()[0]
	require.Empty(t, d.Upstream)
	require.False(t, d.Waiting, "waiting would not make it shorter")
	require.LessOrEqual(t, d.RetryAfter, 10*time.Millisecond, "another gateway has enough time")
}

// A stream that must end in time does not go to a newly registered engine whose speed is
// unknown.
func TestStreamThatMustEndAvoidsEngineOfUnknownSpeed(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 12))
	a := newSlotRequest(startTime, "gateway", "a")
	a.Deadline, a.EndConstraint, a.OutputTokens = startTime.Add(4*time.Second), board.EndRequired, 200
	b.Submit(startTime, a)
	require.Empty(t, b.Decisions()[0].Upstream)
}

// While streams take no longer than planned, the planned margin decreases. One that takes
// far longer restores it at once.
func TestPlannedMarginFollowsObservedOverruns(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 12))
	now := startTime
	runStream := func(id string, took time.Duration) {
		a := newSlotRequest(now, "gateway", id)
		b.Submit(now, a)
		b.Started(now.Add(100*time.Millisecond), a.Owner, a.ID, -1)
		now = now.Add(100*time.Millisecond + took)
		b.Release(now, a.Owner, a.ID, board.SlotResult{Outcome: board.Answered, StreamTime: took, Tokens: 100})
		b.Decisions()
	}
	countSureGrants := func() int {
		a := newSlotRequest(now, "gateway", "sure"+now.String())
		a.Deadline, a.EndConstraint = now.Add(2*time.Second), board.EndRequired
		b.Submit(now, a)
		count := countGranted(b.Decisions())
		b.Release(now, a.Owner, a.ID, board.SlotResult{Outcome: board.Canceled})
		return count
	}
	for i := range 4000 {
		runStream("kept"+strconv.Itoa(i), 400*time.Millisecond)
	}
	require.Equal(t, 1, countSureGrants())
	runStream("overran", 4*time.Second)
	require.Zero(t, countSureGrants())
}

// Guards against refusing long answers while engines are free. With a margin for wrong
// length estimates, a long answer would fit on the fastest engines only, and those were
// full. A free engine that ends it in time by the plain estimate takes it.
func TestLongAnswerIsAssignedToFreeSlowerEngine(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 12))
	learnSlowness(b, "e0", 2)
	now := startTime.Add(time.Second)
	long := newSlotRequest(now, "gateway", "long")
	long.OutputTokens = 1300
	b.Submit(now, long)
	require.Equal(t, "e0", b.Decisions()[0].Upstream)
}

// A short stream that runs while long prompts are prefilled says little about an engine's
// speed. Taken at face value, it would send the next streams to an engine that is no
// faster than the others.
func TestShortStreamsDuringPrefillHaveLittleWeight(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 12))
	for range 10 {
		learnSlowness(b, "e0", 1)
	}
	short := newSlotRequest(startTime, "gateway", "short")
	b.Submit(startTime, short)
	b.Started(startTime.Add(100*time.Millisecond), short.Owner, short.ID, -1)
	for i := range 4 {
		prefill := newSlotRequest(startTime, "gateway", "prefill"+strconv.Itoa(i))
		prefill.PromptTokens, prefill.EventGapTarget = 6000, 0
		b.Submit(startTime.Add(110*time.Millisecond), prefill)
	}
	const took = 60 * time.Millisecond
	b.Release(startTime.Add(160*time.Millisecond), short.Owner, short.ID, board.SlotResult{Outcome: board.Answered, StreamTime: took, Tokens: 18})
	require.InDelta(t, 1, b.Speeds()[0].Slowness, 0.1)
}
