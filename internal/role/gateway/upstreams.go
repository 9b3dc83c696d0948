package gateway

import (
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/state/kv"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// maxRememberedRemovals bounds the removals that are kept to answer peers' requests
// for changes.
const maxRememberedRemovals = 512

// maxLoggedChanges bounds the lines about upstreams that changed together. When a large fleet
// of them registers, each gateway would write one for each.
const maxLoggedChanges = 64

// upstreamView applies upstream registrations from the store or from a peer to the
// roster, and keeps them in encoded form to pass them on to peers. It implements
// follow.View.
type upstreamView struct {
	gateway *Gateway

	// mu is held while registrations and the roster are updated, so that the two
	// agree.
	mu            sync.Mutex
	registrations map[string]kv.Item
	// changedAt and removedAt hold, by key, the revision at which a registration last
	// changed other than by a heartbeat, and at which it was removed. Removals up to
	// historyStart are not recorded.
	changedAt, removedAt map[string]kv.Revision
	historyStart         kv.Revision
}

func newUpstreamView(g *Gateway) *upstreamView {
	return &upstreamView{
		gateway: g, registrations: make(map[string]kv.Item), changedAt: make(map[string]kv.Revision), removedAt: make(map[string]kv.Revision),
	}
}

// Replace implements follow.View.
func (v *upstreamView) Replace(now time.Time, s kv.Snapshot) {
	registrations := make(map[string]kv.Item, len(s.Items))
	changedAt := make(map[string]kv.Revision, len(s.Items))
	var upstreams []roster.Upstream
	for _, item := range s.Items {
		changedAt[item.Key] = item.Revision
		u, err := v.gateway.decoder.Upstream(item.Key, item.Value, item.Revision)
		registrations[item.Key] = passedOn(item, err)
		if err != nil {
			v.gateway.logger.Warn("registration ignored", "err", err)
			continue
		}
		u.CreatedRevision = item.CreatedRevision
		upstreams = append(upstreams, u)
	}
	v.mu.Lock()
	latest := v.latestChangeLocked(s.Revision, registrations, upstreams)
	former := v.gateway.roster.All()
	replaced := v.gateway.roster.Replace(now, s.Revision, upstreams)
	if replaced {
		v.recordGone(now, former)
		v.recordWarmUpLocked(now, registrations, upstreams)
		v.registrations, v.changedAt = registrations, changedAt
		v.removedAt, v.historyStart = make(map[string]kv.Revision), s.Revision
	}
	v.mu.Unlock()
	if !replaced {
		return
	}
	v.gateway.recordChange(latest)
	v.gateway.publishEngines()
	v.gateway.logger.Info("upstream list replaced", "count", len(upstreams), "revision", s.Revision)
}

// passedOn returns a registration as it is passed on to peers. Of one that could not be read they
// need to know only that it is there: it may be as large as any value of the store, and a message
// cannot hold many of these.
func passedOn(item kv.Item, err error) kv.Item {
	if err != nil {
		item.Value = nil
	}
	return item
}

// recordWarmUpLocked passes a complete list of registrations to the guard.
func (v *upstreamView) recordWarmUpLocked(now time.Time, registrations map[string]kv.Item, upstreams []roster.Upstream) {
	guard := v.gateway.guard
	for key := range v.registrations {
		if _, kept := registrations[key]; !kept {
			guard.warmUps.Removed(now, v.gateway.decoder.UpstreamID(key))
		}
	}
	for _, u := range upstreams {
		guard.registered(now, u)
	}
	guard.warmUps.Listed(now)
}

// recordGone has the crash watch check the former registrations that the
// roster has dropped or replaced since.
func (v *upstreamView) recordGone(now time.Time, former []roster.Upstream) {
	for _, u := range former {
		if current, kept := v.gateway.roster.Get(u.ID); !kept || processOf(current) != processOf(u) {
			v.gateway.crashes.gone(now, u)
		}
	}
}

// latestChangeLocked compares a complete list, read after a gap in the store's
// history, with the registrations so far. It returns the revision of the latest
// change other than a heartbeat, or 0 if there is none. A removal counts as a change
// at the list's revision. A new era is a change in itself, so that peers read it too.
func (v *upstreamView) latestChangeLocked(revision kv.Revision, registrations map[string]kv.Item, upstreams []roster.Upstream) kv.Revision {
	latest := kv.Revision(0)
	if known, era := v.gateway.roster.Revision(), revision.Era(); known != 0 && era > known.Era() {
		latest = kv.At(era, 0)
	}
	if len(v.registrations) == 0 {
		return latest
	}
	for key := range v.registrations {
		if _, kept := registrations[key]; !kept {
			return revision
		}
	}
	for _, u := range upstreams {
		if old, ok := v.gateway.roster.Get(u.ID); !ok || !old.EqualExceptHeartbeat(u) {
			latest = max(latest, u.Revision)
		}
	}
	return latest
}

// Apply implements follow.View. Changes of an earlier era are ignored.
func (v *upstreamView) Apply(now time.Time, c kv.Changes) {
	if c.Revision.Era() < v.gateway.roster.Revision().Era() {
		return
	}
	// Only the last event of each key is applied. Most events are heartbeats.
	lastIndex := make(map[string]int, len(c.Events))
	for i, e := range c.Events {
		lastIndex[e.Key] = i
	}
	changed := 0
	for i, e := range c.Events {
		if lastIndex[e.Key] == i && v.applyEvent(now, e, changed < maxLoggedChanges) {
			changed++
		}
	}
	if changed > maxLoggedChanges {
		v.gateway.logger.Info("further upstreams changed", "count", changed-maxLoggedChanges, "revision", c.Revision)
	}
	v.gateway.roster.AdvanceRevision(c.Revision)
	v.gateway.guard.warmUps.Listed(now)
	if changed > 0 {
		v.gateway.publishEngines()
	}
}

// applyEvent applies one event and reports whether it is more than a heartbeat. Such an event
// gets a line in the log if logged is set.
func (v *upstreamView) applyEvent(now time.Time, e kv.Event, logged bool) (changed bool) {
	v.mu.Lock()
	newer := v.isNewerLocked(e)
	v.mu.Unlock()
	if !newer {
		return false
	}
	g := v.gateway
	id := g.decoder.UpstreamID(e.Key)
	if e.Deleted {
		if logged {
			g.logger.Info("upstream gone", "upstream", id, "revision", e.Revision)
		}
		g.recordChange(e.Revision)
		v.mu.Lock()
		defer v.mu.Unlock()
		if !v.isNewerLocked(e) {
			return false
		}
		delete(v.registrations, e.Key)
		delete(v.changedAt, e.Key)
		v.recordRemovalLocked(e.Key, e.Revision)
		former, known := g.roster.Get(id)
		g.roster.Remove(now, id, e.Revision)
		if _, retained := g.roster.Get(id); known && !retained {
			g.crashes.gone(now, former)
		}
		g.guard.warmUps.Removed(now, id)
		return true
	}
	u, err := g.decoder.Upstream(e.Key, e.Value, e.Revision)
	u.CreatedRevision = e.CreatedRevision
	if err != nil {
		g.logger.Warn("registration ignored", "err", err)
		changed = true
	} else if old, ok := g.roster.Get(id); !ok || !old.EqualExceptHeartbeat(u) {
		changed = true
		if logged {
			g.logger.Info("upstream changed", "upstream", id, "service", u.Service, "address", u.Address,
				"state", u.State, "version", u.Version, "born", u.StartedAtMs, "warm-up", u.WarmUpRemaining, "revision", e.Revision)
		}
		g.recordChange(e.Revision)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.isNewerLocked(e) {
		return false
	}
	v.registrations[e.Key] = passedOn(e.Item, err)
	delete(v.removedAt, e.Key)
	if changed {
		v.changedAt[e.Key] = e.Revision
	}
	if err != nil {
		g.roster.Remove(now, id, e.Revision)
		return true
	}
	g.guard.registered(now, u)
	if changed {
		g.crashes.replaced(now, u)
	}
	g.roster.Put(u)
	return changed
}

// isNewerLocked reports whether an event is later than the known state of its key, and
// not of an earlier era than the roster. The store delivers again what a peer has already
// passed on, and a peer may replace the list meanwhile.
func (v *upstreamView) isNewerLocked(e kv.Event) bool {
	return e.Revision.Era() >= v.gateway.roster.Revision().Era() && e.Revision > max(v.registrations[e.Key].Revision, v.removedAt[e.Key])
}

// recordRemovalLocked records the removal of a registration. When the records are
// full, all of them are dropped.
func (v *upstreamView) recordRemovalLocked(key string, revision kv.Revision) {
	if len(v.removedAt) >= maxRememberedRemovals {
		for _, removed := range v.removedAt {
			v.historyStart = max(v.historyStart, removed)
		}
		v.removedAt = make(map[string]kv.Revision)
	}
	v.removedAt[key] = revision
}

// changesSince returns the changes after a revision, in no particular order, and the
// revision up to which they are complete. If partial is false, the history does not
// reach back that far and the events are the complete list. Registrations that lapsed
// during a store outage and may be renewed are not reported as removed.
func (v *upstreamView) changesSince(after kv.Revision) (events []kv.Event, revision kv.Revision, partial bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	revision = v.gateway.roster.Revision()
	partial = after >= v.historyStart && after.Number() > 0
	for key, item := range v.registrations {
		if !partial || v.changedAt[key] > after {
			events = append(events, kv.Event{Item: item})
		}
	}
	if !partial {
		return events, revision, false
	}
	for key, removed := range v.removedAt {
		if removed <= after {
			continue
		}
		if _, retained := v.gateway.roster.Get(v.gateway.decoder.UpstreamID(key)); retained {
			revision = min(revision, removed-1)
			continue
		}
		events = append(events, kv.Event{Item: kv.Item{Key: key, Revision: removed}, Deleted: true})
	}
	return events, max(revision, after), true
}
