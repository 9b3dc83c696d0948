// Package roster holds the registered upstreams: their addresses and versions, and
// which of them may get new requests.
package roster

import (
	"slices"
	"sort"
	"sync"
	"time"
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
	// Revision is the revision of the registration's last change in the store.
	Revision int64
}

// EqualExceptHeartbeat reports whether two registrations differ at most in what a
// heartbeat changes. The begin of a warm-up is a change.
func (u Upstream) EqualExceptHeartbeat(other Upstream) bool {
	if u.WarmUpRemaining <= 0 && other.WarmUpRemaining > 0 {
		return false
	}
	u.Revision, u.WarmUpRemaining, u.Evacuated = other.Revision, other.WarmUpRemaining, other.Evacuated
	return u == other
}

// AcceptsRequests reports whether the upstream may get new requests.
func (u Upstream) AcceptsRequests() bool { return u.State == Ready && !u.Evacuated }

// reregistrationGrace is how long an upstream whose registration lapsed during a store
// outage may take to register again: the platform states about two seconds.
const reregistrationGrace = 2200 * time.Millisecond

type record struct {
	upstream Upstream
	// retainedUntil is set for a registration that lapsed during a store outage; it
	// remains valid until then.
	retainedUntil time.Time
}

// Roster is the set of registered upstreams. It is safe for concurrent use.
type Roster struct {
	mu              sync.RWMutex
	records         map[string]record
	byID            map[string]Upstream
	readyByService  map[string][]Upstream
	evacuated       []string
	storeRegainedAt time.Time
	revision        int64
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{records: make(map[string]record), readyByService: make(map[string][]Upstream)}
}

// StoreRegained records that the store answers again after an outage.
func (r *Roster) StoreRegained(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeRegainedAt = now
}

// Replace replaces the upstreams by the complete list as read at the revision.
// Upstreams that may have lapsed only because of a store outage are retained for a
// while. Replace reports whether it applied the list: one that is older than the known
// revision is ignored.
func (r *Roster) Replace(now time.Time, revision int64, upstreams []Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.revision {
		return false
	}
	registered := make(map[string]bool, len(upstreams))
	for _, u := range upstreams {
		registered[u.ID] = true
		r.records[u.ID] = record{upstream: u}
	}
	for id := range r.records {
		if !registered[id] {
			r.remove(now, id)
		}
	}
	r.revision = revision
	r.rebuildIndexes()
	return true
}

// Put adds or replaces one registration unless a later one is known. Replace ignores
// lists that are older than it.
func (r *Roster) Put(u Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = max(r.revision, u.Revision)
	old, ok := r.records[u.ID]
	if ok && old.upstream.Revision > u.Revision {
		return
	}
	r.records[u.ID] = record{upstream: u}
	// Each upstream sends a heartbeat about every second, and rebuilding the lists of
	// a large fleet takes a millisecond.
	if !ok || !old.upstream.EqualExceptHeartbeat(u) {
		r.rebuildIndexes()
	}
}

// Remove removes a registration at the revision. A removal that is older than the known
// registration, as a watch may deliver again after a gap, changes nothing.
func (r *Roster) Remove(now time.Time, id string, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.records[id].upstream.Revision > revision {
		return
	}
	r.remove(now, id)
	r.rebuildIndexes()
}

// AdvanceRevision raises the revision up to which changes were applied.
func (r *Roster) AdvanceRevision(revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = max(r.revision, revision)
}

// Revision returns the revision up to which changes were applied.
func (r *Roster) Revision() int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.revision
}

// remove drops a registration, or retains it for a while if it may have lapsed only
// because of a store outage: a live upstream then registers again. The registration
// of a draining upstream is dropped at once.
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

// Expire drops retained registrations that were not renewed in time, and reports
// whether there were any.
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

// rebuildIndexes rebuilds the map and the lists that readers get, which are never
// changed in place.
func (r *Roster) rebuildIndexes() {
	readyByService := make(map[string][]Upstream)
	byID := make(map[string]Upstream, len(r.records))
	for id, rec := range r.records {
		u := rec.upstream
		u.Evacuated = slices.Contains(r.evacuated, u.Domain)
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
		if u.Service == service && u.Evacuated && u.State == Ready && among(u) {
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
