// Package evidence counts the outcomes of a version's runs by route, and compares
// a new version with the old one by sequential tests: they may be evaluated after
// each run and still keep the given rate of false alarms.
package evidence

import (
	"math"
	"math/bits"
	"sort"
	"time"
)

// latencyBuckets is the number of latency buckets. Their bounds are powers of two
// of a millisecond; the last bucket holds latencies from 2^20 ms, about 17 minutes.
const latencyBuckets = 22

// Tally counts the runs of one version on one route. The zero value is an empty
// tally. Counts only increase, so a later report makes up for a lost one.
type Tally struct {
	runs     uint64
	failures uint64
	latency  [latencyBuckets]uint32
}

// Observe counts one run that ended.
func (t *Tally) Observe(failed bool, latency time.Duration) {
	t.runs++
	if failed {
		t.failures++
		return
	}
	t.latency[bucket(latency)]++
}

// Runs returns the number of runs.
func (t Tally) Runs() uint64 { return t.runs }

// Failures returns the number of failed runs.
func (t Tally) Failures() uint64 { return t.failures }

// Buckets returns the latency counts without trailing zeros.
func (t Tally) Buckets() []uint32 {
	last := latencyBuckets
	for last > 0 && t.latency[last-1] == 0 {
		last--
	}
	return append([]uint32(nil), t.latency[:last]...)
}

// FromCounts returns the tally with the counts that a peer reported.
func FromCounts(runs, failures uint64, buckets []uint32) Tally {
	t := Tally{runs: runs, failures: failures}
	copy(t.latency[:], buckets)
	return t
}

// Add returns the sum of both tallies.
func (t Tally) Add(other Tally) Tally {
	t.runs += other.runs
	t.failures += other.failures
	for i := range t.latency {
		t.latency[i] += other.latency[i]
	}
	return t
}

// Since returns the counts since an earlier state of the same tally.
func (t Tally) Since(earlier Tally) Tally {
	t.runs -= min(t.runs, earlier.runs)
	t.failures -= min(t.failures, earlier.failures)
	for i := range t.latency {
		t.latency[i] -= min(t.latency[i], earlier.latency[i])
	}
	return t
}

// FailureRate returns the fraction of failed runs, smoothed with a prior of one
// failure in a hundred runs, so that few runs prove nothing.
func (t Tally) FailureRate() float64 {
	return (float64(t.failures) + 1) / (float64(t.runs) + 100)
}

// slowerThan returns the number of runs in buckets above b, and of all runs with
// a latency.
func (t Tally) slowerThan(b int) (slow, all uint64) {
	for i, count := range t.latency {
		all += uint64(count)
		if i > b {
			slow += uint64(count)
		}
	}
	return slow, all
}

// medianBucket returns the bucket of the median latency.
func (t Tally) medianBucket() (int, bool) {
	_, all := t.slowerThan(-1)
	if all == 0 {
		return 0, false
	}
	var sum uint64
	for i, count := range t.latency {
		sum += uint64(count)
		if 2*sum >= all {
			return i, true
		}
	}
	return latencyBuckets - 1, true
}

func bucket(latency time.Duration) int {
	return min(bits.Len64(uint64(max(latency.Milliseconds(), 0))), latencyBuckets-1)
}

// Verdict is the result of a test so far.
type Verdict int

// Verdicts of a test.
const (
	// Open means that there is not enough evidence.
	Open Verdict = iota
	// Good means that the new version is as good as the old one.
	Good
	// BadFailures means that the new version fails more often.
	BadFailures
	// BadLatency means that the new version is slower.
	BadLatency
)

// Test is a sequential test, given by its thresholds.
type Test struct {
	// badThreshold is the log-likelihood ratio from which a version is bad.
	badThreshold float64
	// goodThreshold is the log-likelihood ratio, below zero, down from which it is good.
	goodThreshold float64
}

// NewTest returns Wald's sequential probability ratio test with the given rates
// of false alarms and missed faults.
func NewTest(falseAlarm, missed float64) Test {
	return Test{badThreshold: math.Log((1 - missed) / falseAlarm), goodThreshold: math.Log(missed / (1 - falseAlarm))}
}

