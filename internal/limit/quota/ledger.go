package quota

import (
	"sync"
	"time"
)

// Ledger sums the usage that all gateways report. The gateway that runs the scheduler
// has one. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	totals   map[string]float64
	gateways map[string]*gatewayUsage
	levels   fleetLevels
	// reporting and fresh were counted over all gateways at countedAt.
	reporting int
	fresh     bool
	countedAt time.Time
}

// gatewayUsage is the usage of one gateway.
type gatewayUsage struct {
	// run identifies the gateway's process, and lastReport is the usage that it last
	// reported.
	run        uint64
	lastReport map[string]float64
	// startedAt is when the process started. Each report overstates it by the time that
	// it was on its way, so the earliest is kept.
	startedAt time.Time
	// used is the part of the totals that this gateway used.
	used       map[string]float64
	reportedAt time.Time
	age        time.Duration
	// follows holds the workspaces that a gateway with selective reports follows, and until
	// when it is told of them.
	follows map[string]time.Time
	// told is the usage at others in the totals with the number.
	told   map[string]float64
	number uint64
}

// justStartedAge is the age up to which a process counts as just started. After a
// restart of all gateways, the first and the last one are connected within 1.5 s.
const justStartedAge = 3 * time.Second

// countInterval is how long the count of reporting gateways is used: it takes a look at all
// of them, and each gets totals several times a second.
const countInterval = 10 * time.Millisecond

// maxReportDelay is the longest time that a report is on its way: the receiver closes a
// stream on which nothing arrives for that long.
const maxReportDelay = 10 * time.Second

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{totals: make(map[string]float64), gateways: make(map[string]*gatewayUsage), levels: newFleetLevels()}
}

// Report is the usage at one gateway.
type Report struct {
	// Run identifies the process, and Age is how long it has run.
	Run uint64
	Age time.Duration
	// Used is what each workspace has used there since the process started.
	Used map[string]float64
	// Selective reports state only the usage that the ledger has not acknowledged, counted
	// from when the gateway turned to the ledger unless its process has just started. They
	// are numbered, and answered with the totals of the workspaces that the gateway follows.
	Selective bool
	Number    uint64
	// Heard is the number of the last totals that arrived, 0 for none.
	Heard uint64
	// Follows are workspaces that the gateway follows, and Needs those whose level it asks
	// for. Levels are those of the others, for a ledger that may know none.
	Follows, Needs []string
	Levels         map[string]float64
}

// Totals is the usage at all other gateways, as it is sent to one gateway.
type Totals struct {
	// LedgerRun identifies the ledger. Totals of different ledgers cannot be compared,
	// as they count from different times.
	LedgerRun uint64
	// OthersUsed is what each workspace used at all other gateways, and Coverage the
	// fraction of the known gateways that it covers.
	OthersUsed map[string]float64
	Coverage   float64
	// AllJustStarted reports that all gateways that the totals cover have just started,
	// and that OthersUsed includes all that they used.
	AllJustStarted bool
	// Number counts the answers to selective reports, and Answers is the number of the
	// report. OthersUsed then holds the workspaces that the gateway follows and whose usage
	// has changed since the totals that it heard.
	Number, Answers uint64
	// Levels holds the fleet's level of each workspace for which the gateway asked, and
	// OwnUsed what the ledger knows of its own usage of it.
	Levels, OwnUsed map[string]float64
	// WithoutLevels is set if the ledger is of an earlier build, which knows no levels.
	WithoutLevels bool
}

// Report records a gateway's usage. A late report of a former process is ignored, and so
// is usage before the gateway's first report to this ledger unless the gateway has just
// started: it has been refilled since, or was charged by the previous ledger.
func (l *Ledger) Report(now time.Time, node string, r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	gateway := l.gateways[node]
	first := gateway == nil
	if first {
		gateway = &gatewayUsage{used: make(map[string]float64), follows: make(map[string]time.Time)}
		l.gateways[node] = gateway
	}
	l.levels.resume(now, r.Age)
	if now.Sub(gateway.reportedAt) > totalsTimeout {
		l.countedAt = time.Time{}
	}
	startedAt := now.Add(-r.Age)
	switch {
	case first || gateway.run != r.Run && !gateway.isFormer(now, r.Run, startedAt):
		gateway.run, gateway.startedAt, gateway.lastReport = r.Run, startedAt, make(map[string]float64)
		gateway.told, gateway.follows = nil, make(map[string]time.Time)
	case gateway.run != r.Run:
		return
	case startedAt.Before(gateway.startedAt):
		gateway.startedAt = startedAt
	}
	gateway.reportedAt, gateway.age = now, r.Age
	for workspace, count := range r.Used {
		delta := count - gateway.lastReport[workspace]
		gateway.lastReport[workspace] = count
		if first && r.Age > justStartedAge {
			continue
		}
		if r.Selective {
			// A count below the last one is that of a gateway that took this ledger for
			// another process, and counts anew.
			delta = max(0, delta)
		}
		gateway.used[workspace] += delta
		l.totals[workspace] += delta
		if len(r.Levels) == 0 {
			// Otherwise the levels include it.
			l.levels.charge(now, workspace, delta)
		}
	}
	l.levels.learn(now, r.Levels)
	gateway.follow(now, r)
}

// isFormer reports whether a report of another process than the current one is late: its
// process was replaced by the current one. The times at which they started tell, as runs
// do not rise if the gateway's clock was set back; but a report that was on its way for
// longer than its process ran makes it look like a later one. A process with a lower run
// is therefore accepted only once the current one is silent.
func (g *gatewayUsage) isFormer(now time.Time, run uint64, startedAt time.Time) bool {
	silence := now.Sub(g.reportedAt)
	if startedAt.Before(g.startedAt) {
		return silence <= maxReportDelay
	}
	return run < g.run && silence <= totalsTimeout
}

// Totals returns the totals for a gateway. Run identifies the ledger's process, and
// known is the number of known gateways.
func (l *Ledger) Totals(now time.Time, node string, run uint64, known int) Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	coverage, fresh := l.coverage(now, known)
	others := make(map[string]float64, len(l.totals))
	for workspace := range l.totals {
		others[workspace] = l.othersUsed(l.gateways[node], workspace)
	}
	return Totals{LedgerRun: run, OthersUsed: others, Coverage: coverage, AllJustStarted: fresh}
}

// coverage returns the fraction of the known gateways that report, and whether all of them
// have just started.
func (l *Ledger) coverage(now time.Time, known int) (fraction float64, fresh bool) {
	if elapsed := now.Sub(l.countedAt); elapsed < 0 || elapsed >= countInterval {
		l.reporting, l.fresh, l.countedAt = 0, true, now
		for _, gateway := range l.gateways {
			if now.Sub(gateway.reportedAt) <= totalsTimeout {
				l.reporting++
				l.fresh = l.fresh && gateway.age <= justStartedAge
			}
		}
	}
	return min(1, float64(l.reporting)/float64(max(1, known))), l.fresh && l.reporting > 0
}

// othersUsed returns the usage of a workspace at all gateways but one, which may be nil.
func (l *Ledger) othersUsed(gateway *gatewayUsage, workspace string) float64 {
	if gateway == nil {
		return l.totals[workspace]
	}
	return l.totals[workspace] - gateway.used[workspace]
}
