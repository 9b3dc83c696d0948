// Package quota limits what each workspace may use across all gateways. Each gateway
// has a token bucket for the whole fleet, from which it subtracts what the other
// gateways used. The gateway that runs the scheduler sums up the usage. A workspace
// can therefore use its whole quota at a single gateway.
package quota

import (
	"maps"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

const (
	// minRestartPause is the shortest time without any usage when all processes
	// restart; pauses of half a second and more were observed.
	minRestartPause = 500 * time.Millisecond
	// restartExcessFraction is the fraction of the allowed excess that a restart of
	// all gateways may use up. The rest covers what gateways take before they know
	// each other's usage, and a former process that ran for less than a window.
	restartExcessFraction = 1.0 / 3
	// maxNeededFraction is the most of the burst that one request needs in the
	// bucket. Otherwise a request that costs more than the burst would never be
	// served.
	maxNeededFraction = 0.9
	// minNeededFraction is the fraction of the burst that any request needs in the
	// bucket.
	minNeededFraction = 0.01
	// totalsTimeout is the time without totals after which a gateway falls back to
	// an even part of each quota; totals arrive ten times a second.
	totalsTimeout = 400 * time.Millisecond
	// startupWait is how long a new process holds requests until it receives the
	// fleet's totals, before it refuses by its own part. They mostly arrive within
	// 100 ms.
	startupWait = 300 * time.Millisecond
	// startupCoverage is the fraction of the gateways that these totals must cover.
	startupCoverage = 0.9
	// reportDelay is the longest time in which the usage at other gateways is not
	// known here: the interval of reports and their transmission. While the bucket
	// is low, a gateway takes no more than its part of the rest in that time.
	reportDelay = 200 * time.Millisecond
	// minRetryAfter and maxRetryAfter limit the Retry-After of refused requests.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// bucket is the token bucket of a workspace.
type bucket struct {
	workspace  *catalog.Workspace
	level      float64
	refilledAt time.Time
	// used is the total that was taken here, which is reported to the ledger.
	used float64
	// waiting is what waits here for a slot and is not charged yet.
	waiting waiting
	// takenRecently is what was taken here since recentSince. It is limited
	// while the bucket is low.
	takenRecently float64
	recentSince   time.Time
	// lately is the usage from which this gateway's share follows.
	lately lately
	// charged is the usage of others that was already subtracted from the level.
	charged float64
	// createdAt is when the bucket was created, and refilled what was added since.
	createdAt time.Time
	refilled  float64
	// pending is set until the ledger has told the level, and requestedAt is when a
	// request last needed it.
	pending     bool
	requestedAt time.Time
	// withheld is what this gateway keeps back of the level while it lacks totals of all
	// gateways.
	withheld withheld
	// isolated reports that the level is only this gateway's part, because it
	// receives no totals.
	isolated bool
	// neededAlone is the largest level that a refused request needed and that exceeds the
	// part of this gateway.
	neededAlone float64
}

// Limiter holds the buckets of all workspaces. It is safe for concurrent use.
type Limiter struct {
	// gatewayCount returns the number of known gateways.
	gatewayCount func() int

	mu sync.Mutex
	// buckets holds the buckets of the workspaces whose level is known, and pending those
	// of which the ledger has told no level yet.
	buckets, pending map[string]*bucket
	// selective is set if there are too many workspaces to follow the usage of all of them.
	// formerUsed is then what was used here of those that are not followed, and changed
	// holds those whose usage has changed since the last report.
	selective  bool
	formerUsed map[string]float64
	changed    map[string]struct{}
	// wake signals that a level is needed.
	wake chan struct{}
	// othersUsed is the usage of the other gateways in the last totals, and
	// ledgerRun the run of the ledger that they came from.
	othersUsed map[string]float64
	ledgerRun  uint64
	// ledgers holds the last totals of each ledger, the latest last. A gateway may take
	// its scheduler for lost for a moment and return to its ledger.
	ledgers []*ledgerTotals
	// home is the ledger that covers the gateways that this one belongs to, and
	// homeCoverage the fraction that it covers. lowSince is when totals with a lower
	// coverage began, and disconnected reports that they lasted.
	home         uint64
	homeCoverage float64
	lowSince     time.Time
	disconnected bool
	// settlesAt is when what was kept back is settled after a return to a ledger.
	settlesAt time.Time
	// unknownUntil is until when totals do not tell what the others use.
	unknownUntil time.Time
	// sharedCoverage is the fraction of the gateways whose starting parts the
	// buckets include after a restart of all, 0 while they include only their own.
	sharedCoverage float64
	// firstRequest is when a cost was first requested.
	firstRequest time.Time
	// coverage is the fraction of the gateways that the last totals cover.
	coverage float64
	// totalsAt is when the last totals arrived, and startedAt when the first bucket was
	// created.
	totalsAt, startedAt time.Time
	options             Options
}

// Options holds the deployment's settings for quotas.
type Options struct {
	// StartFull states that the buckets start full: nothing was used before, because
	// the whole fleet starts for the first time.
	StartFull bool
	// Slack is by how much all gateways together may exceed a quota that counts
	// tokens. Each may go into debt by its part of it, so that large requests are
	// not refused in favor of small ones.
	Slack float64
	// ExcessFraction is the fraction by which all gateways together may exceed what a
	// workspace may use in a Window.
	ExcessFraction float64
	Window         time.Duration
	// StartedAgain states that the former process of this gateway may have started within the
	// Window, too. The fleet has then used what it may assume at a start.
	StartedAgain bool
}

// restartLevel returns the level of a workspace's bucket that all newly started
// processes together assume, as they do not know what was used before. It is at most
// what was refilled while nothing ran, plus a part of the allowed excess, once in a
// Window. With less, callers below their quotas are refused in the second after a
// restart of all gateways.
func (o Options) restartLevel(w *catalog.Workspace) float64 {
	refilled := w.QuotaPerSecond * minRestartPause.Seconds()
	if o.StartedAgain {
		return min(w.QuotaBurst, refilled)
	}
	allowedExcess := o.ExcessFraction * (w.QuotaPerSecond*o.Window.Seconds() + w.QuotaBurst)
	return min(w.QuotaBurst, refilled+restartExcessFraction*allowedExcess)
}

// New returns a limiter without workspaces. Known returns the number of known
// gateways.
func New(options Options, known func() int) *Limiter {
	return &Limiter{
		gatewayCount: known, options: options, buckets: make(map[string]*bucket), pending: make(map[string]*bucket),
		formerUsed: make(map[string]float64), changed: make(map[string]struct{}), wake: make(chan struct{}, 1), othersUsed: make(map[string]float64),
	}
}

// SetOptions changes the deployment's settings for quotas, or what is known of the former
// process.
func (l *Limiter) SetOptions(options Options) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.options
	l.options = options
	if !before.StartedAgain || options.StartedAgain || options.StartFull {
		return
	}
	part := l.sharedCoverage
	if part == 0 {
		part = 1 / float64(max(1, l.gatewayCount()))
	}
	for _, b := range l.buckets {
		b.level += part * (options.restartLevel(b.workspace) - before.restartLevel(b.workspace))
	}
}

// AddWorkspaces creates buckets for the workspaces that have a quota, unless they are too
// many to follow all of them. If a bucket is created only at the first request of a
// workspace, the ledger must tell its level: it lacks what the other gateways refilled and
// used before.
func (l *Limiter) AddWorkspaces(now time.Time, workspaces []catalog.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limited := countLimited(workspaces); limited > maxAlwaysFollowed {
		l.selective = true
	}
	if l.selective {
		return
	}
	for i := range workspaces {
		if w := &workspaces[i]; w.QuotaPerSecond > 0 {
			l.bucketAt(now, w)
		}
	}
}

func (l *Limiter) bucketAt(now time.Time, w *catalog.Workspace) *bucket {
	b := l.buckets[w.Name]
	if b == nil && l.selective {
		return l.pendingAt(now, w)
	}
	if b == nil {
		b = &bucket{level: l.initialLevel(w), refilledAt: now, createdAt: now, recentSince: now, charged: l.othersUsed[w.Name]}
		l.buckets[w.Name] = b
		if l.startedAt.IsZero() {
			l.startedAt = now
		}
	}
	b.workspace = w
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		fraction := l.rateFraction(now)
		refill := w.QuotaPerSecond * elapsed.Seconds()
		refilled := refill * fraction
		if !l.totalsAt.IsZero() {
			b.withheld.add(refill, fraction, l.homeCoverage)
		}
		b.level += refilled
		b.refilled += refilled
		b.refilledAt = now
	}
	l.limitIsolated(now, b)
	b.level = min(b.level, l.maxLevel(b))
	return b
}

