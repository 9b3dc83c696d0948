package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/retry"
)

// Half of what a service does fails for thirty seconds, and every failure would
// be sent again. Over five gateways, in any ten seconds, repeats must stay
// under a fifth of the requests and the slack.
func TestFleetStaysWithinTheBoundInEveryWindow(t *testing.T) {
	settings := retry.Settings{Share: 0.2, Slack: 56, Window: 10 * time.Second}
	var gateways []*retry.Budget
	for range 5 {
		gateways = append(gateways, retry.New(settings, func() int { return 5 }))
	}
	start := time.Unix(1_000_000, 0)
	var repeats []time.Time
	const perSecond = 60
	for i := range 30 * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		g := gateways[i%len(gateways)]
		g.Sent(now, "s")
		if g.Take(now, "s") {
			repeats = append(repeats, now)
		}
	}
	for i, first := range repeats {
		count := 0
		for _, at := range repeats[i:] {
			if at.Sub(first) <= settings.Window {
				count++
			}
		}
		require.LessOrEqual(t, float64(count), settings.Share*perSecond*10+settings.Slack)
	}
	require.Greater(t, len(repeats), 30*perSecond/10, "what is allowed is used")
}
