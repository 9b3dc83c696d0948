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
}

// justStartedAge is the age up to which a process counts as just started. After a
// restart of all gateways, the first and the last one are connected within 1.5 s.
const justStartedAge = 3 * time.Second

// maxReportDelay is the longest time that a report is on its way: the receiver closes a
// stream on which nothing arrives for that long.
const maxReportDelay = 10 * time.Second

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{totals: make(map[string]float64), gateways: make(map[string]*gatewayUsage)}
}

// Report is the usage at one gateway.
type Report struct {
	// Run identifies the process, and Age is how long it has run.
	Run uint64
	Age time.Duration
	// Used is what each workspace has used there since the process started.
	Used map[string]float64
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
		gateway = &gatewayUsage{used: make(map[string]float64)}
		l.gateways[node] = gateway
	}
	startedAt := now.Add(-r.Age)
	switch {
	case first || gateway.run != r.Run && !gateway.isFormer(now, r.Run, startedAt):
		gateway.run, gateway.startedAt, gateway.lastReport = r.Run, startedAt, make(map[string]float64)
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
		gateway.used[workspace] += delta
		l.totals[workspace] += delta
	}
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
	reporting, fresh := 0, true
	for _, gateway := range l.gateways {
		if now.Sub(gateway.reportedAt) <= totalsTimeout {
			reporting++
			fresh = fresh && gateway.age <= justStartedAge
		}
	}
	others := make(map[string]float64, len(l.totals))
	for workspace, count := range l.totals {
		ownUsed := 0.0
		if gateway := l.gateways[node]; gateway != nil {
			ownUsed = gateway.used[workspace]
		}
		others[workspace] = count - ownUsed
	}
	coverage := min(1, float64(reporting)/float64(max(1, known)))
	return Totals{LedgerRun: run, OthersUsed: others, Coverage: coverage, AllJustStarted: fresh && reporting > 0}
}
