package rollout

import (
	"github.com/persimmonridge/persimmonridge/internal/version/evidence"
)

// Sides of a move in its evidence.
const (
	old   = "old"
	fresh = "new"
)

// Judge gathers what all gateways saw of one move. It is not safe for
// concurrent use.
type Judge struct {
	order   int64
	reports map[string]Report
	watch   *evidence.Watch
	test    evidence.Test
	fault   evidence.Finding
}

// Report is what one process saw of a move since the process started.
type Report struct {
	Order int64
	// Run identifies the process.
	Run     uint64
	Entries []Entry
}

// Entry is what was seen on one route of one side of a move.
type Entry struct {
	Target   bool
	Route    string
	Runs     uint64
	Failures uint64
	Buckets  []uint32
}

// NewJudge returns a judge of the order that has seen nothing.
func NewJudge(order int64) *Judge {
	return &Judge{order: order, reports: make(map[string]Report), watch: evidence.NewWatch(), test: evidence.NewTest(falseAlarm, missed)}
}

// Hear takes a gateway's report. A lost one costs nothing, as counts are totals.
func (j *Judge) Hear(node string, r Report) {
	if r.Order == j.order {
		j.reports[node] = r
	}
}

// Fault returns what speaks against the target. A fault that was found stays.
func (j *Judge) Fault() evidence.Finding {
	if bad(j.fault) {
		return j.fault
	}
	board := evidence.NewBoard()
	for _, r := range j.reports {
		for _, e := range r.Entries {
			side := old
			if e.Target {
				side = fresh
			}
			board.Set(side, e.Route, board.Get(side, e.Route).Add(evidence.FromCounts(e.Runs, e.Failures, e.Buckets)))
		}
	}
	j.fault = j.watch.Update(board, old, fresh)
	if !bad(j.fault) {
		j.fault = j.test.Judge(board, old, fresh)
	}
	return j.fault
}

// Tally counts what one gateway sees of a move.
type Tally struct {
	order int64
	board *evidence.Board
}

// NewTally returns a tally of the order.
func NewTally(order int64) *Tally { return &Tally{order: order, board: evidence.NewBoard()} }

// Entries returns what was counted.
func (t *Tally) Entries() []Entry {
	var entries []Entry
	for _, side := range t.board.Versions() {
		for _, route := range t.board.Routes(side) {
			tally := t.board.Get(side, route)
			entries = append(entries, Entry{
				Target: side == fresh, Route: route, Runs: tally.Runs(), Failures: tally.Failures(), Buckets: tally.Buckets(),
			})
		}
	}
	return entries
}
