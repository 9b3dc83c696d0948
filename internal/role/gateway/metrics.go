package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/persimmonridge/persimmonridge/internal/edge/flow"
)

// latencyBuckets span a refusal in 2 ms and a stream of 15 s.
var latencyBuckets = prometheus.ExponentialBuckets(0.002, 2, 13)

// metrics implements flow.Metrics. Labels are bounded
// by the configuration's routes and services.
type metrics struct {
	requests   *prometheus.CounterVec
	sends      *prometheus.CounterVec
	latency    *prometheus.HistogramVec
	firstEvent *prometheus.HistogramVec
	registry   *prometheus.Registry
}

// handler serves the metrics as text.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func newMetrics() *metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	auto := promauto.With(registry)
	return &metrics{
		registry: registry,
		requests: auto.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonridge_requests_total", Help: "Callers' requests by what the caller was told.",
		}, []string{"tier", "outcome"}),
		sends: auto.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonridge_sends_total", Help: "Sends to upstreams by what they came to.",
		}, []string{"service", "outcome"}),
		latency: auto.NewHistogramVec(prometheus.HistogramOpts{
			Name: "persimmonridge_request_seconds", Help: "Time from a request's arrival to its end.", Buckets: latencyBuckets,
		}, []string{"tier"}),
		firstEvent: auto.NewHistogramVec(prometheus.HistogramOpts{
			Name: "persimmonridge_first_event_seconds", Help: "Time from a request's arrival to its stream's first event.", Buckets: latencyBuckets,
		}, []string{"tier"}),
	}
}

// Finished implements flow.Metrics.
func (m *metrics) Finished(_ string, tier int, outcome string, took time.Duration) {
	label := strconv.Itoa(tier)
	m.requests.WithLabelValues(label, outcome).Inc()
	m.latency.WithLabelValues(label).Observe(took.Seconds())
}

// Sent implements flow.Metrics.
func (m *metrics) Sent(service string, o flow.Outcome) {
	m.sends.WithLabelValues(service, o.String()).Inc()
}

// FirstEvent implements flow.Metrics.
func (m *metrics) FirstEvent(tier int, took time.Duration) {
	m.firstEvent.WithLabelValues(strconv.Itoa(tier)).Observe(took.Seconds())
}
