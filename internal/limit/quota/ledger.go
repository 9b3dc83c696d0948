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
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{total: make(map[string]float64), nodes: make(map[string]*account)}
}

// Report takes what workspaces used at a gateway since its process started.
// What it had used before this ledger first heard of it is left out: it is
// refilled by then, or charged by the ledger before.
func (l *Ledger) Report(now time.Time, node string, run uint64, used map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.nodes[node]
	first := a == nil
	if first {
		a = &account{used: make(map[string]float64)}
		l.nodes[node] = a
	}
	if a.run != run {
		a.run, a.last = run, make(map[string]float64)
	}
	a.heard = now
	for workspace, count := range used {
		delta := count - a.last[workspace]
		a.last[workspace] = count
		if first {
			continue
		}
		a.used[workspace] += delta
		l.total[workspace] += delta
	}
}

// Totals returns what workspaces used at all other gateways, and the part of
// the known gateways that report.
func (l *Ledger) Totals(now time.Time, node string, known int) (others map[string]float64, part float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reporting := 0
	for _, a := range l.nodes {
		if now.Sub(a.heard) <= silentAfter {
			reporting++
		}
	}
	others = make(map[string]float64, len(l.total))
	for workspace, count := range l.total {
		own := 0.0
		if a := l.nodes[node]; a != nil {
			own = a.used[workspace]
		}
		others[workspace] = count - own
	}
	return others, min(1, float64(reporting)/float64(max(1, known)))
}
