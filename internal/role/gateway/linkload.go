package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/persimmonridge/persimmonridge/internal/fleet/mesh"
	"github.com/persimmonridge/persimmonridge/internal/limit/bandwidth"
	"github.com/persimmonridge/persimmonridge/internal/limit/intake"
)

const (
	// linkSampleInterval is how often the load of the link is sampled. A body of 72 KB takes
	// 60 ms on a link of 10 Mbit/s, so that shorter intervals would mostly show single bodies.
	linkSampleInterval = 100 * time.Millisecond
	// linkFullShare is the share of the capacity above which the link counts as full in the
	// log, and linkFreeShare that below which it does not any more. Queues grow beyond any
	// bound near 1; the samples of a full link vary by a tenth.
	linkFullShare = 0.85
	linkFreeShare = 0.6
)

// linkLoad follows the load of the link of this gateway's VM.
type linkLoad struct {
	*Gateway
	meter  bandwidth.Meter
	intake *intake.Limiter

	mu   sync.Mutex
	load *bandwidth.Load
	full bool
}

func newLinkLoad(g *Gateway, bytesPerSecond float64) *linkLoad {
	return &linkLoad{Gateway: g, intake: intake.New(), load: bandwidth.NewLoad(bytesPerSecond)}
}

// run samples the load until the context ends.
func (l *linkLoad) run(ctx context.Context) error {
	ticker := time.NewTicker(linkSampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.sample(l.now())
		}
	}
}

func (l *linkLoad) sample(now time.Time) {
	l.mu.Lock()
	l.load.Sample(now, &l.meter)
	sent, received, highest := l.load.Used(bandwidth.Sent), l.load.Used(bandwidth.Received), l.load.Highest()
	before := l.full
	l.full = highest >= linkFullShare || (before && highest > linkFreeShare)
	full := l.full
	l.mu.Unlock()
	l.intake.Sampled(now, highest, mostTakeCallers(l.mesh.Alive(now)))
	intake := l.intake.Share()
	switch {
	case full && !before:
		l.logger.Warn("link is full", "sent", sent, "received", received, "intake", intake)
	case before && !full:
		l.logger.Info("link has room again", "sent", sent, "received", received, "intake", intake)
	}
}

// takesCallers reports whether a gateway takes nearly all callers that come to it.
func takesCallers(p mesh.Peer) bool { return p.Ready && !p.Leaving && !p.TakesFew }

// takingPercent returns the percentage of this gateway and those that it hears that take nearly
// all callers, 1 at least.
func takingPercent(heard []mesh.Peer, ownTakes bool) uint32 {
	taking := 0
	if ownTakes {
		taking++
	}
	for _, p := range heard {
		if takesCallers(p) {
			taking++
		}
	}
	return uint32(max(1, 100*taking/(len(heard)+1)))
}

// mostTakeCallers reports whether most of the gateways take nearly all callers that come to them:
// of all gateways by what hubs say, or of those that are heard if none of them is a hub.
func mostTakeCallers(heard []mesh.Peer) bool {
	taking, reports, sum := 0, 0, uint32(0)
	for _, p := range heard {
		if takesCallers(p) {
			taking++
		}
		if p.TakingPercent > 0 {
			reports++
			sum += p.TakingPercent
		}
	}
	if reports > 0 {
		return sum > uint32(50*reports)
	}
	return 2*taking > len(heard)
}

// setCapacity changes the capacity of the link.
func (l *linkLoad) setCapacity(bytesPerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load.SetCapacity(bytesPerSecond)
}

// used returns the share of the capacity that was used lately in a direction.
func (l *linkLoad) used(d bandwidth.Direction) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.load.Used(d)
}

// registerLink registers the metrics of the link.
func (m *metrics) registerLink(l *linkLoad) {
	auto := promauto.With(m.registry)
	auto.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "persimmonridge_intake_share", Help: "Share of callers' new connections that are taken; the others are closed unread, as the link is full.",
	}, l.intake.Share)
	for _, d := range bandwidth.Directions() {
		labels := prometheus.Labels{"direction": d.String()}
		auto.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "persimmonridge_link_used_ratio", Help: "Share of the link's capacity used lately, 0 if the capacity is unknown.", ConstLabels: labels,
		}, func() float64 { return l.used(d) })
		auto.NewCounterFunc(prometheus.CounterOpts{
			Name: "persimmonridge_link_bytes_total", Help: "Bytes of callers, upstreams and peers on the link, with estimated headers of packets.", ConstLabels: labels,
		}, func() float64 { return float64(l.meter.Total(d)) })
	}
}
