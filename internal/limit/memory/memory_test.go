package memory_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/memory"
)

var start = time.Unix(1_000, 0)

func held(a *memory.Account) int64 {
	total := int64(0)
	for _, n := range a.Stats().Held {
		total += n
	}
	return total
}

// Guards against a process that is killed because many requests together hold more than the
// bound, and against bytes that are never released.
func TestConcurrentReservationsStayUnderTheLimit(t *testing.T) {
	const limit = 1000
	a := memory.New(limit, nil)
	var group sync.WaitGroup
	for worker := range 32 {
		group.Go(func() {
			holder := string(rune('a' + worker%5))
			for i := range 500 {
				r := a.Open(memory.Kind(i%3), holder)
				for step := int64(1); step < 5; step++ {
					if r.Grow(start, step*20) {
						if total := held(a); total > limit {
							t.Errorf("%d bytes held", total)
						}
					}
				}
				r.Shrink(start, 7)
				r.Close(start)
				r.Close(start)
			}
		})
	}
	group.Wait()
	require.Zero(t, held(a))
}

// Guards against bodies that leave no room for answers: bodies can be refused, and answers
// cannot.
func TestBodiesLeaveRoomForAnswers(t *testing.T) {
	a := memory.New(1000, nil)
	require.True(t, a.Open(memory.Body, "a").Grow(start, 400))
	require.True(t, a.Open(memory.Body, "b").Grow(start, 350))
	require.False(t, a.Open(memory.Body, "c").Grow(start, 1), "bodies have three quarters")
	require.True(t, a.Open(memory.Answer, "c").Grow(start, 250))
	require.False(t, a.Open(memory.Answer, "c").Grow(start, 1))
}

// Guards against one caller, or one stream of it, that uses up the memory of all.
func TestOneCallerAndOneStreamAreBounded(t *testing.T) {
	a := memory.New(1000, nil)
	stream := a.Open(memory.Stream, "slow")
	require.True(t, stream.Grow(start, 125))
	require.False(t, stream.Grow(start, 1), "a stream has an eighth")
	for range 3 {
		require.True(t, a.Open(memory.Stream, "slow").Grow(start, 125))
	}
	require.False(t, a.Open(memory.Body, "slow").Grow(start, 1), "a caller has half")
	require.True(t, a.Open(memory.Body, "other").Grow(start, 200))
}

// Guards against a lost answer: what cannot be refused is counted beyond the bound, and
// others wait until it is released.
func TestForcedBytesCount(t *testing.T) {
	a := memory.New(1000, nil)
	answer := a.Open(memory.Answer, "a")
	answer.Force(1500)
	require.EqualValues(t, 1500, held(a))
	require.False(t, a.Open(memory.Stream, "b").Grow(start, 1))
	answer.Close(start)
	answer.Force(10)
	require.Zero(t, held(a), "a closed reservation holds nothing")
}

// Guards against a waiter that is never woken, or that is held up by one whose own bound is
// reached.
func TestWaitersAreWokenInOrderAsFarAsThereIsRoom(t *testing.T) {
	a := memory.New(1000, nil)
	full := a.Open(memory.Answer, "full")
	full.Force(1000)
	slow := a.Open(memory.Stream, "slow")
	slow.Force(200)
	blocked, stopBlocked := slow.Room(start, 1)
	defer stopBlocked()
	first, stopFirst := a.Open(memory.Stream, "one").Room(start, 100)
	second, stopSecond := a.Open(memory.Stream, "two").Room(start, 100)
	defer stopSecond()
	woken := func(c <-chan struct{}) bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
	full.Shrink(start, 250)
	require.False(t, woken(first))
	full.Shrink(start, 100)
	require.True(t, woken(first))
	require.False(t, woken(second), "there is room for one")
	stopFirst()
	require.True(t, woken(second), "the first did not use its room")
	require.False(t, woken(blocked))
	slow.Shrink(start, 100)
	full.Close(start)
	require.True(t, woken(blocked))
	free, stop := slow.Room(start, 1)
	stop()
	require.True(t, woken(free))
}

