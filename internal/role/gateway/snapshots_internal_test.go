package gateway

import (
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
	"github.com/persimmonridge/persimmonridge/internal/state/roster"
)

// stateDecoder decodes registrations whose value is the upstream's state.
type stateDecoder struct{ Decoder }

func (stateDecoder) Upstream(key string, raw []byte, revision kv.Revision) (roster.Upstream, error) {
	u := roster.Upstream{ID: key, Service: "tutor", Revision: revision}
	if strings.HasPrefix(string(raw), "draining") {
		u.State = roster.Draining
	}
	return u, nil
}

func (stateDecoder) UpstreamID(key string) string { return key }

func newSnapshotGateway(name string) *Gateway {
	return New(Dependencies{
		Settings: Settings{Name: name, ConfigApplyLimit: 4 * time.Second}, Decoder: stateDecoder{}, Dialer: &net.Dialer{},
		Logger: slog.New(slog.DiscardHandler), Now: time.Now,
	})
}

func putEvent(key, value string, revision kv.Revision) kv.Event {
	return kv.Event{Item: kv.Item{Key: key, Value: []byte(value), Revision: revision}}
}

func deleteEvent(key string, revision kv.Revision) kv.Event {
	return kv.Event{Item: kv.Item{Key: key, Revision: revision}, Deleted: true}
}

// exchangeSnapshot requests the upstream changes that a gateway lacks from another one
// and returns the answer.
func exchangeSnapshot(now time.Time, from, to *Gateway) *wire.Snapshot {
	answer := from.peers.buildSnapshot(&wire.SnapshotAsk{Roster: true, RosterAfter: to.roster.Revision().Number(), RosterAfterEra: to.roster.Revision().Era()})
	to.peers.applySnapshot(now, "peer", answer)
	return answer
}

// Guards against a gateway that goes on sending requests to a draining or removed
// upstream because it polls the store less often than its peers.
func TestPartialSnapshotHoldsChangesSinceRevision(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	reader, receiver := newSnapshotGateway("reader"), newSnapshotGateway("receiver")
	list := kv.Snapshot{Revision: 10}
	for _, key := range []string{"a", "b", "c"} {
		list.Items = append(list.Items, kv.Item{Key: key, Value: []byte("ready"), Revision: 9})
	}
	reader.upstreams.Replace(now, list)
	receiver.upstreams.Replace(now, list)
	reader.upstreams.Apply(now, kv.Changes{Revision: 20, Events: []kv.Event{
		putEvent("a", "ready 2", 11), putEvent("b", "draining", 12), deleteEvent("c", 13), putEvent("d", "ready", 14),
	}})
	require.Equal(t, int64(14), reader.lastChange.Load())

	answer := exchangeSnapshot(now, reader, receiver)
	require.True(t, answer.Partial)
	require.Len(t, answer.Roster, 3, "a heartbeat must not count as a change")
	require.Equal(t, kv.Revision(20), receiver.roster.Revision())
	b, _ := receiver.roster.Get("b")
	require.Equal(t, roster.Draining, b.State)
	_, known := receiver.roster.Get("c")
	require.False(t, known)
	_, known = receiver.roster.Get("d")
	require.True(t, known)

	// The store delivers the same changes later, preceded by earlier states.
	receiver.upstreams.Apply(now, kv.Changes{Revision: 20, Events: []kv.Event{putEvent("b", "ready", 10), putEvent("c", "ready", 11), deleteEvent("c", 13)}})
	b, _ = receiver.roster.Get("b")
	require.Equal(t, roster.Draining, b.State)
	_, known = receiver.roster.Get("c")
	require.False(t, known)
}

// Guards against a removal that is lost because the peer that answers started after
// it. Such a peer must send its complete list.
func TestSnapshotIsCompleteBeforeKnownHistory(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	reader, receiver := newSnapshotGateway("reader"), newSnapshotGateway("receiver")
	receiver.upstreams.Replace(now, kv.Snapshot{Revision: 10, Items: []kv.Item{{Key: "a", Value: []byte("ready"), Revision: 9}}})
	reader.upstreams.Replace(now, kv.Snapshot{Revision: 12, Items: []kv.Item{{Key: "b", Value: []byte("ready"), Revision: 11}}})
	require.False(t, exchangeSnapshot(now, reader, receiver).Partial)
	_, known := receiver.roster.Get("a")
	require.False(t, known)
}

