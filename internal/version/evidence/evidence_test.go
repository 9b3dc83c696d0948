package evidence_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/version/evidence"
)

// addRuns adds random runs of a version to a board.
func addRuns(random *rand.Rand, board *evidence.Board, version, route string, count int, failures float64, latency time.Duration) {
	for range count {
		took := time.Duration((0.5 + random.ExpFloat64()) * float64(latency))
		board.Observe(version, route, random.Float64() < failures, took)
	}
}

// Each case gives the failure rates and latencies of two versions; the verdict must
// be want for at least minHits of a hundred seeds.
func TestJudge(t *testing.T) {
	cases := []struct {
		name                  string
		failuresOld, failures float64
		latencyOld, latency   time.Duration
		count                 int
		want                  evidence.Verdict
		minHits               int
	}{
		{"alike", 0.01, 0.01, time.Second, time.Second, 400, evidence.Good, 95},
		{"alike, both fail often", 0.05, 0.05, time.Second, time.Second, 400, evidence.Good, 85},
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
				addRuns(random, board, "old", "w/a", 1000, c.failuresOld, c.latencyOld)
				addRuns(random, board, "new", "w/a", c.count, c.failures, c.latency)
				if evidence.NewTest(0.001, 0.01).Judge(board, "old", "new").Verdict() == c.want {
					hits++
				}
			}
			require.GreaterOrEqual(t, hits, c.minHits)
		})
	}
}

// Guards against a version that is bad on one route and kept, because the other
// nine routes outweigh it.
func TestOneBadRouteIsEnough(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	board := evidence.NewBoard()
	for i := range 10 {
		route := fmt.Sprintf("w/route-%d", i)
		addRuns(random, board, "old", route, 300, 0.005, time.Second)
		failures := 0.005
		if i == 7 {
			failures = 0.5
		}
		addRuns(random, board, "new", route, 40, failures, time.Second)
	}
	finding := evidence.NewTest(0.001, 0.01).Judge(board, "old", "new")
	require.Equal(t, evidence.BadFailures, finding.Verdict())
	require.Equal(t, "w/route-7", finding.Route())
}

// A version turns bad after ten thousand good runs. A test over all runs would
// need thousands of failures to detect it.
func TestWatchIgnoresEarlierGoodRuns(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	board, watch := evidence.NewBoard(), evidence.NewWatch()
	addRuns(random, board, "old", "w/a", 1000, 0.005, time.Second)
	addRuns(random, board, "new", "w/a", 10000, 0.005, time.Second)
	require.Equal(t, evidence.Open, watch.Update(board, "old", "new").Verdict())
	for batch := 1; ; batch++ {
		require.LessOrEqual(t, batch, 5, "batches of ten runs, four of which fail on average")
		addRuns(random, board, "new", "w/a", 10, 0.4, time.Second)
		if watch.Update(board, "old", "new").Verdict() == evidence.BadFailures {
			return
		}
	}
}

// A circuit breaker must not trip in a million runs of a version that fails one run in a
// hundred, and must trip within ten runs of a version that always fails.
func TestBreaker(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	tolerant := evidence.NewBreaker()
	for range 1_000_000 {
		require.False(t, tolerant.Observe("w/a", random.Float64() < 0.01))
	}
	tripping := evidence.NewBreaker()
	for i := 1; !tripping.Observe("w/a", true); i++ {
		require.Less(t, i, 10)
	}
}
