// Package cooldown keeps the rest that upstreams ask of this gateway when they turn its
// requests away. It concerns each gateway alone, so nothing is shared.
package cooldown

import (
	"sync"
	"time"
)

// probeInterval is the time between requests to an upstream whose rest is over, until one
// of them is not turned away.
const probeInterval = 250 * time.Millisecond

// rest is what a process of an upstream asked for last.
type rest struct {
	startedAtMs int64
	until       time.Time
	// probedAt is when the latest request was sent after the rest.
	probedAt time.Time
}

// Tracker keeps the rests of upstreams. It is safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex
	rests map[string]*rest
}

// New returns a tracker of no rests.
func New() *Tracker { return &Tracker{rests: make(map[string]*rest)} }

// Asked records that an upstream's process turned a request away and wants no other for a
// time.
func (t *Tracker) Asked(now time.Time, id string, startedAtMs int64, pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rests[id]
	if r == nil || r.startedAtMs < startedAtMs {
		r = &rest{startedAtMs: startedAtMs}
		t.rests[id] = r
	}
	if until := now.Add(pause); until.After(r.until) {
		r.until = until
	}
}

// Served records that an upstream did not turn away a request that was sent at a time. If
// that was after its rest, it may get requests as before.
func (t *Tracker) Served(id string, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rests[id]; r != nil && !sentAt.Before(r.until) {
		delete(t.rests, id)
	}
}

// Wait returns how long it takes until the upstream's process may get a request.
func (t *Tracker) Wait(now time.Time, id string, startedAtMs int64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.waitLocked(now, t.currentLocked(id, startedAtMs))
}

// currentLocked returns the rest that the process, or a later one, asked for.
func (t *Tracker) currentLocked(id string, startedAtMs int64) *rest {
	r := t.rests[id]
	if r == nil || r.startedAtMs < startedAtMs {
		return nil
	}
	return r
}

func (t *Tracker) waitLocked(now time.Time, r *rest) time.Duration {
	if r == nil {
		return 0
	}
	next := r.until
	if probe := r.probedAt.Add(probeInterval); probe.After(next) {
		next = probe
	}
	return max(0, next.Sub(now))
}

// Take reports whether the upstream's process may get a request now, and counts it.
func (t *Tracker) Take(now time.Time, id string, startedAtMs int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.currentLocked(id, startedAtMs)
	if t.waitLocked(now, r) > 0 {
		return false
	}
	if r != nil {
		r.probedAt = now
	}
	return true
}

// Resting returns the number of upstreams that may get no request now.
func (t *Tracker) Resting(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, r := range t.rests {
		if t.waitLocked(now, r) > 0 {
			count++
		}
	}
	return count
}

// Known returns the number of upstreams whose rest is not known to be over: those that rest,
// and those that get a request now and then until one is served.
func (t *Tracker) Known() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rests)
}

// Forget drops the rests that are over of processes that are no longer registered, or not
// the latest under their ID.
func (t *Tracker) Forget(now time.Time, isCurrent func(id string, startedAtMs int64) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.rests {
		if now.After(r.until) && !isCurrent(id, r.startedAtMs) {
			delete(t.rests, id)
		}
	}
}
