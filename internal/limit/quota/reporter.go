package quota

import (
	"maps"
	"sync"
	"time"
)

const (
	// followStatement is how often a gateway states to the ledger what it follows.
	followStatement = 2 * time.Second
	// ReportInterval is how often a gateway reports while its usage changes. The gateways
	// together may exceed a quota by what is used within one interval.
	ReportInterval = 100 * time.Millisecond
	// idleReportInterval is how often a selective gateway reports otherwise. It is well
	// within the time after which a gateway counts as not reporting.
	idleReportInterval = 200 * time.Millisecond
	// maxUnanswered bounds the reports whose answers are awaited.
	maxUnanswered = 16
)

// Reporter reports the usage of a gateway to the ledger at the scheduler and applies the
// totals that answer. It is safe for concurrent use.
type Reporter struct {
	limiter   *Limiter
	run       uint64
	startedAt time.Time

	mu     sync.Mutex
	number uint64
	// views holds what the ledgers at gateways know, by gateway, and current is the one that
	// got the last report.
	views   map[string]*ledgerView
	current string
	// reportedAt is when the last report was made.
	reportedAt time.Time
}

// ledgerView is what the ledger at a gateway knows of this one, and has told.
type ledgerView struct {
	run uint64
	// base is the usage when this gateway turned to the ledger, from which it counts.
	base map[string]float64
	// unacked is the usage that the ledger has not acknowledged.
	unacked map[string]float64
	// levelsTold is set once the ledger knows the levels here.
	levelsTold bool
	// sent holds the usage in reports that were not answered, by number.
	sent map[uint64]map[string]float64
	// heard is the number of the last totals, and others what they stated so far.
	heard    uint64
	others   map[string]float64
	statedAt time.Time
	lastUsed time.Time
}

// NewReporter returns a reporter for the process.
func NewReporter(limiter *Limiter, run uint64, startedAt time.Time) *Reporter {
	return &Reporter{limiter: limiter, run: run, startedAt: startedAt, views: make(map[string]*ledgerView)}
}

// Due reports whether a report is due: usage has changed, a level is needed or the last report
// was long ago. It is asked each ReportInterval, and timers fire late.
func (r *Reporter) Due(now time.Time) bool {
	r.mu.Lock()
	since := now.Sub(r.reportedAt)
	r.mu.Unlock()
	return since > idleReportInterval-ReportInterval/2 || r.limiter.hasNews()
}

// Report returns the report for the ledger at a gateway.
func (r *Reporter) Report(now time.Time, node string) Report {
	report := Report{Run: r.run, Age: now.Sub(r.startedAt)}
	if !r.limiter.Selective() {
		report.Used = r.limiter.Used()
		return report
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportedAt = now
	followed := r.limiter.follow(now)
	for _, v := range r.views {
		maps.Copy(v.unacked, followed.changed)
	}
	v := r.view(now, node)
	if r.current != node {
		r.current = node
		v.heard, v.statedAt, v.levelsTold = 0, time.Time{}, false
	}
	v.lastUsed = now
	r.number++
	report.Selective, report.Number, report.Heard = true, r.number, v.heard
	report.Needs = followed.pending
	if now.Sub(v.statedAt) >= followStatement || v.heard == 0 {
		v.statedAt = now
		report.Follows = followed.names
	}
	if !v.levelsTold {
		report.Levels = followed.levels
	}
	report.Used = make(map[string]float64, len(v.unacked))
	for name, used := range v.unacked {
		report.Used[name] = used - v.base[name]
	}
	v.await(r.number)
	return report
}

// view returns the view of the ledger at a gateway, and forgets the oldest one if there are
// too many.
func (r *Reporter) view(now time.Time, node string) *ledgerView {
	if v := r.views[node]; v != nil {
		return v
	}
	if len(r.views) >= maxLedgers {
		oldest := ""
		for name, v := range r.views {
			if oldest == "" || v.lastUsed.Before(r.views[oldest].lastUsed) {
				oldest = name
			}
		}
		delete(r.views, oldest)
	}
	v := &ledgerView{}
	v.start(r, now)
	r.views[node] = v
	return v
}

// start begins to count for a ledger that knows nothing of this gateway.
func (v *ledgerView) start(r *Reporter, now time.Time) {
	*v = ledgerView{
		base: make(map[string]float64), unacked: make(map[string]float64),
		sent: make(map[uint64]map[string]float64), others: make(map[string]float64), lastUsed: now,
	}
	used := r.limiter.Used()
	if now.Sub(r.startedAt) > justStartedAge {
		v.base = used
		return
	}
	for name, count := range used {
		if count != 0 {
			v.unacked[name] = count
		}
	}
}

// await records what a report states until it is answered.
func (v *ledgerView) await(number uint64) {
	if len(v.sent) >= maxUnanswered {
		clear(v.sent)
	}
	v.sent[number] = maps.Clone(v.unacked)
}

// acknowledge records that the ledger has the report with the number.
func (v *ledgerView) acknowledge(number uint64) {
	for name, used := range v.sent[number] {
		if v.unacked[name] == used {
			delete(v.unacked, name)
		}
	}
	maps.DeleteFunc(v.sent, func(n uint64, _ map[string]float64) bool { return n <= number })
}

// Apply applies totals from the ledger at a gateway.
func (r *Reporter) Apply(now time.Time, node string, t Totals) {
	if !r.limiter.Selective() {
		r.limiter.ApplyTotals(now, t)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.views[node]
	if v == nil || (t.Number != 0 && t.Number <= v.heard && t.LedgerRun == v.run) {
		return
	}
	restarted := v.run != 0 && v.run != t.LedgerRun
	if restarted {
		v.start(r, now)
	}
	v.run = t.LedgerRun
	if t.Answers == 0 {
		t.WithoutLevels = true
	} else {
		v.levelsTold = !restarted
		v.acknowledge(t.Answers)
		v.heard = t.Number
	}
	maps.Copy(v.others, t.OthersUsed)
	maps.DeleteFunc(v.others, func(name string, _ float64) bool { return !r.limiter.follows(name) })
	t.OthersUsed = maps.Clone(v.others)
	levels := make(map[string]float64, len(t.Levels))
	for name, level := range t.Levels {
		levels[name] = level - max(0, r.limiter.used(name)-v.base[name]-t.OwnUsed[name])
	}
	t.Levels = levels
	r.limiter.ApplyTotals(now, t)
}
