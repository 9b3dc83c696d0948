package quota

import (
	"slices"
	"time"
)

const (
	// maxLedgers is how many ledgers' last totals are kept. Gateways that take their
	// scheduler for lost turn to its successor, and may differ about that one.
	maxLedgers = 4
	// homeFraction is the fraction of the gateways of the former ledger that another one
	// must cover to take its place.
	homeFraction = 0.9
	// fullCoverage is the fraction from which on no gateway counts as disconnected.
	fullCoverage = 0.99
	// homeTimeout is how long totals may cover fewer gateways until the others count as
	// disconnected, which may use their part of the bucket. A scheduler that is taken for
	// lost mostly is back by then.
	homeTimeout = totalsTimeout
	// maxUnmatched is the most refill that is credited in a window for gateways that are
	// covered again beyond what they used: the usage of a process that ended is not known,
	// nor that before the first totals of a ledger.
	maxUnmatched = 500 * time.Millisecond
)

// ledgerTotals is the usage of the other gateways in the last totals of a ledger.
type ledgerTotals struct {
	run uint64
	// selective is set if totals state only the workspaces that this gateway follows.
	selective  bool
	othersUsed map[string]float64
	// charged is up to where the usage that this ledger states is charged, on the scale
	// of a bucket's charged. What was charged by another ledger's totals lies beyond.
	charged map[string]float64
	// completeAt is when the gateways that turned to this ledger with this one have
	// reported to it, and returned that it knew most of the others' usage already.
	completeAt time.Time
	returned   bool
}

// withheld is what a gateway keeps back of a bucket. It is credited, and what others used
// meanwhile is charged, once totals cover the gateways again.
type withheld struct {
	// missed is the level and the refill that it keeps back because totals are late, or
	// come from a ledger that covers few gateways for a moment.
	missed float64
	// uncovered is the refill of gateways that its own ledger does not cover.
	uncovered float64
	// unmatched is what was credited beyond what others used, the last of it at unmatchedAt.
	unmatched   float64
	unmatchedAt time.Time
}

// add keeps back a part of a refill of which a fraction is credited.
func (h *withheld) add(refill, fraction, homeCoverage float64) {
	reference := max(fraction, homeCoverage)
	h.missed += refill * (reference - fraction)
	h.uncovered += refill * (1 - reference)
}

// ApplyTotals applies the totals of a ledger.
func (l *Limiter) ApplyTotals(now time.Time, t Totals) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		l.bucketAt(now, b.workspace)
	}
	before := l.rateFraction(now)
	if t.AllJustStarted && !l.options.StartFull {
		l.mergeStartingParts(now, t)
		l.startHome(t)
		l.recordTotals(t)
	} else {
		l.chargeOthers(now, t)
		l.creditWithheld(now, t, before, l.lastTotals(t.LedgerRun).returned)
	}
	l.ledgerRun, l.othersUsed, l.coverage, l.totalsAt = t.LedgerRun, t.OthersUsed, t.Coverage, now
	l.applyLevels(now, t)
	for _, b := range l.buckets {
		b.isolated = false
		b.level = min(b.level, l.maxLevel(b))
	}
}

// mergeStartingParts extends the bucket of each workspace to all gateways that the
// totals cover. After a restart of all, each gateway began with an even part and an
// even part of the refill; what the others did not use of theirs may be used here.
func (l *Limiter) mergeStartingParts(now time.Time, t Totals) {
	for name, b := range l.buckets {
		used := max(0, t.OthersUsed[name]-b.charged)
		b.level -= used
		b.charged += used
		ownPart := l.sharedCoverage
		if ownPart == 0 {
			ownPart = 1 / float64(max(1, l.gatewayCount()))
		}
		b.level += l.options.restartLevel(b.workspace) * max(0, t.Coverage-ownPart)
		refilled := max(0, b.workspace.QuotaPerSecond*now.Sub(b.createdAt).Seconds()*t.Coverage-b.refilled)
		b.level += refilled
		b.refilled += refilled
		b.withheld.clear()
	}
	l.sharedCoverage = max(l.sharedCoverage, t.Coverage)
}

