package mesh_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/link"
	"github.com/persimmonridge/persimmonridge/internal/fleet/mesh"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
)

// Guards against a peer that counts as gone because the last word of its former
// process arrived late, after the present one was heard.
func TestLastWordOfAFormerProcessDoesNotEndThePresentOne(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		n, w := network.New(), &watcher{}
		listener, err := n.Listen("a:1")
		require.NoError(t, err)
		w.mesh = mesh.New("a:1", "a:1", 1, n, w, slog.New(slog.DiscardHandler), time.Now)
		server := link.Serve(listener, w.mesh.Serve)
		pool := link.NewPool(n, nil)
		say := func(stream *link.Stream, g *wire.Gossip) {
			g.Node, g.Address = "b:1", "b:1"
			require.NoError(t, stream.Send(time.Now().Add(time.Second), &wire.Envelope{Body: &wire.Envelope_Gossip{Gossip: g}}))
		}
		former, err := pool.Open(t.Context(), "a:1")
		require.NoError(t, err)
		say(former, &wire.Gossip{Run: 2})
		// The last word is lost on its way and sent again later.
		n.Stall("a:1", 300*time.Millisecond)
		say(former, &wire.Gossip{Run: 2, Gone: true})

		pool.Replace("a:1", former.Session())
		present, err := pool.Open(t.Context(), "a:1")
		require.NoError(t, err)
		say(present, &wire.Gossip{Run: 3})
		bubble.Pass(200 * time.Millisecond)
		before, _ := w.told()
		bubble.Pass(200 * time.Millisecond)
		after, _ := w.told()
		alive := w.mesh.Alive(time.Now())

		require.NoError(t, pool.Close())
		require.NoError(t, server.Close())
		require.Equal(t, before, after, "the peer was told to be gone")
		require.Len(t, alive, 1)
		require.Equal(t, uint64(3), alive[0].Run)
	})
}

// Guards against a peer that is never heard again: its clock was put back, so its
// present process looks earlier than the one that crashed.
func TestPeerWhoseClockWasPutBackIsHeard(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		n := network.New()
		a := start(t, n, "a:1", 1, &wire.Gossip{Ready: true}, "b:1")
		b := start(t, n, "b:1", 5, &wire.Gossip{Rank: 5}, "a:1")
		bubble.Pass(time.Second)
		b.stop()
		b = start(t, n, "b:1", 4, &wire.Gossip{Rank: 4}, "a:1")
		bubble.Pass(time.Second)
		got, _ := a.handler.from("b:1")
		a.stop()
		b.stop()
		require.Equal(t, int64(4), got.Rank)
	})
}
