package local_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/sched/load"
)

// Guards against a request that is refused although one upstream is not known to be late,
// because a cheaper one is.
func TestRequestIsNotRefusedForACheaperLateUpstream(t *testing.T) {
	for _, stale := range []string{"one", "two"} {
		for first := range 2 {
			now := time.Unix(1_000_000, 0)
			chooser, table := pair(t, 6)
			// A usual request takes 20 ms.
			for range 50 {
				p := pick(t, chooser, now, flow.PlacementRequest{})
				now = now.Add(20 * time.Millisecond)
				p.ReportLoad(now, exchange.Load{Running: 1, Slots: 6, Pace: 1})
				p.AnswerStarted(now)
				p.Release(now, flow.Answered, 0)
			}
			other := map[string]string{"one": "two", "two": "one"}[stale]
			chooser.SetDraw(func(n int) int { return min(first, n-1) })
			now = now.Add(time.Millisecond)
			table.Answered(now, []load.Sample{heard(stale, now, 60, 3)})
			now = now.Add(400 * time.Millisecond)
			// A recent sample: three times as long as usual, behind five times the slots, 360 ms.
			table.Answered(now, []load.Sample{heard(other, now, 30, 3)})
			p, err := chooser.Pick(context.Background(), now, flow.PlacementRequest{Service: "s", Deadline: now.Add(250 * time.Millisecond)})
			require.NoError(t, err, "%s has an old sample, the first draw is %d", stale, first)
			require.Equal(t, stale, p.Upstream().ID)
		}
	}
}
