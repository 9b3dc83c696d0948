package evidence_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/version/evidence"
)

// runs draws so many runs of a version onto a board.
func runs(random *rand.Rand, board *evidence.Board, version, route string, count int, failures float64, latency time.Duration) {
	for range count {
		took := time.Duration((0.5 + random.ExpFloat64()) * float64(latency))
		board.Observe(version, route, random.Float64() < failures, took)
	}
}

// Each case is how two versions run; the verdict must be as given in at least
// so many of a hundred seeds.
func TestJudge(t *testing.T) {
	cases := []struct {
		name                  string
		failuresOld, failures float64
		latencyOld, latency   time.Duration
		count                 int
		want                  evidence.Verdict
		least                 int
	}{
		{"alike", 0.01, 0.01, time.Second, time.Second, 400, evidence.Good, 95},
		{"alike, both often failing", 0.05, 0.05, time.Second, time.Second, 400, evidence.Good, 85},
		{"fails often", 0.01, 0.3, time.Second, time.Second, 100, evidence.BadFailures, 99},
		{"fails always", 0.01, 1, time.Second, time.Second, 10, evidence.BadFailures, 100},
		{"four times slower", 0.01, 0.01, time.Second, 5 * time.Second, 100, evidence.BadLatency, 99},
		{"faster", 0.01, 0.01, time.Second, time.Second / 4, 400, evidence.Good, 95},
		{"few runs prove nothing", 0.01, 0.01, time.Second, time.Second, 3, evidence.Open, 99},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			hits := 0
			for seed := range uint64(100) {
				random := rand.New(rand.NewPCG(seed, 1))
				board := evidence.NewBoard()
				runs(random, board, "old", "w/a", 1000, c.failuresOld, c.latencyOld)
				runs(random, board, "new", "w/a", c.count, c.failures, c.latency)
				if evidence.NewTest(0.001, 0.01).Judge(board, "old", "new").Verdict() == c.want {
					hits++
				}
			}
			require.GreaterOrEqual(t, hits, c.least)
		})
	}
}

// A version that is bad on one route was kept, because the nine others hid it.
func TestOneBadRouteIsEnough(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	board := evidence.NewBoard()
	for i := range 10 {
		route := fmt.Sprintf("w/route-%d", i)
		runs(random, board, "old", route, 300, 0.005, time.Second)
		failures := 0.005
		if i == 7 {
			failures = 0.5
		}
		runs(random, board, "new", route, 40, failures, time.Second)
	}
	finding := evidence.NewTest(0.001, 0.01).Judge(board, "old", "new")
	require.Equal(t, evidence.BadFailures, finding.Verdict())
	require.Equal(t, "w/route-7", finding.Route())
}

// A version turns bad after ten thousand good runs; a test over all of them
// would take thousands of failures to see it.
func TestWatchForgetsTheGoodPast(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	board, watch := evidence.NewBoard(), evidence.NewWatch()
	runs(random, board, "old", "w/a", 1000, 0.005, time.Second)
	runs(random, board, "new", "w/a", 10000, 0.005, time.Second)
	require.Equal(t, evidence.Open, watch.Update(board, "old", "new").Verdict())
	for batch := 1; ; batch++ {
		require.LessOrEqual(t, batch, 5, "ten runs a batch, four of them failing")
		runs(random, board, "new", "w/a", 10, 0.4, time.Second)
		if watch.Update(board, "old", "new").Verdict() == evidence.BadFailures {
			return
		}
	}
}

// A brake must hold still through a million runs of a version that fails one
// run in a hundred, and stop one that fails always within ten.
func TestBrake(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	calm := evidence.NewBrake()
	for range 1_000_000 {
		require.False(t, calm.Observe("w/a", random.Float64() < 0.01))
	}
	hasty := evidence.NewBrake()
	for i := 1; !hasty.Observe("w/a", true); i++ {
		require.Less(t, i, 10)
	}
}
