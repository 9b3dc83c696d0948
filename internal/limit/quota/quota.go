// Package quota bounds what each workspace may use over all gateways. Each one
// holds the fleet's bucket and takes from it what the others used, as the
// gateway that schedules sums it up, so a workspace may use its whole quota at
// any one gateway.
package quota

import (
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

const (
	// restartPause is the least time in which nothing is used when all processes
	// are restarted; half a second and more was seen. startPart is the part of
	// what may be exceeded that one restart of all may use up: two may come in
	// one window, and the rest is for what gateways take before they hear of
	// each other.
	restartPause = 500 * time.Millisecond
	startPart    = 1.0 / 3
	// largestPart is the part of the burst that one request must find. A
	// request over the whole burst would otherwise never be served.
	largestPart = 0.9
	// smallestPart is the part of the burst that must be left for any request.
	smallestPart = 0.01
	// silentAfter is how long sums may stay away before a gateway falls back to
	// its even part of each quota; they come ten times a second.
	silentAfter = 400 * time.Millisecond
	// settleWithin is how long a new process may wait to hear what is left of the
	// quotas before it refuses by its own part; it hears in a tenth of a second
	// mostly. settledPart is the part of the gateways that must have been summed.
	settleWithin = 300 * time.Millisecond
	settledPart  = 0.9
	// unseen is how much use of peers may not be known here yet: a report's
	// interval and its way. While the bucket is low, an entry takes no more
	// than its part of what is left in that time.
	unseen = 200 * time.Millisecond
	// retryLeast and retryMost bound what refused callers are told.
	retryLeast = 200 * time.Millisecond
	retryMost  = 4 * time.Second
)

type bucket struct {
	workspace *catalog.Workspace
	level     float64
	last      time.Time
	// used is all that was taken here, for the reports to peers.
	used float64
	// recent is what was taken here since recentFrom, to hold back while the
	// bucket is low.
	recent     float64
	recentFrom time.Time
	// charged is what others used that the level lacks already.
	charged float64
	// began is when the bucket was made, and refilled what came back since.
	began    time.Time
	refilled float64
	// alone tells that the level is this gateway's part, because it hears no sums.
	alone bool
}

// Keeper holds the buckets. It is safe for concurrent use.
type Keeper struct {
	// known tells how many gateways there are.
	known func() int

	mu      sync.Mutex
	buckets map[string]*bucket
	// others is what the last sums said that others used, by the ledger of
	// the run.
	others map[string]float64
	run    uint64
	// sharedPart is the part of the gateways after a restart of all whose starting
	// parts the buckets hold, 0 while they hold the own one alone.
	sharedPart float64
	// asked is when a cost was first asked for.
	asked   time.Time
	part    float64
	heard   time.Time
	options Options
}

// Options are what the deployment says of quotas.
type Options struct {
	// Full tells that nothing was used before, because the whole fleet starts
	// for the first time.
	Full bool
	// Slack is by how much all gateways together may exceed a quota that
	// counts tokens. Each may run its part of it into debt, so that a large
	// request is not refused where a small one is served.
	Slack float64
	// Over is the part of what a workspace may use in a Window by which all
	// gateways together may exceed it.
	Over   float64
	Window time.Duration
}

// start is the part of a workspace's burst that new processes together believe
// to be left. They do not know what was used before they started. What passes is
// never more than what was refilled while nothing ran and what may be exceeded;
// with less, callers below their quotas are refused in the second after a restart
// of all.
func (o Options) start(w *catalog.Workspace) float64 {
	refilled := w.PerSecond * restartPause.Seconds()
	exceeded := o.Over * (w.PerSecond*o.Window.Seconds() + w.Burst)
	return min(w.Burst, refilled+startPart*exceeded)
}

// New returns a keeper that knows no workspace. Known tells how many gateways
// there are.
func New(options Options, known func() int) *Keeper {
	return &Keeper{known: known, options: options, buckets: make(map[string]*bucket), others: make(map[string]float64)}
}

// SetOptions changes what the deployment says of quotas.
func (k *Keeper) SetOptions(options Options) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.options = options
}

// Know makes buckets for the workspaces that have a quota. One that is made when a
// workspace is first met here lacks what the others refilled and used before.
func (k *Keeper) Know(now time.Time, workspaces []catalog.Workspace) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range workspaces {
		if w := &workspaces[i]; w.PerSecond > 0 {
			k.at(now, w)
		}
	}
}

func (k *Keeper) at(now time.Time, w *catalog.Workspace) *bucket {
	b := k.buckets[w.Name]
	if b == nil {
		b = &bucket{level: k.firstLevel(w), last: now, began: now, recentFrom: now, charged: k.others[w.Name]}
		k.buckets[w.Name] = b
	}
	b.workspace = w
	if elapsed := now.Sub(b.last); elapsed > 0 {
		refilled := w.PerSecond * elapsed.Seconds() * k.heardPart(now)
		b.level += refilled
		b.refilled += refilled
		b.last = now
	}
	b.level = min(b.level, w.Burst)
	k.leaveOthersTheirPart(now, b)
	return b
}

