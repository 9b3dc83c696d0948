package board_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// slowPace is the pace of an engine whose VM is busy with other programs.
const slowPace = 2.5

// statePace makes the engine state a pace with a run that has no other effect.
func statePace(b *board.Scheduler, now time.Time, engine string, pace float64, age time.Duration) {
	owner := "states-" + engine
	b.Reconcile(now, owner, []board.HeldSlot{{ID: "run", Upstream: engine, Started: true}})
	b.RecordPace(now, owner, "run", pace, age)
	b.Release(now, owner, "run", board.SlotResult{Outcome: board.Canceled})
}

// statePaces makes the engine state a pace every 50 ms in a period. It returns its end.
func statePaces(b *board.Scheduler, from time.Time, length time.Duration, engine string, pace func(i int) float64) time.Time {
	const interval = 50 * time.Millisecond
	for i := range int(length / interval) {
		statePace(b, from, engine, pace(i), 0)
		from = from.Add(interval)
	}
	return from
}

func constantPace(pace float64) func(int) float64 { return func(int) float64 { return pace } }

// newLongPrompt returns a request that takes longer to prefill than most.
func newLongPrompt(now time.Time, id string) board.SlotRequest {
	req := newSlotRequest(now, "gateway", id)
	req.PromptTokens, req.EventGapTarget = 6610, 0
	return req
}

// submitAndCancel returns the engine that the request is granted at once, or "".
func submitAndCancel(b *board.Scheduler, now time.Time, req board.SlotRequest) string {
	b.Decisions()
	b.Submit(now, req)
	upstream := ""
	for _, d := range b.Decisions() {
		upstream += d.Upstream
	}
	b.Release(now, req.Owner, req.ID, board.SlotResult{Outcome: board.Canceled})
	b.Decisions()
	return upstream
}

// newPair returns a scheduler of two equal engines. The second one has a run, so that the
// first one is preferred while both work as usual.
func newPair() *board.Scheduler {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(2, 12))
	b.RestoreSpeeds([]board.Speed{{ID: "e0", Slowness: 1}, {ID: "e1", Slowness: 1}})
	b.Reconcile(startTime, "other", []board.HeldSlot{{ID: "busy", Upstream: "e1", Started: true}})
	return b
}

// Guards against a long prompt on an engine that is slow at the moment, and against an
// engine that gets none for good because it was slow once and is not asked again.
func TestLongPromptAvoidsSlowEngineUntilItsStatementIsOld(t *testing.T) {
	b := newPair()
	now := startTime.Add(time.Second)
	require.Equal(t, "e0", submitAndCancel(b, now, newLongPrompt(now, "before")))
	statePace(b, now, "e0", slowPace, 0)
	require.Equal(t, "e1", submitAndCancel(b, now, newLongPrompt(now, "slow")))
	now = now.Add(2 * time.Second)
	require.Equal(t, "e0", submitAndCancel(b, now, newLongPrompt(now, "old")))
}

// Guards against a statement that was in transit for long and counts as a new one.
func TestAgeOfAStatementCounts(t *testing.T) {
	b := newPair()
	now := startTime.Add(5 * time.Second)
	statePace(b, now, "e0", slowPace, 2*time.Second)
	require.Equal(t, "e0", submitAndCancel(b, now, newLongPrompt(now, "old")))
	statePace(b, now, "e0", 1, 0)
	statePace(b, now, "e0", slowPace, 100*time.Millisecond)
	require.Equal(t, "e0", submitAndCancel(b, now, newLongPrompt(now, "overtaken")))
}

// Guards against prompts that were assigned before a slow spell and count as prefilled at
// the usual pace: the next prompt would be planned behind too short a wait.
func TestPendingPrefillIsPlannedAtThePaceNow(t *testing.T) {
	b := newPair()
	now := startTime.Add(time.Second)
	next := newLongPrompt(now, "next")
	next.ExcludedUpstreams, next.NextEventDue = []string{"e1"}, now.Add(500*time.Millisecond)
	for i := range 2 {
		pending := newLongPrompt(now, "pending"+strconv.Itoa(i))
		pending.ExcludedUpstreams = []string{"e1"}
		b.Submit(now, pending)
	}
	require.Equal(t, "e0", submitAndCancel(b, now, next))
	statePace(b, now, "e0", slowPace, 0)
	require.Empty(t, submitAndCancel(b, now, next))
}

