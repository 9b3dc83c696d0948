package scenario_test

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
	"github.com/persimmonridge/persimmonridge/internal/trial/scenario"
)

// play runs a script in a bubble of fake time and requires what it expects.
func play(t *testing.T, script scenario.Script) *scenario.Result {
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

// logWriter keeps the log of a run that is asked for by name.
func logWriter(t *testing.T) io.Writer {
	path := os.Getenv("SCENARIO_LOG")
	if path == "" {
		return io.Discard
	}
	file, err := os.Create(path)
	require.NoError(t, err)
	t.Cleanup(func() { _ = file.Close() })
	return file
}

// Each script opens with its story; see testdata.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".json"), func(t *testing.T) {
			raw, err := os.ReadFile(path)
			require.NoError(t, err)
			script, err := scenario.Parse(raw)
			require.NoError(t, err)
			play(t, script)
		})
	}
}

// How much of the random failures is run: a little in CI, any amount by hand.
var (
	runs      = flag.Int("runs", 6, "random scenarios to run")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first random scenario")
	length    = flag.Duration("length", 50*time.Second, "length of each, in the scenario's own time")
)

// A user sees an answer twice, half or another's, or is charged twice.
// Processes are killed and stopped, links fall silent, the store fails and
// loses answers, engines die and fail, in any order and together.
// Whatever the order, what must always hold is asserted inside the program.
func TestRandomised(t *testing.T) {
	injected := make(map[scenario.Action]int)
	requests := 0
	for i := range *runs {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			result := play(t, scenario.Random(seed, *length))
			requests += len(result.Samples)
			for action, times := range result.Injected {
				injected[action] += times
			}
		})
	}
	t.Logf("%d runs from seed %d, %d requests, injected %v", *runs, *firstSeed, requests, injected)
}
