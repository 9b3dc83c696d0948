package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/persimmonridge/persimmonridge/internal/edge/exchange"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/sched/load"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

const (
	// loadAnswerTimeout is how long after a report a message of the gateway that got it
	// counts as its answer, though another one has become the scheduler meanwhile.
	loadAnswerTimeout = 3 * load.ReportInterval
	// loadLogInterval bounds the log lines about the number of upstreams that state a pace.
	loadLogInterval = time.Minute
	// slowPace is the pace from which an upstream counts as slow in metrics.
	slowPace = 1.5
)

// loadExchange exchanges the load samples of upstreams without engines that state a pace:
// with the scheduler's gateway, and if this is it, with all others. It implements
// local.Observer.
type loadExchange struct {
	*Gateway
	table *load.Table

	mu sync.Mutex
	// reportedTo is the gateway that got the last report, at reportedAt.
	reportedTo string
	reportedAt time.Time
	// loggedKnown is the number of upstreams that was logged last, at loggedAt.
	loggedKnown int
	loggedAt    time.Time

	messages  *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	sampleAge prometheus.Histogram
}

func newLoadExchange(g *Gateway) *loadExchange {
	auto := promauto.With(g.metrics.registry)
	x := &loadExchange{
		Gateway: g, table: load.New(g.settings.Name),
		messages: auto.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonridge_load_reports_total", Help: "Messages with load samples of plain upstreams, by direction: sent or received.",
		}, []string{"direction"}),
		refusals: auto.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonridge_local_refusals_total", Help: "Requests for which this gateway itself chose no upstream, by reason.",
		}, []string{"reason"}),
		sampleAge: auto.NewHistogram(prometheus.HistogramOpts{
			Name: "persimmonridge_load_sample_age_seconds", Help: "Age of the load sample by which an upstream was chosen.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 11),
		}),
	}
	gauge := func(name, help string, read func() int) {
		auto.NewGaugeFunc(prometheus.GaugeOpts{Name: "persimmonridge_" + name, Help: help}, func() float64 { return float64(read()) })
	}
	gauge("upstreams_paced", "Upstreams without engines that have stated a pace recently.", func() int {
		known, _ := x.table.Shared(slowPace)
		return known
	})
	gauge("upstreams_slow", "Upstreams without engines whose stated pace is at least 1.5.", func() int {
		_, slow := x.table.Shared(slowPace)
		return slow
	})
	return x
}

func (x *loadExchange) hasEngines(service string) bool {
	s := x.service(service)
	return s != nil && s.Engine != nil
}

// SampleUsed implements local.Observer.
func (x *loadExchange) SampleUsed(age time.Duration) { x.sampleAge.Observe(age.Seconds()) }

// Refused implements local.Observer.
func (x *loadExchange) Refused(reason string) { x.refusals.WithLabelValues(reason).Inc() }

// run reports this gateway's samples to the scheduler's until the context ends.
func (x *loadExchange) run(ctx context.Context) error {
	for ctx.Err() == nil {
		now := x.now()
		x.table.Expire(now)
		x.report(now)
		x.logKnown(now)
		wait.For(ctx, load.ReportInterval)
	}
	return nil
}

func (x *loadExchange) report(now time.Time) {
	scheduler := x.peers.scheduler(now)
	if scheduler == "" || scheduler == x.settings.Name {
		return
	}
	samples, due := x.table.Report(now)
	if !due {
		return
	}
	x.mu.Lock()
	x.reportedTo, x.reportedAt = scheduler, now
	x.mu.Unlock()
	x.send(now, scheduler, samples)
}

func (x *loadExchange) send(now time.Time, node string, samples []load.Sample) {
	if x.mesh.Send(node, loadMessage(now, samples)) {
		x.messages.WithLabelValues("sent").Inc()
	}
}

// receive handles an answer of the scheduler's gateway, or a report of another one.
func (x *loadExchange) receive(now time.Time, peer string, report *wire.LoadReport) {
	x.messages.WithLabelValues("received").Inc()
	samples := decodeLoads(now, report)
	if x.isAnswer(now, peer) {
		x.table.Answered(now, samples)
		return
	}
	x.table.Reported(now, peer, samples)
	if answer := x.table.Answer(now, peer); len(answer) > 0 {
		x.send(now, peer, answer)
	}
}

// isAnswer reports whether a message of the gateway is an answer. Two gateways that each take
// the other for the scheduler don't answer each other; each still uses what it hears.
func (x *loadExchange) isAnswer(now time.Time, peer string) bool {
	if peer == x.peers.scheduler(now) {
		return true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return peer == x.reportedTo && now.Sub(x.reportedAt) < loadAnswerTimeout
}

// logKnown logs how many upstreams state a pace, if the number has changed.
func (x *loadExchange) logKnown(now time.Time) {
	known, slow := x.table.Shared(slowPace)
	x.mu.Lock()
	before := x.loggedKnown
	changed := known != before && (x.loggedAt.IsZero() || now.Sub(x.loggedAt) >= loadLogInterval)
	if changed {
		x.loggedKnown, x.loggedAt = known, now
	}
	x.mu.Unlock()
	if changed {
		x.logger.Info("plain upstreams state their pace", "upstreams", known, "before", before, "slow", slow)
	}
}

func loadMessage(now time.Time, samples []load.Sample) *wire.Envelope {
	report := &wire.LoadReport{Loads: make([]*wire.UpstreamLoad, 0, len(samples))}
	for _, s := range samples {
		report.Loads = append(report.Loads, &wire.UpstreamLoad{
			Upstream: s.Process.ID, Born: s.Process.StartedAtMs,
			Running: uint32(s.Load.Running), Waiting: uint32(s.Load.Waiting), Slots: uint32(max(0, min(s.Load.Slots, math.MaxInt32))),
			PacePercent: uint32(math.Round(100 * s.Load.Pace)), AgeMs: uint32(max(0, now.Sub(s.At)).Milliseconds()),
		})
	}
	return &wire.Envelope{Body: &wire.Envelope_LoadReport{LoadReport: report}}
}

func decodeLoads(now time.Time, report *wire.LoadReport) []load.Sample {
	samples := make([]load.Sample, 0, len(report.Loads))
	for _, l := range report.Loads {
		samples = append(samples, load.Sample{
			Process: roster.Process{ID: l.Upstream, StartedAtMs: l.Born},
			Load:    exchange.Load{Running: int(l.Running), Waiting: int(l.Waiting), Slots: int(l.Slots), Pace: float64(l.PacePercent) / 100},
			At:      now.Add(-time.Duration(l.AgeMs) * time.Millisecond),
		})
	}
	return samples
}
