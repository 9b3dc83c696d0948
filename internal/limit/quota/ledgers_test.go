package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/quota"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

// Guards against usage that is never charged, or charged twice, because a gateway got
// totals of another ledger in between.
func TestUsageDuringTotalsOfAnotherLedgerIsChargedOnce(t *testing.T) {
	const rate, burst = 1000, 1000
	w := &catalog.Workspace{Name: "studio", QuotaPerSecond: rate, QuotaBurst: burst}
	totals := func(run uint64, used float64) quota.Totals {
		return quota.Totals{LedgerRun: run, OthersUsed: map[string]float64{w.Name: used}, Coverage: 1}
	}
	l := quota.New(quota.Options{StartFull: true}, func() int { return 2 })
	now := start
	l.AddWorkspaces(now, []catalog.Workspace{*w})
	for _, step := range []quota.Totals{totals(1, 50_000), totals(2, 10), totals(1, 50_700), totals(2, 10), totals(1, 50_700)} {
		now = now.Add(time.Millisecond)
		l.ApplyTotals(now, step)
	}
	ok, _ := l.Take(now, w, 290)
	require.True(t, ok, "300 and a little refill are left")
	ok, _ = l.Take(now, w, 100)
	require.False(t, ok, "what others used meanwhile is charged")
}
