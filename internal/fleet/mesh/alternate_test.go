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

// messageHandler records the messages that are no gossip.
type messageHandler struct {
	*recordingHandler
	mu    sync.Mutex
	heard []string
}

func (h *messageHandler) HandleMessage(_ time.Time, peer string, e *wire.Envelope) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard = append(h.heard, peer+":"+e.GetPlaceAsk().GetId())
}

func (h *messageHandler) messages() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.heard...)
}

func newRecorder() *recordingHandler {
	return &recordingHandler{
		sent: &wire.Gossip{Ready: true}, received: make(map[string]*wire.Gossip),
		firstReceived: make(map[string]time.Time), evacuations: make(map[string]*wire.Gossip),
	}
}

// Guards against messages on an alternate connection that are taken for another node's, that
// change what is known of the peer, or that never come: after the connection was idle, and
// after the peer's process was replaced.
func TestAlternateConnectionCarriesMessagesBothWays(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		n := network.New()
		start := func(name string) (*process, *messageHandler) {
			h := &messageHandler{recordingHandler: newRecorder()}
			listener, err := n.Listen(name)
			require.NoError(t, err)
			p := &process{t: t, handler: h.recordingHandler, done: make(chan error, 1)}
			p.mesh = mesh.New(name, name, uint64(time.Now().UnixNano()), n, h, slog.New(slog.DiscardHandler), time.Now)
			p.server = link.Serve(listener, p.mesh.Serve)
			for _, peer := range []string{"a:1", "b:1"} {
				p.mesh.AddPeer(time.Now(), peer)
			}
			ctx, cancel := context.WithCancel(t.Context())
			p.cancel = cancel
			go func() { p.done <- p.mesh.Run(ctx) }()
			return p, h
		}
		stop := func(p *process) {
			p.cancel()
			require.NoError(t, <-p.done)
			require.NoError(t, p.server.Close())
		}
		message := func(id string) *wire.Envelope {
			return &wire.Envelope{Body: &wire.Envelope_PlaceAsk{PlaceAsk: &wire.PlaceAsk{Id: id}}}
		}
		a, heardByA := start("a:1")
		b, heardByB := start("b:1")
		bubble.Sleep(time.Second)

		require.False(t, b.mesh.ReplyAlternate("a:1", message("none")), "there is no alternate yet")
		require.True(t, a.mesh.SendAlternate("b:1", message("ask")))
		bubble.Sleep(100 * time.Millisecond)
		require.Equal(t, []string{"a:1:ask"}, heardByB.messages())
		require.True(t, b.mesh.ReplyAlternate("a:1", message("reply")))
		bubble.Sleep(100 * time.Millisecond)
		require.Equal(t, []string{"b:1:reply"}, heardByA.messages())

		bubble.Sleep(20 * time.Second)
		require.False(t, b.mesh.ReplyAlternate("a:1", message("idle")), "it was closed when it was idle")
		require.True(t, a.mesh.SendAlternate("b:1", message("again")))
		bubble.Sleep(100 * time.Millisecond)
		require.Equal(t, []string{"a:1:ask", "a:1:again"}, heardByB.messages())
		require.Len(t, a.mesh.Alive(time.Now()), 1)

		stop(b)
		bubble.Sleep(time.Second)
		require.False(t, a.mesh.ReplyAlternate("b:1", message("gone")), "it ends with the peer's process")
		b, heardByB = start("b:1")
		bubble.Sleep(3 * time.Second)
		require.True(t, a.mesh.SendAlternate("b:1", message("next")))
		bubble.Sleep(100 * time.Millisecond)
		require.Equal(t, []string{"a:1:next"}, heardByB.messages())
		stop(a)
		stop(b)
	})
}
