// Package roster is what is known of the upstreams: which there are, where, of
// which version, and which of them may get new work.
package roster

import (
	"sort"
	"sync"
	"time"
)

// State is what an upstream says of itself.
type State int

// The states.
const (
	Ready State = iota
	Draining
)

// Upstream is one upstream as it registered itself.
type Upstream struct {
	ID      string
	Service string
	Address string
	Domain  string
	Version string
	Slots   int
	State   State
	// Born is when the upstream started, in Unix milliseconds. An upstream that
	// starts again under its id holds nothing of before.
	Born int64
	// Warming is how much longer the upstream said it stays slow.
	Warming time.Duration
	// Revision is the registration's last change in the store.
	Revision int64
}

// EqualExceptHeartbeat tells whether two registrations differ by a heartbeat only.
func (u Upstream) EqualExceptHeartbeat(other Upstream) bool {
	u.Revision, u.Warming = other.Revision, other.Warming
	return u == other
}

// reregistrationGrace is how long an upstream whose registration lapsed while the store
// was away may take to register again: the platform states about two seconds.
const reregistrationGrace = 2200 * time.Millisecond

type record struct {
	upstream Upstream
	// retainedUntil is set for a registration that lapsed while the store was
	// away: it still counts until then.
	retainedUntil time.Time
}

// Roster holds the upstreams. It is safe for concurrent use.
type Roster struct {
	mu              sync.RWMutex
	records         map[string]record
	byID            map[string]Upstream
	readyByService  map[string][]Upstream
	storeRegainedAt time.Time
	revision        int64
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{records: make(map[string]record), readyByService: make(map[string][]Upstream)}
}

// StoreRegained tells that the store answers again after it did not.
func (r *Roster) StoreRegained(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeRegainedAt = now
}

// Replace takes the whole list as read at the revision. What is not in it any
// more is gone, but for what may have lapsed while the store was away. It tells
// whether the list was taken: one that is older than what is known is not.
func (r *Roster) Replace(now time.Time, revision int64, upstreams []Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.revision {
		return false
	}
	seen := make(map[string]bool, len(upstreams))
	for _, u := range upstreams {
		seen[u.ID] = true
		r.records[u.ID] = record{upstream: u}
	}
	for id := range r.records {
		if !seen[id] {
			r.remove(now, id)
		}
	}
	r.revision = revision
	r.rebuildIndexes()
	return true
}

// Put takes one registration. A list that is older is of no use from then on.
func (r *Roster) Put(u Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = max(r.revision, u.Revision)
	old, ok := r.records[u.ID]
	if ok && old.upstream.Revision > u.Revision {
		return
	}
	r.records[u.ID] = record{upstream: u}
	// Each upstream's heartbeat comes every second or so, and the lists of a large
	// fleet take a millisecond to rebuild.
	if !ok || !old.upstream.EqualExceptHeartbeat(u) {
		r.rebuildIndexes()
	}
}

// Remove takes the removal of a registration at the revision. One that is older
// than what is known, as a watch tells again after a gap, changes nothing.
func (r *Roster) Remove(now time.Time, id string, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.records[id].upstream.Revision > revision {
		return
	}
	r.remove(now, id)
	r.rebuildIndexes()
}

// AdvanceRevision notes the revision up to which changes were taken.
func (r *Roster) AdvanceRevision(revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = max(r.revision, revision)
}

// Revision returns the revision up to which changes were taken.
func (r *Roster) Revision() int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.revision
}

// remove drops a registration, or keeps it for a while if it may have lapsed
// only because the store was away: its upstream then lives and registers again.
// One that said it drains is dropped at once.
func (r *Roster) remove(now time.Time, id string) {
	old, ok := r.records[id]
	if !ok {
		return
	}
	until := r.storeRegainedAt.Add(reregistrationGrace)
	if old.upstream.State == Ready && now.Before(until) {
		old.retainedUntil = until
		r.records[id] = old
		return
	}
	delete(r.records, id)
}

// Expire drops what has not come back in time. It tells whether anything was.
func (r *Roster) Expire(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	dropped := false
	for id, rec := range r.records {
		if !rec.retainedUntil.IsZero() && !now.Before(rec.retainedUntil) {
			delete(r.records, id)
			dropped = true
		}
	}
	if dropped {
		r.rebuildIndexes()
	}
	return dropped
}

// rebuildIndexes rebuilds the lists that readers get; they are never changed in place.
func (r *Roster) rebuildIndexes() {
	lists := make(map[string][]Upstream)
	byID := make(map[string]Upstream, len(r.records))
	for id, rec := range r.records {
		byID[id] = rec.upstream
		if rec.upstream.State == Ready {
			lists[rec.upstream.Service] = append(lists[rec.upstream.Service], rec.upstream)
		}
	}
	for _, list := range lists {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	r.readyByService, r.byID = lists, byID
}

// Ready returns the upstreams of the service that may get new work, in the
// order of their ids. The caller must not change the list.
func (r *Roster) Ready(service string) []Upstream {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.readyByService[service]
}

// Get returns the upstream of the id.
func (r *Roster) Get(id string) (Upstream, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	u, ok := r.byID[id]
	return u, ok
}

// All returns every upstream that is registered, in no order.
func (r *Roster) All() []Upstream {
	r.mu.RLock()
	defer r.mu.RUnlock()
	all := make([]Upstream, 0, len(r.byID))
	for _, u := range r.byID {
		all = append(all, u)
	}
	return all
}
