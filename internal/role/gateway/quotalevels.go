package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/persimmonridge/persimmonridge/internal/limit/quota"
)

// maxQuotaLevels is the most workspaces whose levels a scrape reports.
const maxQuotaLevels = 20

// quotaLevels collects the levels of the workspaces that are nearest to their quotas.
type quotaLevels struct {
	limiter *quota.Limiter
	now     func() time.Time
	level   *prometheus.Desc
}

func newQuotaLevels(limiter *quota.Limiter, now func() time.Time) *quotaLevels {
	return &quotaLevels{limiter: limiter, now: now, level: prometheus.NewDesc("persimmonridge_quota_level",
		"What the quota of a workspace has left at this gateway, as a fraction of its burst; the 20 lowest.", []string{"workspace"}, nil)}
}

// Describe implements prometheus.Collector.
func (q *quotaLevels) Describe(descs chan<- *prometheus.Desc) { descs <- q.level }

// Collect implements prometheus.Collector.
func (q *quotaLevels) Collect(samples chan<- prometheus.Metric) {
	for _, l := range q.limiter.Lowest(q.now(), maxQuotaLevels) {
		samples <- prometheus.MustNewConstMetric(q.level, prometheus.GaugeValue, l.Fraction, l.Workspace)
	}
}
