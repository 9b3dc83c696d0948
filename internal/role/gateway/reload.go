package gateway

import (
	"time"
)

// Reload applies settings that changed while the process runs. The listen
// addresses, the name and the domain need a restart; a change of them is logged
// as a warning.
func (g *Gateway) Reload(next Settings) {
	initial := g.settings
	if next.CallerAddress != initial.CallerAddress || next.ReadinessAddress != initial.ReadinessAddress || next.LinkAddress != initial.LinkAddress ||
		next.MetricsAddress != initial.MetricsAddress || next.Name != initial.Name || next.Domain != initial.Domain {
		g.logger.Warn("settings changed that need a restart", "callers", next.CallerAddress, "links", next.LinkAddress)
	}
	g.retryBudget.SetSettings(next.Retry)
	g.setQuotaOptions(next.Quota)
	g.setMemoryLimits(next.MemoryBytes, next.Descriptors)
	g.link.setCapacity(next.LinkBytesPerSecond)
	g.regions.Store(&next.Regions)
	g.guard.warmUps.SetLimit(next.WarmUp)
	g.grace.Store(int64(next.GracePeriod))
	for _, address := range next.SeedAddresses {
		g.mesh.AddPeer(g.now(), address)
	}
	g.logger.Info("settings reloaded", "grace", next.GracePeriod, "seeds", next.SeedAddresses,
		"retry-share", next.Retry.Ratio, "retry-slack", next.Retry.Slack, "quota-slack", next.Quota.Slack)
}

// logOmittedLines logs how many lines were omitted since the last report, if any.
func (g *Gateway) logOmittedLines(now time.Time) {
	if g.omittedLogLines == nil || now.Sub(g.omittedLoggedAt) < omittedLinesInterval {
		return
	}
	g.omittedLoggedAt = now
	sampled, dropped := g.omittedLogLines()
	if sampled == g.sampledLogged && dropped == g.droppedLogged {
		return
	}
	g.logger.Info("log lines left out", "sampled", sampled-g.sampledLogged, "dropped", dropped-g.droppedLogged)
	g.sampledLogged, g.droppedLogged = sampled, dropped
}

// omittedLinesInterval is the least time between two reports of omitted log lines.
const omittedLinesInterval = 5 * time.Second