const (
	// badFailureFactor and minBadFailureRate define a bad failure rate:
	// badFailureFactor times the old rate, and at least minBadFailureRate.
	badFailureFactor  = 3
	minBadFailureRate = 0.08
	// badSlowFactor and minBadSlowRate define a bad fraction of slow runs:
	// badSlowFactor times the old fraction, and at least minBadSlowRate.
	badSlowFactor  = 4
	minBadSlowRate = 0.5
	// minBaselineRate is the lowest rate that is assumed for the old version.
	minBaselineRate = 0.01
	// minBaselineLatencyRuns is the number of runs of the old version from which
	// latencies are compared.
	minBaselineLatencyRuns = 10
)

// Compare tests the new version's tally against the old version's on the same
// route in the same period. It uses only likelihood ratios of counts, so it may be
// called after every run.
func (s Test) Compare(baseline, candidate Tally) Verdict {
	failures := s.compareFailures(baseline, candidate)
	if failures == BadFailures {
		return BadFailures
	}
	latency := s.compareLatency(baseline, candidate)
	if latency == BadLatency {
		return BadLatency
	}
	if failures == Good && latency == Good {
		return Good
	}
	return Open
}

func (s Test) compareFailures(baseline, candidate Tally) Verdict {
	p0, p1 := failureHypotheses(baseline)
	return s.decide(logLikelihoodRatio(candidate.failures, candidate.runs, p0, p1), BadFailures)
}

// FailureLogRatio returns the log-likelihood ratio of a bad failure rate over all routes against
// the old version's.
func FailureLogRatio(board *Board, from, to string) float64 {
	p0, p1 := failureHypotheses(board.Total(from))
	candidate := board.Total(to)
	return logLikelihoodRatio(candidate.failures, candidate.runs, p0, p1)
}

// failureHypotheses returns the failure rates of the two hypotheses: p0, the old
// version's, and p1, a bad one.
func failureHypotheses(baseline Tally) (p0, p1 float64) {
	p0 = max(baseline.FailureRate(), minBaselineRate)
	return p0, min(max(minBadFailureRate, badFailureFactor*p0), 0.95)
}

// compareLatency counts a run as slow if it takes at least twice the upper bound of
// the old version's median bucket. That limit is relative to the route's own latency,
// so it suits routes with short and with long runs.
func (s Test) compareLatency(baseline, candidate Tally) Verdict {
	logRatio, enough := latencyLogRatio(baseline, candidate)
	if !enough {
		return Open
	}
	return s.decide(logRatio, BadLatency)
}

func latencyLogRatio(baseline, candidate Tally) (float64, bool) {
	median, ok := baseline.medianBucket()
	slowBaseline, allBaseline := baseline.slowerThan(median + 1)
	if !ok || allBaseline < minBaselineLatencyRuns {
		return 0, false
	}
	p0 := max((float64(slowBaseline)+0.5)/(float64(allBaseline)+1), minBaselineRate)
	p1 := min(max(minBadSlowRate, badSlowFactor*p0), 0.95)
	if p1 <= p0 {
		return 0, true
	}
	slow, all := candidate.slowerThan(median + 1)
	return logLikelihoodRatio(slow, all, p0, p1), true
}

func (s Test) decide(logRatio float64, bad Verdict) Verdict {
	switch {
	case logRatio >= s.badThreshold:
		return bad
	case logRatio <= s.goodThreshold:
		return Good
	}
	return Open
}

// logLikelihoodRatio returns the log-likelihood ratio of k events in n runs under p1 against p0.
func logLikelihoodRatio(k, n uint64, p0, p1 float64) float64 {
	return float64(k)*math.Log(p1/p0) + float64(n-k)*math.Log((1-p1)/(1-p0))
}

// Board holds the tallies of one service by version and route.
type Board struct {
	tallies map[string]map[string]Tally
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{tallies: make(map[string]map[string]Tally)} }

// Observe counts one run that ended.
func (b *Board) Observe(version, route string, failed bool, latency time.Duration) {
	t := b.Get(version, route)
	t.Observe(failed, latency)
	b.Set(version, route, t)
}

