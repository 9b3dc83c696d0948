package entry

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/persimmonridge/persimmonridge/internal/action/outcome"
	"github.com/persimmonridge/persimmonridge/internal/caller/refusal"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
)

// Status is the response of the entry's status endpoint.
type Status struct {
	Node       string           `json:"node"`
	Revision   uint64           `json:"revision"`
	Leaving    bool             `json:"leaving"`
	Upstreams  []UpstreamStatus `json:"upstreams"`
	Moves      []rolloutStatus  `json:"moves"`
	Partitions int              `json:"claim-partitions"`
	Duty       bool             `json:"steps-moves"`
	Convicted  int              `json:"convicted-requests"`
	Breaches   int              `json:"invariant-breaches"`
	Store      StoreStatus      `json:"store"`
}

// UpstreamStatus is the status of an upstream as known to this entry.
type UpstreamStatus struct {
	Name          string   `json:"name"`
	Service       string   `json:"service"`
	Version       string   `json:"version"`
	FailureDomain string   `json:"failure-domain"`
	State         string   `json:"state"`
	Running       uint32   `json:"running"`
	Limit         uint32   `json:"limit"`
	Waiting       []uint32 `json:"waiting-by-tier"`
}

// StoreStatus counts the entry's calls to the platform's store.
type StoreStatus struct {
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Failures  uint64 `json:"failures"`
	Throttled uint64 `json:"throttled"`
	Bytes     uint64 `json:"bytes"`
}

// Status returns the entry's current status.
func (e *Entry) Status() Status {
	now := e.now()
	stats := e.store.Stats()
	s := Status{
		Node: e.settings.Node(), Revision: e.log.Revision(), Leaving: e.leaving.Load(),
		Moves: e.rollouts.describe(now), Partitions: e.claims.count(), Duty: e.holder.Held(now, leaseKey),
		Convicted: e.suspects.Convicted(now), Breaches: e.invariants.Total(),
		Store: StoreStatus{Reads: stats.Reads(), Writes: stats.Writes(), Failures: stats.Failures(), Throttled: stats.Throttled(), Bytes: stats.Bytes()},
	}
	for _, u := range e.table.All() {
		load := u.Load()
		s.Upstreams = append(s.Upstreams, UpstreamStatus{
			Name: u.Name(), Service: u.Service(), Version: u.Version(), FailureDomain: u.FailureDomain(),
			State: stateOf(u.Available(now), load), Running: load.GetRunning(), Limit: load.GetLimit(), Waiting: load.GetWaiting(),
		})
	}
	sort.Slice(s.Upstreams, func(i, j int) bool { return s.Upstreams[i].Name < s.Upstreams[j].Name })
	return s
}

func stateOf(available bool, load *wire.Load) string {
	switch {
	case load == nil:
		return "unknown"
	case load.GetLeaving():
		return "leaving"
	case load.GetBlocked() == wire.Decline_REASON_BRAKED:
		return "braked"
	case load.GetBlocked() != wire.Decline_REASON_UNSPECIFIED:
		return "down"
	case !available:
		return "unreachable"
	}
	return "live"
}

func (e *Entry) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(e.Status())
}

// metrics holds the collectors that /metrics exposes.
type metrics struct {
	registry      *prometheus.Registry
	outcomes      *prometheus.CounterVec
	refusals      *prometheus.CounterVec
	offers        *prometheus.CounterVec
	firstByte     *prometheus.HistogramVec
	linksReplaced prometheus.Counter
	inFlight      prometheus.Gauge
}

func newMetrics(e *Entry) *metrics {
	m := &metrics{
		registry:      prometheus.NewRegistry(),
		outcomes:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "persimmonridge_requests_total", Help: "Requests by tier and outcome."}, []string{"tier", "outcome"}),
		refusals:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "persimmonridge_refusals_total", Help: "Refusals by kind."}, []string{"kind", "ran"}),
		offers:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "persimmonridge_offers_total", Help: "Offers by how they ended."}, []string{"reason"}),
		firstByte:     prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "persimmonridge_first_byte_seconds", Help: "Time to the first byte of answers.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 14)}, []string{"tier"}),
		linksReplaced: prometheus.NewCounter(prometheus.CounterOpts{Name: "persimmonridge_links_replaced_total", Help: "Links replaced under a request."}),
		inFlight:      prometheus.NewGauge(prometheus.GaugeOpts{Name: "persimmonridge_requests_in_flight", Help: "Requests under way."}),
	}
	breaches := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "persimmonridge_invariant_breaches", Help: "Invariants seen broken."}, func() float64 { return float64(e.invariants.Total()) })
	revision := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "persimmonridge_config_revision", Help: "Configuration revision in force."}, func() float64 { return float64(e.log.Revision()) })
	m.registry.MustRegister(m.outcomes, m.refusals, m.offers, m.firstByte, m.linksReplaced, m.inFlight, breaches, revision)
	return m
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *metrics) observe(c *call, kind outcome.Kind, refused *refusal.Refusal) {
	tier := strconv.Itoa(c.request.Tier())
	m.outcomes.WithLabelValues(tier, string(kind)).Inc()
	if c.output.started {
		m.firstByte.WithLabelValues(tier).Observe(c.output.firstAt.Sub(c.request.Arrived()).Seconds())
	}
	if refused != nil && kind != outcome.CallerGone {
		m.refused(refused)
	}
}

func (m *metrics) refused(refused *refusal.Refusal) {
	m.refusals.WithLabelValues(string(refused.Kind()), string(refused.Ran())).Inc()
}

func (m *metrics) offered(r result) {
	reason := "answered"
	switch {
	case r.ending == notRun:
		reason = r.reason.String()
	case r.ending != answered:
		reason = "failed"
	}
	m.offers.WithLabelValues(reason).Inc()
}
