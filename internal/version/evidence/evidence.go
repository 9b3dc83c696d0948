// Package evidence counts how a version's runs went, by route, and tests a
// new version against the old one sequentially: after each run it may be
// asked whether enough is known, at a stated rate of false alarms.
package evidence

import (
	"math"
	"math/bits"
	"sort"
	"time"
)

// latencyBuckets is the number of powers of two of a millisecond that are
// told apart: up to over an hour.
const latencyBuckets = 22

// Tally is what was seen of one version on one route. The zero value is an
// empty tally. Counts only grow, so a lost report costs nothing.
type Tally struct {
	runs     uint64
	failures uint64
	latency  [latencyBuckets]uint32
}

// Observe takes one run that ended.
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

// Buckets returns the latency counts, trailing zeros left out.
func (t Tally) Buckets() []uint32 {
	last := latencyBuckets
	for last > 0 && t.latency[last-1] == 0 {
		last--
	}
	return append([]uint32(nil), t.latency[:last]...)
}

// FromCounts rebuilds a tally that a peer reported.
func FromCounts(runs, failures uint64, buckets []uint32) Tally {
	t := Tally{runs: runs, failures: failures}
	copy(t.latency[:], buckets)
	return t
}

// Add returns both tallies together.
func (t Tally) Add(other Tally) Tally {
	t.runs += other.runs
	t.failures += other.failures
	for i := range t.latency {
		t.latency[i] += other.latency[i]
	}
	return t
}

// Minus returns what came after an earlier state of the same tally.
func (t Tally) Minus(earlier Tally) Tally {
	t.runs -= min(t.runs, earlier.runs)
	t.failures -= min(t.failures, earlier.failures)
	for i := range t.latency {
		t.latency[i] -= min(t.latency[i], earlier.latency[i])
	}
	return t
}

// FailureRate returns the share of failed runs, with one failure in a hundred
// runs assumed beforehand, so that a short record proves nothing.
func (t Tally) FailureRate() float64 {
	return (float64(t.failures) + 1) / (float64(t.runs) + 100)
}

// slowerThan returns the runs in buckets above b, and all runs with a latency.
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

// Verdict is what the evidence says so far.
type Verdict int

// The verdicts.
const (
	// Open: not enough is known.
	Open Verdict = iota
	// Good: as good as the old version.
	Good
	// BadFailures: it fails more often.
	BadFailures
	// BadLatency: it is slower.
	BadLatency
)

// Test is the sequential test's settings.
type Test struct {
	// alarm is the log-likelihood ratio at which a version is called bad.
	alarm float64
	// clear is the one, below zero, at which it is called good.
	clear float64
}

// NewTest returns a test by Wald's sequential probability ratio with the given
// rates of false alarm and of missed faults.
func NewTest(falseAlarm, missed float64) Test {
	return Test{alarm: math.Log((1 - missed) / falseAlarm), clear: math.Log(missed / (1 - falseAlarm))}
}

const (
	// failureFactor and failureLeast say what is bad: this many times the old
	// rate, and at least this share.
	failureFactor = 3
	failureLeast  = 0.08
	// slowFactor is how many times the old share of slow runs is bad, and
	// slowLeast the least share.
	slowFactor = 4
	slowLeast  = 0.5
	// baselineLeast is the lowest rate assumed of the old version.
	baselineLeast = 0.01
	// latencyRunsLeast is how many runs of the old version make its latency
	// comparable.
	latencyRunsLeast = 10
)

// Compare tests the new version's tally against the old one's on the same
// route in the same hours. Only likelihood ratios of counts are used, so the
// test may be asked after every run.
func (s Test) Compare(old, fresh Tally) Verdict {
	failures := s.compareFailures(old, fresh)
	if failures == BadFailures {
		return BadFailures
	}
	latency := s.compareLatency(old, fresh)
	if latency == BadLatency {
		return BadLatency
	}
	if failures == Good && latency == Good {
		return Good
	}
	return Open
}

func (s Test) compareFailures(old, fresh Tally) Verdict {
	p0, p1 := failureRates(old)
	return s.judge(ratio(fresh.failures, fresh.runs, p0, p1), BadFailures)
}

// failureRates are the shares between which the test decides: the old
// version's, and what would be bad.
func failureRates(old Tally) (p0, p1 float64) {
	p0 = max(old.FailureRate(), baselineLeast)
	return p0, min(max(failureLeast, failureFactor*p0), 0.95)
}

