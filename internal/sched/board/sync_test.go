package board_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

var start = time.Unix(1_000_000, 0)

func engines(count, slots int) []board.Upstream {
	var all []board.Upstream
	for i := range count {
		all = append(all, board.Upstream{ID: "e" + strconv.Itoa(i), Service: "tutor", Domain: "a", Slots: slots, EventTokens: 6})
	}
	return all
}

func ask(now time.Time, owner, id string) board.Ask {
	return board.Ask{
		Owner: owner, ID: id, Service: "tutor", Domain: "a", Due: now.Add(600 * time.Millisecond),
		Until: now.Add(15 * time.Second), Prompt: 1000, Output: 100, MaxGap: 250 * time.Millisecond,
	}
}

func granted(verdicts []board.Verdict) int {
	n := 0
	for _, v := range verdicts {
		if v.Upstream != "" {
			n++
		}
	}
	return n
}

// Callers were refused for ten seconds while all engines were idle. After all
// gateways were killed at once, one of them scheduled for 100 ms before another
// took over; the places that it had granted were given back to the other. When
// it scheduled again, each engine seemed to have a request whose first event
// was seconds overdue, and got nothing more.
func TestPlacesGivenBackElsewhereAreForgotten(t *testing.T) {
	b := board.New()
	b.SetUpstreams(start, engines(3, 12))
	for i := range 9 {
		b.Ask(start, ask(start, "gateway", "old"+strconv.Itoa(i)))
	}
	require.Equal(t, 9, granted(b.Verdicts()))

	later := start.Add(5 * time.Second)
	b.Sync(later, "gateway", nil)
	b.Ask(later, ask(later, "gateway", "new"))

	require.Equal(t, 1, granted(b.Verdicts()))
}

// A place that a scheduler granted a moment ago is not yet in the list that its
// gateway sent before it heard of the grant. It must stay counted, or the
// engine gets more than it has slots for.
func TestFreshGrantsOutliveAnOlderList(t *testing.T) {
	b := board.New()
	b.SetUpstreams(start, engines(1, 1))
	b.Ask(start, ask(start, "gateway", "first"))
	b.Sync(start.Add(10*time.Millisecond), "gateway", nil)
	b.Ask(start.Add(20*time.Millisecond), ask(start, "gateway", "second"))

	require.Equal(t, 1, granted(b.Verdicts()))
}

// A new scheduler knows nothing of what the one before granted. Until the
// gateways tell it, it would fill engines that are full.
func TestPlacesOfAnotherSchedulerCount(t *testing.T) {
	b := board.New()
	b.SetUpstreams(start, engines(1, 1))
	b.Sync(start, "gateway", []board.Held{{ID: "first", Upstream: "e0", Prompt: 1000, Output: 100, Started: true}})
	b.Ask(start, ask(start, "other", "second"))

	require.Zero(t, granted(b.Verdicts()))
}

// A request that is asked for again by its gateway has lost its former place,
// even if the message that gave it back went to another scheduler.
func TestAskingAgainEndsTheFormerPlace(t *testing.T) {
	b := board.New()
	b.SetUpstreams(start, engines(1, 1))
	b.Ask(start, ask(start, "gateway", "same"))
	b.Ask(start, ask(start, "gateway", "same"))

	require.Equal(t, 2, granted(b.Verdicts()))
}
