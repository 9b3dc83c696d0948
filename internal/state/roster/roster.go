// Package roster holds the registered upstreams: their addresses and versions, and
// which of them may get new requests.
package roster

import (
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/state/kv"
)

// State is the state that an upstream registered.
type State int

// The states of an upstream. A draining one gets no new requests.
const (
	Ready State = iota
	Draining
)

// Upstream is the registration of one upstream.
type Upstream struct {
	ID      string
	Service string
	Address string
	Domain  string
	Version string
	Slots   int
	State   State
	// StartedAtMs is the start time of the upstream in Unix milliseconds. An upstream that
	// restarts under the same ID keeps nothing from before the restart.
	StartedAtMs int64
	// WarmUpRemaining is the remaining warm-up time that the upstream reported,
	// during which it is slow; WarmUpUnknown is set if it reported none.
	WarmUpRemaining time.Duration
	WarmUpUnknown   bool
	// Evacuated reports that operators have evacuated the upstream's failure domain.
	Evacuated bool
	// Leaving reports that the upstream has said in an answer that it leaves.
	Leaving bool
	// AddressTaken reports that another process has the upstream's address.
	AddressTaken bool
	// Revision is the revision of the registration's last change in the store.
	Revision kv.Revision
	// CreatedRevision is the number of the revision at which the registration was created;
	// 0 is unknown.
	CreatedRevision int64
}

// EqualExceptHeartbeat reports whether two registrations differ at most in what a
// heartbeat changes. The begin of a warm-up is a change.
func (u Upstream) EqualExceptHeartbeat(other Upstream) bool {
	if u.WarmUpRemaining <= 0 && other.WarmUpRemaining > 0 {
		return false
	}
	u.Revision, u.CreatedRevision = other.Revision, other.CreatedRevision
	u.WarmUpRemaining, u.Evacuated, u.Leaving = other.WarmUpRemaining, other.Evacuated, other.Leaving
	u.AddressTaken = other.AddressTaken
	return u == other
}

// AcceptsRequests reports whether the upstream may get new requests.
func (u Upstream) AcceptsRequests() bool {
	return u.State == Ready && !u.Evacuated && !u.Leaving && !u.AddressTaken
}

// process returns the process that registered.
func (u Upstream) process() Process { return Process{ID: u.ID, StartedAtMs: u.StartedAtMs} }

// rememberDeparted is how long an upstream that has left is remembered. An older copy, to
// which the store returns, may list it still; the platform's copies are some seconds old.
const rememberDeparted = time.Minute

type record struct {
	upstream Upstream
	// retainedUntil is set for a registration that lapsed during a store outage, or is
	// missing from the copy to which the store returned; it remains valid until then.
	retainedUntil time.Time
}

// overdue reports whether a retained registration was not renewed in time.
func (r record) overdue(now time.Time) bool {
	return !r.retainedUntil.IsZero() && !now.Before(r.retainedUntil)
}

// departure is an upstream that has left.
type departure struct {
	startedAtMs int64
	at          time.Time
}

// Roster is the set of registered upstreams. It is safe for concurrent use.
type Roster struct {
	mu      sync.RWMutex
	records map[string]record
	// departed holds, by ID, the upstreams that have left.
	departed map[string]departure
	// leaving holds, by ID, the upstreams that have said in an answer that they leave.
	leaving        map[string]leavingMark
	byID           map[string]Upstream
	readyByService map[string][]Upstream
	evacuated      []string
	// reserved holds the addresses that no upstream has.
	reserved        map[string]bool
	storeRegainedAt time.Time
	revision        kv.Revision
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{records: make(map[string]record), departed: make(map[string]departure), leaving: make(map[string]leavingMark), readyByService: make(map[string][]Upstream)}
}

// StoreRegained records that the store answers again after an outage.
func (r *Roster) StoreRegained(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeRegainedAt = now
}

