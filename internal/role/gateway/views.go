package gateway

import (
	"time"

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

// Apply implements follow.View.
func (v *configView) Apply(_ time.Time, c kv.Changes) {
	for _, e := range c.Events {
		if !e.Deleted {
			v.take(e.Item)
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
	next, err := g.decoder.Config(raw)
	if err != nil {
		g.logger.Error("configuration not taken", "from", from, "err", err)
		return
	}
	for {
		current := g.catalog.Load()
		if current != nil && current.Version() >= next.Version() {
			return
		}
		if g.catalog.CompareAndSwap(current, next) {
			g.logger.Info("configuration in force", "version", next.Version(), "from", from)
			return
		}
	}
}

// upstreamView takes the upstreams' registrations from the store.
type upstreamView struct{ gateway *Gateway }

// Replace implements follow.View.
func (v *upstreamView) Replace(now time.Time, s kv.Snapshot) {
	var ups []roster.Upstream
	for _, item := range s.Items {
		u, err := v.gateway.decoder.Upstream(item.Key, item.Value, item.Revision)
		if err != nil {
			v.gateway.logger.Warn("registration ignored", "err", err)
			continue
		}
		ups = append(ups, u)
	}
	v.gateway.roster.Replace(now, s.Revision, ups)
	v.gateway.logger.Info("upstreams read", "count", len(ups), "revision", s.Revision)
}

// Apply implements follow.View.
func (v *upstreamView) Apply(now time.Time, c kv.Changes) {
	for _, e := range c.Events {
		v.event(now, e)
	}
	v.gateway.roster.Advance(c.Revision)
}

func (v *upstreamView) event(now time.Time, e kv.Event) {
	id := v.gateway.decoder.UpstreamID(e.Key)
	if e.Deleted {
		v.gateway.logger.Info("upstream gone", "upstream", id, "revision", e.Revision)
		v.gateway.roster.Remove(now, id)
		return
	}
	u, err := v.gateway.decoder.Upstream(e.Key, e.Value, e.Revision)
	if err != nil {
		v.gateway.logger.Warn("registration ignored", "err", err)
		v.gateway.roster.Remove(now, id)
		return
	}
	if old, ok := v.gateway.roster.Get(id); !ok || old.State != u.State || old.Born != u.Born || old.Address != u.Address {
		v.gateway.logger.Info("upstream changed", "upstream", id, "service", u.Service, "address", u.Address,
			"state", u.State, "version", u.Version, "born", u.Born, "revision", e.Revision)
	}
	v.gateway.roster.Put(u)
}