// Guards against a prompt that is prefilled beside running streams on an engine that is slow
// at the moment: the gaps between their events would be too long.
func TestEventGapIsPlannedAtThePaceNow(t *testing.T) {
	b := newPair()
	now := startTime.Add(time.Second)
	// At the usual pace the gap is some 29 ms, at that of 2.5 some 72 ms.
	withTarget := func(id string) board.SlotRequest {
		req := newSlotRequest(now, "gateway", id)
		req.ExcludedUpstreams, req.EventGapTarget = []string{"e0"}, 60*time.Millisecond
		return req
	}
	require.Equal(t, "e1", submitAndCancel(b, now, withTarget("before")))
	statePace(b, now, "e1", slowPace, 0)
	require.Empty(t, submitAndCancel(b, now, withTarget("slow")))
	now = now.Add(2 * time.Second)
	require.Equal(t, "e1", submitAndCancel(b, now, withTarget("old")))
}

// Guards against streams that are placed beside too many others while an engine is fast: they
// outlast that pace, and the gaps between their events become too long.
func TestEventGapIsPlannedAtTheMeanPaceAtLeast(t *testing.T) {
	b := newPair()
	now := statePaces(b, startTime, 20*time.Second, "e1", constantPace(slowPace))
	statePace(b, now, "e1", 1, 0)
	req := newSlotRequest(now, "gateway", "between spells")
	req.ExcludedUpstreams, req.EventGapTarget = []string{"e0"}, 60*time.Millisecond
	require.Empty(t, submitAndCancel(b, now, req))
}

// Guards against a stream that is planned by the pace of a moment: it lasts longer than
// that, and would be refused an engine that ends it in time, or end late on another one.
func TestEndOfAStreamIsPlannedByTheMeanPace(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 12))
	b.RestoreSpeeds([]board.Speed{{ID: "e0", Slowness: 1}})
	// At the usual pace it takes 8.5 s of its 15 s, and 21 s at a pace of 2.5.
	long := func(now time.Time, id string) board.SlotRequest {
		req := newSlotRequest(now, "gateway", id)
		req.OutputTokens = 2000
		return req
	}
	now := statePaces(b, startTime, 10*time.Second, "e0", constantPace(1))
	statePace(b, now, "e0", slowPace, 0)
	require.Equal(t, "e0", submitAndCancel(b, now, long(now, "in a spell")))

	now = statePaces(b, now, 20*time.Second, "e0", constantPace(slowPace))
	statePace(b, now, "e0", 1, 0)
	require.Empty(t, submitAndCancel(b, now, long(now, "between spells")))
}

// Guards against the least time of a stream that exceeds what its scheduler plans for it,
// at any pace: slots would be granted and not be used.
func TestLeastStreamTimeStaysWithinThePlannedTimeAtAnyPace(t *testing.T) {
	for _, paces := range [][2]float64{{1, slowPace}, {slowPace, 1}, {0.5, 1}, {1, 0.5}} {
		b := board.New()
		b.SetUpstreams(startTime, newEngines(1, 12))
		b.RestoreSpeeds([]board.Speed{{ID: "e0", Slowness: 1}})
		now := statePaces(b, startTime, 10*time.Second, "e0", constantPace(paces[0]))
		statePace(b, now, "e0", paces[1], 0)
		for _, tokens := range []int{1, 60, 600} {
			req := newLongPrompt(now, "req")
			least := b.MinStreamTime(now, "e0", req.PromptTokens, tokens)
			req.OutputTokens, req.EndConstraint, req.Deadline = tokens, board.EndPreferred, now.Add(least-time.Microsecond)
			require.Empty(t, submitAndCancel(b, now, req), "paces %v, %d tokens", paces, tokens)
		}
	}
}