// Get returns the tally of a version on a route.
func (b *Board) Get(version, route string) Tally { return b.tallies[version][route] }

// Set replaces the tally of a version on a route.
func (b *Board) Set(version, route string, t Tally) {
	if b.tallies[version] == nil {
		b.tallies[version] = make(map[string]Tally)
	}
	b.tallies[version][route] = t
}

// Since returns the counts since an earlier state of the same board.
func (b *Board) Since(earlier *Board) *Board {
	since := NewBoard()
	for version, routes := range b.tallies {
		for route, t := range routes {
			since.Set(version, route, t.Since(earlier.Get(version, route)))
		}
	}
	return since
}

// With returns a board with the version from of b and the version to of other.
func (b *Board) With(from string, other *Board, to string) *Board {
	joined := NewBoard()
	for route, t := range b.tallies[from] {
		joined.Set(from, route, t)
	}
	for route, t := range other.tallies[to] {
		joined.Set(to, route, t)
	}
	return joined
}

// Merge adds every tally of another board.
func (b *Board) Merge(other *Board) {
	for version, routes := range other.tallies {
		for route, t := range routes {
			b.Set(version, route, b.Get(version, route).Add(t))
		}
	}
}

// Routes returns the routes on which a version ran, in order of name.
func (b *Board) Routes(version string) []string {
	routes := make([]string, 0, len(b.tallies[version]))
	for route := range b.tallies[version] {
		routes = append(routes, route)
	}
	sort.Strings(routes)
	return routes
}

// Versions returns the versions on the board, in order of name.
func (b *Board) Versions() []string {
	versions := make([]string, 0, len(b.tallies))
	for version := range b.tallies {
		versions = append(versions, version)
	}
	sort.Strings(versions)
	return versions
}

// Total returns a version's tally over all routes.
func (b *Board) Total(version string) Tally {
	var total Tally
	for _, t := range b.tallies[version] {
		total = total.Add(t)
	}
	return total
}

// Finding is the result of comparing two versions, with the counts behind it.
type Finding struct {
	verdict   Verdict
	route     string
	baseline  Tally
	candidate Tally
}

// Verdict returns the result of the test.
func (f Finding) Verdict() Verdict { return f.verdict }

// Route returns the route of the finding, or "" for all routes together.
func (f Finding) Route() string { return f.route }

// Baseline returns the old version's tally on that route.
func (f Finding) Baseline() Tally { return f.baseline }

// Candidate returns the new version's tally on that route.
func (f Finding) Candidate() Tally { return f.candidate }

// Judge compares two versions on each route and over all routes. One bad route
// makes the version bad; it is good if it is good over all routes and no route is
// bad. The alarm threshold of single routes grows with their number (a Bonferroni
// correction), so that many routes do not make a false alarm more likely.
func (s Test) Judge(board *Board, from, to string) Finding {
	routes := board.Routes(to)
	strict := s
	strict.badThreshold += math.Log(float64(max(len(routes), 1)))
	for _, route := range routes {
		baseline, candidate := board.Get(from, route), board.Get(to, route)
		if verdict := strict.Compare(baseline, candidate); verdict == BadFailures || verdict == BadLatency {
			return Finding{verdict: verdict, route: route, baseline: baseline, candidate: candidate}
		}
	}
	baseline, candidate := board.Total(from), board.Total(to)
	verdict := s.compareFailures(baseline, candidate)
	if verdict == Open || verdict == BadFailures {
		return Finding{verdict: verdict, baseline: baseline, candidate: candidate}
	}
	return Finding{verdict: s.latencyOverRoutes(board, from, to, routes), baseline: baseline, candidate: candidate}
}

// latencyOverRoutes adds the routes' log-likelihood ratios. Latencies of different
// routes must not be pooled, because a change of the mix would look like a
// slowdown.
func (s Test) latencyOverRoutes(board *Board, from, to string, routes []string) Verdict {
	sum := 0.0
	for _, route := range routes {
		if logRatio, enough := latencyLogRatio(board.Get(from, route), board.Get(to, route)); enough {
			sum += logRatio
		}
	}
	return s.decide(sum, BadLatency)
}
