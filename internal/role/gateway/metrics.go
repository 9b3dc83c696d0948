package gateway

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
	"github.com/persimmonridge/persimmonridge/internal/edge/ingress"
)

// latencyBuckets range from 2 ms, the time of a refusal, to 8.2 s; streams of up to
// 15 s fall into the +Inf bucket.
var latencyBuckets = prometheus.ExponentialBuckets(0.002, 2, 13)

// metrics implements flow.Metrics, ingress.Metrics and permit.Metrics. The number of
// label values is bounded by the tiers and services of the configuration.
type metrics struct {
	requests          *prometheus.CounterVec
	sends             *prometheus.CounterVec
	latency           *prometheus.HistogramVec
	firstEvent        *prometheus.HistogramVec
	places            *prometheus.CounterVec
	placeWait         *prometheus.HistogramVec
	storeCalls        *prometheus.CounterVec
	storeCallSum      atomic.Uint64
	connectionsClosed *prometheus.CounterVec
	withheld          *prometheus.CounterVec
	statements        *prometheus.CounterVec
	crashes           *prometheus.CounterVec
	byWorkspace       *workspaceCounts
	quotaRefusals     *prometheus.CounterVec
	registry          *prometheus.Registry
}

// registerGauges registers the metrics that are read from the gateway on each scrape.
func (m *metrics) registerGauges(g *Gateway) {
	m.registry.MustRegister(newQuotaLevels(g.quota, g.now))
	auto := promauto.With(m.registry)
	gauge := func(name, help string, read func() float64) {
		auto.NewGaugeFunc(prometheus.GaugeOpts{Name: "persimmonridge_" + name, Help: help}, read)
	}
	gauge("configuration_version", "Version of the configuration in force, 0 before the first.", func() float64 {
		if c := g.catalog.Load(); c != nil {
			return float64(c.Version())
		}
		return 0
	})
	gauge("gateways_known", "Gateways that are known, this one included.", func() float64 { return float64(g.peers.gatewayCount()) })
	gauge("gateways_heard", "Gateways that are heard, this one included.", func() float64 { return float64(len(g.mesh.Alive(g.now())) + 1) })
	gauge("hub", "1 while this gateway is one of those that all others hear.", func() float64 {
		if g.mesh.IsHub() {
			return 1
		}
		return 0
	})
	gauge("schedules", "1 while this gateway gives out the places on engines.", func() float64 {
		if g.peers.scheduler(g.now()) == g.settings.Name {
			return 1
		}
		return 0
	})
	gauge("engines_slow", "Engines whose work takes more than 1.5 times as long as usual, at the gateway that schedules.", func() float64 {
		if g.peers.scheduler(g.now()) != g.settings.Name {
			return 0
		}
		return float64(g.granter.SlowEngines())
	})
	gauge("upstreams", "Upstreams that are registered.", func() float64 { return float64(len(g.roster.All())) })
	gauge("upstreams_warming_up", "Registered upstreams that may be warming up, so that they get few requests.", func() float64 { return float64(g.guard.warmUps.Cold(g.now())) })
	gauge("upstreams_rate_limited", "Upstreams that have stated a rate limit.", func() float64 { return float64(g.guard.rates.Limited()) })
	gauge("upstreams_leaving", "Registered upstreams that have said in an answer that they leave.", func() float64 { return float64(len(g.roster.Leaving())) })
	gauge("upstreams_resting", "Upstreams that asked this gateway for rest, which is not over.", func() float64 { return float64(g.guard.rests.Resting(g.now())) })
	gauge("refused_crash_causes", "Requests and parts of prompts that are refused because they crash upstreams.", func() float64 {
		return float64(len(g.crashTracker.Refusals(g.now())))
	})
	gauge("failure_domains_evacuated", "Failure domains whose upstreams get no requests by order of the operators.", func() float64 {
		_, domains := g.evacuations.set.State()
		return float64(len(domains))
	})
	gauge("log_lines_sampled", "Log lines beyond the bound of a second, since the start.", func() float64 { return float64(g.omittedLineCount(true)) })
	gauge("log_lines_dropped", "Log lines that a slow reader of the output left no room for, since the start.", func() float64 { return float64(g.omittedLineCount(false)) })
}

// omittedLineCount returns how many log lines were omitted since the start, by
// sampling or else by a full output buffer.
func (g *Gateway) omittedLineCount(sampled bool) int64 {
	if g.omittedLogLines == nil {
		return 0
	}
	sampledLines, droppedLines := g.omittedLogLines()
	if sampled {
		return sampledLines
	}
	return droppedLines
}

