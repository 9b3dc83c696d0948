package board_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// Answers to long prompts were late though the engine was idle when they were
// placed: its make reads prompts half as fast as its decoding tells, and each
// was expected to begin 100 ms before it did. What some first events tell of one
// engine is known of the service's other engines too.
func TestSlowReadingIsLearnedForAllEnginesOfAService(t *testing.T) {
	b := board.New()
	b.SetUpstreams(start, engines(2, 12))
	learn(b, "e0", 1)
	learn(b, "e1", 1)
	// So many run that a place goes to those only that can be in time.
	var busy []board.Held
	for i := range 9 {
		busy = append(busy, board.Held{ID: "busy" + strconv.Itoa(i), Upstream: "e1", Output: 100, Started: true})
	}
	b.Sync(start, "other", busy)
	now := start
	place := func(engine, id string, due time.Duration) bool {
		now = now.Add(time.Second)
		a := ask(now, "gateway", id)
		a.Prompt, a.Due, a.MaxGap = 12_000, now.Add(due), 0
		if engine == "e0" {
			a.Exclude = []string{"e1"}
		} else {
			a.Exclude = []string{"e0"}
		}
		b.Ask(now, a)
		placed := granted(b.Verdicts()) == 1
		if placed {
			b.Started(now.Add(360*time.Millisecond), a.Owner, a.ID, -1)
		}
		b.Ended(now.Add(400*time.Millisecond), a.Owner, a.ID, board.End{Outcome: board.Left})
		b.Verdicts()
		return placed
	}
	require.True(t, place("e1", "hopeful", 300*time.Millisecond))
	for i := range 30 {
		place("e0", strconv.Itoa(i), 5*time.Second)
	}
	require.False(t, place("e1", "late", 300*time.Millisecond), "it could not be in time")
	require.True(t, place("e1", "in-time", 500*time.Millisecond))
}

// One first event is seconds late, because a link lost packets. The service's
// engines are not taken for slow by it.
func TestOneLateFirstEventTellsLittle(t *testing.T) {
	b := board.New()
	b.SetUpstreams(start, engines(1, 12))
	learn(b, "e0", 1)
	now := start.Add(time.Second)
	for i := range 40 {
		a := ask(now, "gateway", strconv.Itoa(i))
		b.Ask(now, a)
		took := 80 * time.Millisecond
		if i == 39 {
			took = 4 * time.Second
		}
		b.Started(now.Add(took), a.Owner, a.ID, -1)
		now = now.Add(took)
		b.Ended(now, a.Owner, a.ID, board.End{Outcome: board.Left})
		b.Verdicts()
	}
	a := ask(now, "gateway", "after")
	a.Due = now.Add(130 * time.Millisecond)
	b.Ask(now, a)
	require.Equal(t, 1, granted(b.Verdicts()))
}
