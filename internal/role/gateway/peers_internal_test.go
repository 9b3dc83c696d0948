package gateway

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
)

// The store turned a gateway away, and the link on which a peer's answer came
// was made anew at that moment. The configuration that was lost with it was
// never asked for again, since the peer had been asked for that version.
func TestLostAnswerOfAPeerIsAskedForAgain(t *testing.T) {
	g := New(Parts{Dialer: &net.Dialer{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
	start := time.Unix(1_000_000, 0)
	gossip := &wire.Gossip{ConfigVersion: 7}
	g.peers.askFor(start, "peer", gossip)
	first := g.peers.askedConfig
	g.peers.askFor(start.Add(askEvery/2), "peer", gossip)
	require.Equal(t, first, g.peers.askedConfig, "one ask at a time")
	g.peers.askFor(start.Add(2*askEvery), "peer", gossip)
	require.Equal(t, start.Add(2*askEvery), g.peers.askedConfig)
}