// Replace replaces the upstreams by the complete list as read at the revision.
// Upstreams that may have lapsed only because of a store outage, or because they are
// missing from an older copy, are retained for a while. Replace reports whether it applied the
// list: one that is older than the known revision is ignored.
func (r *Roster) Replace(now time.Time, revision kv.Revision, upstreams []Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.revision {
		return false
	}
	newEra := r.revision != 0 && revision.Era() > r.revision.Era()
	var copied map[string]int64
	if newEra {
		copied = r.latestCopied(upstreams)
	}
	registered := make(map[string]bool, len(upstreams))
	for _, u := range upstreams {
		registered[u.ID] = true
		if r.withdrawn(u, newEra) {
			u.State = Draining
		}
		r.records[u.ID] = record{upstream: u}
		delete(r.departed, u.ID)
	}
	for id, rec := range r.records {
		if registered[id] {
			continue
		}
		created := rec.upstream.CreatedRevision
		removedSince := created > 0 && created <= copied[rec.upstream.Service]
		switch {
		case newEra && removedSince:
			r.drop(now, id, rec.upstream)
		case newEra && r.mayReturn(rec.upstream):
			rec.retainedUntil = now.Add(kv.RewriteTime)
			r.records[id] = rec
		case !now.Before(rec.retainedUntil):
			r.remove(now, id)
		}
	}
	r.revision = revision
	r.rebuildIndexes()
	return true
}

// latestCopied returns, by service, the latest creation of a registration that the first
// list of a new era has in common with the era before. The copy to which the store
// returned is at least as late, so that what was created earlier and is not listed was
// removed since. A service whose registrations all lapsed has none in common.
func (r *Roster) latestCopied(upstreams []Upstream) map[string]int64 {
	latest := make(map[string]int64)
	for _, u := range upstreams {
		if old, ok := r.records[u.ID]; ok && old.upstream.CreatedRevision == u.CreatedRevision {
			latest[u.Service] = max(latest[u.Service], u.CreatedRevision)
		}
	}
	return latest
}

// withdrawn reports whether a list states an upstream as it was in the copy to which the
// store returned, although it has left or begun to drain since. Another write of its
// registration, or another start of the upstream, counts as a return.
func (r *Roster) withdrawn(u Upstream, newEra bool) bool {
	if left, ok := r.departed[u.ID]; ok && newEra && left.startedAtMs == u.StartedAtMs {
		return true
	}
	old, ok := r.records[u.ID]
	return ok && old.upstream.State == Draining && old.upstream.StartedAtMs == u.StartedAtMs &&
		(newEra || old.upstream.Revision == u.Revision)
}

// Put adds or replaces one registration unless a later one, or a later era, is known.
// Replace ignores lists that are older than it.
func (r *Roster) Put(u Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.records[u.ID]
	if u.Revision.Era() < r.revision.Era() || (ok && old.upstream.Revision > u.Revision) {
		return
	}
	r.revision = max(r.revision, u.Revision)
	r.records[u.ID] = record{upstream: u}
	delete(r.departed, u.ID)
	// Each upstream sends a heartbeat about every second, and rebuilding the lists of
	// a large fleet takes a millisecond.
	if !ok || !old.upstream.EqualExceptHeartbeat(u) {
		r.rebuildIndexes()
	}
}

// Remove removes a registration at the revision. A removal that is older than the known
// registration, as a watch may deliver again after a gap, or of an earlier era changes
// nothing.
func (r *Roster) Remove(now time.Time, id string, revision kv.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision.Era() < r.revision.Era() || r.records[id].upstream.Revision > revision {
		return
	}
	r.remove(now, id)
	r.rebuildIndexes()
}

// AdvanceRevision raises the revision up to which changes were applied.
func (r *Roster) AdvanceRevision(revision kv.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = max(r.revision, revision)
}

// Revision returns the revision up to which changes were applied.
func (r *Roster) Revision() kv.Revision {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.revision
}

