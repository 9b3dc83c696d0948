package gateway

import (
	"slices"
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
	g.peers.forgetChoice()
	g.rawConfig.Store(&raw)
	return true
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
