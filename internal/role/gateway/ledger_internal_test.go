package gateway

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/quota"
)

// Guards against totals of two ledgers that are compared as those of one: a gateway that
// changes its scheduler for a moment would take the difference for usage, and refuse
// requests of workspaces far below their quotas for seconds.
func TestLedgersOfGatewaysThatStartTogetherAreToldApart(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	run := func(name string) uint64 {
		g := New(Dependencies{Settings: Settings{Name: name}, Dialer: &net.Dialer{}, Logger: slog.New(slog.DiscardHandler), Now: func() time.Time { return now }})
		totals, _ := g.quotaReports.answer(now, "peer", quota.Report{Run: 1})
		return totals.LedgerRun
	}
	require.NotEqual(t, run("one"), run("two"))
}
