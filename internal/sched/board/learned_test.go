package board_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// Guards against late answers to long prompts on idle engines. If the hardware prefills
// half as fast as its decoding speed suggests, first events are expected 100 ms too early.
// What first events show of one engine applies to the other engines of the service.
func TestSlowPrefillIsLearnedForAllEnginesOfAService(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(2, 12))
	learnSlowness(b, "e0", 1)
	learnSlowness(b, "e1", 1)
	// With this many runs, only requests that can meet their deadline get a slot.
	var busy []board.HeldSlot
	for i := range 9 {
		busy = append(busy, board.HeldSlot{ID: "busy" + strconv.Itoa(i), Upstream: "e1", OutputTokens: 100, Started: true})
	}
	b.Reconcile(startTime, "other", busy)
	now := startTime
	isGranted := func(engine, id string, due time.Duration) bool {
		now = now.Add(time.Second)
		a := newSlotRequest(now, "gateway", id)
		a.PromptTokens, a.NextEventDue, a.EventGapTarget = 12_000, now.Add(due), 0
		if engine == "e0" {
			a.ExcludedUpstreams = []string{"e1"}
		} else {
			a.ExcludedUpstreams = []string{"e0"}
		}
		b.Submit(now, a)
		ok := countGranted(b.Decisions()) == 1
		if ok {
			b.Started(now.Add(360*time.Millisecond), a.Owner, a.ID, -1)
		}
		b.Release(now.Add(400*time.Millisecond), a.Owner, a.ID, board.SlotResult{Outcome: board.Canceled})
		b.Decisions()
		return ok
	}
	require.True(t, isGranted("e1", "before", 300*time.Millisecond))
	for i := range 30 {
		isGranted("e0", strconv.Itoa(i), 5*time.Second)
	}
	require.False(t, isGranted("e1", "late", 300*time.Millisecond), "its first event would be late")
	require.True(t, isGranted("e1", "in-time", 500*time.Millisecond))
}

// A single first event that is delayed for seconds by packet loss must not make the
// engines of the service seem slow.
func TestOneLateFirstEventHasLittleWeight(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 12))
	learnSlowness(b, "e0", 1)
	now := startTime.Add(time.Second)
	for i := range 40 {
		a := newSlotRequest(now, "gateway", strconv.Itoa(i))
		b.Submit(now, a)
		took := 80 * time.Millisecond
		if i == 39 {
			took = 4 * time.Second
		}
		b.Started(now.Add(took), a.Owner, a.ID, -1)
		now = now.Add(took)
		b.Release(now, a.Owner, a.ID, board.SlotResult{Outcome: board.Canceled})
		b.Decisions()
	}
	a := newSlotRequest(now, "gateway", "after")
	a.NextEventDue = now.Add(130 * time.Millisecond)
	b.Submit(now, a)
	require.Equal(t, 1, countGranted(b.Decisions()))
}
