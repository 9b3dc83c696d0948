package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/quota"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

// Guards against a metric with a label value for each of thousands of workspaces, and one
// that omits the workspace which is refused.
func TestQuotaLevelsAreThoseOfTheLowestWorkspaces(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	limiter := quota.New(quota.Options{StartFull: true}, func() int { return 1 })
	var workspaces []catalog.Workspace
	for i := range 50 {
		workspaces = append(workspaces, catalog.Workspace{Name: fmt.Sprintf("w%02d", i), QuotaPerSecond: 100, QuotaBurst: 100})
	}
	limiter.AddWorkspaces(now, workspaces)
	// So many are followed at their first request only, and the ledger tells their levels.
	levels := map[string]float64{}
	for i := range workspaces {
		limiter.Enqueue(now, &workspaces[i], 1)
		levels[workspaces[i].Name] = 100
	}
	limiter.ApplyTotals(now, quota.Totals{LedgerRun: 1, Coverage: 1, Levels: levels})
	limiter.Take(now, &workspaces[33], 90)
	registry := prometheus.NewRegistry()
	registry.MustRegister(newQuotaLevels(limiter, func() time.Time { return now }))
	families, err := registry.Gather()
	require.NoError(t, err)
	require.Len(t, families, 1)
	require.Len(t, families[0].Metric, maxQuotaLevels)
	clear(levels)
	for _, m := range families[0].Metric {
		levels[m.Label[0].GetValue()] = m.Gauge.GetValue()
	}
	require.InDelta(t, 0.1, levels["w33"], 0.001)
}
