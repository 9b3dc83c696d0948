// Package scenariotest runs scenarios in tests, in fake time.
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

// logVariable is the environment variable with the path of a file to which the log
// of a run is written; without it the log is discarded.
const logVariable = "SCENARIO_LOG"

// Run runs a script in fake time and fails the test if the result does not meet the
// script's expectations.
func Run(t *testing.T, script scenario.Script) *scenario.Result {
	t.Helper()
	var result *scenario.Result
	bubble.Run(t, func(t *testing.T) {
		logger := slog.New(slog.NewTextHandler(logWriter(t), nil))
		invariants := invariant.New(logger)
		var err error
		result, err = scenario.Run(script, network.New(), logger, invariants)
		require.NoError(t, err)
	})
	t.Logf("%d requests, injected %v, outcomes %+v, crashers %v, refusals %v, verdict %s (%s)", len(result.Samples), result.Injected, result.Report.Tiers, result.CrasherResults, result.Report.RefusalKinds, result.Verdict, result.VerdictReason)
	require.Empty(t, scenario.Check(script, result), strings.Join(script.Description, "\n"))
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
