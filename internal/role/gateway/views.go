package gateway

import (
	"slices"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/sched/board"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
)

// configView applies the operators' configuration from the store.
type configView struct{ gateway *Gateway }

// Replace implements follow.View.
func (v *configView) Replace(_ time.Time, s kv.Snapshot) {
	for _, item := range s.Items {
		v.apply(item)
	}
}

// Apply implements follow.View. Of several versions in one batch of changes only the
// last is decoded: decoding a large configuration takes some milliseconds.
func (v *configView) Apply(_ time.Time, c kv.Changes) {
	for _, e := range slices.Backward(c.Events) {
		if !e.Deleted && e.Key == v.gateway.settings.ConfigKey {
			v.apply(e.Item)
			v.gateway.recordChange(e.Revision)
			return
		}
	}
}

func (v *configView) apply(item kv.Item) {
	if item.Key != v.gateway.settings.ConfigKey {
		return
	}
	v.gateway.applyConfig(item.Value, "store")
}

// applyConfig decodes a configuration and activates it unless the active one is as
// new. A stale read or a peer that is behind must never downgrade the configuration.
func (g *Gateway) applyConfig(raw []byte, from string) {
	start := g.now()
	next, err := g.decoder.Config(raw)
	decodeTime := g.now().Sub(start)
	if err != nil {
		g.logger.Error("configuration not taken", "from", from, "err", err)
		return
	}
	if !g.activateConfig(next, raw) {
		return
	}
	g.logger.Info("configuration in force", "version", next.Version(), "from", from,
		"bytes", len(raw), "decode", decodeTime, "idle-limit", next.Limits().IdleTimeout)
	g.publishEngines()
}

// activateConfig activates a configuration if it is newer than the active one, and
// keeps its encoded form to pass it on to peers. The lock keeps the decoded and the
// encoded form consistent when two configurations arrive at once.
func (g *Gateway) activateConfig(next *catalog.Catalog, raw []byte) bool {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	if current := g.catalog.Load(); current != nil && current.Version() >= next.Version() {
		return false
	}
	g.quota.AddWorkspaces(g.now(), next.Workspaces())
	g.ledger.SetWorkspaces(next.Workspaces())
	g.catalog.Store(next)
	g.peers.selected.invalidate()
	g.rawConfig.Store(&raw)
	return true
}

// publishEngines passes the engines that may get new requests to the granter. The
// lock ensures that, of concurrent calls, the last to pass a list has read it last.
func (g *Gateway) publishEngines() {
	g.enginesMu.Lock()
	defer g.enginesMu.Unlock()
	current := g.catalog.Load()
	if current == nil {
		return
	}
	var engines []board.Upstream
	taken := make(map[string]bool)
	for _, u := range g.roster.All() {
		if u.AddressTaken {
			taken[u.ID] = true
			if !g.addressTaken[u.ID] {
				g.logger.Warn("registration ignored while another process has its address; remove it", "upstream", u.ID, "address", u.Address)
			}
		}
		service := current.Service(u.Service)
		if !u.AcceptsRequests() || service == nil || service.Engine == nil {
			continue
		}
		engines = append(engines, board.Upstream{
			ID: u.ID, Service: u.Service, Domain: u.Domain, Version: u.Version, Slots: u.Slots, StartedAtMs: u.StartedAtMs,
			TokensPerEvent: service.Engine.TokensPerEvent, WarmsUp: service.WarmsUp(),
		})
	}
	g.addressTaken = taken
	g.granter.SetUpstreams(engines)
}
