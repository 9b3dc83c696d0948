package gateway

import (
	"time"
)

// Reload takes settings that changed while the process runs. What is bound to a
// listener or to the store's keys needs a restart, and the log says so.
func (g *Gateway) Reload(next Settings) {
	old := g.settings
	if next.Callers != old.Callers || next.Readiness != old.Readiness || next.Links != old.Links ||
		next.Metrics != old.Metrics || next.Name != old.Name || next.Domain != old.Domain {
		g.logger.Warn("settings changed that need a restart", "callers", next.Callers, "links", next.Links)
	}
	g.retries.SetSettings(next.Retry)
	g.quota.SetOptions(next.Quota)
	g.grace.Store(int64(next.Grace))
	for _, seed := range next.Seeds {
		g.mesh.Know(g.now(), seed)
	}
	g.logger.Info("settings reloaded", "grace", next.Grace, "seeds", next.Seeds,
		"retry-share", next.Retry.Share, "retry-slack", next.Retry.Slack, "quota-slack", next.Quota.Slack)
}

// tellLeftOut writes how many lines the log left out, when it left out more.
func (g *Gateway) tellLeftOut(now time.Time) {
	if g.leftOut == nil || now.Sub(g.leftOutTold) < tellLeftOutEvery {
		return
	}
	g.leftOutTold = now
	sampled, dropped := g.leftOut()
	if sampled == g.sampledTold && dropped == g.droppedTold {
		return
	}
	g.logger.Info("log lines left out", "sampled", sampled-g.sampledTold, "dropped", dropped-g.droppedTold)
	g.sampledTold, g.droppedTold = sampled, dropped
}

// tellLeftOutEvery is how often left-out lines are told.
const tellLeftOutEvery = 5 * time.Second