// maxLevel returns the level at which a bucket is full. Parts of gateways that do not know
// each other's usage add up to the burst, but a part holds what a request needs that was
// refused.
func (l *Limiter) maxLevel(b *bucket) float64 {
	part := 1.0
	switch {
	case b.isolated:
		part = 1 / float64(max(1, l.gatewayCount()))
	case l.disconnected:
		part = l.homeCoverage
	}
	return min(b.workspace.QuotaBurst, max(part*b.workspace.QuotaBurst, b.neededAlone))
}

// limitIsolated restricts a gateway that receives no totals to its part of what was
// left at the last ones. Otherwise gateways that cannot reach each other would each
// use up all of it, and a workspace would get it once for each of them.
func (l *Limiter) limitIsolated(now time.Time, b *bucket) {
	overdue := l.totalsOverdue(now, totalsTimeout)
	if overdue && !b.isolated {
		gateways := float64(max(1, l.gatewayCount()))
		left := b.level
		if l.totalsAt.IsZero() {
			// It never had totals: the others have probably used as much each.
			left -= b.used * (gateways - 1)
		}
		part := min(left, left/gateways)
		b.withheld.missed += b.level - part
		b.level, b.neededAlone = part, 0
	}
	b.isolated = overdue
}

// totalsOverdue reports whether the last totals are older than the duration. A new process
// has its part only, unless its buckets started full.
func (l *Limiter) totalsOverdue(now time.Time, after time.Duration) bool {
	if l.totalsAt.IsZero() {
		return l.options.StartFull && !l.startedAt.IsZero() && now.Sub(l.startedAt) > after
	}
	return now.Sub(l.totalsAt) > after
}

