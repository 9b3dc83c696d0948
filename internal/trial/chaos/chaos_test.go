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

// How much of the random failures is run: a little in CI, any amount by hand.
var (
	runs      = flag.Int("runs", 4, "random scenarios to run")
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
			result := scenariotest.Run(t, chaos.Draw(seed, *length))
			requests += len(result.Samples)
			for action, times := range result.Injected {
				injected[action] += times
			}
		})
	}
	t.Logf("%d runs from seed %d, %d requests, injected %v", *runs, *firstSeed, requests, injected)
}
