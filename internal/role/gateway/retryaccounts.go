package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/persimmonridge/persimmonridge/internal/limit/retry"
)

// retryLogInterval is the least time between two log lines about the retries to a service.
const retryLogInterval = time.Second

// retryAccounts reports the retry budgets of all services. It implements
// prometheus.Collector.
type retryAccounts struct {
	*Gateway
	retries, left, unsettled *prometheus.Desc
	// loggedAt is when the accounts were last logged, and logged is what was counted then.
	loggedAt time.Time
	logged   map[string]retry.Counts
}

func newRetryAccounts(g *Gateway) *retryAccounts {
	r := &retryAccounts{
		Gateway: g, logged: make(map[string]retry.Counts),
		retries: prometheus.NewDesc("persimmonridge_retries_total",
			"Retries by service that the budget allowed or refused.", []string{"service", "result"}, nil),
		left: prometheus.NewDesc("persimmonridge_retry_budget_left",
			"Retries to a service that this gateway may send at once.", []string{"service"}, nil),
		unsettled: prometheus.NewDesc("persimmonridge_retries_unsettled",
			"Retries that were sent to a service and may still arrive.", []string{"service"}, nil),
	}
	g.metrics.registry.MustRegister(r)
	return r
}

// Describe implements prometheus.Collector.
func (r *retryAccounts) Describe(descs chan<- *prometheus.Desc) {
	descs <- r.retries
	descs <- r.left
	descs <- r.unsettled
}

// Collect implements prometheus.Collector.
func (r *retryAccounts) Collect(samples chan<- prometheus.Metric) {
	for _, a := range r.retryBudget.Accounts(r.now()) {
		samples <- prometheus.MustNewConstMetric(r.retries, prometheus.CounterValue, float64(a.Allowed), a.Service, "allowed")
		samples <- prometheus.MustNewConstMetric(r.retries, prometheus.CounterValue, float64(a.Refused), a.Service, "refused")
		samples <- prometheus.MustNewConstMetric(r.left, prometheus.GaugeValue, a.Left, a.Service)
		samples <- prometheus.MustNewConstMetric(r.unsettled, prometheus.GaugeValue, float64(a.Unsettled), a.Service)
	}
}

// log logs the services to which a retry was asked for since the last time.
func (r *retryAccounts) log(now time.Time) {
	if now.Sub(r.loggedAt) < retryLogInterval {
		return
	}
	r.loggedAt = now
	for _, a := range r.retryBudget.Accounts(now) {
		before := r.logged[a.Service]
		if a.Allowed == before.Allowed && a.Refused == before.Refused {
			continue
		}
		r.logger.Info("retries", "service", a.Service, "requests", a.Requests, "allowed", a.Allowed, "refused", a.Refused,
			"left", a.Left, "unsettled", a.Unsettled, "gateways", r.peers.gatewayCount(), "since-start", now.Sub(r.startedAt))
		r.logged[a.Service] = a.Counts
	}
}
