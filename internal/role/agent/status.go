package agent

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
)

// Status is the response of the agent's status endpoint.
type Status struct {
	Node     string     `json:"node"`
	Upstream string     `json:"upstream"`
	Version  string     `json:"version"`
	Revision uint64     `json:"revision"`
	Load     *wire.Load `json:"load"`
	Counts   Counts     `json:"counts"`
	Links    int        `json:"links"`
	Breaches int        `json:"invariant-breaches"`
}

// Status returns the agent's current status.
func (a *Agent) Status() Status {
	return Status{
		Node: a.settings.Node(), Upstream: a.settings.Upstream(), Version: a.settings.Version(), Revision: a.log.Revision(),
		Load: a.Load(), Counts: a.Counts(), Links: a.server.Sessions(), Breaches: a.invariants.Total(),
	}
}

// Handler returns the operators' endpoints.
func (a *Agent) Handler() http.Handler {
	registry := prometheus.NewRegistry()
	gauge := func(name, help string, read func() float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "persimmonridge_agent_" + name, Help: help}, read))
	}
	gauge("running", "Requests running on the upstream.", func() float64 { return float64(a.Load().GetRunning()) })
	gauge("limit", "Requests that may run at once.", func() float64 { return float64(a.Load().GetLimit()) })
	gauge("dispatched", "Requests dispatched so far.", func() float64 { return float64(a.Counts().Dispatched) })
	gauge("declined", "Offers declined so far.", func() float64 { return float64(a.Counts().Declined) })
	gauge("crashes", "Deaths of the upstream seen.", func() float64 { return float64(a.Counts().Crashes) })
	gauge("invariant_breaches", "Invariants seen broken.", func() float64 { return float64(a.invariants.Total()) })
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if a.Load().GetLeaving() {
			http.Error(w, "leaving", http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(a.Status())
	})
	return mux
}
