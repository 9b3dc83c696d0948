package mesh_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/fleet/mesh"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

// recordingHandler sends fixed gossip and records what it receives.
type recordingHandler struct {
	sent *wire.Gossip

	mu            sync.Mutex
	received      map[string]*wire.Gossip
	firstReceived map[string]time.Time
	// evacuations holds, by peer, the last gossip that told of evacuations: not each does.
	evacuations map[string]*wire.Gossip
	// count is the number of gossip messages received.
	count int
}

func (h *recordingHandler) FillGossip(_ time.Time, g *wire.Gossip) {
	h.mu.Lock()
	defer h.mu.Unlock()
	run := g.Run
	*g = wire.Gossip{
		Run: run, Rank: h.sent.Rank, Ready: h.sent.Ready, ConfigVersion: h.sent.ConfigVersion,
		RosterRevision: h.sent.RosterRevision, StoreAnswers: h.sent.StoreAnswers, ChangeRevision: h.sent.ChangeRevision, StoreEra: h.sent.StoreEra,
		EvacuationRevision: h.sent.EvacuationRevision, Evacuated: h.sent.Evacuated, RateLimits: h.sent.RateLimits,
		LeavingUpstreams: h.sent.LeavingUpstreams,
		Leaving:          h.sent.Leaving, Domain: h.sent.Domain,
	}
}

func (h *recordingHandler) HandleGossip(now time.Time, peer string, g *wire.Gossip) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.received[peer] == nil {
		h.firstReceived[peer] = now
	}
	h.received[peer] = g
	if g.EvacuationRevision > 0 {
		h.evacuations[peer] = g
	}
	h.count++
}

func (h *recordingHandler) HandleMessage(time.Time, string, *wire.Envelope) {}
func (h *recordingHandler) PeerDown(time.Time, string)                      {}

func (h *recordingHandler) gossipFrom(peer string) (*wire.Gossip, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.received[peer], h.firstReceived[peer]
}

// process is one gateway's mesh on an in-memory network.
type process struct {
	t       *testing.T
	handler *recordingHandler
	mesh    *mesh.Mesh
	cancel  context.CancelFunc
	done    chan error
	server  *link.Server
}

func startProcess(t *testing.T, n *network.Network, name string, run uint64, gossip *wire.Gossip, peers ...string) *process {
	p := &process{t: t, handler: &recordingHandler{sent: gossip, received: make(map[string]*wire.Gossip), firstReceived: make(map[string]time.Time), evacuations: make(map[string]*wire.Gossip)}, done: make(chan error, 1)}
	listener, err := n.Listen(name)
	require.NoError(t, err)
	m := mesh.New(name, name, run, n, p.handler, slog.New(slog.DiscardHandler), time.Now)
	p.mesh = m
	p.server = link.Serve(listener, m.Serve)
	for _, peer := range peers {
		m.AddPeer(time.Now(), peer)
	}
	ctx, cancel := context.WithCancel(t.Context())
	p.cancel = cancel
	go func() { p.done <- m.Run(ctx) }()
	return p
}

func (p *process) stop() {
	p.cancel()
	require.NoError(p.t, <-p.done)
	require.NoError(p.t, p.server.Close())
}

// Guards against a late connection after a power failure of all VMs, which return
// within half a second of each other. The first one up dials the second before that one
// is up; its SYN is lost and retransmitted after a second. Until then the second acted
// as its own scheduler and used only its small share of each quota.
func TestRestartedPeerIsReconnectedPromptly(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		n := network.New()
		n.Vanish("b:1")
		a := startProcess(t, n, "a:1", 1, &wire.Gossip{Ready: true}, "b:1")
		bubble.Sleep(300 * time.Millisecond)
		n.Restore("b:1")
		b := startProcess(t, n, "b:1", 2, &wire.Gossip{Ready: true}, "a:1")
		started := time.Now()
		bubble.Sleep(2 * time.Second)
		_, at := b.handler.gossipFrom("a:1")
		require.False(t, at.IsZero())
		require.Less(t, at.Sub(started), 500*time.Millisecond)
		a.stop()
		b.stop()
	})
}

// Guards against gossip fields that the handler fills in and the mesh does not send.
// Without the change revision, the other gateways sent requests for another second to an
// upstream that one gateway had seen leave.
func TestAllGossipFieldsReachPeers(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		n := network.New()
		sent := &wire.Gossip{
			Rank: 3, Ready: true, ConfigVersion: 5, RosterRevision: 7, StoreAnswers: true, ChangeRevision: 11, StoreEra: 13,
			EvacuationRevision: 17, Evacuated: []string{"north"},
			RateLimits:       []*wire.RateLimit{{Upstream: "u", Born: 19, Limited: true, PerSecond: 2.5, AgeMs: 23, Event: 29}},
			LeavingUpstreams: []*wire.LeavingUpstream{{Upstream: "u", Born: 31}},
		}
		a := startProcess(t, n, "a:1", 1, sent, "b:1")
		b := startProcess(t, n, "b:1", 2, &wire.Gossip{}, "a:1")
		bubble.Sleep(time.Second)
		got, _ := b.handler.gossipFrom("a:1")
		require.NotNil(t, got)
		require.Equal(t, sent.Rank, got.Rank)
		require.Equal(t, sent.Ready, got.Ready)
		require.Equal(t, sent.ConfigVersion, got.ConfigVersion)
		require.Equal(t, sent.RosterRevision, got.RosterRevision)
		require.Equal(t, sent.StoreAnswers, got.StoreAnswers)
		require.Equal(t, sent.ChangeRevision, got.ChangeRevision)
		require.Equal(t, sent.StoreEra, got.StoreEra)
		b.handler.mu.Lock()
		evacuation := b.handler.evacuations["a:1"]
		b.handler.mu.Unlock()
		require.Equal(t, sent.EvacuationRevision, evacuation.GetEvacuationRevision())
		require.Equal(t, sent.Evacuated, evacuation.GetEvacuated())
		require.Len(t, evacuation.GetRateLimits(), 1)
		require.True(t, proto.Equal(sent.RateLimits[0], evacuation.GetRateLimits()[0]))
		require.Len(t, evacuation.GetLeavingUpstreams(), 1)
		require.True(t, proto.Equal(sent.LeavingUpstreams[0], evacuation.GetLeavingUpstreams()[0]))
		a.stop()
		b.stop()
	})
}