// Guards against reporting an upstream as removed that lapsed during a store outage and
// may register again: peers must learn of its removal only once it has expired.
func TestLapsedUpstreamIsNotReportedRemovedAtOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	reader, receiver := newSnapshotGateway("reader"), newSnapshotGateway("receiver")
	list := kv.Snapshot{Revision: 10, Items: []kv.Item{{Key: "a", Value: []byte("ready"), Revision: 9}, {Key: "b", Value: []byte("ready"), Revision: 9}}}
	reader.upstreams.Replace(now, list)
	receiver.upstreams.Replace(now, list)
	reader.roster.StoreRegained(now)
	reader.upstreams.Apply(now, kv.Changes{Revision: 20, Events: []kv.Event{deleteEvent("a", 13)}})
	exchangeSnapshot(now, reader, receiver)
	_, known := receiver.roster.Get("a")
	require.True(t, known)
	require.Equal(t, kv.Revision(12), receiver.roster.Revision())
	later := now.Add(3 * time.Second)
	reader.roster.Expire(later)
	exchangeSnapshot(later, reader, receiver)
	_, known = receiver.roster.Get("a")
	require.False(t, known)
	require.Equal(t, kv.Revision(20), receiver.roster.Revision())
}

// Guards against changes that are not gossiped because they are seen only by comparing
// a complete list, which is read after a gap in the store's history.
func TestRereadListReportsItsChanges(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	g := newSnapshotGateway("reader")
	item := func(value string, revision kv.Revision) []kv.Item {
		return []kv.Item{{Key: "a", Value: []byte(value), Revision: revision}}
	}
	g.upstreams.Replace(now, kv.Snapshot{Revision: 10, Items: item("ready", 9)})
	require.Zero(t, g.lastChange.Load())
	g.upstreams.Replace(now, kv.Snapshot{Revision: 20, Items: item("ready 2", 15)})
	require.Zero(t, g.lastChange.Load())
	g.upstreams.Replace(now, kv.Snapshot{Revision: 30, Items: item("draining", 25)})
	require.Equal(t, int64(25), g.lastChange.Load())
	g.upstreams.Replace(now, kv.Snapshot{Revision: 40})
	require.Equal(t, int64(40), g.lastChange.Load())
}

// Guards against a gateway that relies on its peers to poll the store although the
// store does not answer them, or they have not been heard recently.
func TestGatewayPollsStoreUnlessSeveralPeersDo(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	g := newSnapshotGateway("spoke")
	answers := &wire.Gossip{StoreAnswers: true}
	for _, peer := range []string{"a", "b", "c"} {
		g.peers.requestMissing(now, peer, answers)
	}
	require.False(t, g.peers.peersPollStore(now), "a hub must poll the store itself")
	g.peers.isHub = func() bool { return false }
	require.True(t, g.peers.peersPollStore(now))
	require.False(t, g.peers.peersPollStore(now.Add(storeReachedTTL)))
	g.peers.requestMissing(now, "c", &wire.Gossip{})
	require.False(t, g.peers.peersPollStore(now))
	g.peers.requestMissing(now, "c", answers)
	g.peers.setStoreLost(true)
	require.False(t, g.peers.peersPollStore(now))
}

// Guards against a hub that sends a large configuration to a whole fleet and falls
// behind on urgent messages: while the store answers, each gateway reads it there.
func TestConfigurationIsRequestedFromPeerOnlyIfStoreIsLate(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	g := newSnapshotGateway("spoke")
	newer := &wire.Gossip{ConfigVersion: 7, ChangeRevision: 99}
	g.peers.requestMissing(now, "a", newer)
	require.Zero(t, g.peers.configRequestedAt)
	g.peers.requestMissing(now.Add(time.Second), "b", &wire.Gossip{ConfigVersion: 6})
	g.peers.requestMissing(now.Add(2*time.Second), "a", newer)
	require.Zero(t, g.peers.configRequestedAt, "the store still has time to deliver it")
	g.peers.requestMissing(now.Add(2500*time.Millisecond), "a", newer)
	require.NotZero(t, g.peers.configRequestedAt)

	withoutStore := newSnapshotGateway("spoke")
	withoutStore.peers.setStoreLost(true)
	withoutStore.peers.requestMissing(now, "a", newer)
	require.Equal(t, now, withoutStore.peers.configRequestedAt)
}
