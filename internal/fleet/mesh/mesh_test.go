package mesh_test

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

// handler tells a fixed gossip and notes what it hears.
type handler struct {
	told *wire.Gossip

	mu    sync.Mutex
	heard map[string]*wire.Gossip
	at    map[string]time.Time
	// count is how many gossips came.
	count int
}

func (h *handler) Gossip(_ time.Time, g *wire.Gossip) {
	h.mu.Lock()
	defer h.mu.Unlock()
	run := g.Run
	*g = wire.Gossip{
		Run: run, Rank: h.told.Rank, Ready: h.told.Ready, ConfigVersion: h.told.ConfigVersion,
		RosterRevision: h.told.RosterRevision, StoreAnswers: h.told.StoreAnswers, ChangeRevision: h.told.ChangeRevision,
	}
}

func (h *handler) Heard(now time.Time, peer string, g *wire.Gossip) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.heard[peer] == nil {
		h.at[peer] = now
	}
	h.heard[peer] = g
	h.count++
}

func (h *handler) Receive(time.Time, string, *wire.Envelope) {}
func (h *handler) Down(time.Time, string)                    {}

func (h *handler) from(peer string) (*wire.Gossip, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.heard[peer], h.at[peer]
}

// process is one gateway's mesh on a network in memory.
type process struct {
	t       *testing.T
	handler *handler
	mesh    *mesh.Mesh
	cancel  context.CancelFunc
	done    chan error
	server  *link.Server
}

func start(t *testing.T, n *network.Network, name string, run uint64, told *wire.Gossip, peers ...string) *process {
	p := &process{t: t, handler: &handler{told: told, heard: make(map[string]*wire.Gossip), at: make(map[string]time.Time)}, done: make(chan error, 1)}
	listener, err := n.Listen(name)
	require.NoError(t, err)
	m := mesh.New(name, name, run, n, p.handler, slog.New(slog.DiscardHandler), time.Now)
	p.mesh = m
	p.server = link.Serve(listener, m.Serve)
	for _, peer := range peers {
		m.Know(time.Now(), peer)
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

// All VMs lose their power and come back within half a second of each other. The
// first one up tries to reach the second while that one is still away; its first
// packet is lost and sent again after a second. Until then the second scheduled
// for itself and kept to its small part of each quota.
func TestPeerThatComesBackIsLinkedAtOnce(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		n := network.New()
		n.Vanish("b:1")
		a := start(t, n, "a:1", 1, &wire.Gossip{Ready: true}, "b:1")
		bubble.Pass(300 * time.Millisecond)
		n.Return("b:1")
		b := start(t, n, "b:1", 2, &wire.Gossip{Ready: true}, "a:1")
		up := time.Now()
		bubble.Pass(2 * time.Second)
		_, at := b.handler.from("a:1")
		require.False(t, at.IsZero())
		require.Less(t, at.Sub(up), 500*time.Millisecond)
		a.stop()
		b.stop()
	})
}

// A gateway saw an upstream leave and the others went on sending to it for a
// second: the revision by which they learn of the change was filled in and never
// sent. All that a handler tells must reach the peers.
func TestAllThatIsToldReachesThePeers(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		n := network.New()
		told := &wire.Gossip{Rank: 3, Ready: true, ConfigVersion: 5, RosterRevision: 7, StoreAnswers: true, ChangeRevision: 11}
		a := start(t, n, "a:1", 1, told, "b:1")
		b := start(t, n, "b:1", 2, &wire.Gossip{}, "a:1")
		bubble.Pass(time.Second)
		got, _ := b.handler.from("a:1")
		require.NotNil(t, got)
		require.Equal(t, told.Rank, got.Rank)
		require.Equal(t, told.Ready, got.Ready)
		require.Equal(t, told.ConfigVersion, got.ConfigVersion)
		require.Equal(t, told.RosterRevision, got.RosterRevision)
		require.Equal(t, told.StoreAnswers, got.StoreAnswers)
		require.Equal(t, told.ChangeRevision, got.ChangeRevision)
		a.stop()
		b.stop()
	})
}
