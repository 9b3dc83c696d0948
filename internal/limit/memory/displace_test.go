package memory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/memory"
)

// arriving is a body that arrives and counts how often it was dropped.
type arriving struct {
	*memory.Reservation
	dropped int
}

func arrive(t *testing.T, a *memory.Account, at time.Time, holder string, tier int, n int64) *arriving {
	t.Helper()
	body := &arriving{Reservation: a.OpenBody(holder, tier)}
	require.True(t, body.Grow(at, n))
	body.BeginArrival(at, func() { body.dropped++ })
	return body
}

// Guards against bodies that stop short of their end and keep those of others out for as long as
// their routes last.
func TestBodyThatArrivesForLongGivesWay(t *testing.T) {
	a := memory.New(1000, nil)
	first := arrive(t, a, start, "a", 0, 300)
	second := arrive(t, a, start.Add(100*time.Millisecond), "b", 0, 300)
	complete := arrive(t, a, start, "c", 0, 150)
	complete.EndArrival()
	late := a.OpenBody("d", 0)
	require.False(t, late.Displace(start.Add(999*time.Millisecond), 200), "all bodies are new")
	now := start.Add(2 * time.Second)
	require.False(t, late.Grow(now, 200))
	require.True(t, late.Displace(now, 200))
	require.Equal(t, []int{1, 0, 0}, []int{first.dropped, second.dropped, complete.dropped})
	first.Discard(now)
	require.True(t, late.Grow(now, 200))
	require.EqualValues(t, 1, a.Stats().Displaced)
	require.False(t, a.OpenBody("e", 0).Displace(now, 600), "what may give way is not enough")
	require.Zero(t, second.dropped)
	second.Close(now)
	require.False(t, a.OpenBody("e", 0).Displace(now, 601), "a closed body does not arrive")
}

// Guards against a higher tier that is shed before a lower one.
func TestBodiesOfHigherTiersDoNotGiveWay(t *testing.T) {
	a := memory.New(1000, nil)
	high := arrive(t, a, start, "a", 0, 400)
	low := arrive(t, a, start.Add(time.Second), "b", 2, 300)
	now := start.Add(3 * time.Second)
	require.False(t, a.OpenBody("c", 3).Displace(now, 200))
	require.True(t, a.OpenBody("c", 1).Displace(now, 200))
	require.Equal(t, []int{0, 1}, []int{high.dropped, low.dropped})
}

// Guards against a caller at its own bound that drops the bodies of others.
func TestCallerAtItsBoundDisplacesItsOwnBodies(t *testing.T) {
	a := memory.New(1000, nil)
	other := arrive(t, a, start, "other", 0, 100)
	own := arrive(t, a, start.Add(time.Second), "own", 0, 500)
	now := start.Add(3 * time.Second)
	require.True(t, a.OpenBody("own", 0).Displace(now, 50))
	require.Equal(t, []int{0, 1}, []int{other.dropped, own.dropped})
	require.False(t, a.OpenBody("own", 0).Displace(now, 50), "a body is dropped once")
}

// Guards against large bodies that take the room of all small ones.
func TestSmallBodiesHaveRoomBesideLargeOnes(t *testing.T) {
	const limit = 32 << 20
	a := memory.New(limit, nil)
	for _, holder := range []string{"a", "b"} {
		require.True(t, a.OpenBody(holder, 0).Grow(start, limit*3/8))
	}
	require.False(t, a.OpenBody("c", 0).Grow(start, 17<<10))
	small := a.OpenBody("c", 0)
	require.True(t, small.Grow(start, 16<<10))
	require.False(t, small.Grow(start, 1), "it is not small any more")
}

// Guards against large headers that leave no room for bodies and answers.
func TestHeadersHaveAQuarter(t *testing.T) {
	a := memory.New(1000, nil)
	require.True(t, a.Open(memory.Header, "headers").Grow(start, 250))
	require.False(t, a.Open(memory.Header, "headers").Grow(start, 1))
	require.True(t, a.Open(memory.Answer, "a").Grow(start, 500))
	require.True(t, a.Open(memory.Answer, "b").Grow(start, 250))
	require.False(t, a.Open(memory.Answer, "b").Grow(start, 1))
}
