package soak_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	seedCount     = flag.Int("soak-seeds", 1, "number of seeds to run in addition to those of testdata/seeds.txt")
	firstSeed     = flag.Uint64("soak-first-seed", 1, "first additional seed")
	faultDuration = flag.Duration("soak-length", 6*time.Second, "duration of the fault injection")
)

// TestSoak runs seeds in parallel, as many as -parallel allows. Seeds that failed
// once are listed in testdata/seeds.txt with their causes and run each time.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "persimmonridge")
	build := exec.Command("go", "build", "-o", binary, "../../../cmd/persimmonridge")
	output, err := build.CombinedOutput()
	require.NoError(t, err, "%s", output)
	seeds := append(regressionSeeds(t), warmUpsFromSeed, needsFromSeed, endlessFromSeed, badAnswersFromSeed, headsFromSeed, heldFromSeed, slowedFromSeed)
	for i := range *seedCount {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, binary)
		})
	}
}

// regressionSeeds reads the seeds that failed once. Each line holds a seed and the
// cause of its failure.
func regressionSeeds(t *testing.T) []uint64 {
	raw, err := os.ReadFile("testdata/seeds.txt")
	require.NoError(t, err)
	var seeds []uint64
	for line := range strings.Lines(string(raw)) {
		number, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		if number == "" {
			continue
		}
		seed, err := strconv.ParseUint(number, 10, 64)
		require.NoError(t, err)
		seeds = append(seeds, seed)
	}
	return seeds
}

func runSeed(t *testing.T, seed uint64, binary string) {
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	require.NoError(t, err)
	tb, err := newTestbed(seed, binary, folder, *faultDuration)
	require.NoError(t, err)
	tb.run()
	require.NoError(t, tb.close())
	tb.check()
	served, metClosed, slow := 0, 0, 0
	for _, c := range tb.calls {
		if c.err == nil && c.status == 200 {
			served++
			if c.kind == slowStream {
				slow++
			}
		}
		if tb.metClosedConnection(c) {
			metClosed++
		}
	}
	names := make([]string, 0, len(tb.faults))
	for _, f := range tb.faults {
		names = append(names, fmt.Sprintf("%s@%.1f", f.name, f.from.Sub(tb.startedAt).Seconds()))
	}
	t.Logf("%d calls, %d served (%d slow streams), %d met a closed connection; %d versions; repeats at most %s; %s; logs in %s",
		len(tb.calls), served, slow, metClosed, len(tb.versions), strings.Join(tb.mostRepeats, ", "), strings.Join(names, " "), folder)
	tb.removeLogsIfPassed()
	require.Empty(t, tb.findings, "logs are in %s", folder)
}