// compareLatency counts a run as slow when it is over twice the old version's
// median bucket: a route's own quantity, whatever its usual length.
func (s Test) compareLatency(old, fresh Tally) Verdict {
	logRatio, known := latencyRatio(old, fresh)
	if !known {
		return Open
	}
	return s.judge(logRatio, BadLatency)
}

func latencyRatio(old, fresh Tally) (float64, bool) {
	median, ok := old.medianBucket()
	slowOld, allOld := old.slowerThan(median + 1)
	if !ok || allOld < latencyRunsLeast {
		return 0, false
	}
	p0 := max((float64(slowOld)+0.5)/(float64(allOld)+1), baselineLeast)
	p1 := min(max(slowLeast, slowFactor*p0), 0.95)
	if p1 <= p0 {
		return 0, true
	}
	slow, all := fresh.slowerThan(median + 1)
	return ratio(slow, all, p0, p1), true
}

func (s Test) judge(logRatio float64, bad Verdict) Verdict {
	switch {
	case logRatio >= s.alarm:
		return bad
	case logRatio <= s.clear:
		return Good
	}
	return Open
}

// ratio is the log-likelihood ratio of k successes in n under p1 against p0.
func ratio(k, n uint64, p0, p1 float64) float64 {
	return float64(k)*math.Log(p1/p0) + float64(n-k)*math.Log((1-p1)/(1-p0))
}

// Board holds the tallies of one service by version and route.
type Board struct {
	tallies map[string]map[string]Tally
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{tallies: make(map[string]map[string]Tally)} }

// Observe takes one run that ended.
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

// Since returns what came after an earlier state of the same board.
func (b *Board) Since(earlier *Board) *Board {
	later := NewBoard()
	for version, routes := range b.tallies {
		for route, t := range routes {
			later.Set(version, route, t.Minus(earlier.Get(version, route)))
		}
	}
	return later
}

// With returns a board with this board's version from and the other's version
// to.
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

// Routes returns the routes on which a version ran, in order.
func (b *Board) Routes(version string) []string {
	routes := make([]string, 0, len(b.tallies[version]))
	for route := range b.tallies[version] {
		routes = append(routes, route)
	}
	sort.Strings(routes)
	return routes
}

// Versions returns the versions seen, in order.
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

// Finding is the worst that is known of a version.
type Finding struct {
	verdict Verdict
	route   string
	old     Tally
	fresh   Tally
}

// Verdict returns what the evidence says.
func (f Finding) Verdict() Verdict { return f.verdict }

// Route returns the route it was found on, or "" for all together.
func (f Finding) Route() string { return f.route }

// Old returns the old version's tally there.
func (f Finding) Old() Tally { return f.old }

// Fresh returns the new version's tally there.
func (f Finding) Fresh() Tally { return f.fresh }

// Judge compares two versions on each route and in all. A bad route is enough
// to call the version bad; it is good when it is good in all and no route is
// bad. The alarm of a single route is raised by the number of routes, so that
// many routes do not make a false alarm likelier.
func (s Test) Judge(board *Board, from, to string) Finding {
	routes := board.Routes(to)
	strict := s
	strict.alarm += math.Log(float64(max(len(routes), 1)))
	for _, route := range routes {
		old, fresh := board.Get(from, route), board.Get(to, route)
		if verdict := strict.Compare(old, fresh); verdict == BadFailures || verdict == BadLatency {
			return Finding{verdict: verdict, route: route, old: old, fresh: fresh}
		}
	}
	old, fresh := board.Total(from), board.Total(to)
	verdict := s.compareFailures(old, fresh)
	if verdict == Open || verdict == BadFailures {
		return Finding{verdict: verdict, old: old, fresh: fresh}
	}
	return Finding{verdict: s.latencyOverRoutes(board, from, to, routes), old: old, fresh: fresh}
}

// latencyOverRoutes adds up the routes' log ratios: latencies of unlike routes
// must not be pooled, because a shift of the mix would look like a slowdown.
func (s Test) latencyOverRoutes(board *Board, from, to string, routes []string) Verdict {
	sum := 0.0
	for _, route := range routes {
		if logRatio, known := latencyRatio(board.Get(from, route), board.Get(to, route)); known {
			sum += logRatio
		}
	}
	return s.judge(sum, BadLatency)
}
