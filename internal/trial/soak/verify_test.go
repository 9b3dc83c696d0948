package soak_test

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// applyWithin is when a configuration must be in force and a leaving
	// upstream get nothing new, and judgeSlack what a busy machine adds.
	applyWithin = 2 * time.Second
	judgeSlack  = time.Second
)

// judge compares what callers saw with what upstreams ran, after all ended.
func (w *world) judge() {
	for _, c := range w.calls {
		w.judgeRuns(c)
		w.judgeAnswer(c)
		w.judgePassedOn(c)
		w.judgeEnd(c)
		w.judgeDepartures(c)
	}
	for _, p := range w.probes {
		w.judgePassedOn(p)
		w.judgeVersion(p)
	}
}

func (w *world) accuse(c call, format string, args ...any) {
	w.report(fmt.Sprintf("%s %s by %s, sent at %.3f s: %s", c.kind.name, c.id, w.processes[c.gateway].name,
		c.sent.Sub(w.begun).Seconds(), fmt.Sprintf(format, args...)))
}

// judgeRuns: nothing runs twice that may not, nothing that was said not to have
// run, and nothing with another path or body.
func (w *world) judgeRuns(c call) {
	runs := w.ledger.of(c.id)
	if c.kind.once && len(runs) > 1 {
		w.accuse(c, "ran %d times: %v", len(runs), runs)
	}
	switch c.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(runs) > 0 {
			w.accuse(c, "was refused with %d and ran: %v", c.status, runs)
		}
	}
	for _, r := range runs {
		if r.path != c.path || (c.kind.method == http.MethodPost && r.body != "body of "+c.id) {
			w.accuse(c, "ran with path %q and body %q", r.path, r.body)
		}
	}
}

// judgeAnswer: a success is the whole answer of this request, also in part.
func (w *world) judgeAnswer(c call) {
	if c.err == nil && c.status == http.StatusOK && !c.whole() {
		w.accuse(c, "got a success that is not its whole answer: %q", c.body)
	}
	if !c.inPieces() {
		w.accuse(c, "got a torn or foreign piece: %q", c.body)
	}
	switch c.status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		w.accuse(c, "was denied with %d", c.status)
	}
}

// judgeEnd: a call at a gateway that nothing befell but planned work ends with
// an answer.
func (w *world) judgeEnd(c call) {
	if c.err == nil || c.unsent || w.troubled(c, true) {
		return
	}
	if w.crossed(c) {
		return
	}
	w.accuse(c, "got no answer (%v) although nothing befell its gateway but planned work; status %d, runs %v", c.err, c.status, w.ledger.of(c.id))
}

// crossed tells whether a call met the end of its connection and was not passed
// on.
func (w *world) crossed(c call) bool {
	return c.err != nil && !c.unsent && c.status == 0 && !c.left() && len(w.ledger.seenBy(c.id)) == 0
}

// judgePassedOn: a request that an upstream saw does not end with a closed
// connection and no answer, not even in trouble: a gateway that gets no answer
// says so. Only what was done to its gateway or that upstream itself excuses it.
func (w *world) judgePassedOn(c call) {
	seen := w.ledger.seenBy(c.id)
	if c.err == nil || c.status != 0 || c.left() || len(seen) == 0 {
		return
	}
	if w.processes[c.gateway].harms.meet(c.sent, c.ended) {
		return
	}
	for _, u := range seen {
		if u.harms.meet(c.sent, c.ended) {
			return
		}
	}
	w.accuse(c, "was passed on %d times, and its connection, %s at rest before, was closed after %s without an answer: %v",
		len(seen), c.rested, c.ended.Sub(c.sent), c.err)
}

// judgeDepartures: an upstream that said it leaves gets nothing new.
func (w *world) judgeDepartures(c call) {
	for _, d := range w.departures {
		bound := d.at.Add(applyWithin + judgeSlack)
		for _, r := range w.ledger.of(c.id) {
			if r.upstream != d.upstream || !r.at.After(bound) || !c.sent.After(bound) {
				continue
			}
			span := c
			span.sent = d.at
			if !w.troubled(span, false) {
				w.accuse(c, "ran at %s %s after that said it leaves", d.upstream, r.at.Sub(d.at))
			}
		}
	}
}

// judgeVersion: a version is in force within its time, and the one before not.
func (w *world) judgeVersion(p call) {
	for i, v := range w.versions {
		if p.sent.Before(v.at.Add(applyWithin+judgeSlack)) || (i+1 < len(w.versions) && p.ended.After(w.versions[i+1].from)) {
			continue
		}
		span := p
		span.sent = v.at
		if w.troubled(span, false) {
			continue
		}
		if p.path == versionPath(v.version)+"x" && p.status == http.StatusNotFound {
			w.accuse(p, "got 404 for a route of version %d, %s after the store had it", v.version, p.sent.Sub(v.at))
		}
		if p.path == versionPath(v.version-1)+"x" && p.status == http.StatusOK {
			w.accuse(p, "was served by a route that version %d dropped %s before", v.version, p.sent.Sub(v.at))
		}
	}
}

// troubled tells whether something befell the call's gateway between its sending
// and its end; planned work does not count if it is not to.
func (w *world) troubled(c call, plannedIsCalm bool) bool {
	for _, f := range w.faults {
		if plannedIsCalm && f.name == "stop" {
			continue
		}
		if f.befalls(c.gateway, c.sent, c.ended) {
			return true
		}
	}
	return false
}
