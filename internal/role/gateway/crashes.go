package gateway

import (
	"strconv"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/limit/crash"
)

// crashWatch records which requests upstreams were executing when they crashed, and tells
// the peers. It implements flow.CrashTracker.
type crashWatch struct {
	*Gateway
}

// Blocked implements flow.CrashTracker.
func (w *crashWatch) Blocked(now time.Time, fingerprint uint64) bool {
	return w.crashTracker.Blocked(now, fingerprint)
}

// Broke implements flow.CrashTracker.
func (w *crashWatch) Broke(now time.Time, upstream string, fingerprint uint64) {
	w.crashTracker.Broke(now, upstream, fingerprint)
}

// Down implements flow.CrashTracker.
func (w *crashWatch) Down(now time.Time, upstream string) {
	for _, fingerprint := range w.crashTracker.Down(now, upstream) {
		w.metrics.crashes.WithLabelValues("here").Inc()
		w.logger.Warn("upstream crashed with request", "upstream", upstream, "fingerprint", formatFingerprint(fingerprint),
			"crashes", w.crashTracker.Crashes(now, fingerprint))
	}
}

func formatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// fillGossip adds the crashes to tell peers to the gossip.
func (w *crashWatch) fillGossip(now time.Time, g *wire.Gossip) {
	for _, r := range w.crashTracker.Reports(now) {
		// Rounded up: a process that hears its own report again must not shorten a life.
		life := uint32((r.Life + time.Millisecond - 1) / time.Millisecond)
		g.Crashes = append(g.Crashes, &wire.CrashSeen{Fingerprint: r.Fingerprint, Upstream: r.Upstream, Event: r.Event, Hops: r.Hops, LifeMs: life})
	}
}

// applyGossip records the crashes that a peer reports.
func (w *crashWatch) applyGossip(now time.Time, peer string, g *wire.Gossip) {
	isHub := len(g.Crashes) > 0 && w.peers.isHub()
	for _, c := range g.Crashes {
		report := crash.Report{
			Fingerprint: c.Fingerprint, Upstream: c.Upstream, Event: c.Event, Hops: c.Hops, Life: time.Duration(c.LifeMs) * time.Millisecond,
		}
		if !w.crashTracker.RecordRemote(now, report, isHub) {
			continue
		}
		w.metrics.crashes.WithLabelValues("peer").Inc()
		w.logger.Info("crash told by peer", "upstream", c.Upstream, "fingerprint", formatFingerprint(c.Fingerprint),
			"crashes", w.crashTracker.Crashes(now, c.Fingerprint), "peer", peer, "life", report.Life)
		if isHub {
			w.mesh.GossipNow()
		}
	}
}
