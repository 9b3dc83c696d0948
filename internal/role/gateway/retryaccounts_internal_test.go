package gateway

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/retry"
)

// Guards against retries of which nothing tells how many were asked for and allowed.
func TestRetriesAreCountedAndLoggedByService(t *testing.T) {
	var lines bytes.Buffer
	now := time.Unix(1_000_000, 0)
	g := New(Dependencies{
		Settings: Settings{Name: "edge-1", Retry: retry.Settings{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}},
		Logger:   slog.New(slog.NewTextHandler(&lines, nil)), Now: func() time.Time { return now },
	})
	g.membership.Replace(nil)
	g.membership.Registered(now, now.Add(2*time.Minute))
	now = now.Add(time.Minute) // in which the slack is refilled
	g.retryBudget.Sent(now, "quiet")
	for range 30 {
		g.retryBudget.Sent(now, "busy")
	}
	allowed := 0
	for range 30 {
		if g.retryBudget.Reserve(now, "busy") && g.retryBudget.Spend(now, "busy") {
			allowed++
		}
	}
	require.NotNil(t, g.retryBudget.Await("busy"))
	require.Positive(t, allowed)
	require.Less(t, allowed, 30)
	g.retryAccounts.log(now)
	require.Contains(t, lines.String(), "msg=retries service=busy requests=30")
	require.Contains(t, lines.String(), "unsettled=1")
	require.NotContains(t, lines.String(), "quiet", "nothing was retried there")
	counts, left, unsettled := map[string]float64{}, map[string]float64{}, map[string]float64{}
	families, err := g.metrics.registry.Gather()
	require.NoError(t, err)
	for _, f := range families {
		for _, m := range f.Metric {
			switch f.GetName() {
			case "persimmonridge_retries_total":
				counts[m.Label[1].GetValue()+" "+m.Label[0].GetValue()] = m.Counter.GetValue()
			case "persimmonridge_retries_unsettled":
				unsettled[m.Label[0].GetValue()] = m.Gauge.GetValue()
			case "persimmonridge_retry_budget_left":
				left[m.Label[0].GetValue()] = m.Gauge.GetValue()
			}
		}
	}
	require.Equal(t, map[string]float64{
		"busy allowed": float64(allowed), "busy refused": float64(30 - allowed), "quiet allowed": 0, "quiet refused": 0,
	}, counts)
	require.Less(t, left["busy"], 1.0)
	require.Equal(t, map[string]float64{"busy": 1, "quiet": 0}, unsettled)
	require.GreaterOrEqual(t, left["quiet"], 1.0)
	lines.Reset()
	g.retryAccounts.log(now.Add(2 * retryLogInterval))
	require.Empty(t, lines.String(), "nothing has changed")
}