// maxTotalsAge returns up to which age the last totals tell what others use.
func (l *Limiter) maxTotalsAge() time.Duration {
	if l.selective {
		return reportDelay + idleReportInterval - ReportInterval
	}
	return reportDelay
}

// initialLevel returns the level of a new bucket: an even part or, shortly after a
// restart of all gateways, what the others left of the shared level. Later, their
// usage has long been refilled, and does not tell what is left.
func (l *Limiter) initialLevel(w *catalog.Workspace) float64 {
	if l.options.StartFull {
		return w.QuotaBurst
	}
	start := l.options.restartLevel(w)
	part := start / float64(max(1, l.gatewayCount()))
	return max(part, start*l.sharedCoverage-l.othersUsed[w.Name])
}

// Settles reports whether the process is new and still waits for the fleet's totals, or
// waits for the level of the workspace. A request that exceeds this gateway's part should be
// held for that time instead of refused.
func (l *Limiter) Settles(now time.Time, w *catalog.Workspace) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.pending[w.Name]; b != nil && b.awaitsLevel(now) {
		return true
	}
	complete := !l.totalsAt.IsZero() && l.coverage >= startupCoverage
	return !l.options.StartFull && !complete && now.Sub(l.firstRequest) < startupWait
}

// rateFraction returns the fraction of the fleet's rate by which the buckets are
// refilled: gateways that the totals do not cover may be using their even part.
func (l *Limiter) rateFraction(now time.Time) float64 {
	if now.Sub(l.totalsAt) > totalsTimeout {
		return 1 / float64(max(1, l.gatewayCount()))
	}
	return l.coverage
}

