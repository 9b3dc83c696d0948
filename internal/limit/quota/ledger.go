package quota

import (
	"sync"
	"time"
)

// Ledger sums what all gateways report. The gateway that schedules keeps one.
// It is safe for concurrent use.
type Ledger struct {
	mu    sync.Mutex
	total map[string]float64
	nodes map[string]*account
}

type account struct {
	run   uint64
	last  map[string]float64
	used  map[string]float64
	heard time.Time
	age   time.Duration
}

// freshFor is the age up to which a process counts as just started. After a
// restart of all the first and the last one hear each other within a second and
// a half.
const freshFor = 3 * time.Second

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{total: make(map[string]float64), nodes: make(map[string]*account)}
}

// Report is what a gateway tells of itself.
type Report struct {
	// Run identifies the process, and Age is how long it has run.
	Run uint64
	Age time.Duration
	// Used is what workspaces used there since it started.
	Used map[string]float64
}

// Totals is what a gateway is told.
type Totals struct {
	// Run identifies the ledger; another one counts from another moment.
	Run uint64
	// Others is what workspaces used at all other gateways, and Part the part
	// of the known gateways that it covers.
	Others map[string]float64
	Part   float64
	// Fresh tells that all that it covers started a moment ago, and that Others
	// holds all that they used.
	Fresh bool
}

// Report takes what a gateway tells. What it had used before this ledger first
// heard of it is left out, unless it started a moment ago: it is refilled by
// then, or charged by the ledger before.
func (l *Ledger) Report(now time.Time, node string, r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.nodes[node]
	first := a == nil
	if first {
		a = &account{used: make(map[string]float64)}
		l.nodes[node] = a
	}
	if a.run != r.Run {
		a.run, a.last = r.Run, make(map[string]float64)
	}
	a.heard, a.age = now, r.Age
	for workspace, count := range r.Used {
		delta := count - a.last[workspace]
		a.last[workspace] = count
		if first && r.Age > freshFor {
			continue
		}
		a.used[workspace] += delta
		l.total[workspace] += delta
	}
}

// Totals returns what a gateway is told. Run identifies the ledger's process.
func (l *Ledger) Totals(now time.Time, node string, run uint64, known int) Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	reporting, fresh := 0, true
	for _, a := range l.nodes {
		if now.Sub(a.heard) <= silentAfter {
			reporting++
			fresh = fresh && a.age <= freshFor
		}
	}
	others := make(map[string]float64, len(l.total))
	for workspace, count := range l.total {
		own := 0.0
		if a := l.nodes[node]; a != nil {
			own = a.used[workspace]
		}
		others[workspace] = count - own
	}
	part := min(1, float64(reporting)/float64(max(1, known)))
	return Totals{Run: run, Others: others, Part: part, Fresh: fresh && reporting > 0}
}
