package budget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/dispatch/budget"
)

var start = time.Date(2026, 12, 1, 18, 0, 0, 0, time.UTC)

// Guards against a second outage caused by all processes retrying at once after
// the first one: a bucket grants its burst, then only the tokens refilled over
// time and earned by first attempts.
func TestBucketLimitsRetries(t *testing.T) {
	b := budget.New(1, 5)
	taken := 0
	for range 100 {
		if b.Take(start, 1, 0) {
			taken++
		}
	}
	require.Equal(t, 5, taken)
	require.False(t, b.Take(start.Add(500*time.Millisecond), 1, 0))
	require.True(t, b.Take(start.Add(time.Second), 1, 0))
	for range 4 {
		b.Earn(0.25)
	}
	require.True(t, b.Take(start.Add(time.Second), 1, 0))
	require.False(t, b.Take(start.Add(time.Second), 1, 0))
}

// Guards against a burst of retries at each start of a process: what was saved is saved anew.
func TestEmptyBucketIsRefilledFromItsStart(t *testing.T) {
	b := budget.NewEmpty(start, 1, 5)
	require.False(t, b.Take(start, 1, 0))
	require.False(t, b.Take(start.Add(900*time.Millisecond), 1, 0))
	require.True(t, b.Take(start.Add(time.Second), 1, 0))
	for range 5 {
		require.True(t, b.Take(start.Add(time.Minute), 1, 0))
	}
	require.False(t, b.Take(start.Add(time.Minute), 1, 0))
}

func TestReserveIsLeftToHighPriority(t *testing.T) {
	b := budget.New(0, 4)
	require.True(t, b.Take(start, 1, 2))
	require.True(t, b.Take(start, 1, 2))
	require.False(t, b.Take(start, 1, 2), "two tokens are reserved for high priority")
	require.True(t, b.Take(start, 1, 0))
}

func TestBackwardClockAddsNoTokens(t *testing.T) {
	b := budget.New(1, 1)
	require.True(t, b.Take(start, 1, 0))
	require.False(t, b.Take(start.Add(-time.Hour), 1, 0))
}