// Guards against a Retry-After that says nothing of when there is room: callers come back
// too early and lose their only retry, or all at once.
func TestRetryAfterFollowsTheRateOfRelease(t *testing.T) {
	a := memory.New(1000, nil)
	r := a.Open(memory.Body, "a")
	refused := a.Open(memory.Body, "b")
	require.True(t, r.Grow(start, 500))
	other := a.Open(memory.Body, "c")
	require.True(t, other.Grow(start, 250))
	require.Equal(t, 5*time.Second, refused.Refuse(start, 10), "nothing became free lately")
	// 100 bytes become free every 100 ms and are taken again.
	now := start
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		r.Shrink(now, 100)
		require.True(t, r.Grow(now, 100))
	}
	require.InDelta(t, 0.2, refused.Refuse(now, 200).Seconds(), 0.02)
	require.InDelta(t, 0.4, refused.Refuse(now, 200).Seconds(), 0.04, "the next one comes after it")
	require.Equal(t, 5*time.Second, refused.Refuse(now, 100_000))
	now = now.Add(time.Minute)
	require.Equal(t, 5*time.Second, refused.Refuse(now, 1), "the rate of a minute ago says nothing")
	require.EqualValues(t, 5, a.Stats().Refused)
}

// Guards against refused bodies in pieces that count as memory which becomes free.
func TestDiscardedBytesAreNotInTheRate(t *testing.T) {
	a := memory.New(1000, nil)
	r := a.Open(memory.Body, "a")
	require.True(t, r.Grow(start, 500))
	r.Discard(start)
	require.Zero(t, held(a))
	full := a.Open(memory.Body, "a")
	full.Force(1000)
	require.Equal(t, 5*time.Second, full.Refuse(start, 1))
}

// Guards against a log line for each refused request while the account is full.
func TestChangesAreReportedOnce(t *testing.T) {
	var changes []bool
	a := memory.New(1000, func(full bool, _, _ int64) { changes = append(changes, full) })
	require.False(t, a.Open(memory.Body, "b").Grow(start, 2000))
	require.Empty(t, changes, "a body that is too large does not fill the account")
	r := a.Open(memory.Answer, "a")
	r.Force(900)
	for range 3 {
		require.False(t, a.Open(memory.Body, "b").Grow(start, 1))
	}
	require.Equal(t, []bool{true}, changes)
	r.Shrink(start, 300)
	require.Equal(t, []bool{true}, changes, "it has room again below half")
	r.Shrink(start, 100)
	require.Equal(t, []bool{true, false}, changes)
}

// Guards against a change in deployments whose settings do not bound memory.
func TestAccountWithoutLimitBoundsNothing(t *testing.T) {
	var none *memory.Account
	require.False(t, none.Enabled())
	a := memory.New(0, nil)
	require.False(t, a.Enabled())
	require.True(t, a.Open(memory.Body, "a").Grow(start, 1<<40))
	a.SetLimit(start, memory.Limit(184<<20))
	require.True(t, a.Enabled())
	require.EqualValues(t, 46<<20, a.Stats().Limit)
}

// Guards against a body of a higher tier that is refused while bodies of lower tiers take the
// room that becomes free.
func TestHigherTierIsNotShedBeforeLowerOnes(t *testing.T) {
	a := memory.New(1000, nil)
	running := a.OpenBody("a", 1)
	require.True(t, running.Grow(start, 500))
	require.True(t, a.OpenBody("b", 1).Grow(start, 240))
	high, low := a.OpenBody("c", 0), a.OpenBody("d", 1)
	require.False(t, high.Grow(start, 100))
	high.Refuse(start, 100)
	running.Shrink(start, 200)
	require.False(t, low.Grow(start, 50), "the room is for the higher tier")
	low.Refuse(start, 50)
	now := start.Add(500 * time.Millisecond)
	require.False(t, low.Grow(now, 50), "a refusal of the lower tier changes nothing")
	require.True(t, high.Grow(now, 100))
	require.True(t, low.Grow(start.Add(time.Second), 50))
}
