package gateway

import (
	"log/slog"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/mesh"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/sched/board"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
)

// Guards against a configuration that is never requested again after a peer's answer
// was lost with its link, on a gateway that cannot reach the store.
func TestLostSnapshotIsRequestedAgain(t *testing.T) {
	g := New(Dependencies{Dialer: &net.Dialer{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
	start := time.Unix(1_000_000, 0)
	gossip := &wire.Gossip{ConfigVersion: 7}
	g.peers.requestMissing(start, "peer", gossip)
	first := g.peers.configRequestedAt
	g.peers.requestMissing(start.Add(snapshotRequestInterval/2), "peer", gossip)
	require.Equal(t, first, g.peers.configRequestedAt, "a pending request must not be repeated")
	g.peers.requestMissing(start.Add(2*snapshotRequestInterval), "peer", gossip)
	require.Equal(t, start.Add(2*snapshotRequestInterval), g.peers.configRequestedAt)
}

// Guards against a scheduler that gives up scheduling when its registration is renewed
// after a store outage longer than its lease: its successor, without the learned
// speeds, would treat all engines alike in the middle of an overload.
func TestRankSurvivesExpiredRegistration(t *testing.T) {
	g := New(Dependencies{Settings: Settings{Name: "me"}, Dialer: &net.Dialer{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
	now := time.Unix(1_000_000, 0)
	for _, created := range []int64{2, 28} {
		g.peers.Apply(now, kv.Changes{Events: []kv.Event{{Item: kv.Item{Key: memberPrefix + "me", Value: []byte(`{}`), CreatedRevision: created}}}})
	}
	require.Equal(t, int64(2), g.peers.rank)
}

// Guards against engines that are never included in the messages to a standby because
// the fleet has more engines than one message holds.
func TestStandbyReceivesAllEnginesInBatches(t *testing.T) {
	var memory board.LearnedState
	for i := range 3*maxStandbyEngines - 5 {
		memory.Speeds = append(memory.Speeds, board.Speed{ID: strconv.Itoa(i), Slowness: 1})
	}
	s := &standbySync{}
	sent := make(map[string]bool)
	for range 3 {
		batch := s.nextBatch(memory)
		require.LessOrEqual(t, len(batch.Speeds), maxStandbyEngines)
		for _, speed := range batch.Speeds {
			sent[speed.ID] = true
		}
	}
	require.Len(t, sent, len(memory.Speeds))
}

// Gateways that stop shortly after one another must agree on the scheduler: a ready
// gateway precedes a stopping one, then the lowest rank counts.
func TestReadyGatewayPrecedesStoppingOneAsScheduler(t *testing.T) {
	stopping, ready, none := candidate{"a", 1, true}, candidate{"b", 9, false}, candidate{}
	require.True(t, ready.precedes(stopping))
	require.False(t, stopping.precedes(ready))
	require.True(t, stopping.precedes(none))
	require.True(t, candidate{"a", 1, true}.precedes(candidate{"b", 2, true}))
	require.True(t, candidate{"a", 1, true}.precedes(candidate{"b", 1, true}))
}

// Guards against a gateway that goes on sending a request which crashed upstreams of
// other gateways: most gateways learn of a crash from the hubs, which must relay it.
func TestPeerCrashIsRelayedOnce(t *testing.T) {
	g := New(Dependencies{Dialer: &net.Dialer{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
	now := time.Unix(1_000_000, 0)
	for range 3 {
		g.peers.HandleGossip(now, "peer", &wire.Gossip{Crashes: []*wire.CrashSeen{{Fingerprint: 7, Upstream: "engine"}}})
	}
	gossip := &wire.Gossip{}
	g.peers.FillGossip(now, gossip)
	require.Len(t, gossip.Crashes, 1)
	require.Equal(t, uint64(7), gossip.Crashes[0].Fingerprint)
}

// Guards against a scheduler and hubs on the smallest VMs of a fleet, where their
// messages wait for the CPU.
func TestGatewaysOnLargerVMsRankFirst(t *testing.T) {
	large, small := member{CPUHalvings: cpuHalvings(0.8)}, member{CPUHalvings: cpuHalvings(0.144)}
	require.Less(t, large.rank(900), small.rank(2))
	require.Less(t, small.rank(2), small.rank(3))
	require.Equal(t, int64(7), member{CPUHalvings: cpuHalvings(0)}.rank(7))
	require.Equal(t, member{CPUHalvings: maxCPUHalvings}.rank(7), member{CPUHalvings: 1 << 40}.rank(7))
	require.Equal(t, int64(7), member{CPUHalvings: -1}.rank(7))
}

// Guards against refusals that meet another stopping gateway: a caller is refused for
// the stop only if the load balancer sends it to a gateway that accepts it.
func TestStoppingGatewayRefusesOnlyForAcceptingOnes(t *testing.T) {
	for _, c := range []struct {
		name            string
		within, outside mesh.Availability
		noticed, want   bool
	}{
		{"alone in the fleet", mesh.Availability{}, mesh.Availability{}, true, false},
		{"all others accept", mesh.Availability{Accepting: 6, Total: 6}, mesh.Availability{Accepting: 14, Total: 14}, false, true},
		{"one of two in the domain", mesh.Availability{Accepting: 1, Total: 1}, mesh.Availability{}, false, true},
		{"one of three in the domain", mesh.Availability{Accepting: 1, Total: 2}, mesh.Availability{Accepting: 6, Total: 6}, true, false},
		{"half of the domain", mesh.Availability{Accepting: 4, Total: 7}, mesh.Availability{}, true, true},
		{"less than half, others are down", mesh.Availability{Accepting: 3, Total: 6}, mesh.Availability{}, true, false},
		{"none in the domain, not noticed", mesh.Availability{Total: 2}, mesh.Availability{Accepting: 6, Total: 6}, false, false},
		{"none in the domain, noticed", mesh.Availability{Total: 2}, mesh.Availability{Accepting: 1, Total: 6}, true, true},
		{"only one in the domain, noticed", mesh.Availability{}, mesh.Availability{Accepting: 2, Total: 2}, true, true},
		{"all stop", mesh.Availability{Total: 2}, mesh.Availability{Total: 6}, true, false},
	} {
		require.Equal(t, c.want, reachesAccepting(c.within, c.outside, c.noticed), c.name)
	}
}

// Guards against a request that is refused for ever after it has crashed upstreams:
// gateways repeat the crashes to each other and record them again after they have
// expired.
func TestCrashesThatPeersRepeatAreForgotten(t *testing.T) {
	const fingerprint, remembered = 7, 2 * time.Minute
	now := time.Unix(1_000_000, 0)
	a := New(Dependencies{Dialer: &net.Dialer{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
	b := New(Dependencies{Dialer: &net.Dialer{}, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
	sendGossip := func(from, to *Gateway) {
		gossip := &wire.Gossip{}
		from.peers.FillGossip(now, gossip)
		to.peers.HandleGossip(now, "peer", &wire.Gossip{Crashes: gossip.Crashes})
	}
	for i := range 3 {
		a.peers.HandleGossip(now, "peer", &wire.Gossip{Crashes: []*wire.CrashSeen{{Fingerprint: fingerprint, Upstream: strconv.Itoa(i)}}})
	}
	sendGossip(a, b)
	require.True(t, b.crashTracker.Blocked(now, fingerprint))
	for end := now.Add(3 * remembered); now.Before(end); now = now.Add(time.Second) {
		sendGossip(a, b)
		sendGossip(b, a)
		a.crashTracker.Blocked(now, fingerprint)
		b.crashTracker.Blocked(now, fingerprint)
	}
	require.False(t, a.crashTracker.Blocked(now, fingerprint))
	require.False(t, b.crashTracker.Blocked(now, fingerprint))
}
