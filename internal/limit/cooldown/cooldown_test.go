package cooldown_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/cooldown"
)

var start = time.Unix(1_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// Guards against requests within the rest that an upstream asked for, also after a refusal
// that asks for less.
func TestLongestRestCounts(t *testing.T) {
	tracker := cooldown.New()
	tracker.Asked(start, "u", 1, 3*time.Second)
	tracker.Asked(after(100*time.Millisecond), "u", 1, time.Second)
	require.False(t, tracker.Take(after(2999*time.Millisecond), "u", 1))
	require.Equal(t, 500*time.Millisecond, tracker.Wait(after(2500*time.Millisecond), "u", 1))
	require.Equal(t, 1, tracker.Resting(after(time.Second)))
	require.True(t, tracker.Take(start, "other", 1))
	require.True(t, tracker.Take(after(3*time.Second), "u", 1))
}

// Guards against many callers who are turned away at the end of a rest that begins anew.
func TestOneRequestAtATimeFollowsARest(t *testing.T) {
	tracker := cooldown.New()
	tracker.Asked(start, "u", 1, time.Second)
	now := after(time.Second)
	require.True(t, tracker.Take(now, "u", 1))
	require.False(t, tracker.Take(now, "u", 1))
	require.Positive(t, tracker.Wait(now, "u", 1))
	require.True(t, tracker.Take(now.Add(time.Second), "u", 1), "a request without an answer does not end the use of it")
	tracker.Served("u", now)
	for range 3 {
		require.True(t, tracker.Take(now.Add(time.Second), "u", 1))
	}
}

// Guards against a rest that ends because of an answer to a request that was sent before.
func TestEarlierAnswerDoesNotEndARest(t *testing.T) {
	tracker := cooldown.New()
	tracker.Asked(start, "u", 1, time.Second)
	tracker.Served("u", after(-time.Millisecond))
	tracker.Served("u", after(500*time.Millisecond))
	require.False(t, tracker.Take(after(600*time.Millisecond), "u", 1))
}

// Guards against a new process that is left idle because the one before asked for rest.
func TestRestEndsWithTheProcess(t *testing.T) {
	tracker := cooldown.New()
	tracker.Asked(start, "u", 1, time.Hour)
	require.True(t, tracker.Take(start, "u", 2))
	tracker.Asked(start, "u", 2, time.Second)
	require.True(t, tracker.Take(after(time.Second), "u", 2))
}

func TestForget(t *testing.T) {
	tracker := cooldown.New()
	tracker.Asked(start, "u", 1, time.Minute)
	gone := func(string, int64) bool { return false }
	tracker.Forget(after(time.Second), gone)
	require.False(t, tracker.Take(after(time.Second), "u", 1), "it may register again")
	tracker.Forget(after(2*time.Minute), gone)
	require.True(t, tracker.Take(after(time.Second), "u", 1))
}
