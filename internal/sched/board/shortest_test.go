package board_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
)

// Guards against a slot that is granted in time and not used: the least time of a stream
// never exceeds what its scheduler plans for it.
func TestLeastStreamTimeStaysWithinThePlannedTime(t *testing.T) {
	for _, slowness := range []float64{0.1, 0.3, 1, 3} {
		for _, tokens := range []int{1, 6, 60, 600, 2940} {
			t.Run(fmt.Sprintf("slowness %g, %d tokens", slowness, tokens), func(t *testing.T) {
				b := board.New()
				b.SetUpstreams(startTime, newEngines(1, 2))
				for range 10 {
					learnSlowness(b, "e0", slowness)
				}
				least := b.MinStreamTime(startTime.Add(time.Minute), "e0", 1000, tokens)
				now := startTime.Add(time.Minute)
				for _, e := range []board.EndConstraint{board.EndPreferred, board.EndRequired} {
					req := newSlotRequest(now, "gateway", fmt.Sprint("end-", e))
					req.OutputTokens, req.EndConstraint, req.Deadline = tokens, e, now.Add(least-time.Microsecond)
					b.Submit(now, req)
					require.Zero(t, countGranted(b.Decisions()), "constraint %d, %s", e, least)
				}
			})
		}
	}
}

// Guards against a gateway that takes all engines for the fastest although it knows their
// speeds, as a standby of the scheduler does.
func TestLeastStreamTimeFollowsKnownSpeeds(t *testing.T) {
	b := board.New()
	b.SetUpstreams(startTime, newEngines(2, 12))
	unknown := b.MinStreamTime(startTime, "e0", 1000, 600)
	require.Equal(t, unknown, b.MinStreamTime(startTime, "not listed", 1000, 600))
	b.RestoreSpeeds([]board.Speed{{ID: "e0", Slowness: 2}})
	require.Greater(t, b.MinStreamTime(startTime, "e0", 1000, 600), 10*unknown)
	require.Equal(t, unknown, b.MinStreamTime(startTime, "e1", 1000, 600))
}
