package gateway

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/fleet/mesh"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

// reportRecorder passes messages on to a gateway and records the runs of the quota
// reports among them.
type reportRecorder struct {
	*peers

	mu   sync.Mutex
	runs []uint64
}

func (r *reportRecorder) HandleMessage(now time.Time, peer string, e *wire.Envelope) {
	if report := e.GetQuotaReport(); report != nil {
		r.mu.Lock()
		r.runs = append(r.runs, report.Run)
		r.mu.Unlock()
	}
	r.peers.HandleMessage(now, peer, e)
}

func (r *reportRecorder) receivedRuns() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs
}

// idlePeer is a mesh handler that only gossips.
type idlePeer struct{}

func (idlePeer) FillGossip(_ time.Time, g *wire.Gossip)          { g.Ready = true }
func (idlePeer) HandleGossip(time.Time, string, *wire.Gossip)    {}
func (idlePeer) HandleMessage(time.Time, string, *wire.Envelope) {}
func (idlePeer) PeerDown(time.Time, string)                      {}

// meshProcess is a running mesh with its listener.
type meshProcess struct {
	t       *testing.T
	mesh    *mesh.Mesh
	run     uint64
	started time.Time
	stop    func()
}

func newMesh(n *network.Network, name string, run uint64, handler mesh.Handler) *mesh.Mesh {
	return mesh.New(name, name, run, n, handler, slog.New(slog.DiscardHandler), time.Now)
}

func startMesh(t *testing.T, n *network.Network, name string, run uint64, m *mesh.Mesh, other string) *meshProcess {
	listener, err := n.Listen(name)
	require.NoError(t, err)
	p := &meshProcess{t: t, mesh: m, run: run, started: time.Now()}
	server := link.Serve(listener, p.mesh.Serve)
	p.mesh.AddPeer(time.Now(), other)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- p.mesh.Run(ctx) }()
	p.stop = func() {
		cancel()
		require.NoError(t, <-done)
		require.NoError(t, server.Close())
	}
	return p
}

func (p *meshProcess) reportUsage(node string, used float64) {
	age := uint32(time.Since(p.started).Milliseconds())
	report := &wire.QuotaReport{Run: p.run, AgeMs: age, Used: map[string]float64{"studio": used}}
	require.True(p.t, p.mesh.Send(node, &wire.Envelope{Body: &wire.Envelope_QuotaReport{QuotaReport: report}}))
}

// Guards against usage that is counted twice: a gateway is restarted, and a report of its
// former process arrives after one of the current process, on a connection that was slow.
func TestLateQuotaReportOfAFormerProcessIsNotCounted(t *testing.T) {
	for name, runs := range map[string][2]uint64{"later run": {2, 3}, "clock set back": {3, 2}} {
		t.Run(name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				n := network.New()
				g := New(Dependencies{Settings: Settings{Name: "a:1", LinkAddress: "a:1"}, Dialer: n, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
				recorder := &reportRecorder{peers: g.peers}
				g.mesh = newMesh(n, "a:1", 1, recorder)
				a := startMesh(t, n, "a:1", 1, g.mesh, "b:1")
				former := startMesh(t, n, "b:1", runs[0], newMesh(n, "b:1", runs[0], idlePeer{}), "a:1")
				bubble.Sleep(2 * time.Second)
				former.reportUsage("a:1", 100)
				bubble.Sleep(50 * time.Millisecond)
				n.Stall("a:1", 2*time.Second)
				former.reportUsage("a:1", 100)
				bubble.Sleep(50 * time.Millisecond)
				former.stop()

				current := startMesh(t, n, "b:1", runs[1], newMesh(n, "b:1", runs[1], idlePeer{}), "a:1")
				for used := range 30 {
					bubble.Sleep(100 * time.Millisecond)
					current.reportUsage("a:1", float64(used))
				}
				bubble.Sleep(100 * time.Millisecond)
				got := recorder.receivedRuns()
				totals := g.ledger.Totals(time.Now(), "c:1", 1, 2)
				current.stop()
				a.stop()
				require.Contains(t, got[2:len(got)-1], runs[0], "no late report was delivered: %v", got)
				require.Equal(t, runs[1], got[1], "the order of the reports: %v", got)
				require.InDelta(t, 129, totals.OthersUsed["studio"], 0.001)
			})
		})
	}
}