// handler serves the metrics in the Prometheus text format.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func newMetrics() *metrics {
	registry := prometheus.NewRegistry()
	// The Go scheduler's metrics show how long runnable goroutines wait for a thread.
	goCollector := collectors.NewGoCollector(collectors.WithGoCollectorRuntimeMetrics(collectors.MetricsScheduler))
	registry.MustRegister(goCollector, collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	auto := promauto.With(registry)
	return &metrics{
		registry: registry, byWorkspace: newWorkspaceCounts(auto),
		requests: auto.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonridge_requests_total", Help: "Callers' requests by what the caller was told.",
		}, []string{"tier", "outcome"}),
		sends: auto.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonridge_sends_total", Help: "Sends to upstreams by what they came to.",
		}, []string{"service", "outcome"}),
		latency: auto.NewHistogramVec(prometheus.HistogramOpts{
			Name: "persimmonridge_request_seconds", Help: "Time from a request's arrival to its end.", Buckets: latencyBuckets,
		}, []string{"tier"}),
		places: auto.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonridge_places_total", Help: "Asks for a place on an engine by what came of them.",
		}, []string{"result"}),
		placeWait: auto.NewHistogramVec(prometheus.HistogramOpts{
			Name: "persimmonridge_place_wait_seconds", Help: "Time from an ask for a place to its verdict.", Buckets: latencyBuckets,
		}, []string{"result"}),
		storeCalls: auto.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonridge_store_calls_total", Help: "Calls to the key-value service by kind and result.",
		}, []string{"call", "result"}),
		connectionsClosed: auto.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonridge_caller_connections_closed_total",
			Help: "Callers' connections that this process closed as idle, with a request in flight, or new and unread as it is busy.",
		}, []string{"reason"}),
		withheld: auto.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonridge_sends_withheld_total", Help: "Sends to upstreams that were withheld at the last moment, by reason.",
		}, []string{"reason"}),
		statements: auto.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonridge_upstream_statements_total", Help: "Answers of upstreams that state a need of theirs, by what they state.",
		}, []string{"statement"}),
		crashes: auto.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonridge_crashes_total", Help: "Requests that an upstream was executing when it crashed, by who observed it.",
		}, []string{"observer"}),
		quotaRefusals: auto.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonridge_quota_refusals_total", Help: "Requests that a quota refused, at their arrival or with a slot.",
		}, []string{"stage"}),
		firstEvent: auto.NewHistogramVec(prometheus.HistogramOpts{
			Name: "persimmonridge_first_event_seconds", Help: "Time from a request's arrival to its stream's first event.", Buckets: latencyBuckets,
		}, []string{"tier"}),
	}
}

// RequestFinished implements flow.Metrics.
func (m *metrics) RequestFinished(_ string, tier int, outcome string, took time.Duration) {
	label := strconv.Itoa(tier)
	m.requests.WithLabelValues(label, outcome).Inc()
	m.latency.WithLabelValues(label).Observe(took.Seconds())
}

// AttemptFinished implements flow.Metrics.
func (m *metrics) AttemptFinished(service string, outcome flow.Outcome) {
	m.sends.WithLabelValues(service, outcome.String()).Inc()
}

// Placed implements permit.Metrics.
func (m *metrics) Placed(result string, waited time.Duration) {
	m.places.WithLabelValues(result).Inc()
	m.placeWait.WithLabelValues(result).Observe(waited.Seconds())
}

// StoreCall counts a call to the key-value store.
func (m *metrics) StoreCall(call, result string) {
	m.storeCalls.WithLabelValues(call, result).Inc()
	m.storeCallSum.Add(1)
}

// storeCallCount returns the number of calls to the key-value store so far.
func (m *metrics) storeCallCount() uint64 { return m.storeCallSum.Load() }

// ConnectionClosed implements ingress.Metrics.
func (m *metrics) ConnectionClosed(reason ingress.CloseReason) {
	m.connectionsClosed.WithLabelValues(string(reason)).Inc()
}

// FirstEventSent implements flow.Metrics.
func (m *metrics) FirstEventSent(tier int, took time.Duration) {
	m.firstEvent.WithLabelValues(strconv.Itoa(tier)).Observe(took.Seconds())
}

// QuotaRefused implements flow.Metrics.
func (m *metrics) QuotaRefused(stage flow.QuotaStage) {
	m.quotaRefusals.WithLabelValues(string(stage)).Inc()
}
