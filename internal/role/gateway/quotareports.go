package gateway

import (
	"context"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/limit/quota"
)

// quotaReports exchanges the workspaces' usage with the scheduler's gateway, and if this is
// it, with all others.
type quotaReports struct {
	*Gateway
	reporter *quota.Reporter
}

// run reports the usage at this gateway until the context ends. A request that waits for the
// level of its workspace is not kept waiting for the interval.
func (q *quotaReports) run(ctx context.Context) error {
	ticker := time.NewTicker(quota.ReportInterval)
	defer ticker.Stop()
	for {
		if now := q.now(); q.reporter.Due(now) {
			q.report(now)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-q.quota.Wake():
		}
	}
}

func (q *quotaReports) report(now time.Time) {
	switch scheduler := q.peers.scheduler(now); scheduler {
	case "":
	case q.settings.Name:
		if totals, ok := q.answer(now, scheduler, q.reporter.Report(now, scheduler)); ok {
			q.reporter.Apply(now, scheduler, totals)
		}
	default:
		q.mesh.Send(scheduler, reportMessage(q.reporter.Report(now, scheduler)))
	}
}

// answer records a report in the ledger and returns the totals that answer it.
func (q *quotaReports) answer(now time.Time, node string, r quota.Report) (quota.Totals, bool) {
	q.ledger.Report(now, node, r)
	return q.ledger.Answer(now, node, r, q.processID, q.peers.gatewayCount())
}

// receive answers the report of a peer.
func (q *quotaReports) receive(now time.Time, peer string, m *wire.QuotaReport) {
	totals, ok := q.answer(now, peer, quota.Report{
		Run: m.Run, Age: time.Duration(m.AgeMs) * time.Millisecond, Used: m.Used,
		Selective: m.Selective, Number: m.Number, Heard: m.Heard, Follows: m.Follows, Needs: m.Needs, Levels: m.Levels,
	})
	if ok {
		q.mesh.Send(peer, totalsMessage(totals))
	}
}

// apply applies the totals of a peer.
func (q *quotaReports) apply(now time.Time, peer string, m *wire.QuotaTotals) {
	q.reporter.Apply(now, peer, quota.Totals{
		LedgerRun: m.Run, OthersUsed: m.Others, Coverage: m.Part, AllJustStarted: m.Fresh,
		Number: m.Number, Answers: m.Answers, Levels: m.Levels, OwnUsed: m.OwnUsed,
	})
}

func reportMessage(r quota.Report) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_QuotaReport{QuotaReport: &wire.QuotaReport{
		Run: r.Run, AgeMs: uint32(r.Age.Milliseconds()), Used: r.Used,
		Selective: r.Selective, Number: r.Number, Heard: r.Heard, Follows: r.Follows, Needs: r.Needs, Levels: r.Levels,
	}}}
}

func totalsMessage(t quota.Totals) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_QuotaTotals{QuotaTotals: &wire.QuotaTotals{
		Run: t.LedgerRun, Part: t.Coverage, Others: t.OthersUsed, Fresh: t.AllJustStarted,
		Number: t.Number, Answers: t.Answers, Levels: t.Levels, OwnUsed: t.OwnUsed,
	}}}
}