// leaveOthersTheirPart keeps a gateway that hears no sums to its part of what was
// left when it heard the last. Those that are cut off from each other would each
// use up all of it, and the workspace get it as often as there are such gateways.
func (k *Keeper) leaveOthersTheirPart(now time.Time, b *bucket) {
	silent := k.missed(now, silentAfter)
	if silent && !b.alone {
		b.level = min(b.level, b.level/float64(max(1, k.known())))
	}
	b.alone = silent
}

// missed tells whether the last sums are longer ago, if there ever were any.
func (k *Keeper) missed(now time.Time, after time.Duration) bool {
	return !k.heard.IsZero() && now.Sub(k.heard) > after
}

// firstLevel is the level of a bucket that was not used here before: an even part
// or, shortly after a restart of all that share it, what the others left. Later on
// the others' use is long since refilled, and says nothing of what is left.
func (k *Keeper) firstLevel(w *catalog.Workspace) float64 {
	if k.options.Full {
		return w.Burst
	}
	start := k.options.start(w)
	part := start / float64(max(1, k.known()))
	return max(part, start*k.sharedPart-k.others[w.Name])
}

// share makes the bucket of each workspace that of all gateways which the totals
// cover. After a restart of all, each began with its even part and was refilled by
// as much; what the others did not use of theirs may be used here.
func (k *Keeper) share(now time.Time, t Totals) {
	for name, b := range k.buckets {
		used := max(0, t.Others[name]-b.charged)
		b.level -= used
		b.charged += used
		own := k.sharedPart
		if own == 0 {
			own = 1 / float64(max(1, k.known()))
		}
		b.level += k.options.start(b.workspace) * max(0, t.Part-own)
		refilled := max(0, b.workspace.PerSecond*now.Sub(b.began).Seconds()*t.Part-b.refilled)
		b.level += refilled
		b.refilled += refilled
	}
	k.sharedPart = max(k.sharedPart, t.Part)
}

// Settles tells whether the process is new and has not heard yet what is left of
// the quotas. A request that is over its part is better held for that moment than
// refused.
func (k *Keeper) Settles(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	heard := !k.heard.IsZero() && k.part >= settledPart
	return !k.options.Full && !heard && now.Sub(k.asked) < settleWithin
}

// heardPart is the part of the fleet's rate that this gateway may reckon with:
// those that are not heard may be using their even part.
func (k *Keeper) heardPart(now time.Time) float64 {
	if now.Sub(k.heard) > silentAfter {
		return 1 / float64(max(1, k.known()))
	}
	return k.part
}

// Take takes the cost from the workspace's bucket, or tells when to come back.
func (k *Keeper) Take(now time.Time, w *catalog.Workspace, cost float64) (bool, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.asked.IsZero() {
		k.asked = now
	}
	b := k.at(now, w)
	// All sizes need the same level, so that small requests do not take each
	// token before a large one finds its number.
	need := max(smallestPart*w.Burst, min(cost-k.debt(w), largestPart*w.Burst))
	if now.Sub(b.recentFrom) > unseen {
		b.recent, b.recentFrom = 0, now
	}
	if b.level < need || !k.withinPart(now, b, w) {
		wait := time.Duration((need - b.level) / w.PerSecond * float64(time.Second))
		return false, min(max(wait, retryLeast), retryMost)
	}
	b.level -= cost
	b.used += cost
	b.recent += cost
	return true, 0
}

// debt is how far below zero one request may take the bucket here.
func (k *Keeper) debt(w *catalog.Workspace) float64 {
	if !w.ByTokens {
		return 0
	}
	return k.options.Slack / float64(max(1, k.known()))
}

// withinPart bounds what one gateway takes between two reports: all together
// must not take more than the bucket holds before they hear of each other. A
// single request always fits.
func (k *Keeper) withinPart(now time.Time, b *bucket, w *catalog.Workspace) bool {
	overdue := k.missed(now, unseen)
	if b.level > w.Burst/2 && !overdue {
		return true
	}
	known := float64(max(1, k.known()))
	// The level already lacks what was taken here since the last reports.
	part := (b.level + b.recent) / known
	if !overdue {
		part *= 2
	}
	return b.recent <= part+w.PerSecond*unseen.Seconds()/known
}

// Return gives back what a request that has not run took.
func (k *Keeper) Return(w *catalog.Workspace, cost float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.buckets[w.Name]
	if b == nil {
		return
	}
	b.level = min(b.level+cost, w.Burst)
	b.used -= cost
}

// Used returns what was taken here by each workspace since the process started.
func (k *Keeper) Used() map[string]float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	used := make(map[string]float64, len(k.buckets))
	for name, b := range k.buckets {
		used[name] = b.used
	}
	return used
}

// Hear takes what a ledger tells.
func (k *Keeper) Hear(now time.Time, t Totals) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case t.Fresh && !k.options.Full:
		k.share(now, t)
	case t.Run == k.run:
		for workspace, count := range t.Others {
			if b := k.buckets[workspace]; b != nil {
				b.level -= count - k.others[workspace]
				b.charged += count - k.others[workspace]
			}
		}
	}
	k.run, k.others, k.part, k.heard = t.Run, t.Others, t.Part, now
}
