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
	soakSeeds  = flag.Int("soak-seeds", 1, "number of seeds that are run besides those of testdata/seeds.txt")
	soakFirst  = flag.Uint64("soak-first-seed", 1, "the first of them")
	soakLength = flag.Duration("soak-length", 6*time.Second, "time in which faults are injected")
)

// TestSoak runs seeds side by side, as many as -parallel allows. Seeds that ever
// failed stay in testdata/seeds.txt and are run each time, with their causes.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "persimmonridge")
	build := exec.Command("go", "build", "-o", binary, "../../../cmd/persimmonridge")
	output, err := build.CombinedOutput()
	require.NoError(t, err, "%s", output)
	seeds := failedBefore(t)
	for i := range *soakSeeds {
		seeds = append(seeds, *soakFirst+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, binary)
		})
	}
}

// failedBefore reads the seeds that failed once: a number, and the cause.
func failedBefore(t *testing.T) []uint64 {
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

func soak(t *testing.T, seed uint64, binary string) {
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	require.NoError(t, err)
	w, err := newWorld(seed, binary, folder, *soakLength)
	require.NoError(t, err)
	w.play()
	require.NoError(t, w.close())
	w.judge()
	served, crossed := 0, 0
	for _, c := range w.calls {
		if c.err == nil && c.status == 200 {
			served++
		}
		if w.crossed(c) {
			crossed++
		}
	}
	names := make([]string, 0, len(w.faults))
	for _, f := range w.faults {
		names = append(names, fmt.Sprintf("%s@%.1f", f.name, f.from.Sub(w.begun).Seconds()))
	}
	t.Logf("%d calls, %d served, %d crossed the end of their connection; %d versions; %s; logs %s",
		len(w.calls), served, crossed, len(w.versions), strings.Join(names, " "), folder)
	w.keepOrRemove()
	require.Empty(t, w.findings, "logs are in %s", folder)
}
