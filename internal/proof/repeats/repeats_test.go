package repeats_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/repeats"
)

var (
	start = time.Unix(1_000_000, 0)
	limit = repeats.Limit{Ratio: 0.2, Slack: 5, Window: 10 * time.Second}
)

// play sends requests a tenth of a second apart for a time, each of which arrives a number of times.
func play(log *repeats.Log, from, until time.Duration, arrivals func(n int) int) {
	for n, at := 0, start.Add(from); at.Before(start.Add(until)); n, at = n+1, at.Add(100*time.Millisecond) {
		log.Sent(at)
		for range arrivals(n) {
			log.Arrived(at, fmt.Sprint(at))
		}
	}
}

func TestRepeatsAreComparedWithTheLimitInEachWindow(t *testing.T) {
	log := repeats.NewLog()
	// One request in ten is repeated: 10 repeats of 25 allowed.
	play(log, 0, 20*time.Second, func(n int) int { return 1 + (n+1)%10/9 })
	require.False(t, log.Worst(limit).Exceeds())
	// Each request of two seconds is repeated, beside the 8 or 9 of the rest of the window.
	play(log, 20*time.Second, 22*time.Second, func(int) int { return 2 })
	worst := log.Worst(limit)
	require.True(t, worst.Exceeds())
	require.InDelta(t, 28, worst.Repeats, 1)
	require.InDelta(t, 100, worst.Requests, 1)
}

// The requests of the window before count if they are more: what is repeated may have been
// sent then.
func TestRequestsOfTheWindowBeforeCount(t *testing.T) {
	log := repeats.NewLog()
	play(log, 0, 10*time.Second, func(int) int { return 1 })
	for n := range 22 {
		log.Arrived(start.Add(11*time.Second), fmt.Sprint(start.Add(time.Duration(n)*100*time.Millisecond)))
	}
	require.False(t, log.Worst(limit).Exceeds())
	require.Equal(t, 22, log.Worst(limit).Repeats)
}

func TestNothingExceedsWithoutRepeats(t *testing.T) {
	require.False(t, repeats.NewLog().Worst(limit).Exceeds())
}
