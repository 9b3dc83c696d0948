package gateway

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
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

// The gateway that schedules is cut off from the store for longer than its
// lease, and is listed anew when it is back. It gave up scheduling at that
// moment, in the middle of an overload, and the next one took all engines for
// ordinary ones.
func TestRankOutlivesALapsedListing(t *testing.T) {
	g := New(Parts{Settings: Settings{Name: "me"}, Dialer: &net.Dialer{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
	now := time.Unix(1_000_000, 0)
	for _, created := range []int64{2, 28} {
		g.peers.Apply(now, kv.Changes{Events: []kv.Event{{Item: kv.Item{Key: memberPrefix + "me", Value: []byte(`{}`), Created: created}}}})
	}
	require.Equal(t, int64(2), g.peers.rank)
}
