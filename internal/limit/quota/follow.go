package quota

import (
	"slices"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
)

const (
	// maxAlwaysFollowed is the most workspaces whose usage every gateway follows all the
	// time. Beyond it, totals would grow with the product of gateways and workspaces, and a
	// gateway follows only those that it serves.
	maxAlwaysFollowed = 32
	// followTime is how long a gateway follows a workspace after its last request here.
	followTime = 5 * time.Second
)

// countLimited returns the number of workspaces that have a quota.
func countLimited(workspaces []catalog.Workspace) int {
	limited := 0
	for i := range workspaces {
		if workspaces[i].QuotaPerSecond > 0 {
			limited++
		}
	}
	return limited
}

// awaitsLevel reports whether requests are held until the ledger tells the level.
func (b *bucket) awaitsLevel(now time.Time) bool {
	return b.pending && now.Sub(b.createdAt) < startupWait
}

// bucketOf returns the bucket of a workspace, or nil.
func (l *Limiter) bucketOf(name string) *bucket {
	if b := l.buckets[name]; b != nil {
		return b
	}
	return l.pending[name]
}

// pendingAt returns the bucket of a workspace whose level the ledger has not told. Until then
// it holds this gateway's even part.
func (l *Limiter) pendingAt(now time.Time, w *catalog.Workspace) *bucket {
	part := 1 / float64(max(1, l.gatewayCount()))
	b := l.pending[w.Name]
	if b == nil {
		b = &bucket{
			level: part * l.startLevel(w), refilledAt: now, createdAt: now, requestedAt: now, recentSince: now,
			used: l.formerUsed[w.Name], isolated: true, pending: true,
		}
		l.pending[w.Name] = b
		delete(l.formerUsed, w.Name)
		if l.startedAt.IsZero() {
			l.startedAt = now
		}
		l.signal()
	}
	b.workspace = w
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.level += w.QuotaPerSecond * elapsed.Seconds() * part
		b.refilledAt = now
	}
	b.level = min(b.level, l.maxLevel(b))
	return b
}

// startLevel returns the level that all gateways together assume for a bucket.
func (l *Limiter) startLevel(w *catalog.Workspace) float64 {
	if l.options.StartFull {
		return w.QuotaBurst
	}
	return l.options.restartLevel(w)
}

func (l *Limiter) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Wake returns a channel that signals when a report should be sent without waiting for the
// interval, because a request waits for a level.
func (l *Limiter) Wake() <-chan struct{} { return l.wake }

// Selective reports whether this gateway follows only the workspaces that it serves.
func (l *Limiter) Selective() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.selective
}

// applyLevels sets the levels that the ledger told of pending buckets. A ledger of an earlier
// build tells none; a bucket that it knows nothing of is taken as full.
func (l *Limiter) applyLevels(now time.Time, t Totals) {
	for name, b := range l.pending {
		level, told := t.Levels[name]
		if t.WithoutLevels {
			level, told = b.workspace.QuotaBurst*t.Coverage, true
		}
		if !told {
			continue
		}
		b.level = min(level, b.workspace.QuotaBurst)
		b.pending, b.isolated, b.neededAlone = false, false, 0
		b.refilledAt, b.createdAt, b.refilled = now, now, 0
		b.charged = t.OthersUsed[name]
		b.lately.skip(b.used)
		l.ledgers[len(l.ledgers)-1].charged[name] = b.charged
		l.buckets[name] = b
		delete(l.pending, name)
	}
}

// followed is what a gateway follows when it reports.
type followed struct {
	// names are all workspaces that it follows, and pending those whose level it needs.
	names, pending []string
	// levels are those of the others.
	levels map[string]float64
	// changed is what was used of each workspace whose usage has changed.
	changed map[string]float64
}

// follow ends following the workspaces that were not requested lately, and returns the others
// and the usage that has changed since the last call.
func (l *Limiter) follow(now time.Time) followed {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := followed{levels: make(map[string]float64, len(l.buckets)), changed: make(map[string]float64, len(l.changed))}
	for name := range l.changed {
		f.changed[name] = l.usedLocked(name)
	}
	clear(l.changed)
	for name, b := range l.pending {
		if l.abandon(now, l.pending, name, b) {
			continue
		}
		f.names, f.pending = append(f.names, name), append(f.pending, name)
	}
	for name, b := range l.buckets {
		if l.abandon(now, l.buckets, name, b) {
			continue
		}
		f.names = append(f.names, name)
		if !b.isolated {
			f.levels[name] = b.level
		}
	}
	slices.Sort(f.names)
	slices.Sort(f.pending)
	return f
}

// abandon drops a bucket that no request needs, and reports whether it did.
func (l *Limiter) abandon(now time.Time, from map[string]*bucket, name string, b *bucket) bool {
	if now.Sub(b.requestedAt) <= followTime || b.waiting.cost > 0 {
		return false
	}
	delete(from, name)
	l.formerUsed[name] = b.used
	for _, k := range l.ledgers {
		delete(k.othersUsed, name)
		delete(k.charged, name)
	}
	return true
}

func (l *Limiter) usedLocked(name string) float64 {
	if b := l.bucketOf(name); b != nil {
		return b.used
	}
	return l.formerUsed[name]
}

// used returns what a workspace has used here since the process started.
func (l *Limiter) used(name string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usedLocked(name)
}

// follows reports whether the usage of the workspace is followed here.
func (l *Limiter) follows(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bucketOf(name) != nil
}

// hasNews reports whether usage has changed since the last report, or a level is needed.
func (l *Limiter) hasNews() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.selective || len(l.changed) > 0 || len(l.pending) > 0
}
