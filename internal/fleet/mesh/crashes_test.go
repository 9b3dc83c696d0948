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

// crashHandler gossips crashes whose life decreases, and records the lists of crashes
// that it receives.
type crashHandler struct {
	mu       sync.Mutex
	ends     []time.Time
	received [][]*wire.CrashSeen
}

func (h *crashHandler) FillGossip(now time.Time, g *wire.Gossip) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g.Ready = true
	for i, end := range h.ends {
		if life := end.Sub(now); life > 0 {
			g.Crashes = append(g.Crashes, &wire.CrashSeen{Fingerprint: 7, Upstream: "engine", Event: uint64(i + 1), LifeMs: uint32(life.Milliseconds())})
		}
	}
}

func (h *crashHandler) HandleGossip(_ time.Time, _ string, g *wire.Gossip) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(g.Crashes) > 0 {
		h.received = append(h.received, g.Crashes)
	}
}

func (h *crashHandler) HandleMessage(time.Time, string, *wire.Envelope) {}
func (h *crashHandler) PeerDown(time.Time, string)                      {}

func (h *crashHandler) addCrash(end time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ends = append(h.ends, end)
}

func (h *crashHandler) takeReceived() [][]*wire.CrashSeen {
	h.mu.Lock()
	defer h.mu.Unlock()
	received := h.received
	h.received = nil
	return received
}

// Guards against gossip that repeats all crashes at each turn because their ages have
// changed, or each time that one is added or forgotten, and against a process that joins
// later and hears of none.
func TestCrashesAreGossipedOnceWhenTheyAreAdded(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		n := network.New()
		var handlers []*crashHandler
		join := func(name string) {
			h := &crashHandler{}
			listener, err := n.Listen(name)
			require.NoError(t, err)
			m := mesh.New(name, name, uint64(len(handlers)+1), n, h, slog.New(slog.DiscardHandler), time.Now)
			server := link.Serve(listener, m.Serve)
			m.AddPeer(time.Now(), "a:1")
			m.AddPeer(time.Now(), "b:1")
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- m.Run(ctx) }()
			handlers = append(handlers, h)
			t.Cleanup(func() {
				cancel()
				require.NoError(t, <-done)
				require.NoError(t, server.Close())
			})
		}
		join("a:1")
		join("b:1")
		bubble.Sleep(2 * time.Second)
		start := time.Now()
		for i := range 3 {
			handlers[0].addCrash(start.Add(time.Duration(10+i) * time.Second))
			bubble.Sleep(time.Second)
			received := handlers[1].takeReceived()
			require.Len(t, received, 1, "a crash is told at once and once")
			require.Len(t, received[0], 1, "crashes that were told before are told again")
			require.Equal(t, uint64(i+1), received[0][0].Event)
		}
		join("c:1")
		bubble.Sleep(time.Second)
		received := handlers[2].takeReceived()
		require.Len(t, received, 1)
		require.Len(t, received[0], 3, "a process that joins hears of all crashes")
		bubble.Sleep(30 * time.Second)
		require.Empty(t, handlers[1].takeReceived(), "crashes are told again although none was added")
		handlers[0].addCrash(time.Now().Add(10 * time.Second))
		bubble.Sleep(time.Second)
		for _, h := range handlers[1:] {
			require.Len(t, h.takeReceived(), 1)
		}
	})
}