// remove drops a registration, or retains it for a while if it may be missing only
// because of a store outage: a live upstream then registers again. The registration
// of a draining upstream is dropped at once.
func (r *Roster) remove(now time.Time, id string) {
	old, ok := r.records[id]
	if !ok {
		return
	}
	until := r.storeRegainedAt.Add(kv.RewriteTime)
	if r.mayReturn(old.upstream) && now.Before(until) {
		old.retainedUntil = until
		r.records[id] = old
		return
	}
	r.drop(now, id, old.upstream)
}

// mayReturn reports whether an upstream whose registration is missing may only have lost
// it, and has not left.
func (r *Roster) mayReturn(u Upstream) bool {
	return u.State == Ready && !r.leavingLocked(u.process())
}

// drop drops a registration and remembers that the upstream has left.
func (r *Roster) drop(now time.Time, id string, u Upstream) {
	delete(r.records, id)
	r.departed[id] = departure{startedAtMs: u.StartedAtMs, at: now}
}

// Overdue returns the retained registrations that were not renewed in time, which Expire
// drops.
func (r *Roster) Overdue(now time.Time) []Upstream {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var overdue []Upstream
	for _, rec := range r.records {
		if rec.overdue(now) {
			overdue = append(overdue, rec.upstream)
		}
	}
	return overdue
}

// Expire drops retained registrations that were not renewed in time, and reports
// whether there were any. It forgets upstreams that left long ago.
func (r *Roster) Expire(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	dropped := false
	for id, rec := range r.records {
		if rec.overdue(now) {
			r.drop(now, id, rec.upstream)
			dropped = true
		}
	}
	maps.DeleteFunc(r.departed, func(_ string, d departure) bool { return now.Sub(d.at) > rememberDeparted })
	if dropped {
		r.rebuildIndexes()
	}
	r.forgetLeaving(now)
	return dropped
}

// rebuildIndexes rebuilds the map and the lists that readers get, which are never
// changed in place.
func (r *Roster) rebuildIndexes() {
	readyByService := make(map[string][]Upstream)
	byID := make(map[string]Upstream, len(r.records))
	for id, rec := range r.records {
		u := rec.upstream
		u.AddressTaken = r.reserved[u.Address]
		u.Evacuated = slices.Contains(r.evacuated, u.Domain)
		u.Leaving = r.leavingLocked(u.process())
		byID[id] = u
		if u.AcceptsRequests() {
			readyByService[u.Service] = append(readyByService[u.Service], u)
		}
	}
	for _, list := range readyByService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	r.readyByService, r.byID = readyByService, byID
}

// SetEvacuated sets the failure domains whose upstreams may get no new requests.
func (r *Roster) SetEvacuated(domains []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuated = domains
	r.rebuildIndexes()
}

// Evacuated reports whether all ready upstreams of the service in the failure domains are
// evacuated, and there are any. Empty domains stand for all.
func (r *Roster) Evacuated(service string, domains []string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if len(r.evacuated) == 0 {
		return false
	}
	among := func(u Upstream) bool { return len(domains) == 0 || slices.Contains(domains, u.Domain) }
	if slices.ContainsFunc(r.readyByService[service], among) {
		return false
	}
	for _, u := range r.byID {
		if u.Service == service && u.Evacuated && u.State == Ready && !u.Leaving && !u.AddressTaken && among(u) {
			return true
		}
	}
	return false
}

// Ready returns the upstreams of the service that may get new requests, ordered by
// ID. The caller must not change the list.
func (r *Roster) Ready(service string) []Upstream {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.readyByService[service]
}

// Get returns the upstream with the ID.
func (r *Roster) Get(id string) (Upstream, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	u, ok := r.byID[id]
	return u, ok
}

// All returns all upstreams in no particular order.
func (r *Roster) All() []Upstream {
	r.mu.RLock()
	defer r.mu.RUnlock()
	all := make([]Upstream, 0, len(r.byID))
	for _, u := range r.byID {
		all = append(all, u)
	}
	return all
}
