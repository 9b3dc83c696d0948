package evidence

import (
	"math"
)

// A version may turn bad late. In a test over all its runs, the failures would
// have to outweigh the earlier good runs, so the detectors below use a cumulative
// sum (CUSUM) of log-likelihood ratios that never falls below zero. The expected
// number of runs to a false alarm is at least e to the power of the threshold
// (Lorden's bound).
const (
	// watchThreshold gives less than one false alarm in a million runs.
	watchThreshold = 14
	// breakerThreshold is the threshold of a single agent or entry, which decides
	// without the old version's counts: less than one false alarm in twenty
	// thousand runs of a version that fails one run in twenty.
	breakerThreshold = 10
	// toleratedRate and breakerRate are the failure rates of the two hypotheses of a
	// circuit breaker.
	toleratedRate = 0.05
	breakerRate   = 0.3
	// allRoutes is the key of the score over all routes together, where a version
	// that is bad everywhere shows first.
	allRoutes = ""
)

// Breaker is a circuit breaker of one agent or entry for one version, with a CUSUM
// detector per route that is updated after every run. The zero value is not usable;
// see NewBreaker. It is not safe for concurrent use.
type Breaker struct {
	scores map[string]float64
}

// NewBreaker returns a circuit breaker without runs.
func NewBreaker() *Breaker { return &Breaker{scores: make(map[string]float64)} }

// Observe takes one run into account and reports whether the version must be
// stopped.
func (b *Breaker) Observe(route string, failed bool) bool {
	step := math.Log((1 - breakerRate) / (1 - toleratedRate))
	if failed {
		step = math.Log(breakerRate / toleratedRate)
	}
	stop := false
	for _, key := range []string{route, allRoutes} {
		b.scores[key] = max(0, b.scores[key]+step)
		stop = stop || b.scores[key] >= breakerThreshold
	}
	return stop
}

// Watch detects a version that turns bad, from one report to the next, with a CUSUM
// detector per route. It is used by the process that decides on the move. It is not
// safe for concurrent use.
type Watch struct {
	previous *Board
	failures map[string]float64
	latency  map[string]float64
}

// NewWatch returns a watch without reports.
func NewWatch() *Watch {
	return &Watch{previous: NewBoard(), failures: make(map[string]float64), latency: make(map[string]float64)}
}

// Update takes the counts of the newest reports and returns the first bad route,
// or a finding with the verdict Open.
func (w *Watch) Update(board *Board, from, to string) Finding {
	sincePrevious := board.Since(w.previous)
	w.previous = NewBoard()
	w.previous.Merge(board)
	for _, route := range board.Routes(to) {
		baseline, candidate := board.Get(from, route), sincePrevious.Get(to, route)
		p0, p1 := failureHypotheses(baseline)
		w.failures[route] = max(0, w.failures[route]+logLikelihoodRatio(candidate.failures, candidate.runs, p0, p1))
		if w.failures[route] >= watchThreshold {
			return Finding{verdict: BadFailures, route: route, baseline: baseline, candidate: board.Get(to, route)}
		}
		if logRatio, enough := latencyLogRatio(baseline, candidate); enough {
			w.latency[route] = max(0, w.latency[route]+logRatio)
		}
		if w.latency[route] >= watchThreshold {
			return Finding{verdict: BadLatency, route: route, baseline: baseline, candidate: board.Get(to, route)}
		}
	}
	return Finding{verdict: Open}
}
