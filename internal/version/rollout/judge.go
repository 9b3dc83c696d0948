package rollout

import (
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
	fault   evidence.Finding
}

// Report holds the counts of one process for a move since the process started.
type Report struct {
	Order int64
	// Run identifies the process.
	Run     uint64
	Entries []Entry
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
	return &Judge{order: order, reports: make(map[string]Report), watch: evidence.NewWatch(), test: evidence.NewTest(falseAlarmRate, missRate)}
}

// Renumber continues with the same order under another revision.
func (j *Judge) Renumber(order int64) { j.order = order }

// AddReport stores a gateway's report. Counts are totals, so a later report makes up for
// a lost one.
func (j *Judge) AddReport(node string, r Report) {
	if r.Order == j.order {
		j.reports[node] = r
	}
}

// Fault returns the evidence against the target. Once a fault is found, it stays.
func (j *Judge) Fault() evidence.Finding {
	if isBad(j.fault) {
		return j.fault
	}
	board := evidence.NewBoard()
	for _, r := range j.reports {
		for _, entry := range r.Entries {
			side := sideOld
			if entry.Target {
				side = sideTarget
			}
			board.Set(side, entry.Route, board.Get(side, entry.Route).Add(evidence.FromCounts(entry.Runs, entry.Failures, entry.Buckets)))
		}
	}
	j.fault = j.watch.Update(board, sideOld, sideTarget)
	if !isBad(j.fault) {
		j.fault = j.test.Judge(board, sideOld, sideTarget)
	}
	return j.fault
}

// Tally counts the outcomes of a move's requests at one gateway.
type Tally struct {
	order int64
	board *evidence.Board
}

// NewTally returns an empty tally of the given order.
func NewTally(order int64) *Tally { return &Tally{order: order, board: evidence.NewBoard()} }

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