// chargeOthers subtracts what the other gateways used since the last totals of the same
// ledger, less what was charged by totals of other ledgers in between.
func (l *Limiter) chargeOthers(now time.Time, t Totals) {
	last := l.lastTotals(t.LedgerRun)
	if last == nil {
		l.recordTotals(t)
		return
	}
	if t.LedgerRun != l.ledgerRun {
		last.completeAt, last.returned = now.Add(reportDelay), t.Coverage >= l.coverage
		if !last.returned {
			l.unknownUntil = last.completeAt
		}
	}
	// A ledger that covers few gateways does not tell this one's share.
	covers := t.LedgerRun == l.home && t.Coverage >= homeFraction*l.homeCoverage
	for name, b := range l.buckets {
		count, ok := t.OthersUsed[name]
		if !ok {
			continue
		}
		others := last.uncharged(now, b, count)
		b.charged += others
		b.level -= others
		if covers {
			b.lately.record(now, b.used, others)
		}
	}
	last.othersUsed = t.OthersUsed
}

// uncharged returns what is to be charged to a bucket, given the count of the others' usage
// in new totals of the ledger.
func (k *ledgerTotals) uncharged(now time.Time, b *bucket, count float64) float64 {
	name := b.workspace.Name
	charged, ok := k.charged[name]
	if !ok {
		charged = b.charged
	}
	before, stated := k.othersUsed[name]
	if k.selective && !stated {
		// The workspace was not followed when the ledger was heard last.
		k.charged[name] = b.charged
		return 0
	}
	charged += count - before
	others := charged - b.charged
	if now.Before(k.completeAt) {
		if !k.returned {
			// Gateways that turn to this ledger report what they used since they last
			// did, which the ledger that this one came from has stated.
			others, charged = 0, b.charged
		} else if others < 0 {
			// It does not know yet what another ledger stated.
			others = 0
		}
	}
	k.charged[name] = charged
	return others
}

// recordTotals records the first totals of a ledger. What they state is not charged: it
// was charged by the ledger before, or has been refilled since.
func (l *Limiter) recordTotals(t Totals) {
	l.ledgers = slices.DeleteFunc(l.ledgers, func(k *ledgerTotals) bool { return k.run == t.LedgerRun })
	if len(l.ledgers) == maxLedgers {
		l.ledgers = l.ledgers[1:]
	}
	first := &ledgerTotals{run: t.LedgerRun, selective: l.selective, othersUsed: t.OthersUsed, charged: make(map[string]float64, len(l.buckets))}
	for name, b := range l.buckets {
		first.charged[name] = b.charged
	}
	l.ledgers = append(l.ledgers, first)
}

// lastTotals returns the last totals of the ledger, which becomes the latest, or nil.
func (l *Limiter) lastTotals(run uint64) *ledgerTotals {
	i := slices.IndexFunc(l.ledgers, func(k *ledgerTotals) bool { return k.run == run })
	if i < 0 {
		return nil
	}
	last := l.ledgers[i]
	l.ledgers = append(slices.Delete(l.ledgers, i, i+1), last)
	return last
}

// startHome makes the ledger of the totals the one that this gateway belongs to.
func (l *Limiter) startHome(t Totals) {
	if t.LedgerRun != l.home {
		for _, b := range l.buckets {
			b.lately.skip(b.used)
		}
	}
	l.disconnected = l.disconnected && t.LedgerRun == l.home && t.Coverage < fullCoverage
	l.home, l.homeCoverage, l.lowSince = t.LedgerRun, t.Coverage, time.Time{}
}

