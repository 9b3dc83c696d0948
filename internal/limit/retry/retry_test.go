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

// Callers of streams that could have gone on elsewhere saw them broken off.
// Sixteen of 46 engines crashed in one moment, and each of 25 gateways lost some
// seven streams; three of them used up what it could save, while the fleet had
// spent a fiftieth of what its bound allows.
func TestEnginesThatCrashTogetherMayBeRepeated(t *testing.T) {
	settings := retry.Settings{Share: 0.2, Slack: 90, Window: 10 * time.Second}
	b := retry.New(settings, func() int { return 25 })
	start := time.Unix(1_000_000, 0)
	const perSecond = 12
	for i := range 10 * perSecond {
		b.Sent(start.Add(time.Duration(i)*time.Second/perSecond), "s")
	}
	crash := start.Add(10 * time.Second)
	for i := range 7 {
		require.True(t, b.Take(crash, "s"), "stream %d", i)
	}
}

// A service fails whatever it is sent from one moment on, after gateways have
// saved up all they may. In no window of ten seconds may the fleet's bound be
// passed, by the requests of that window, the one before or the one between.
func TestSavedRepeatsStayWithinTheBound(t *testing.T) {
	settings := retry.Settings{Share: 0.2, Slack: 90, Window: 10 * time.Second}
	var gateways []*retry.Budget
	for range 25 {
		gateways = append(gateways, retry.New(settings, func() int { return 25 }))
	}
	start := time.Unix(1_000_000, 0)
	const perSecond = 500
	var repeats []time.Time
	for i := range 40 * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		g := gateways[i%len(gateways)]
		g.Sent(now, "s")
		if now.Sub(start) > 15*time.Second && g.Take(now, "s") {
			repeats = append(repeats, now)
		}
	}
	first := 0
	for last, at := range repeats {
		for at.Sub(repeats[first]) > settings.Window {
			first++
		}
		require.LessOrEqual(t, float64(last-first+1), settings.Share*perSecond*10+settings.Slack)
	}
}

// Traffic ends, and what was earned by it must not be spent long after.
func TestWhatWasSavedEndsWithItsTraffic(t *testing.T) {
	b := retry.New(retry.Settings{Share: 0.2, Slack: 0, Window: 10 * time.Second}, func() int { return 1 })
	start := time.Unix(1_000_000, 0)
	for i := range 100 {
		b.Sent(start.Add(time.Duration(i)*10*time.Millisecond), "s")
	}
	require.True(t, b.Take(start.Add(time.Second), "s"))
	require.False(t, b.Take(start.Add(12*time.Second), "s"))
}
