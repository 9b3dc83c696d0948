package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/state/kv"
)

// readyList returns a list of ready upstreams, each registered at the revision.
func readyList(revision kv.Revision, keys ...string) kv.Snapshot {
	list := kv.Snapshot{Revision: revision}
	for _, key := range keys {
		list.Items = append(list.Items, kv.Item{Key: key, Value: []byte("ready"), Revision: revision, CreatedRevision: 1})
	}
	return list
}

func requireReady(t *testing.T, g *Gateway, ids ...string) {
	t.Helper()
	var ready []string
	for _, u := range g.roster.Ready("tutor") {
		ready = append(ready, u.ID)
	}
	require.Equal(t, ids, ready)
}

// Guards against a gateway that follows its peers into a new era by changes only: they say
// nothing of what was in its list and is not in theirs.
func TestPeerOfALaterEraSendsItsCompleteList(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	ahead, behind := newSnapshotGateway("ahead"), newSnapshotGateway("behind")
	behind.upstreams.Replace(now, readyList(kv.At(1, 500), "a", "left"))
	ahead.upstreams.Replace(now, readyList(kv.At(1, 500), "a", "left"))
	ahead.upstreams.Replace(now, readyList(kv.At(2, 400), "a", "new"))
	require.Equal(t, kv.At(2, 400), kv.Revision(ahead.lastChange.Load()))
	require.False(t, exchangeSnapshot(now, ahead, behind).Partial)
	requireReady(t, behind, "a", "new")
	require.Equal(t, kv.At(2, 400), behind.roster.Revision())

	ahead.upstreams.Apply(now, kv.Changes{Revision: kv.At(2, 402), Events: []kv.Event{deleteEvent("new", kv.At(2, 401))}})
	require.True(t, exchangeSnapshot(now, ahead, behind).Partial, "both are in one era again")
	requireReady(t, behind, "a")
}

// Guards against a peer or a late response of the former era that undoes what is known.
func TestFormerEraIsIgnored(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	ahead, behind := newSnapshotGateway("ahead"), newSnapshotGateway("behind")
	behind.upstreams.Replace(now, readyList(kv.At(1, 500), "a", "left"))
	ahead.upstreams.Replace(now, readyList(kv.At(2, 400), "a"))
	exchangeSnapshot(now, behind, ahead)
	ahead.upstreams.Replace(now, readyList(kv.At(1, 600), "left"))
	ahead.upstreams.Apply(now, kv.Changes{Revision: kv.At(1, 602), Events: []kv.Event{putEvent("b", "ready", kv.At(1, 601)), deleteEvent("a", kv.At(1, 602))}})
	requireReady(t, ahead, "a")
	require.Len(t, ahead.upstreams.registrations, 1)
	require.Equal(t, kv.At(2, 400), ahead.roster.Revision())
	behind.evacuations.set.Replace(now, kv.At(1, 600), []string{"north"})
	message := &wire.Gossip{}
	behind.peers.FillGossip(now, message)
	ahead.evacuations.set.Replace(now, kv.At(2, 400), []string{"south"})
	ahead.evacuations.applyGossip(now, message)
	require.Equal(t, []string{"south"}, ahead.evacuations.set.Domains())
}

// Guards against an evacuation that ends because a peer knows the upstreams of a new era,
// but not its evacuations yet.
func TestGossipTellsNoRevisionOfAFormerEra(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	sender, receiver := newSnapshotGateway("sender"), newSnapshotGateway("receiver")
	for _, g := range []*Gateway{sender, receiver} {
		g.evacuations.set.Replace(now, kv.At(1, 500), []string{"north"})
		g.upstreams.Replace(now, readyList(kv.At(1, 500), "a"))
	}
	sender.upstreams.Replace(now, readyList(kv.At(2, 400), "a"))
	message := &wire.Gossip{}
	sender.peers.FillGossip(now, message)
	require.Equal(t, int64(2), message.StoreEra)
	require.Equal(t, int64(400), message.RosterRevision)
	require.Zero(t, message.EvacuationRevision)
	receiver.evacuations.applyGossip(now, message)
	require.Equal(t, []string{"north"}, receiver.evacuations.set.Domains())
	require.True(t, receiver.evacuations.set.Expire(now.Add(time.Hour)).Empty())
}

// Guards against a peer of an earlier build, which states no era, that is misunderstood
// during an upgrade: it asks for changes as before, and what it says replaces nothing.
func TestPeerOfAnEarlierBuildIsUnderstood(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	g := newSnapshotGateway("upgraded")
	g.evacuations.set.Replace(now, kv.At(2, 400), nil)
	g.upstreams.Replace(now, readyList(kv.At(2, 400), "a"))
	g.upstreams.Apply(now, kv.Changes{Revision: kv.At(2, 402), Events: []kv.Event{putEvent("b", "ready", kv.At(2, 401))}})
	answer := g.peers.buildSnapshot(&wire.SnapshotAsk{Roster: true, RosterAfter: 400})
	require.True(t, answer.Partial)
	require.Equal(t, int64(402), answer.RosterRevision)
	require.Len(t, answer.Roster, 1)
	require.Equal(t, int64(401), answer.Roster[0].Revision)

	g.peers.HandleGossip(now, "earlier", &wire.Gossip{RosterRevision: 500, ChangeRevision: 500, EvacuationRevision: 500, Evacuated: []string{"north"}})
	g.peers.applySnapshot(now, "earlier", &wire.Snapshot{RosterRevision: 500, Roster: []*wire.StoreItem{{Key: "stale", Value: []byte("ready"), Revision: 499}}})
	requireReady(t, g, "a", "b")
	require.Empty(t, g.evacuations.set.Domains())

	started := newSnapshotGateway("started while the store is away")
	started.peers.applySnapshot(now, "earlier", &wire.Snapshot{RosterRevision: 500, Roster: []*wire.StoreItem{{Key: "known", Value: []byte("ready"), Revision: 499}}})
	requireReady(t, started, "known")
	started.upstreams.Replace(now, readyList(kv.At(2, 400), "a"))
	requireReady(t, started, "a", "known")
	require.True(t, started.roster.Expire(now.Add(time.Minute)))
	requireReady(t, started, "a")
}
