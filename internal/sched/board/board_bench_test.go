package board_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// BenchmarkDecision places and ends requests on full fleets of engines of eight
// slots, while others wait; each end gives its place to one of these.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ engines, waiting int }{
		{93, 200}, {93, 2000}, {186, 200}, {186, 2000}, {600, 200}, {600, 500}, {600, 2000},
	} {
		b.Run(fmt.Sprintf("%d engines %d waiting", size.engines, size.waiting), func(b *testing.B) {
			benchmarkDecision(b, size.engines, size.waiting)
		})
	}
}

func benchmarkDecision(b *testing.B, count, waiting int) {
	const slots = 8
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

// BenchmarkTick looks at what waits for a full fleet, as the scheduler does a
// hundred times a second.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ engines, waiting int }{{93, 200}, {600, 500}} {
		b.Run(fmt.Sprintf("%d engines %d waiting", size.engines, size.waiting), func(b *testing.B) {
			board := full(size.engines, 8, size.waiting)
			for b.Loop() {
				board.Tick(start.Add(time.Second))
			}
		})
	}
}
