package evidence

import (
	"math"
)

// A version may turn bad only later. A test over all its runs would then have
// to outweigh the good ones, so the watches below forget them: a cumulative sum
// (CUSUM) of log-likelihood ratios that never falls below zero. Its expected
// number of runs to a false alarm is at least e to the power of its threshold
// (Lorden's bound).
const (
	// watchThreshold gives one false alarm in over a million runs.
	watchThreshold = 14
	// brakeThreshold is that of a single agent or entry, which judges without
	// the old version's record: one in over twenty thousand runs of a version
	// that fails one run in twenty.
	brakeThreshold = 10
	// toleratedRate and brakeRate are the failure shares between which a brake
	// decides.
	toleratedRate = 0.05
	brakeRate     = 0.3
	// allRoutes is the score over all routes together: a version that is bad
	// everywhere shows there first.
	allRoutes = ""
)

// Brake is the watch of one agent or entry over one version, run by run, by
// route. The zero value is not usable; see NewBrake. It is not safe for
// concurrent use.
type Brake struct {
	scores map[string]float64
}

// NewBrake returns a brake that has seen nothing.
func NewBrake() *Brake { return &Brake{scores: make(map[string]float64)} }

// Observe takes one run and tells whether the version must be stopped.
func (b *Brake) Observe(route string, failed bool) bool {
	step := math.Log((1 - brakeRate) / (1 - toleratedRate))
	if failed {
		step = math.Log(brakeRate / toleratedRate)
	}
	stop := false
	for _, of := range []string{route, allRoutes} {
		b.scores[of] = max(0, b.scores[of]+step)
		stop = stop || b.scores[of] >= brakeThreshold
	}
	return stop
}

// Watch is the duty's watch over a new version, from report to report. It is
// not safe for concurrent use.
type Watch struct {
	seen     *Board
	failures map[string]float64
	latency  map[string]float64
}

// NewWatch returns a watch that has seen nothing.
func NewWatch() *Watch {
	return &Watch{seen: NewBoard(), failures: make(map[string]float64), latency: make(map[string]float64)}
}

// Update takes the newest reports and returns what they show.
func (w *Watch) Update(board *Board, from, to string) Finding {
	fresh := board.Since(w.seen)
	w.seen = NewBoard()
	w.seen.Merge(board)
	for _, route := range board.Routes(to) {
		old, news := board.Get(from, route), fresh.Get(to, route)
		p0, p1 := failureRates(old)
		w.failures[route] = max(0, w.failures[route]+ratio(news.failures, news.runs, p0, p1))
		if w.failures[route] >= watchThreshold {
			return Finding{verdict: BadFailures, route: route, old: old, fresh: board.Get(to, route)}
		}
		if logRatio, known := latencyRatio(old, news); known {
			w.latency[route] = max(0, w.latency[route]+logRatio)
		}
		if w.latency[route] >= watchThreshold {
			return Finding{verdict: BadLatency, route: route, old: old, fresh: board.Get(to, route)}
		}
	}
	return Finding{verdict: Open}
}