// Take charges the cost to the workspace's bucket just before the request is sent, or
// returns when to retry.
func (l *Limiter) Take(now time.Time, w *catalog.Workspace, cost float64) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucketAt(now, w)
	b.requestedAt = now
	if b.awaitsLevel(now) {
		return false, minRetryAfter
	}
	if ok, retryAfter := l.covers(now, b, cost, 0); !ok {
		return false, retryAfter
	}
	b.level -= cost
	b.used += cost
	b.takenRecently += cost
	l.changed[w.Name] = struct{}{}
	return true, 0
}

// covers reports whether the bucket covers the cost beside what is reserved, or returns
// when to retry.
func (l *Limiter) covers(now time.Time, b *bucket, cost, reserved float64) (bool, time.Duration) {
	if l.firstRequest.IsZero() {
		l.firstRequest = now
	}
	w := b.workspace
	// Small and large requests needed the same level, so that small ones do not
	// starve large ones by taking each token as it is refilled.
	needed := max(minNeededFraction*w.QuotaBurst, min(cost-l.maxDebt(w), maxNeededFraction*w.QuotaBurst))
	if now.Sub(b.recentSince) > reportDelay {
		b.takenRecently, b.recentSince = 0, now
	}
	if b.level < needed && l.maxLevel(b) < needed {
		b.neededAlone = max(b.neededAlone, needed)
	}
	if b.level-reserved < needed || !l.withinInterval(now, b, w) {
		wait := time.Duration((needed + reserved - b.level) / w.QuotaPerSecond * float64(time.Second))
		return false, min(max(wait, minRetryAfter), maxRetryAfter)
	}
	return true, 0
}

// maxDebt returns how far below zero a request may take the bucket at this gateway.
func (l *Limiter) maxDebt(w *catalog.Workspace) float64 {
	if !w.QuotaCountsTokens {
		return 0
	}
	return l.options.Slack / float64(max(1, l.gatewayCount()))
}

// withinInterval limits what one gateway takes between two reports: all gateways
// together must not take more than the bucket holds before they know each other's
// usage. A single request is always allowed.
func (l *Limiter) withinInterval(now time.Time, b *bucket, w *catalog.Workspace) bool {
	overdue := l.totalsOverdue(now, l.maxTotalsAge()) || now.Before(l.unknownUntil)
	if b.level > w.QuotaBurst/2 && !overdue {
		return true
	}
	share := 1 / float64(max(1, l.gatewayCount()))
	if !b.isolated {
		share = b.lately.share(1 / share)
	}
	// What was taken here since the last reports is already subtracted from the
	// level.
	part := (b.level + b.takenRecently) * share
	if !overdue {
		part *= 2
	}
	return b.takenRecently <= part+w.QuotaPerSecond*reportDelay.Seconds()*share
}

// Return refunds the cost of a request that was not executed.
func (l *Limiter) Return(w *catalog.Workspace, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changed[w.Name] = struct{}{}
	b := l.bucketOf(w.Name)
	if b == nil {
		l.formerUsed[w.Name] -= cost
		return
	}
	b.level = min(b.level+cost, w.QuotaBurst)
	b.used -= cost
}

// Used returns what each workspace has used here since the process started.
func (l *Limiter) Used() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := make(map[string]float64, len(l.buckets)+len(l.formerUsed))
	maps.Copy(used, l.formerUsed)
	for name, b := range l.pending {
		used[name] = b.used
	}
	for name, b := range l.buckets {
		used[name] = b.used
	}
	return used
}
