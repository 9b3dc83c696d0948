package board

import (
	"math"
	"time"
)

const (
	// paceHalf is the time in which what was granted counts half. A few hundred
	// places come free in it on an engine fleet of some 40, and a burst's end
	// shows within it.
	paceHalf = 400 * time.Millisecond
	// patience is by how much the wait that is to be expected may exceed the
	// time that is left. Places come free unevenly, so the expectation is off by
	// half either way.
	patience = 1.5
	// alwaysWait is the part of a service's slots for which requests of a rank
	// may wait whatever the pace. Places that come free all at once, when a burst
	// ends, then find somebody, and a rank that got nothing so far is noticed.
	alwaysWait = 0.05
)

// rank is what goes before all else in the order of what waits.
type rank struct {
	service  string
	tier     int
	returned bool
}

func rankOf(a *Ask) rank { return rank{a.Service, a.Tier, a.returned} }

// pace is how often a rank's waiting requests got a place of late.
type pace struct {
	count float64
	at    time.Time
}

func (p *pace) decayed(now time.Time) float64 {
	return p.count * math.Exp2(-now.Sub(p.at).Seconds()/paceHalf.Seconds())
}

func (p *pace) add(now time.Time) {
	p.count, p.at = p.decayed(now)+1, now
}

// perSecond returns the places a second: a steady stream of them settles at a
// count of its rate times the half-life over ln 2.
func (p *pace) perSecond(now time.Time) float64 {
	return p.decayed(now) * math.Ln2 / paceHalf.Seconds()
}

// notePace counts a place that a waiting request got.
func (b *Board) notePace(now time.Time, a *Ask) {
	p := b.paces[rankOf(a)]
	if p == nil {
		p = &pace{}
		b.paces[rankOf(a)] = p
	}
	p.add(now)
}

// hopeless tells whether a request would wait in vain: at the pace at which its
// rank gets places, those that go before it take longer than it can wait. To
// tell its caller at once spares a wait of three quarters of its objective, and
// it may come back so much earlier. Spare is how long it can wait.
func (b *Board) hopeless(now time.Time, a *Ask, spare time.Duration) bool {
	if a.Again || b.saturatedFor(now) < saturatedAfter {
		return false
	}
	before := b.before(a)
	if float64(before) < alwaysWait*float64(b.slots(a.Service)) {
		return false
	}
	perSecond := 0.0
	if p := b.paces[rankOf(a)]; p != nil {
		perSecond = p.perSecond(now)
	}
	return float64(before) > patience*perSecond*spare.Seconds()
}

// before counts the waiting requests of the same rank that are due no later.
func (b *Board) before(a *Ask) int {
	count := 0
	for _, other := range b.waiting {
		if !other.Again && rankOf(other) == rankOf(a) && !other.Due.After(a.Due) {
			count++
		}
	}
	return count
}
