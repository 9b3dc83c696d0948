package budget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/dispatch/budget"
)

var start = time.Date(2026, 12, 1, 18, 0, 0, 0, time.UTC)

// An outage ended and every process retried at once, which was the next outage.
// A bucket gives its burst and then only what time and first attempts earn.
func TestBucketBoundsRetries(t *testing.T) {
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

func TestReserveIsLeftToTheUrgent(t *testing.T) {
	b := budget.New(0, 4)
	require.True(t, b.Take(start, 1, 2))
	require.True(t, b.Take(start, 1, 2))
	require.False(t, b.Take(start, 1, 2), "two are left to the urgent")
	require.True(t, b.Take(start, 1, 0))
}

func TestClockThatGoesBackGivesNothing(t *testing.T) {
	b := budget.New(1, 1)
	require.True(t, b.Take(start, 1, 0))
	require.False(t, b.Take(start.Add(-time.Hour), 1, 0))
}