// Guards against requests that wait in vain for an engine that is the fastest as a rule but
// not now: the fastest one at the moment is what they can hope for.
func TestFastestEngineIsJudgedByThePaceNow(t *testing.T) {
	for _, test := range []struct {
		pace, otherSlowness float64
		waiting             int
	}{{1, 2, 1}, {4, 2, 0}, {4, 1, 1}} {
		b := board.New()
		b.SetUpstreams(startTime, newEngines(2, 1))
		b.RestoreSpeeds([]board.Speed{{ID: "e0", Slowness: 0.5}, {ID: "e1", Slowness: test.otherSlowness}})
		b.Reconcile(startTime, "other", []board.HeldSlot{{ID: "a", Upstream: "e0", Started: true}, {ID: "b", Upstream: "e1", Started: true}})
		// The first event is due in 180 ms. At a slowness of 0.5 it takes some 100 ms, at 1
		// some 140 ms, at 2 some 210 ms.
		now := startTime.Add(time.Second)
		b.RecordPace(now, "other", "a", test.pace, 0)
		req := newLongPrompt(now, "req")
		req.NextEventDue = now.Add(180 * time.Millisecond)
		b.Submit(now, req)
		require.Equal(t, test.waiting, b.Stats(now).Waiting, "%+v", test)
	}
}

// runPacedStream runs a stream of 100 tokens on an ordinary engine at a pace that it states
// with each first event: one every 50 ms. It returns the end of the stream.
func runPacedStream(b *board.Scheduler, now time.Time, id string, pace float64, states bool) time.Time {
	req := newSlotRequest(now, "gateway", id)
	req.PromptTokens = 2000
	firstEvent := 64*time.Millisecond + time.Duration(pace*23*float64(time.Millisecond))
	const tokens, ordinaryStep = 100, 3.35
	took := time.Duration(tokens * ordinaryStep * pace * float64(time.Millisecond))
	state := func(at time.Time) {
		if states {
			statePace(b, at, "e0", pace, 0)
		}
	}
	b.Submit(now, req)
	started := now.Add(firstEvent)
	if states {
		b.RecordPace(started, req.Owner, req.ID, pace, 0)
	}
	b.Started(started, req.Owner, req.ID, -1)
	for at := started; at.Before(started.Add(took)); at = at.Add(50 * time.Millisecond) {
		state(at)
	}
	end := started.Add(took)
	b.Release(end, req.Owner, req.ID, board.SlotResult{Outcome: board.Answered, StreamTime: took, Tokens: tokens})
	b.Decisions()
	return end
}

// Guards against a slow spell that makes the engine, and the hardware of its service, seem
// slow for good: what is learned would be multiplied with the pace once more.
func TestSlowSpellDoesNotSpoilWhatIsLearned(t *testing.T) {
	learned := func(states bool) board.LearnedState {
		b := board.New()
		b.SetUpstreams(startTime, newEngines(1, 12))
		now := startTime
		for i := range 60 {
			pace := 1.0
			if i%4 >= 2 {
				pace = slowPace
			}
			now = runPacedStream(b, now, strconv.Itoa(i), pace, states)
		}
		return b.LearnedState()
	}
	got := learned(true)
	require.InDelta(t, 1, got.Speeds[0].Slowness, 0.15)
	require.InDelta(t, 1, got.Services[0].PrefillFactor, 0.15)
	require.InDelta(t, 64, got.Services[0].FixedLatency.Seconds()*1000, 10)
	// The spells are long enough to be learned if they are not stated.
	require.Greater(t, learned(false).Speeds[0].Slowness, 1.6)
}

// Guards against figures that no engine can have, and that move the plan or make it
// impossible: they count as if the engine had stated none, and one that states the usual
// pace at all times is scheduled as one that states none.
func TestEnginesWithoutAPaceAreScheduledAsBefore(t *testing.T) {
	trace := func(statements []float64) string {
		random := rand.New(rand.NewPCG(1, 2))
		b := board.New()
		b.SetUpstreams(startTime, newEngines(4, 3))
		now := startTime
		var text strings.Builder
		var running []board.Decision
		for i := range 3000 {
			now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
			switch random.IntN(4) {
			case 0, 1:
				req := newSlotRequest(now, "gateway", strconv.Itoa(i))
				req.Tier, req.PromptTokens, req.OutputTokens = random.IntN(3), 100+random.IntN(8000), 10+random.IntN(900)
				req.EndConstraint = board.EndConstraint(random.IntN(3))
				b.Submit(now, req)
			case 2:
				if len(running) > 0 {
					d := running[random.IntN(len(running))]
					for _, pace := range statements {
						b.RecordPace(now, d.Owner, d.ID, pace, time.Duration(i%3)*time.Millisecond)
					}
					b.Started(now, d.Owner, d.ID, -1)
				}
			case 3:
				if len(running) > 0 {
					d := running[0]
					running = running[1:]
					b.Release(now, d.Owner, d.ID, board.SlotResult{Outcome: board.Outcome(random.IntN(3) / 2), StreamTime: time.Duration(1+random.IntN(2000)) * time.Millisecond, Tokens: random.IntN(400)})
				}
			}
			b.Tick(now)
			for _, d := range b.Decisions() {
				fmt.Fprintf(&text, "%+v\n", d)
				if d.Upstream != "" {
					running = append(running, d)
				}
			}
			fmt.Fprintf(&text, "%+v %+v %s\n", b.LearnedState(), b.Stats(now), b.MinStreamTime(now, "e1", 1000, 100))
		}
		return text.String()
	}
	want := trace(nil)
	absurd := []float64{0, -2, math.NaN(), math.Inf(1), math.Inf(-1), 0.09, 101, math.MaxFloat64}
	require.Equal(t, want, trace(absurd))
	require.Equal(t, want, trace([]float64{1}))
	require.NotEqual(t, want, trace([]float64{slowPace}), "the pace is used")
}

