package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/version/rollout"
)

var (
	start = time.Unix(1_000_000, 0)
	order = rollout.Order{Service: "s", Target: "v2", Duration: 20 * time.Second, Revision: 7}
)

// move plays an order: each of the requests a second goes to a side, and the
// target fails and slows down as the functions of time say.
type move struct {
	perSecond int
	failShare func(at time.Duration) float64
	slowness  func(at time.Duration) time.Duration
	ready     bool
}

type result struct {
	state   rollout.State
	ended   time.Duration
	exposed int
	total   int
	bad50   time.Duration
	late    int
}

func (m move) play() result {
	judge := rollout.NewJudge(order.Revision)
	state := rollout.Begin(start, order)
	sides := map[bool]*rollout.Entry{true: {Target: true, Route: "r"}, false: {Route: "r"}}
	got := result{}
	badAnswers := 0
	for i := 0; i < m.perSecond*20; i++ {
		at := time.Duration(i) * time.Second / time.Duration(m.perSecond)
		target := state.Phase == rollout.Complete || (state.Phase == rollout.Running && state.Chosen("s", fmt.Sprint(i)))
		got.total++
		failed, took := i%250 == 0, 100*time.Millisecond
		if target {
			got.exposed++
			failed = float64(i%100) < 100*m.failShare(at)
			took = m.slowness(at)
			if failed || took > 300*time.Millisecond {
				badAnswers++
			}
		}
		if badAnswers == 50 && got.bad50 == 0 {
			got.bad50 = at
		}
		if got.bad50 > 0 && target && at > got.bad50+5*time.Second {
			got.late++
		}
		side := sides[target]
		side.Runs++
		if failed {
			side.Failures++
		}
		bucket := 7
		if took > 300*time.Millisecond {
			bucket = 9
		}
		for len(side.Buckets) <= bucket {
			side.Buckets = append(side.Buckets, 0)
		}
		side.Buckets[bucket]++
		if i%(m.perSecond/5) == 0 {
			entries := []rollout.Entry{*sides[true], *sides[false]}
			entries[0].Buckets = append([]uint32(nil), entries[0].Buckets...)
			entries[1].Buckets = append([]uint32(nil), entries[1].Buckets...)
			judge.Hear("gateway", rollout.Report{Order: order.Revision, Entries: entries})
			next, changed := rollout.Step(start.Add(at), order, state, rollout.Observed{Fault: judge.Fault(), Ready: m.ready})
			if changed && next.Phase != rollout.Running {
				got.ended = at
			}
			state = next
		}
	}
	got.state = state
	return got
}

func never(time.Duration) float64 { return 0.004 }

func usual(time.Duration) time.Duration { return 100 * time.Millisecond }

func after(from time.Duration, share float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < from {
			return 0.004
		}
		return share
	}
}

// A good version takes over before its deadline.
func TestGoodVersionIsCompletedInTime(t *testing.T) {
	got := move{perSecond: 200, failShare: never, slowness: usual, ready: true}.play()
	require.Equal(t, rollout.Complete, got.state.Phase)
	require.Less(t, got.ended, order.Duration)
}

// A version fails a third of its requests, at once, later or shortly before the
// end. It is taken back within seconds, and gets less than a tenth of the
// requests and fifty more.
func TestFailingVersionIsTakenBack(t *testing.T) {
	for _, from := range []time.Duration{0, 6 * time.Second, 13 * time.Second} {
		for _, perSecond := range []int{50, 250} {
			t.Run(fmt.Sprint(from, perSecond), func(t *testing.T) {
				got := move{perSecond: perSecond, failShare: after(from, 0.35), slowness: usual, ready: true}.play()
				require.Equal(t, rollout.Reverted, got.state.Phase)
				require.LessOrEqual(t, float64(got.exposed), 0.1*float64(got.total)+50)
				require.Zero(t, got.late)
			})
		}
	}
}

// A version answers five times slower, which no status shows.
func TestSlowVersionIsTakenBack(t *testing.T) {
	slow := func(time.Duration) time.Duration { return 500 * time.Millisecond }
	got := move{perSecond: 200, failShare: never, slowness: slow, ready: true}.play()
	require.Equal(t, rollout.Reverted, got.state.Phase)
	require.Less(t, got.ended, 8*time.Second)
}

// No upstream of the version ever comes. Completing the move would stop the old
// ones and leave the service without any.
func TestMoveWithoutUpstreamsIsTakenBack(t *testing.T) {
	got := move{perSecond: 200, failShare: never, slowness: usual}.play()
	require.Equal(t, rollout.Reverted, got.state.Phase)
}

// A move that has ended changes no more, whatever is seen later.
func TestEndedMovesStay(t *testing.T) {
	state := rollout.State{Order: 7, Target: "v2", Phase: rollout.Reverted}
	_, changed := rollout.Step(start.Add(time.Hour), order, state, rollout.Observed{Ready: true})
	require.False(t, changed)
}
