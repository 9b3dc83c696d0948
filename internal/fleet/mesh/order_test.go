package mesh_test

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/fleet/mesh"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

// downCounter counts how often its mesh reports a peer down, and how many peers were
// alive at these moments.
type downCounter struct {
	mesh *mesh.Mesh

	mu                  sync.Mutex
	down, aliveWhenDown int
}

func (c *downCounter) FillGossip(_ time.Time, g *wire.Gossip)          { g.Ready = true }
func (c *downCounter) HandleGossip(time.Time, string, *wire.Gossip)    {}
func (c *downCounter) HandleMessage(time.Time, string, *wire.Envelope) {}

func (c *downCounter) PeerDown(time.Time, string) {
	alive := len(c.mesh.Alive(time.Now()))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down++
	c.aliveWhenDown += alive
}

func (c *downCounter) counts() (down, alive int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down, c.aliveWhenDown
}

// slowWarnings is a log handler that blocks on warnings, as with a full pipe.
type slowWarnings struct{ slog.Handler }

const slowWarningDelay = 150 * time.Millisecond

func (slowWarnings) Enabled(context.Context, slog.Level) bool { return true }

func (slowWarnings) Handle(_ context.Context, r slog.Record) error {
	if r.Level == slog.LevelWarn {
		bubble.Sleep(slowWarningDelay)
	}
	return nil
}

// Guards against a peer that is reported down after it was heard again: its pending
// requests were considered lost, and its places were given to others.
func TestDownIsNotReportedForPeerHeardAgain(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		n, counter := network.New(), &downCounter{}
		listener, err := n.Listen("a:1")
		require.NoError(t, err)
		counter.mesh = mesh.New("a:1", "a:1", 1, n, counter, slog.New(slowWarnings{slog.DiscardHandler}), time.Now)
		server := link.Serve(listener, counter.mesh.Serve)
		counter.mesh.AddPeer(time.Now(), "b:1")
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- counter.mesh.Run(ctx) }()
		b := startProcess(t, n, "b:1", 2, &wire.Gossip{Ready: true}, "a:1")
		bubble.Sleep(time.Second)

		// Messages from b are delayed until about the moment at which its silence
		// is detected, so they may arrive while the warning is being logged.
		for delay := 400 * time.Millisecond; delay <= 700*time.Millisecond; delay += 50 * time.Millisecond {
			n.Stall("a:1", delay)
			bubble.Sleep(2 * time.Second)
		}
		cancel()
		require.NoError(t, <-done)
		require.NoError(t, server.Close())
		b.stop()
		down, alive := counter.counts()
		require.Positive(t, down)
		require.Zero(t, alive, "b was alive on some of the %d times that it was reported down", down)
	})
}

// collectTime is how long a stoppingHandler takes to collect its state.
const collectTime = 10 * time.Millisecond

// stoppingHandler collects its state slowly until it stops.
type stoppingHandler struct {
	downCounter
	leaving atomic.Bool
}

func (h *stoppingHandler) FillGossip(_ time.Time, g *wire.Gossip) {
	g.Ready, g.Leaving = true, h.leaving.Load()
	if !g.Leaving {
		bubble.Sleep(collectTime)
	}
}

// Guards against peers that go back to a stopping scheduler for a gossip interval: a state that
// was collected before the stop is sent after the announcement of the stop.
func TestNoEarlierStateFollowsTheAnnouncementOfAStop(t *testing.T) {
	for after := time.Second; after < 1150*time.Millisecond; after += collectTime / 2 {
		bubble.Run(t, func(t *testing.T) {
			n, handler := network.New(), &stoppingHandler{}
			listener, err := n.Listen("a:1")
			require.NoError(t, err)
			handler.mesh = mesh.New("a:1", "a:1", 1, n, handler, slog.New(slog.DiscardHandler), time.Now)
			server := link.Serve(listener, handler.mesh.Serve)
			handler.mesh.AddPeer(time.Now(), "b:1")
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- handler.mesh.Run(ctx) }()
			b := startProcess(t, n, "b:1", 2, &wire.Gossip{Ready: true}, "a:1")

			bubble.Sleep(after)
			handler.leaving.Store(true)
			handler.mesh.AnnounceLeaving()
			bubble.Sleep(collectTime + time.Millisecond)
			last, _ := b.handler.gossipFrom("a:1")
			require.True(t, last.GetLeaving(), "the stop began after %s", after)

			cancel()
			require.NoError(t, <-done)
			require.NoError(t, server.Close())
			b.stop()
		})
	}
}
