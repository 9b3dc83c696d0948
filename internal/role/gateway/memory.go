package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/limit/memory"
)

// logMemory logs that the memory account became full, or has room again.
func (g *Gateway) logMemory(full bool, held, limit int64) {
	if full {
		g.logger.Warn("memory for bodies and answers is full", "held", held, "limit", limit)
		return
	}
	g.logger.Info("memory for bodies and answers has room again", "held", held, "limit", limit)
}

// setMemoryLimits sets what callers may make a process with the memory limit hold, which is 0 if it
// is unknown.
func (g *Gateway) setMemoryLimits(processBytes int64, descriptors int) {
	g.memory.SetLimit(g.now(), memory.Limit(processBytes))
	g.memory.SetConnectionLimit(memory.ConnectionLimit(processBytes, descriptors))
	g.unfinished.SetLimit(memory.UnfinishedLimit(processBytes))
	g.unproven.SetLimit(max(memory.LinkLimit(processBytes), link.MinUnprovenBytes))
}

// registerMemory registers the metrics of the memory account and of the budget for unfinished
// answers.
func (m *metrics) registerMemory(account *memory.Account, unfinished *memory.Budget) {
	auto := promauto.With(m.registry)
	auto.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "persimmonridge_memory_unfinished_bytes", Help: "Bytes held in large answers and events of streams that are not complete.",
	}, func() float64 { return float64(unfinished.Taken()) })
	for _, kind := range memory.Kinds() {
		auto.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "persimmonridge_memory_held_bytes", Help: "Bytes held in large headers, request bodies, buffered answers and streams that were read ahead.",
			ConstLabels: prometheus.Labels{"kind": kind.String()},
		}, func() float64 { return float64(account.Stats().Held[kind]) })
	}
	auto.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "persimmonridge_memory_limit_bytes", Help: "Bound of the bytes held, 0 if there is none.",
	}, func() float64 { return float64(account.Stats().Limit) })
	auto.NewCounterFunc(prometheus.CounterOpts{
		Name: "persimmonridge_memory_refused_total", Help: "Requests that were refused for lack of memory.",
	}, func() float64 { return float64(account.Stats().Refused) })
	auto.NewCounterFunc(prometheus.CounterOpts{
		Name: "persimmonridge_memory_displaced_total", Help: "Request bodies that were dropped while they arrived, for lack of memory.",
	}, func() float64 { return float64(account.Stats().Displaced) })
	auto.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "persimmonridge_caller_connections", Help: "Connections of callers that are open.",
	}, func() float64 { return float64(account.Stats().Connections) })
	auto.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "persimmonridge_caller_connections_limit", Help: "Connections of callers that may be open.",
	}, func() float64 { return float64(account.Stats().ConnectionLimit) })
	auto.NewCounterFunc(prometheus.CounterOpts{
		Name: "persimmonridge_caller_connections_refused_total", Help: "Connections of callers that were closed unread as too many were open.",
	}, func() float64 { return float64(account.Stats().ConnectionsRefused) })
	auto.NewCounterFunc(prometheus.CounterOpts{
		Name: "persimmonridge_streams_read_ahead_total", Help: "Streams that were read ahead of their callers.",
	}, func() float64 { return float64(account.Stats().ReadAhead) })
}
