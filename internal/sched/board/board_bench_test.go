package board_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// BenchmarkDecision places and ends requests on a full fleet of 600 engines of
// eight slots, with 500 waiting; each end gives its place to one that waits.
func BenchmarkDecision(b *testing.B) {
	const count, slots, waiting = 600, 8, 500
	board := full(count, slots, waiting)
	now := start.Add(time.Second)
	for i := 0; b.Loop(); i++ {
		id := strconv.Itoa(i)
		a := ask(now, "gateway", id)
		a.Due, a.MaxGap = now.Add(time.Hour), 0
		board.Ask(now, a)
		board.Ended(now, "gateway", strconv.Itoa(i-count*slots-waiting), endAnswered)
		for _, v := range board.Verdicts() {
			board.Started(now, v.Owner, v.ID, -1)
		}
	}
}

var endAnswered = board.End{Outcome: board.Answered}

func full(count, slots, waiting int) *board.Board {
	filled := board.New()
	filled.SetUpstreams(start, engines(count, slots))
	for i := -count*slots - waiting; i < 0; i++ {
		a := ask(start, "gateway", strconv.Itoa(i))
		a.Due, a.MaxGap, a.Prompt = start.Add(time.Hour), 0, 1
		filled.Ask(start, a)
	}
	for _, v := range filled.Verdicts() {
		filled.Started(start, v.Owner, v.ID, -1)
	}
	return filled
}
