package gateway

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/persimmonridge/persimmonridge/internal/fleet/traffic"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

const (
	// trafficLogInterval is how often the traffic with peers is logged by kind.
	trafficLogInterval = time.Minute
	// firstTrafficLog is when it is logged first: by then the process has read the store and
	// knows its peers, which is what a start costs.
	firstTrafficLog = 15 * time.Second
)

// peerTraffic counts the messages exchanged with other gateways. It implements
// mesh.TrafficObserver and prometheus.Collector.
type peerTraffic struct {
	*Gateway
	counts          *traffic.Counts
	messages, bytes *prometheus.Desc
}

func newPeerTraffic(g *Gateway) *peerTraffic {
	labels := []string{"kind", "direction", "cross_domain"}
	t := &peerTraffic{
		Gateway: g, counts: traffic.New(),
		messages: prometheus.NewDesc("persimmonridge_peer_messages_total", "Messages exchanged with other gateways.", labels, nil),
		bytes:    prometheus.NewDesc("persimmonridge_peer_bytes_total", "Bytes of these messages, without the headers of streams and packets.", labels, nil),
	}
	g.metrics.registry.MustRegister(t)
	return t
}

// MessageSent implements mesh.TrafficObserver.
func (t *peerTraffic) MessageSent(e *wire.Envelope, domain string) {
	t.counts.Add(e, traffic.Sent, t.crosses(domain))
}

// MessageReceived implements mesh.TrafficObserver.
func (t *peerTraffic) MessageReceived(e *wire.Envelope, domain string) {
	t.counts.Add(e, traffic.Received, t.crosses(domain))
}

func (t *peerTraffic) crosses(domain string) bool { return domain != "" && domain != t.settings.Domain }

// Describe implements prometheus.Collector.
func (t *peerTraffic) Describe(descs chan<- *prometheus.Desc) {
	descs <- t.messages
	descs <- t.bytes
}

// Collect implements prometheus.Collector.
func (t *peerTraffic) Collect(samples chan<- prometheus.Metric) {
	t.counts.Each(func(k traffic.Key, c traffic.Count) {
		labels := []string{k.Kind, string(k.Direction), strconv.FormatBool(k.CrossDomain)}
		samples <- prometheus.MustNewConstMetric(t.messages, prometheus.CounterValue, float64(c.Messages), labels...)
		samples <- prometheus.MustNewConstMetric(t.bytes, prometheus.CounterValue, float64(c.Bytes), labels...)
	})
}

// run logs the counts of each kind until the context ends.
func (t *peerTraffic) run(ctx context.Context) error {
	for wait.For(ctx, firstTrafficLog); ctx.Err() == nil; wait.For(ctx, trafficLogInterval) {
		t.logger.Info("traffic with peers since the start", "bytes/messages", t.summary(), "store-calls", t.metrics.storeCallCount())
	}
	return nil
}

// summary lists the counts by kind and direction.
func (t *peerTraffic) summary() string {
	sums := make(map[string]traffic.Count)
	t.counts.Each(func(k traffic.Key, c traffic.Count) {
		name := k.Kind + " " + string(k.Direction)
		sum := sums[name]
		sums[name] = traffic.Count{Messages: sum.Messages + c.Messages, Bytes: sum.Bytes + c.Bytes}
	})
	lines := make([]string, 0, len(sums))
	for name, c := range sums {
		lines = append(lines, fmt.Sprintf("%s %d/%d", name, c.Bytes, c.Messages))
	}
	slices.Sort(lines)
	return strings.Join(lines, ", ")
}
