package board_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// BenchmarkDecision submits and releases requests on full fleets of engines with eight
// slots each, while others wait. Each released slot goes to a waiting request.
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
	full := newFullScheduler(count, slots, waiting)
	now := startTime.Add(time.Second)
	for i := 0; b.Loop(); i++ {
		id := strconv.Itoa(i)
		a := newSlotRequest(now, "gateway", id)
		a.NextEventDue, a.EventGapTarget = now.Add(time.Hour), 0
		full.Submit(now, a)
		full.Release(now, "gateway", strconv.Itoa(i-count*slots-waiting), answeredEnd)
		for _, d := range full.Decisions() {
			full.Started(now, d.Owner, d.ID, -1)
		}
	}
}

var answeredEnd = board.SlotResult{Outcome: board.Answered}

func newFullScheduler(count, slots, waiting int) *board.Scheduler {
	full := board.New()
	full.SetUpstreams(startTime, newEngines(count, slots))
	for i := -count*slots - waiting; i < 0; i++ {
		a := newSlotRequest(startTime, "gateway", strconv.Itoa(i))
		a.NextEventDue, a.EventGapTarget, a.PromptTokens = startTime.Add(time.Hour), 0, 1
		full.Submit(startTime, a)
	}
	for _, d := range full.Decisions() {
		full.Started(startTime, d.Owner, d.ID, -1)
	}
	return full
}

// BenchmarkTick measures a tick with requests waiting for a full fleet. The scheduler does
// a hundred ticks per second.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ engines, waiting int }{{93, 200}, {600, 500}} {
		b.Run(fmt.Sprintf("%d engines %d waiting", size.engines, size.waiting), func(b *testing.B) {
			full := newFullScheduler(size.engines, 8, size.waiting)
			for b.Loop() {
				full.Tick(startTime.Add(time.Second))
			}
		})
	}
}

// BenchmarkDividedDecision is BenchmarkDecision with requests of sixteen workspaces, which
// have used the engines unevenly.
func BenchmarkDividedDecision(b *testing.B) {
	const engines, slots, waiting, workspaces = 600, 8, 500, 16
	full := board.New()
	full.SetUpstreams(startTime, newEngines(engines, slots))
	n := 0
	submit := func(now time.Time) {
		a := newSlotRequest(now, "gateway", strconv.Itoa(n))
		a.NextEventDue, a.EventGapTarget, a.PromptTokens = now.Add(time.Hour), 0, 1
		a.Workspace = strconv.Itoa(n % (n%workspaces + 1))
		full.Submit(now, a)
		n++
	}
	for range engines*slots + waiting {
		submit(startTime)
	}
	now := startTime.Add(time.Second)
	var running []string
	for b.Loop() {
		for _, d := range full.Decisions() {
			full.Started(now, d.Owner, d.ID, -1)
			if d.Upstream != "" {
				running = append(running, d.ID)
			}
		}
		submit(now)
		now = now.Add(time.Millisecond)
		full.Release(now, "gateway", running[0], answeredEnd)
		running = running[1:]
	}
}