// creditWithheld credits what was kept back for the gateways that the totals cover. Before
// is the fraction of the rate that was credited until now, and returned reports that the
// ledger knew most of the others' usage when this gateway came back to it.
func (l *Limiter) creditWithheld(now time.Time, t Totals, before float64, returned bool) {
	if l.totalsOverdue(now, totalsTimeout) {
		l.lowSince = time.Time{}
	}
	defer l.settleReturn(now)
	switch {
	case l.totalsAt.IsZero():
		l.creditStart(t)
		l.startHome(t)
	case t.LedgerRun == l.home && t.Coverage >= l.homeCoverage:
		for _, b := range l.buckets {
			b.level += b.withheld.missed
			b.withheld.missed = 0
			if t.Coverage > l.homeCoverage {
				part := (t.Coverage - l.homeCoverage) / (1 - l.homeCoverage)
				b.creditUncovered(now, l.options.Window, b.withheld.uncovered*part)
			}
		}
		l.startHome(t)
	case t.LedgerRun != l.home && t.Coverage >= homeFraction*l.homeCoverage:
		// Another ledger does not state what the others used meanwhile, unless this
		// gateway returns to it alone.
		for _, b := range l.buckets {
			if returned {
				b.withheld.missed, b.withheld.uncovered = 0, max(0, b.withheld.missed)+b.withheld.uncovered
			} else {
				b.withheld.clear()
			}
		}
		l.startHome(t)
		if returned {
			l.settlesAt = now.Add(reportDelay)
		}
	case l.lowSince.IsZero():
		l.lowSince = now
		l.creditPart(t, before)
	case now.Sub(l.lowSince) > homeTimeout:
		for _, b := range l.buckets {
			others := max(0, b.level) * (1 - t.Coverage/l.homeCoverage)
			b.level -= others
			b.withheld.uncovered += others + max(0, b.withheld.missed)
			b.withheld.missed, b.neededAlone = 0, 0
		}
		l.startHome(t)
		l.disconnected = true
	default:
		l.creditPart(t, before)
	}
}

// creditStart credits the rest of a bucket that started full, of which its gateway kept to
// its part until the first totals. Later totals may lack usage from before them.
func (l *Limiter) creditStart(t Totals) {
	if !t.AllJustStarted {
		return
	}
	for name, b := range l.buckets {
		if !b.isolated {
			continue
		}
		b.level += b.withheld.missed*t.Coverage - t.OthersUsed[name]
		b.withheld.clear()
	}
}

// creditPart credits what was kept back for gateways that the home ledger covers again,
// as the usage that these report is charged.
func (l *Limiter) creditPart(t Totals, before float64) {
	if t.LedgerRun != l.home || t.Coverage <= before {
		return
	}
	part := (t.Coverage - before) / (l.homeCoverage - before)
	for _, b := range l.buckets {
		credit := b.withheld.missed * part
		b.level += credit
		b.withheld.missed -= credit
	}
}

// settleReturn credits what was kept back before this gateway came back to a ledger, as the
// usage of others that came back with it is charged.
func (l *Limiter) settleReturn(now time.Time) {
	if l.settlesAt.IsZero() {
		return
	}
	last := !now.Before(l.settlesAt)
	for _, b := range l.buckets {
		credit := b.withheld.uncovered
		if !last {
			credit = min(credit, max(0, -b.level))
		}
		b.creditUncovered(now, l.options.Window, credit)
	}
	if last {
		l.settlesAt = time.Time{}
	}
}

// creditUncovered credits refill that was left to gateways that are covered again. A level
// below zero is what they used. The rest is limited in any window: gateways that are covered
// again one after another would otherwise each add as much.
func (b *bucket) creditUncovered(now time.Time, window time.Duration, credit float64) {
	b.withheld.uncovered = max(0, b.withheld.uncovered-credit)
	if b.level < 0 {
		matched := min(credit, -b.level)
		b.level += matched
		credit -= matched
	}
	h := &b.withheld
	if now.Sub(h.unmatchedAt) >= window {
		h.unmatched = 0
	}
	credit = min(credit, b.workspace.QuotaPerSecond*maxUnmatched.Seconds()-h.unmatched)
	if credit > 0 {
		b.level += credit
		h.unmatched += credit
		h.unmatchedAt = now
	}
}

// clear drops what was kept back. What was credited in the window still counts.
func (h *withheld) clear() { h.missed, h.uncovered = 0, 0 }
