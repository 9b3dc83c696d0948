package chaos_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/trial/chaos"
	"github.com/persimmonridge/persimmonridge/internal/trial/scenario"
	"github.com/persimmonridge/persimmonridge/internal/trial/scenariotest"
)

// The defaults keep the time of a CI run short; use the flags for longer runs.
var (
	runs      = flag.Int("runs", 4, "random scenarios to run")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first random scenario")
	length    = flag.Duration("length", 50*time.Second, "length of each scenario, in fake time")
)

// Guards against answers that are duplicated, truncated or another request's, and
// against actions that take effect twice, when failures coincide: processes are
// killed and stopped, links fall silent, the store fails and loses answers, engines
// crash and fail. The program checks its invariants in every order of failures.
func TestRandomised(t *testing.T) {
	injected := make(map[scenario.Action]int)
	requests := 0
	for i := range *runs {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			result := scenariotest.Run(t, chaos.NewScript(seed, *length))
			requests += len(result.Samples)
			for action, count := range result.Injected {
				injected[action] += count
			}
		})
	}
	t.Logf("%d runs from seed %d, %d requests, injected %v", *runs, *firstSeed, requests, injected)
}
