package gateway

import (
	"log/slog"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/sched/board"
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

// A fleet has more engines than one message to the next scheduler holds. None of
// them may be left out for good.
func TestStandbyIsToldOfAllEnginesInTurn(t *testing.T) {
	var memory board.Memory
	for i := range 3*standbyEngines - 5 {
		memory.Speeds = append(memory.Speeds, board.Speed{ID: strconv.Itoa(i), Slowness: 1})
	}
	s := &standby{}
	told := make(map[string]bool)
	for range 3 {
		part := s.part(memory)
		require.LessOrEqual(t, len(part.Speeds), standbyEngines)
		for _, speed := range part.Speeds {
			told[speed.ID] = true
		}
	}
	require.Len(t, told, len(memory.Speeds))
}

// Gateways that are told to stop within a moment of each other must agree on who
// schedules: a ready one before one that stops, then the one of lowest rank.
func TestReadyGatewaySchedulesBeforeOneThatStops(t *testing.T) {
	stopping, ready, none := candidate{"a", 1, true}, candidate{"b", 9, false}, candidate{}
	require.True(t, ready.before(stopping))
	require.False(t, stopping.before(ready))
	require.True(t, stopping.before(none))
	require.True(t, candidate{"a", 1, true}.before(candidate{"b", 2, true}))
	require.True(t, candidate{"a", 1, true}.before(candidate{"b", 1, true}))
}

// Guards against a gateway that goes on running a request which crashed upstreams
// elsewhere: most gateways hear of a crash from those that all of them hear.
func TestCrashThatAPeerSawIsHandedOnOnce(t *testing.T) {
	g := New(Parts{Dialer: &net.Dialer{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
	now := time.Unix(1_000_000, 0)
	for range 3 {
		g.peers.Heard(now, "peer", &wire.Gossip{Crashes: []*wire.CrashSeen{{Fingerprint: 7, Upstream: "engine"}}})
	}
	told := &wire.Gossip{}
	g.peers.Gossip(now, told)
	require.Len(t, told.Crashes, 1)
	require.Equal(t, uint64(7), told.Crashes[0].Fingerprint)
}

// Guards against a scheduler, and gateways that all others hear, on the thinnest
// VMs of a fleet, where its messages wait for the processor.
func TestGatewaysOnLargerVMsRankFirst(t *testing.T) {
	large, small := member{Halvings: halvings(0.8)}, member{Halvings: halvings(0.144)}
	require.Less(t, large.rank(900), small.rank(2))
	require.Less(t, small.rank(2), small.rank(3))
	require.Equal(t, int64(7), member{Halvings: halvings(0)}.rank(7))
	require.Equal(t, member{Halvings: halvingsMost}.rank(7), member{Halvings: 1 << 40}.rank(7))
	require.Equal(t, int64(7), member{Halvings: -1}.rank(7))
}

// Guards against a request that stays refused for ever once it has crashed upstreams:
// gateways that repeat to each other what they saw learn it anew each time that they
// have forgotten it.
func TestCrashesThatPeersRepeatAreForgotten(t *testing.T) {
	const fingerprint, remembered = 7, 2 * time.Minute
	now := time.Unix(1_000_000, 0)
	a := New(Parts{Dialer: &net.Dialer{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
	b := New(Parts{Dialer: &net.Dialer{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
	tell := func(from, to *Gateway) {
		gossip := &wire.Gossip{}
		from.peers.Gossip(now, gossip)
		to.peers.Heard(now, "peer", &wire.Gossip{Crashes: gossip.Crashes})
	}
	for i := range 3 {
		a.peers.Heard(now, "peer", &wire.Gossip{Crashes: []*wire.CrashSeen{{Fingerprint: fingerprint, Upstream: strconv.Itoa(i)}}})
	}
	tell(a, b)
	require.True(t, b.crashRegister.Blocked(now, fingerprint))
	for end := now.Add(3 * remembered); now.Before(end); now = now.Add(time.Second) {
		tell(a, b)
		tell(b, a)
		a.crashRegister.Blocked(now, fingerprint)
		b.crashRegister.Blocked(now, fingerprint)
	}
	require.False(t, a.crashRegister.Blocked(now, fingerprint))
	require.False(t, b.crashRegister.Blocked(now, fingerprint))
}
