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

// Guards against a peer that is marked down because the exit notice of its previous
// process arrived late, after gossip from the current one.
func TestLateExitNoticeOfPreviousRunIsIgnored(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		n, counter := network.New(), &downCounter{}
		listener, err := n.Listen("a:1")
		require.NoError(t, err)
		counter.mesh = mesh.New("a:1", "a:1", 1, n, counter, slog.New(slog.DiscardHandler), time.Now)
		server := link.Serve(listener, counter.mesh.Serve)
		pool := link.NewPool(n, nil)
		send := func(stream *link.Stream, g *wire.Gossip) {
			g.Node, g.Address = "b:1", "b:1"
			require.NoError(t, stream.Send(time.Now().Add(time.Second), &wire.Envelope{Body: &wire.Envelope_Gossip{Gossip: g}}))
		}
		previous, err := pool.Open(t.Context(), "a:1")
		require.NoError(t, err)
		send(previous, &wire.Gossip{Run: 2})
		// The packet with the exit notice is lost and retransmitted later.
		n.Stall("a:1", 300*time.Millisecond)
		send(previous, &wire.Gossip{Run: 2, Gone: true})

		pool.Replace("a:1", previous.Session())
		current, err := pool.Open(t.Context(), "a:1")
		require.NoError(t, err)
		send(current, &wire.Gossip{Run: 3})
		bubble.Sleep(200 * time.Millisecond)
		before, _ := counter.counts()
		bubble.Sleep(200 * time.Millisecond)
		after, _ := counter.counts()
		alive := counter.mesh.Alive(time.Now())

		require.NoError(t, pool.Close())
		require.NoError(t, server.Close())
		require.Equal(t, before, after, "the peer was reported down")
		require.Len(t, alive, 1)
		require.Equal(t, uint64(3), alive[0].Run)
	})
}

// Guards against a peer whose gossip is ignored for good: its clock was set back, so its
// current process looks older than the one that crashed.
func TestPeerWithClockSetBackIsAccepted(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		n := network.New()
		a := startProcess(t, n, "a:1", 1, &wire.Gossip{Ready: true}, "b:1")
		b := startProcess(t, n, "b:1", 5, &wire.Gossip{Rank: 5}, "a:1")
		bubble.Sleep(time.Second)
		b.stop()
		b = startProcess(t, n, "b:1", 4, &wire.Gossip{Rank: 4}, "a:1")
		bubble.Sleep(time.Second)
		got, _ := a.handler.gossipFrom("b:1")
		a.stop()
		b.stop()
		require.Equal(t, int64(4), got.Rank)
	})
}