// Guards against statements that alternate and move the plan beyond what was stated.
func TestAlternatingPacesStayWithinWhatWasStated(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 12))
	b.RestoreSpeeds([]board.Speed{{ID: "e0", Slowness: 1}})
	alternating := func(i int) float64 { return []float64{1, slowPace}[i%2] }
	now := startTime
	for i := range 200 {
		now = statePaces(b, now, time.Duration(1+i%5)*50*time.Millisecond, "e0", alternating)
		// The first event takes some 137 ms at the usual pace, and 246 ms at that of 2.5. The
		// deadlines leave no time for a late answer.
		req := newLongPrompt(now, strconv.Itoa(i))
		req.OutputTokens = 1
		req.NextEventDue, req.Deadline = now.Add(130*time.Millisecond), now.Add(150*time.Millisecond)
		require.Empty(t, submitAndCancel(b, now, req))
		req.NextEventDue, req.Deadline = now.Add(280*time.Millisecond), now.Add(300*time.Millisecond)
		require.Equal(t, "e0", submitAndCancel(b, now, req))
	}
}

// Guards against the pace of a process that is gone: another one has started under the same
// ID, and a statement about the former one arrives after that.
func TestRestartedEngineHasNoPace(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(1, 12))
	b.Reconcile(startTime, "gateway", []board.HeldSlot{{ID: "run", Upstream: "e0", Started: true}})
	b.RecordPace(startTime, "gateway", "run", slowPace, 0)
	require.Equal(t, 1, b.SlowEngines(startTime))
	restarted := newEngines(1, 12)
	restarted[0].StartedAtMs = 1
	b.SetUpstreams(startTime, restarted)
	b.RecordPace(startTime.Add(time.Millisecond), "gateway", "run", slowPace, 0)
	require.Zero(t, b.SlowEngines(startTime.Add(time.Millisecond)))
}

// Guards against a standby that takes over with paces of seconds ago: it assumes the usual
// one until engines state theirs, and has the slowness at the usual pace.
func TestPaceIsNotPartOfWhatIsLearned(t *testing.T) {
	b, standby := board.New(), board.New()
	for _, s := range []*board.Scheduler{b, standby} {
		s.SetUpstreams(startTime, newEngines(1, 12))
	}
	now := startTime
	for i := range 10 {
		now = runPacedStream(b, now, strconv.Itoa(i), slowPace, true)
	}
	standby.ApplyLearned(b.LearnedState())
	require.Equal(t, 1, b.SlowEngines(now))
	require.Zero(t, standby.SlowEngines(now))
	require.InDelta(t, 1, standby.Speeds()[0].Slowness, 0.15)
}

// An operator sees the slowest engines first, however many there are, and none of those
// that work as usual.
func TestStatsShowUnusualPaces(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(20, 4))
	now := startTime.Add(time.Second)
	for i := range 20 {
		statePace(b, now, "e"+strconv.Itoa(i), []float64{1, 1.5 + float64(i)/10}[i%2], 0)
	}
	stats := b.Stats(now)
	require.Equal(t, 10, stats.Paced)
	require.Equal(t, "e19:3.40 e17:3.20 e15:3.00 e13:2.80 e11:2.60 e9:2.40 e7:2.20 e5:2.00", stats.Paces)
	require.Zero(t, stats.Unusual, "a slow engine is not skipped")
	require.Equal(t, 10, b.SlowEngines(now))
}
