package gateway

import (
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/state/kv"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// removedMost bounds the removals that are remembered for peers.
const removedMost = 512

// upstreamView takes the upstreams' registrations from the store or from a peer,
// and keeps them as they were written for peers.
type upstreamView struct {
	gateway *Gateway

	// mu is held while the roster takes what items take, so that both are alike.
	mu    sync.Mutex
	items map[string]kv.Item
	// changed and removed are the revisions at which a registration last changed
	// other than by a heartbeat, and at which it went. Of what went up to floor
	// nothing is known.
	changed, removed map[string]int64
	floor            int64
}

func newUpstreamView(g *Gateway) *upstreamView {
	return &upstreamView{
		gateway: g, items: make(map[string]kv.Item), changed: make(map[string]int64), removed: make(map[string]int64),
	}
}

// Replace implements follow.View.
func (v *upstreamView) Replace(now time.Time, s kv.Snapshot) {
	items := make(map[string]kv.Item, len(s.Items))
	changed := make(map[string]int64, len(s.Items))
	var ups []roster.Upstream
	for _, item := range s.Items {
		items[item.Key], changed[item.Key] = item, item.Revision
		u, err := v.gateway.decoder.Upstream(item.Key, item.Value, item.Revision)
		if err != nil {
			v.gateway.logger.Warn("registration ignored", "err", err)
			continue
		}
		ups = append(ups, u)
	}
	v.mu.Lock()
	news := v.newsLocked(s.Revision, items, ups)
	taken := v.gateway.roster.Replace(now, s.Revision, ups)
	if taken {
		v.items, v.changed = items, changed
		v.removed, v.floor = make(map[string]int64), s.Revision
	}
	v.mu.Unlock()
	if !taken {
		return
	}
	v.gateway.noteChange(news)
	v.gateway.upstreamsChanged()
	v.gateway.logger.Info("upstreams read", "count", len(ups), "revision", s.Revision)
}

// newsLocked returns the revision of the last change in a list that was read anew
// after a gap in the history, or 0.
func (v *upstreamView) newsLocked(revision int64, items map[string]kv.Item, ups []roster.Upstream) int64 {
	if len(v.items) == 0 {
		return 0
	}
	for key := range v.items {
		if _, kept := items[key]; !kept {
			return revision
		}
	}
	last := int64(0)
	for _, u := range ups {
		if old, ok := v.gateway.roster.Get(u.ID); !ok || !old.Alike(u) {
			last = max(last, u.Revision)
		}
	}
	return last
}

// Apply implements follow.View.
func (v *upstreamView) Apply(now time.Time, c kv.Changes) {
	// Of several events of a key only the last counts. Most are heartbeats.
	last := make(map[string]int, len(c.Events))
	for i, e := range c.Events {
		last[e.Key] = i
	}
	changed := false
	for i, e := range c.Events {
		if last[e.Key] == i {
			changed = v.event(now, e) || changed
		}
	}
	v.gateway.roster.Advance(c.Revision)
	if changed {
		v.gateway.upstreamsChanged()
	}
}

// event takes one event and tells whether it is more than a heartbeat.
func (v *upstreamView) event(now time.Time, e kv.Event) (changed bool) {
	if !v.isNews(e) {
		return false
	}
	g := v.gateway
	id := g.decoder.UpstreamID(e.Key)
	if e.Deleted {
		g.logger.Info("upstream gone", "upstream", id, "revision", e.Revision)
		g.noteChange(e.Revision)
		v.mu.Lock()
		defer v.mu.Unlock()
		delete(v.items, e.Key)
		delete(v.changed, e.Key)
		v.noteRemoved(e.Key, e.Revision)
		g.roster.Remove(now, id, e.Revision)
		return true
	}
	u, err := g.decoder.Upstream(e.Key, e.Value, e.Revision)
	if err != nil {
		g.logger.Warn("registration ignored", "err", err)
		changed = true
	} else if old, ok := g.roster.Get(id); !ok || !old.Alike(u) {
		changed = true
		g.logger.Info("upstream changed", "upstream", id, "service", u.Service, "address", u.Address,
			"state", u.State, "version", u.Version, "born", u.Born, "revision", e.Revision)
		g.noteChange(e.Revision)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.items[e.Key] = e.Item
	delete(v.removed, e.Key)
	if changed {
		v.changed[e.Key] = e.Revision
	}
	if err != nil {
		g.roster.Remove(now, id, e.Revision)
		return true
	}
	g.roster.Put(u)
	return changed
}

// isNews tells whether an event is later than what is known of its key: what a
// peer told is read again from the store.
func (v *upstreamView) isNews(e kv.Event) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return e.Revision > max(v.items[e.Key].Revision, v.removed[e.Key])
}

func (v *upstreamView) noteRemoved(key string, revision int64) {
	if len(v.removed) >= removedMost {
		for _, at := range v.removed {
			v.floor = max(v.floor, at)
		}
		v.removed = make(map[string]int64)
	}
	v.removed[key] = revision
}

// since returns what changed after the revision, in no order, and the revision up
// to which that is whole. It tells whether it is all that changed; if not, it is
// the whole list. What lapsed and may be back in a moment is left out.
func (v *upstreamView) since(after int64) (events []kv.Event, revision int64, partial bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	revision = v.gateway.roster.Revision()
	partial = after >= v.floor && after > 0
	for key, item := range v.items {
		if !partial || v.changed[key] > after {
			events = append(events, kv.Event{Item: item})
		}
	}
	if !partial {
		return events, revision, false
	}
	for key, at := range v.removed {
		if at <= after {
			continue
		}
		if _, waits := v.gateway.roster.Get(v.gateway.decoder.UpstreamID(key)); waits {
			revision = min(revision, at-1)
			continue
		}
		events = append(events, kv.Event{Item: kv.Item{Key: key, Revision: at}, Deleted: true})
	}
	return events, max(revision, after), true
}
