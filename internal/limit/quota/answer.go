package quota

import (
	"maps"
	"time"
)

// followMemory is how long a ledger tells a gateway of a workspace after the gateway has last
// stated that it follows it. Three statements in a row may be lost.
const followMemory = 3*followStatement + time.Second

// follow records which workspaces the gateway follows.
func (g *gatewayUsage) follow(now time.Time, r Report) {
	if !r.Selective {
		return
	}
	for _, workspace := range r.Follows {
		g.follows[workspace] = now.Add(followMemory)
	}
	for _, workspace := range r.Needs {
		g.follows[workspace] = now.Add(followMemory)
	}
	maps.DeleteFunc(g.follows, func(workspace string, until time.Time) bool {
		if now.Before(until) {
			return false
		}
		delete(g.told, workspace)
		return true
	})
}

// Answer returns the totals that answer a report. A selective report is answered with the
// workspaces that the gateway follows, so that what is sent grows with the requests that it
// serves and not with the number of workspaces. The report of a former process has no answer.
func (l *Ledger) Answer(now time.Time, node string, r Report, run uint64, known int) (Totals, bool) {
	if !r.Selective {
		return l.Totals(now, node, run, known), true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	gateway := l.gateways[node]
	if gateway == nil || gateway.run != r.Run {
		return Totals{}, false
	}
	coverage, fresh := l.coverage(now, known)
	if r.Heard != gateway.number {
		gateway.told = nil
	}
	told := make(map[string]float64, len(gateway.follows))
	t := Totals{
		LedgerRun: run, Coverage: coverage, AllJustStarted: fresh, Number: gateway.number + 1, Answers: r.Number,
		OthersUsed: make(map[string]float64), Levels: make(map[string]float64, len(r.Needs)), OwnUsed: make(map[string]float64, len(r.Needs)),
	}
	for workspace := range gateway.follows {
		count := l.othersUsed(gateway, workspace)
		told[workspace] = count
		if before, known := gateway.told[workspace]; !known || before != count {
			t.OthersUsed[workspace] = count
		}
	}
	for _, workspace := range r.Needs {
		if level, known := l.levels.at(now, workspace, coverage); known {
			t.Levels[workspace], t.OwnUsed[workspace] = level, gateway.lastReport[workspace]
			t.OthersUsed[workspace] = told[workspace]
		}
	}
	gateway.told, gateway.number = told, t.Number
	return t, true
}
