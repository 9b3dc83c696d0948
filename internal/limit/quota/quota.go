// Package quota bounds what each workspace may use over all entries. Every
// entry holds the fleet's bucket and takes from it what its peers report, so
// a workspace may use its whole quota at any one entry.
package quota

import (
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

const (
	// startLevel is the part of the burst that a new process believes to be
	// left. It does not know what was used before it started; a full bucket at
	// each process after a restart of all would give the burst twice.
	startLevel = 0.4
	// largestPart is the part of the burst that one request must find. A
	// request over the whole burst would otherwise never be served.
	largestPart = 0.9
	// silentAfter is how long a peer may say nothing before it is assumed to
	// use its even part; reports come ten times a second.
	silentAfter = time.Second
	// forgetAfter is how long a silent peer is reckoned with: it may be cut off
	// from here and not from callers. A machine that is replaced is gone.
	forgetAfter = 45 * time.Second
	// unseen is how much use of peers may not be known here yet: a report's
	// interval and its way. While the bucket is low, an entry takes no more
	// than its part of what is left in that time.
	unseen = 200 * time.Millisecond
	// retryLeast and retryMost bound what refused callers are told.
	retryLeast = 200 * time.Millisecond
	retryMost  = 4 * time.Second
)

type bucket struct {
	level float64
	last  time.Time
	// used is all that was taken here, for the reports to peers.
	used float64
	// recent is what was taken here since recentFrom, to hold back while the
	// bucket is low.
	recent     float64
	recentFrom time.Time
}

type peer struct {
	run   uint64
	used  map[string]float64
	heard time.Time
	// charged is until when the peer's even part was taken for it.
	charged time.Time
}

// Keeper holds the buckets. It is safe for concurrent use.
type Keeper struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	peers   map[string]*peer
}

// New returns a keeper that knows no workspace and no peer.
func New() *Keeper {
	return &Keeper{buckets: make(map[string]*bucket), peers: make(map[string]*peer)}
}

func (k *Keeper) at(now time.Time, w *catalog.Workspace) *bucket {
	b := k.buckets[w.Name]
	if b == nil {
		b = &bucket{level: startLevel * w.Burst, last: now, recentFrom: now}
		k.buckets[w.Name] = b
	}
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.level += w.PerSecond * elapsed.Seconds() * k.heardPart(now)
		b.last = now
	}
	b.level = min(b.level, w.Burst)
	return b
}

// heardPart is the part of the fleet's rate that this entry may reckon with: a
// peer that is silent may be using its even part.
func (k *Keeper) heardPart(now time.Time) float64 {
	silent := 0
	for name, p := range k.peers {
		age := now.Sub(p.heard)
		if age > forgetAfter {
			delete(k.peers, name)
			continue
		}
		if age > silentAfter {
			silent++
		}
	}
	all := len(k.peers) + 1
	return float64(all-silent) / float64(all)
}

// Take takes the cost from the workspace's bucket, or tells when to come back.
func (k *Keeper) Take(now time.Time, w *catalog.Workspace, cost float64) (bool, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.at(now, w)
	need := min(cost, largestPart*w.Burst)
	if now.Sub(b.recentFrom) > unseen {
		b.recent, b.recentFrom = 0, now
	}
	if b.level < need || !k.withinPart(b, w, cost) {
		wait := time.Duration((need - b.level) / w.PerSecond * float64(time.Second))
		return false, min(max(wait, retryLeast), retryMost)
	}
	b.level -= cost
	b.used += cost
	b.recent += cost
	return true, 0
}

// withinPart bounds what one entry takes between two reports: all entries
// together must not take more than the bucket holds before they hear of each
// other. A single request always fits.
func (k *Keeper) withinPart(b *bucket, w *catalog.Workspace, cost float64) bool {
	if b.level > w.Burst/2 || b.recent == 0 {
		return true
	}
	heard := float64(len(k.peers) + 1)
	// The level already lacks what was taken here since the last reports.
	return b.recent+cost <= 2*(b.level+b.recent)/heard+w.PerSecond*unseen.Seconds()/heard
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

// Hear takes a peer's report. Run identifies the peer's process: one that was
// restarted counts from 0 again.
func (k *Keeper) Hear(now time.Time, name string, run uint64, used map[string]float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.peers[name]
	if p == nil || p.run != run {
		// What a new process reports first is new use, but what a process had
		// used before this one heard of it is long refilled.
		fresh := &peer{run: run, used: make(map[string]float64), heard: now}
		if p == nil {
			fresh.used = used
		}
		k.peers[name] = fresh
		p = fresh
	}
	p.heard = now
	for workspace, total := range used {
		if b := k.buckets[workspace]; b != nil {
			b.level -= total - p.used[workspace]
		}
	}
	p.used = used
}

// Forget drops a peer that left in good order.
func (k *Keeper) Forget(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.peers, name)
}
