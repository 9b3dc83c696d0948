package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// configView takes the operators' configuration from the store.
type configView struct{ gateway *Gateway }

// Replace implements follow.View.
func (v *configView) Replace(_ time.Time, s kv.Snapshot) {
	for _, item := range s.Items {
		v.take(item)
	}
}

// Apply implements follow.View. Of several versions in one answer only the last
// is decoded: a large one takes some milliseconds.
func (v *configView) Apply(_ time.Time, c kv.Changes) {
	for _, e := range slices.Backward(c.Events) {
		if !e.Deleted && e.Key == v.gateway.settings.ConfigKey {
			v.take(e.Item)
			v.gateway.noteChange(e.Revision)
			return
		}
	}
}

func (v *configView) take(item kv.Item) {
	if item.Key != v.gateway.settings.ConfigKey {
		return
	}
	v.gateway.takeConfig(item.Value, "store")
}

// takeConfig puts a configuration in force unless a newer one is. A read that
// is behind, and a peer that is, must never take the process back.
func (g *Gateway) takeConfig(raw []byte, from string) {
	begun := g.now()
	next, err := g.decoder.Config(raw)
	decoded := g.now().Sub(begun)
	if err != nil {
		g.logger.Error("configuration not taken", "from", from, "err", err)
		return
	}
	if !g.putInForce(next, raw) {
		return
	}
	g.logger.Info("configuration in force", "version", next.Version(), "from", from,
		"bytes", len(raw), "decode", decoded, "idle-limit", next.Limits().IdleTimeout)
	g.upstreamsChanged()
}

// putInForce puts a configuration in force if it is newer, and keeps it as it was
// written for peers. Two that come at once must not be mixed.
func (g *Gateway) putInForce(next *catalog.Catalog, raw []byte) bool {
	g.configuring.Lock()
	defer g.configuring.Unlock()
	if current := g.catalog.Load(); current != nil && current.Version() >= next.Version() {
		return false
	}
	g.quota.Know(g.now(), next.Workspaces())
	g.catalog.Store(next)
	g.rawConfig.Store(&raw)
	return true
}

// upstreamView takes the upstreams' registrations from the store, and keeps them
// as they were written for peers that the store does not answer.
type upstreamView struct {
	gateway *Gateway

	// mu is held while the roster takes what items take, so that both are alike.
	mu    sync.Mutex
	items map[string]kv.Item
}

// Replace implements follow.View.
func (v *upstreamView) Replace(now time.Time, s kv.Snapshot) {
	items := make(map[string]kv.Item, len(s.Items))
	var ups []roster.Upstream
	for _, item := range s.Items {
		items[item.Key] = item
		u, err := v.gateway.decoder.Upstream(item.Key, item.Value, item.Revision)
		if err != nil {
			v.gateway.logger.Warn("registration ignored", "err", err)
			continue
		}
		ups = append(ups, u)
	}
	v.mu.Lock()
	taken := v.gateway.roster.Replace(now, s.Revision, ups)
	if taken {
		v.items = items
	}
	v.mu.Unlock()
	if !taken {
		return
	}
	v.gateway.upstreamsChanged()
	v.gateway.logger.Info("upstreams read", "count", len(ups), "revision", s.Revision)
}

// Apply implements follow.View.
func (v *upstreamView) Apply(now time.Time, c kv.Changes) {
	for _, e := range c.Events {
		v.event(now, e)
	}
	v.gateway.roster.Advance(c.Revision)
	if len(c.Events) > 0 {
		v.gateway.upstreamsChanged()
	}
}

func (v *upstreamView) event(now time.Time, e kv.Event) {
	g := v.gateway
	id := g.decoder.UpstreamID(e.Key)
	if e.Deleted {
		g.logger.Info("upstream gone", "upstream", id, "revision", e.Revision)
		g.noteChange(e.Revision)
		v.mu.Lock()
		defer v.mu.Unlock()
		delete(v.items, e.Key)
		g.roster.Remove(now, id, e.Revision)
		return
	}
	u, err := g.decoder.Upstream(e.Key, e.Value, e.Revision)
	if err != nil {
		g.logger.Warn("registration ignored", "err", err)
	} else if old, ok := g.roster.Get(id); !ok || old.State != u.State || old.Born != u.Born || old.Address != u.Address {
		g.logger.Info("upstream changed", "upstream", id, "service", u.Service, "address", u.Address,
			"state", u.State, "version", u.Version, "born", u.Born, "revision", e.Revision)
		g.noteChange(e.Revision)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.items[e.Key] = e.Item
	if err != nil {
		g.roster.Remove(now, id, e.Revision)
		return
	}
	g.roster.Put(u)
}

// snapshot returns the registrations as they were written.
func (v *upstreamView) snapshot() []kv.Item {
	v.mu.Lock()
	defer v.mu.Unlock()
	items := make([]kv.Item, 0, len(v.items))
	for _, item := range v.items {
		items = append(items, item)
	}
	return items
}

// upstreamsChanged tells the scheduler which engines may get work. Of several
// calls at once, the last to tell has read last.
func (g *Gateway) upstreamsChanged() {
	g.listing.Lock()
	defer g.listing.Unlock()
	current := g.catalog.Load()
	if current == nil {
		return
	}
	var engines []board.Upstream
	for _, u := range g.roster.All() {
		service := current.Service(u.Service)
		if u.State != roster.Ready || service == nil || service.Engine == nil {
			continue
		}
		engines = append(engines, board.Upstream{
			ID: u.ID, Service: u.Service, Domain: u.Domain, Version: u.Version, Slots: u.Slots, Born: u.Born,
			EventTokens: service.Engine.EventTokens,
		})
	}
	g.granter.SetUpstreams(engines)
}
