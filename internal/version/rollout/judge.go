package rollout

import (
	"time"

	"github.com/persimmonridge/persimmonridge/internal/version/evidence"
)

// Names of the two sides of a move on the evidence board.
const (
	sideOld    = "old"
	sideTarget = "new"
)

// Judge evaluates the reports of all gateways on one move. It is not safe for
// concurrent use.
type Judge struct {
	order   int64
	reports map[string]Report
	watch   *evidence.Watch
	test    evidence.Test
	bad     Judgement
	// slowdown is fed with what is new in each report.
	slowdown  *evidence.Slowdown
	samples   map[string]uint64
	baselines map[string]map[speedKey]evidence.Histogram
}

// Report holds the counts of one process for a move since the process started.
type Report struct {
	Order int64
	// Run identifies the process: it is when that started, in Unix nanoseconds.
	Run     uint64
	Entries []Entry
	// Samples are the target's latest measurements.
	Samples   []NumberedSample
	Baselines []Baseline
}

// Entry holds the counts for one route and one side of a move.
type Entry struct {
	Target   bool
	Route    string
	Runs     uint64
	Failures uint64
	Buckets  []uint32
}

// NewJudge returns a judge of the given order without reports.
func NewJudge(order int64) *Judge {
	return &Judge{
		order: order, reports: make(map[string]Report), watch: evidence.NewWatch(), test: evidence.NewTest(falseAlarmRate, missRate),
		slowdown: evidence.NewSlowdown(), samples: make(map[string]uint64), baselines: make(map[string]map[speedKey]evidence.Histogram),
	}
}

// Renumber continues with the same order under another revision.
func (j *Judge) Renumber(order int64) { j.order = order }

// AddReport stores a gateway's report. Counts are totals, so a later report makes up for
// a lost one.
func (j *Judge) AddReport(now time.Time, node string, r Report) {
	if r.Order != j.order {
		return
	}
	if known, ok := j.reports[node]; ok && known.Run != r.Run {
		delete(j.samples, node)
		delete(j.baselines, node)
	}
	for _, sample := range r.Samples {
		if sample.Number > j.samples[node] {
			j.samples[node] = sample.Number
			j.slowdown.AddSample(now, sample.Sample)
		}
	}
	if j.baselines[node] == nil {
		j.baselines[node] = make(map[speedKey]evidence.Histogram)
	}
	for _, b := range r.Baselines {
		key := speedKey{b.Measure, b.Route}
		known := j.baselines[node][key]
		j.slowdown.AddBaseline(now, b.Measure, b.Route, b.Runs.Since(&known))
		j.baselines[node][key] = b.Runs
	}
	r.Samples, r.Baselines = nil, nil
	j.reports[node] = r
}

// Since returns when the first of the reporting processes started, the present time if none has
// reported.
func (j *Judge) Since(now time.Time) time.Time {
	since := now
	for _, r := range j.reports {
		if startedAt := time.Unix(0, int64(r.Run)); startedAt.Before(since) {
			since = startedAt
		}
	}
	return since
}

// Judgement is the evidence on a target.
type Judgement struct {
	Failures evidence.Finding
	Slowness evidence.Slowness
	// Runs is how many runs of the target were observed.
	Runs uint64
	// Doubt reports that the evidence speaks against the target, though it may be chance.
	Doubt bool
}

// IsBad reports whether the evidence against the target suffices.
func (g Judgement) IsBad() bool {
	return g.Failures.Verdict() == evidence.BadFailures || g.Slowness.IsSlow()
}

// why describes the fault for operators.
func (g Judgement) why() string {
	fault, route := "fails more often", g.Failures.Route()
	if g.Failures.Verdict() != evidence.BadFailures {
		fault, route = "is slower", g.Slowness.Route
	}
	if route == "" {
		return "the version " + fault + " than the former one"
	}
	return "the version " + fault + " than the former one on route " + route
}

// Judge returns the evidence on the target, which has the given number of upstreams. Once the
// target is found to be bad, it stays so.
func (j *Judge) Judge(now time.Time, upstreams int) Judgement {
	if j.bad.IsBad() {
		return j.bad
	}
	board, runs := evidence.NewBoard(), uint64(0)
	for _, r := range j.reports {
		for _, entry := range r.Entries {
			side := sideOld
			if entry.Target {
				side = sideTarget
				runs += entry.Runs
			}
			board.Set(side, entry.Route, board.Get(side, entry.Route).Add(evidence.FromCounts(entry.Runs, entry.Failures, nil)))
		}
	}
	judgement := Judgement{Failures: j.watch.Update(board, sideOld, sideTarget), Slowness: j.slowdown.Evaluate(now, upstreams), Runs: runs}
	if judgement.Failures.Verdict() != evidence.BadFailures {
		judgement.Failures = j.test.Judge(board, sideOld, sideTarget)
	}
	if judgement.IsBad() {
		j.bad = judgement
	}
	judgement.Doubt = judgement.Slowness.LogRatio >= doubtLogRatio || evidence.FailureLogRatio(board, sideOld, sideTarget) >= doubtLogRatio
	return judgement
}

// Tally counts the outcomes of a move's requests at one gateway.
type Tally struct {
	order  int64
	board  *evidence.Board
	speeds *speeds
}

// NewTally returns an empty tally of the given order.
func NewTally(order int64) *Tally {
	return &Tally{order: order, board: evidence.NewBoard(), speeds: newSpeeds()}
}

// Entries returns the counts by side and route.
func (t *Tally) Entries() []Entry {
	var entries []Entry
	for _, side := range t.board.Versions() {
		for _, route := range t.board.Routes(side) {
			tally := t.board.Get(side, route)
			entries = append(entries, Entry{
				Target: side == sideTarget, Route: route, Runs: tally.Runs(), Failures: tally.Failures(), Buckets: tally.Buckets(),
			})
		}
	}
	return entries
}
