// Package scenariotest plays scenarios in tests, in fake time.
package scenariotest

import (
	"io"
	"log/slog"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
	"github.com/persimmonridge/persimmonridge/internal/trial/scenario"
)

// logVariable names the file that keeps the log of a run, if it is set.
const logVariable = "SCENARIO_LOG"

// Run plays a script in a bubble of fake time and requires what it expects.
func Run(t *testing.T, script scenario.Script) *scenario.Result {
	t.Helper()
	var result *scenario.Result
	bubble.Run(t, func(t *testing.T) {
		logger := slog.New(slog.NewTextHandler(logWriter(t), nil))
		invariants := invariant.New(logger)
		var err error
		result, err = scenario.Play(script, network.New(), logger, invariants)
		require.NoError(t, err)
	})
	t.Logf("%d requests, injected %v, endings %+v, crashers %v, refusals %v, verdict %s (%s)", len(result.Samples), result.Injected, result.Report.Tiers, result.Crashers, result.Report.RefusalKinds, result.Verdict, result.Why)
	require.Empty(t, scenario.Judge(script, result), strings.Join(script.Story, "\n"))
	return result
}

func logWriter(t *testing.T) io.Writer {
	path := os.Getenv(logVariable)
	if path == "" {
		return io.Discard
	}
	file, err := os.Create(path)
	require.NoError(t, err)
	t.Cleanup(func() { _ = file.Close() })
	return file
}
