package soak_test

import (
	"fmt"
	"os"
	"strings"
	"time"
)

const (
	// earlyInStop is how long after the start of a stop a request is sent whose answer may break
	// off at the exit if its upstream is still at work on it.
	earlyInStop = 3 * time.Second
	// lossSlack is how long after a request was sent its connection may be closed without an
	// answer, if it was not passed on.
	lossSlack = 200 * time.Millisecond
	// deadlineSlack is how long before its deadline a call counts as given up because of it.
	deadlineSlack = 50 * time.Millisecond
)

// recordEnd records that an upstream ended its work on a request.
func (l *requestLog) recordEnd(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[id] = time.Now()
}

// endOf returns when the last upstream ended its work on a request, and whether one did.
func (l *requestLog) endOf(id string) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ended := l.ends[id]
	return at, ended
}

// checkNotBrokenOff checks that an answer is whole, whatever the pace of upstreams, unless its
// deadline was reached, its upstream or its gateway was disrupted, or its upstream was at work on
// it at the end of a stop that had hardly begun when it was sent.
func (tb *testbed) checkNotBrokenOff(c call) {
	if c.err == nil || c.notConnected || c.ended.Sub(c.sent) >= c.timeout-deadlineSlack || tb.gatewayDisrupted(c) {
		return
	}
	if tb.metClosedConnection(c) && (c.ended.Sub(c.sent) < lossSlack || !tb.processes[c.gateway].hasRead(c.id)) {
		return
	}
	for _, u := range tb.requestLog.receiversOf(c.id) {
		if u.disruptions.overlaps(c.sent, c.ended) {
			return
		}
	}
	if tb.atWorkAtExit(c) {
		return
	}
	sinceStop := "never"
	if at, ok := tb.processes[c.gateway].lastStop(c.ended); ok {
		sinceStop = c.sent.Sub(at).String()
	}
	worked := "unended"
	if at, ok := tb.requestLog.endOf(c.id); ok {
		worked = at.Sub(c.sent).String()
	}
	tb.reportCall(c, "broke off after %s (%v), sent %s after SIGTERM, timeout %s; status %d, executions %v, end of work after %s",
		c.ended.Sub(c.sent), c.err, sinceStop, c.timeout, c.status, tb.requestLog.executionsOf(c.id), worked)
}

// hasRead reports whether the log of the gateway tells that it had read all of a request that was
// not passed on.
func (g *gatewayProcess) hasRead(id string) bool {
	raw, err := os.ReadFile(g.log.Name())
	if err != nil {
		g.report(fmt.Sprintf("%s: log: %v", g.name, err))
		return false
	}
	_, rest, found := strings.Cut(string(raw), "msg=request id="+id+" ")
	return found && !strings.HasPrefix(rest, `outcome="left while sending"`)
}

// gatewayDisrupted reports whether the test killed or paused the gateway during the call or
// shortly before.
func (tb *testbed) gatewayDisrupted(c call) bool {
	from := c.sent.Add(-contactTime)
	for _, f := range tb.faults {
		harms := f.name == "kill" || f.name == "herd" || f.name == "freeze"
		concerns := f.gateway == allGateways || f.gateway == c.gateway
		if harms && concerns && f.from.Before(c.ended) && (f.until.IsZero() || f.until.After(from)) {
			return true
		}
	}
	return tb.processes[c.gateway].disruptions.overlaps(from, c.ended)
}

// atWorkAtExit reports whether the call was sent before a stop or early in it, and its upstream
// was still at work on it in the last sixth of the grace period.
func (tb *testbed) atWorkAtExit(c call) bool {
	stopAt, stopped := tb.processes[c.gateway].lastStop(c.ended)
	workEnd, worked := tb.requestLog.endOf(c.id)
	return stopped && worked && c.sent.Sub(stopAt) <= earlyInStop && workEnd.Sub(stopAt) >= tb.grace()*5/6
}

// lastStop returns when the last stop before a moment began, if there was one.
func (g *gatewayProcess) lastStop(before time.Time) (at time.Time, stopped bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.stops {
		if s.Before(before) {
			at, stopped = s, true
		}
	}
	return at, stopped
}
