package gateway

import (
	"context"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/limit/crash"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

const (
	// checkTimeout bounds the connection that checks whether an upstream has crashed, and
	// recheckDelay is the pause before the second one: a process may accept connections for
	// a moment after it has ended others.
	checkTimeout = time.Second
	recheckDelay = 200 * time.Millisecond
	// maxChecks limits the checks at a time, and maxQueuedChecks those that wait.
	maxChecks       = 16
	maxQueuedChecks = 256
)

// Signs of a crash, as logs name them.
const (
	signRefusal = "refused connection"
	signTold    = "refused connection of a peer"
	signGone    = "process gone"
	signKnown   = "known before"
)

// crashWatch records which requests upstreams were executing when they crashed, and tells
// the peers. It implements flow.CrashTracker.
type crashWatch struct {
	*Gateway
	// checks holds the upstreams that broke off an answer, to find out whether they run.
	checks chan roster.Upstream
}

func newCrashWatch(g *Gateway) *crashWatch {
	w := &crashWatch{Gateway: g, checks: make(chan roster.Upstream, maxQueuedChecks)}
	g.crashTracker.OnRefusal(w.logRefusal)
	return w
}

func (w *crashWatch) logRefusal(r crash.Refusal) {
	subject := "request"
	if r.IsPart {
		subject = "part of prompts"
	}
	w.logger.Warn("requests refused that crash upstreams", "by", subject, "fingerprint", formatFingerprint(r.Fingerprint),
		"with", formatParts(r.With), "until", r.Until)
}

// crashProcess returns the name of the upstream's process in crashes.
func crashProcess(u roster.Upstream) string { return crash.ProcessName(u.ID, u.StartedAtMs) }

// Blocked implements flow.CrashTracker.
func (w *crashWatch) Blocked(now time.Time, key flow.CrashKey) bool {
	return w.crashTracker.Blocked(now, key.Fingerprint, key.Parts...)
}

// WhenBlocked implements flow.CrashTracker.
func (w *crashWatch) WhenBlocked(key flow.CrashKey, blocked func()) (stop func()) {
	return w.crashTracker.WhenBlocked(blocked, key.Fingerprint, key.Parts...)
}

// Sent implements flow.CrashTracker.
func (w *crashWatch) Sent(now time.Time, upstream roster.Upstream, key flow.CrashKey) (done func()) {
	return w.crashTracker.Sent(now, crashProcess(upstream), key.Fingerprint, key.Parts...)
}

// Broke implements flow.CrashTracker. The scheduler avoids an upstream that broke off an
// answer, so that a request may not show for long whether it still runs.
func (w *crashWatch) Broke(now time.Time, upstream roster.Upstream, key flow.CrashKey, justBegun bool) {
	process, crashed := crashProcess(upstream), false
	if justBegun {
		crashed = w.crashTracker.Broke(now, process, key.Fingerprint, key.Parts...)
	} else {
		crashed = w.crashTracker.BrokeLate(now, process, key.Fingerprint)
	}
	if crashed {
		w.logCrash(now, process, signKnown, key.Fingerprint)
		return
	}
	select {
	case w.checks <- upstream:
	default:
		w.logger.Warn("upstream that broke off an answer is not checked, too many are", "upstream", upstream.ID)
	}
}

// Unanswered implements flow.CrashTracker.
func (w *crashWatch) Unanswered(now time.Time, upstream roster.Upstream, key flow.CrashKey) {
	process := crashProcess(upstream)
	if w.crashTracker.Unanswered(now, process, key.Fingerprint, key.Parts...) {
		w.logCrash(now, process, signKnown, key.Fingerprint)
	}
}

// Served implements flow.CrashTracker.
func (w *crashWatch) Served(now time.Time, key flow.CrashKey) {
	if w.crashTracker.Served(now, key.Fingerprint, key.Parts...) {
		w.logger.Info("request served that ran at crashes", "fingerprint", formatFingerprint(key.Fingerprint), "parts", formatParts(key.Parts))
	}
}

// Survived implements flow.CrashTracker.
func (w *crashWatch) Survived(now time.Time, key flow.CrashKey) {
	if w.crashTracker.Survived(now, key.Parts...) {
		w.logger.Info("request executed for a while with parts that were in others at crashes", "parts", formatParts(key.Parts))
	}
}

// Down implements flow.CrashTracker.
func (w *crashWatch) Down(now time.Time, upstream roster.Upstream) {
	process := crashProcess(upstream)
	w.logCrash(now, process, signRefusal, w.crashTracker.Down(now, process)...)
}

// gone records that the process of an upstream that has not announced its end is gone.
func (w *crashWatch) gone(now time.Time, upstream roster.Upstream) {
	if upstream.State != roster.Ready || upstream.Leaving {
		return
	}
	process := crashProcess(upstream)
	w.logCrash(now, process, signGone, w.crashTracker.Gone(now, process)...)
}

// replaced records that a new process has the address of former ones.
func (w *crashWatch) replaced(now time.Time, started roster.Upstream) {
	for _, u := range w.roster.All() {
		if u.Address == started.Address && processOf(u) != processOf(started) && u.StartedAtMs <= started.StartedAtMs {
			w.gone(now, u)
		}
	}
}

func (w *crashWatch) logCrash(now time.Time, process, sign string, fingerprints ...uint64) {
	for _, fingerprint := range fingerprints {
		w.metrics.crashes.WithLabelValues("here").Inc()
		w.logger.Warn("upstream crashed with request", "upstream", process, "sign", sign, "fingerprint", formatFingerprint(fingerprint),
			"crashes", w.crashTracker.Crashes(now, fingerprint))
	}
}

// maxLoggedParts is the number of parts of a prompt that a line names.
const maxLoggedParts = 8

func formatParts(parts []uint64) []string {
	var formatted []string
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		formatted = append(formatted, formatFingerprint(part))
	}
	return formatted
}

func formatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// run checks the upstreams that broke off answers until the context ends.
func (w *crashWatch) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxChecks)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case upstream := <-w.checks:
			group.Go(func() error {
				w.check(ctx, upstream)
				return nil
			})
		}
	}
}

// check connects to an upstream, unless it is known to have crashed.
func (w *crashWatch) check(ctx context.Context, upstream roster.Upstream) {
	for attempt := range 2 {
		if attempt > 0 {
			wait.For(ctx, recheckDelay)
		}
		if w.crashTracker.IsEnded(w.now(), crashProcess(upstream)) {
			return
		}
		checkCtx, cancel := context.WithTimeout(ctx, checkTimeout)
		err := w.pool.Check(checkCtx, w.now(), upstream.Address)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			w.logger.Info("upstream that broke off an answer accepts no connection", "upstream", upstream.ID, "err", err)
			w.Down(w.now(), upstream)
			return
		}
	}
}

// fillGossip adds the crashes to tell peers to the gossip.
func (w *crashWatch) fillGossip(now time.Time, g *wire.Gossip) {
	for _, r := range w.crashTracker.Reports(now) {
		// Rounded up: a process that hears its own report again must not shorten a life.
		life := uint32((r.Life + time.Millisecond - 1) / time.Millisecond)
		g.Crashes = append(g.Crashes, &wire.CrashSeen{
			Fingerprint: r.Fingerprint, Upstream: r.Upstream, Event: r.Event, Hops: r.Hops, LifeMs: life, Parts: r.Parts,
		})
	}
	for _, d := range w.crashTracker.DownProcesses(now) {
		g.DownProcesses = append(g.DownProcesses, &wire.DownProcess{Process: d.Process, AgeMs: uint32(d.Age.Milliseconds())})
	}
	for _, c := range w.crashTracker.Clearances(now) {
		g.CrashClearances = append(g.CrashClearances, &wire.CrashClearance{Fingerprint: c.Fingerprint, Part: c.IsPart, AgeMs: uint32(c.Age.Milliseconds())})
	}
}

// applyGossip records the crashes that a peer reports.
func (w *crashWatch) applyGossip(now time.Time, peer string, g *wire.Gossip) {
	isHub := len(g.Crashes) > 0 && w.peers.isHub()
	for _, c := range g.Crashes {
		report := crash.Report{
			Fingerprint: c.Fingerprint, Upstream: c.Upstream, Event: c.Event, Hops: c.Hops,
			Life: time.Duration(c.LifeMs) * time.Millisecond, Parts: c.Parts,
		}
		if !w.crashTracker.RecordRemote(now, report, isHub) {
			continue
		}
		w.metrics.crashes.WithLabelValues("peer").Inc()
		w.logger.Debug("crash told by peer", "upstream", c.Upstream, "fingerprint", formatFingerprint(c.Fingerprint),
			"crashes", w.crashTracker.Crashes(now, c.Fingerprint), "peer", peer, "life", report.Life)
		if isHub && w.crashTracker.Crashes(now, c.Fingerprint) > 1 {
			w.mesh.GossipNow()
		}
	}
	for _, d := range g.DownProcesses {
		w.logCrash(now, d.Process, signTold, w.crashTracker.DownTold(now, d.Process, time.Duration(d.AgeMs)*time.Millisecond)...)
	}
	for _, c := range g.CrashClearances {
		cleared := crash.Clearance{Fingerprint: c.Fingerprint, IsPart: c.Part, Age: time.Duration(c.AgeMs) * time.Millisecond}
		if w.crashTracker.ServedElsewhere(now, cleared) {
			w.logger.Info("request that ran at crashes was served by peer", "fingerprint", formatFingerprint(c.Fingerprint), "part", c.Part, "peer", peer)
		}
	}
}
