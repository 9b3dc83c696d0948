package board_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// Callers were refused beside engines that had half of their slots free. Each
// engine had kept one request without an answer, as faulty ones do with a part
// of what they get, and served all others; that one made it look dead.
func TestEngineThatServesOthersIsNotStalled(t *testing.T) {
	b := board.New()
	b.SetUpstreams(start, engines(1, 12))
	b.Ask(start, ask(start, "gateway", "hangs"))
	b.Ask(start, ask(start, "gateway", "served"))
	later := start.Add(900 * time.Millisecond)
	b.Started(later, "gateway", "served", -1)
	b.Verdicts()

	b.Ask(later, ask(later, "gateway", "new"))

	require.Equal(t, 1, granted(b.Verdicts()))
}

// An engine goes dark: it keeps its connections and answers nothing. What it is
// given more would be lost as well.
func TestEngineThatStartsNothingIsLeft(t *testing.T) {
	b := board.New()
	b.SetUpstreams(start, engines(2, 12))
	b.Ask(start, ask(start, "gateway", "first"))
	dark := b.Verdicts()[0].Upstream
	later := start.Add(900 * time.Millisecond)
	for _, id := range []string{"a", "b", "c", "d"} {
		b.Ask(later, ask(later, "gateway", id))
	}
	for _, v := range b.Verdicts() {
		require.NotEqual(t, dark, v.Upstream)
	}
}

// No engine of the service is in use when a request's due moment has passed. It
// waits for one as late requests do, and is not taken for one that can be in time.
func TestRequestIsLateWhereNoEngineIsInUse(t *testing.T) {
	b := board.New()
	a := ask(start, "gateway", "a")
	a.Due = start.Add(-time.Second)
	b.Ask(start, a)
	require.Zero(t, b.Stats(start).Waiting)
}
